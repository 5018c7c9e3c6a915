//! At-most-once execution by idempotency key, with three entry processes, the platform and a target
//! that counts its runs by key.

mod claim_fleet;

use claim_fleet::{CallerResponse, ClaimFleet};
use http::StatusCode;
use tokio::task::JoinSet;
use zinniaport_testing::process::ChildSignal;
use zinniaport_testing::test_cases;

/// Service time of a slow request, in milliseconds. It leaves a test time to kill or pause an entry
/// between the claim and the response.
const SLOW_MS: u64 = 1500;

test_cases! {
    async same_key_to_each_entry: "a request that runs again at each entry its caller tries" => {
        let fleet = ClaimFleet::start("same-key", 5).await;
        let first = fleet.send(0, "visit-1").await;
        assert_eq!((first.status, first.outcome.as_str()), (StatusCode::OK, "ran"));
        // The entry stores the result up to 50 ms after the response.
        while fleet.send(1, "visit-1").await.key_state.as_deref() == Some("running") {}
        for entry in [1, 2, 0] {
            let repeated = fleet.send(entry, "visit-1").await;
            assert_eq!(repeated.status, StatusCode::CONFLICT);
            assert_eq!(repeated.outcome, "ran", "the request with this key ran");
            assert_eq!(repeated.key_state.as_deref(), Some("ran; status=200"));
        }
        fleet.assert_at_most_once("visit-1", &[first]).await;
    }

    async killed_between_claim_and_response: "a key that runs again after its entry was killed" => {
        let mut fleet = ClaimFleet::start("killed", SLOW_MS).await;
        let pending = fleet.send_in_background(0, "visit-1");
        fleet.wait_for_run("visit-1").await;
        fleet.entries[0].process.signal(ChildSignal::KILL);
        let lost = pending.await.unwrap();
        assert_eq!(lost.outcome, CallerResponse::CONNECTION_LOST);
        assert!(!fleet.entries[0].process.wait().await.success());
        for entry in [1, 2, 1] {
            let repeated = fleet.send(entry, "visit-1").await;
            assert_eq!(repeated.outcome, "unknown");
            assert_eq!(repeated.key_state.as_deref(), Some("running"));
        }
        fleet.assert_at_most_once("visit-1", &[lost]).await;
    }

    async paused_after_claim_and_resumed: "a resumed entry that runs a key which ran elsewhere" => {
        let fleet = ClaimFleet::start("paused", SLOW_MS).await;
        // The store's response to the claim arrives while the entry is paused.
        fleet.set_faults(r#"{"slow_ms":300}"#).await;
        let before = fleet.writes().await;
        let pending = fleet.send_in_background(0, "visit-1");
        fleet.wait_for_write(before).await;
        fleet.entries[0].process.signal(ChildSignal::STOP);
        fleet.set_faults("{}").await;
        let mut responses = Vec::new();
        for entry in [1, 2] {
            let repeated = fleet.send(entry, "visit-1").await;
            assert_eq!(repeated.outcome, "unknown", "{repeated:?}");
            responses.push(repeated);
        }
        fleet.entries[0].process.signal(ChildSignal::CONT);
        responses.push(pending.await.unwrap());
        fleet.assert_at_most_once("visit-1", &responses).await;
    }

    async store_down: "a request that runs without a claim, or whose key stays blocked" => {
        let fleet = ClaimFleet::start("store-down", 5).await;
        fleet.set_faults(r#"{"down":true}"#).await;
        for entry in 0..3 {
            let refused = fleet.send(entry, "visit-1").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!((refused.outcome.as_str(), refused.retry_after), ("not-run", true));
        }
        assert_eq!(fleet.runs("visit-1").await, 0);
        assert_eq!(fleet.send_without_key(0).await.outcome, "ran");
        fleet.set_faults("{}").await;
        let response = fleet.send_until_claimed(1, "visit-1").await;
        assert_eq!(response.outcome, "ran");
        fleet.assert_at_most_once("visit-1", &[response]).await;
    }

    async store_responses_lost: "a lost response after which a claim is assumed written, or not, without a read" => {
        let fleet = ClaimFleet::start("lost-responses", 5).await;
        for (number, lost) in [1, 2, 3, 5, 8, 20].into_iter().enumerate() {
            fleet.set_faults(&format!(r#"{{"lost_answers":{lost}}}"#)).await;
            let key = format!("visit-{number}");
            let mut responses = Vec::new();
            for entry in [0, 1, 2] {
                responses.push(fleet.send(entry, &key).await);
            }
            fleet.assert_at_most_once(&key, &responses).await;
            assert_eq!(fleet.runs(&key).await, 1, "{lost} responses lost: {responses:?}");
        }
    }

    async concurrent_duplicates: "duplicates sent to all entries that run more than once" => {
        const DUPLICATES: usize = 30;
        let fleet = ClaimFleet::start("duplicates", 20).await;
        for round in 0..8 {
            // Lost responses make entries read their claims again while others race.
            fleet.set_faults(&format!(r#"{{"lost_answers":{}}}"#, round % 4)).await;
            let key = format!("sign-up-{round}");
            let mut requests = JoinSet::new();
            for number in 0..DUPLICATES {
                requests.spawn(fleet.request(number % 3, &key));
            }
            let responses = requests.join_all().await;
            fleet.assert_at_most_once(&key, &responses).await;
            assert_eq!(fleet.runs(&key).await, 1, "round {round}: {responses:?}");
        }
    }
}
