//! At most once by idempotency key, over three entry processes, the platform and
//! a target that counts its runs by key.

mod claim_fleet;

use claim_fleet::{ClaimFleet, Told};
use http::StatusCode;
use tokio::task::JoinSet;
use zinniaport_testing::process::ChildSignal;
use zinniaport_testing::test_cases;

/// Time that the target takes for a slow request. It gives a test time to kill
/// or stop an entry between claim and answer.
const SLOW_MS: u64 = 1500;

test_cases! {
    async same_key_to_each_entry: "a visit recorded once by each entry that its caller tried" => {
        let fleet = ClaimFleet::start("same-key", 5).await;
        let first = fleet.send(0, "visit-1").await;
        assert_eq!((first.status, first.outcome.as_str()), (StatusCode::OK, "ran"));
        // The result is stored up to 50 ms after the answer.
        while fleet.send(1, "visit-1").await.key_state.as_deref() == Some("running") {}
        for entry in [1, 2, 0] {
            let repeated = fleet.send(entry, "visit-1").await;
            assert_eq!(repeated.status, StatusCode::CONFLICT);
            assert_eq!(repeated.outcome, "ran", "the work behind the key ran");
            assert_eq!(repeated.key_state.as_deref(), Some("ran; status=200"));
        }
        fleet.check("visit-1", &[first]).await;
    }

    async killed_between_claim_and_answer: "a key that runs again after its entry died" => {
        let mut fleet = ClaimFleet::start("killed", SLOW_MS).await;
        let open = fleet.send_in_background(0, "visit-1");
        fleet.wait_for_run("visit-1").await;
        fleet.entries[0].process.signal(ChildSignal::KILL);
        let cut = open.await.unwrap();
        assert_eq!(cut.outcome, Told::CUT);
        assert!(!fleet.entries[0].process.wait().await.success());
        for entry in [1, 2, 1] {
            let repeated = fleet.send(entry, "visit-1").await;
            assert_eq!(repeated.outcome, "unknown");
            assert_eq!(repeated.key_state.as_deref(), Some("running"));
        }
        fleet.check("visit-1", &[cut]).await;
    }

    async stopped_after_claim_and_resumed: "a paused entry that runs a key which ran elsewhere" => {
        let fleet = ClaimFleet::start("stopped", SLOW_MS).await;
        // The answer of the store to the claim arrives while the entry is stopped.
        fleet.set_faults(r#"{"slow_ms":300}"#).await;
        let before = fleet.writes().await;
        let open = fleet.send_in_background(0, "visit-1");
        fleet.wait_for_write(before).await;
        fleet.entries[0].process.signal(ChildSignal::STOP);
        fleet.set_faults("{}").await;
        let mut told = Vec::new();
        for entry in [1, 2] {
            let repeated = fleet.send(entry, "visit-1").await;
            assert_eq!(repeated.outcome, "unknown", "{repeated:?}");
            told.push(repeated);
        }
        fleet.entries[0].process.signal(ChildSignal::CONT);
        told.push(open.await.unwrap());
        fleet.check("visit-1", &told).await;
    }

    async store_down: "a request that runs without its claim, or is told not-run and blocked" => {
        let fleet = ClaimFleet::start("store-down", 5).await;
        fleet.set_faults(r#"{"down":true}"#).await;
        for entry in 0..3 {
            let refused = fleet.send(entry, "visit-1").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!((refused.outcome.as_str(), refused.retry_after), ("not-run", true));
        }
        assert_eq!(fleet.runs("visit-1").await, 0);
        assert_eq!(fleet.send_unkeyed(0).await.outcome, "ran");
        fleet.set_faults("{}").await;
        let told = fleet.send_until_decided(1, "visit-1").await;
        assert_eq!(told.outcome, "ran");
        fleet.check("visit-1", &[told]).await;
    }

    async store_answers_lost: "a claim that is taken as written, or as not written, without a look" => {
        let fleet = ClaimFleet::start("lost-answers", 5).await;
        for (number, lost) in [1, 2, 3, 5, 8, 20].into_iter().enumerate() {
            fleet.set_faults(&format!(r#"{{"lost_answers":{lost}}}"#)).await;
            let key = format!("visit-{number}");
            let mut told = Vec::new();
            for entry in [0, 1, 2] {
                told.push(fleet.send(entry, &key).await);
            }
            fleet.check(&key, &told).await;
            assert_eq!(fleet.runs(&key).await, 1, "{lost} answers lost: {told:?}");
        }
    }

    async copies_at_once: "copies of one sign-up that race through all entries" => {
        const COPIES: usize = 30;
        let fleet = ClaimFleet::start("copies", 20).await;
        for round in 0..8 {
            // Lost answers make entries look their claims up again while others race.
            fleet.set_faults(&format!(r#"{{"lost_answers":{}}}"#, round % 4)).await;
            let key = format!("sign-up-{round}");
            let mut copies = JoinSet::new();
            for copy in 0..COPIES {
                copies.spawn(fleet.request(copy % 3, &key));
            }
            let told = copies.join_all().await;
            fleet.check(&key, &told).await;
            assert_eq!(fleet.runs(&key).await, 1, "round {round}: {told:?}");
        }
    }
}
