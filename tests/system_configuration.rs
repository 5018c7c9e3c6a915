//! Accepted plans at three entries, through faults of the platform and of entries.

mod system;

use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use system::{TestSystem, eventually, start_platform};
use zinniaport_testing::client::{get, send};
use zinniaport_testing::process::ChildSignal;
use zinniaport_testing::test_cases;

const ALL: [usize; 3] = [0, 1, 2];
const WORKING: &[&str] = &["--service-ms", "5"];

/// Gives an intent that differs from others by its queue.
fn numbered(system: &TestSystem, queue: u32) -> Value {
    let mut intent = system.intent(&[]);
    intent["max_queue_length"] = json!(queue);
    intent
}

/// Reads the stored intent and its version.
async fn stored(system: &TestSystem) -> (Value, u64) {
    let object = get(system.platform.address, "/objects/intents/pump-history").await.unwrap();
    let version = object.headers()["x-version"].to_str().unwrap().parse().unwrap();
    (serde_json::from_slice(object.body()).unwrap(), version)
}

/// Replaces the platform by one at the same address that holds `intent` alone,
/// at a low version, as after the restore of an old backup.
async fn restore(system: &mut TestSystem, intent: &Value) {
    let address = system.platform.address;
    system.platform.process.signal(ChildSignal::KILL);
    system.platform.process.wait().await;
    system.platform = start_platform(&address.to_string()).await;
    let request = Request::put("/objects/intents/pump-history").header("if-none-match", "*");
    let request = request.body(Full::from(intent.to_string())).unwrap();
    let response = send(address, request).await.unwrap();
    assert_eq!(response.status(), 200);
}

test_cases! {
    async plans_reach_all_entries: "an accepted plan that some entries do not follow" => {
        let system = TestSystem::start("plans-reach", 2, &[WORKING]).await;
        for (entry, queue) in [(0, 11), (1, 12), (2, 13)] {
            let version = system.change(entry, &numbered(&system, queue)).await;
            system.wait_for_version(&ALL, version).await;
        }
    }

    async one_of_two_plans_wins: "two conflicting plans that are both reported as applied" => {
        let system = TestSystem::start("plans-race", 2, &[WORKING]).await;
        for round in 0..10 {
            let queues = [100 + round, 200 + round];
            let first = system.draft(0, "ana", &numbered(&system, queues[0])).await;
            let second = system.draft(1, "luz", &numbered(&system, queues[1])).await;
            let outcomes = tokio::join!(
                system.confirm(0, "ana", &first),
                system.confirm(1, "luz", &second)
            );
            let statuses = [outcomes.0.0, outcomes.1.0];
            let winners = statuses.iter().filter(|status| **status == StatusCode::OK).count();
            assert_eq!(winners, 1, "{outcomes:?}");
            assert!(statuses.contains(&StatusCode::CONFLICT), "{outcomes:?}");
            let winner = statuses.iter().position(|status| *status == StatusCode::OK).unwrap();
            let (content, version) = stored(&system).await;
            assert_eq!(content["intent"]["max_queue_length"], queues[winner]);
            assert_eq!(content["author"], ["ana", "luz"][winner]);
            system.wait_for_version(&ALL, version).await;
        }
    }

    async lost_answers_are_found: "a confirmed plan reported as failed, or applied twice" => {
        let system = TestSystem::start("lost-answers", 2, &[WORKING]).await;
        let plan = system.draft(0, "ana", &numbered(&system, 11)).await;
        system.set_faults(&json!({ "lost_answers": 1 })).await;
        let (status, outcome) = system.confirm(0, "ana", &plan).await;
        assert_eq!(status, StatusCode::OK, "{outcome}");
        let (content, version) = stored(&system).await;
        assert_eq!(content["intent"]["max_queue_length"], 11);
        let applied = content["applied"].as_array().unwrap().len();
        assert_eq!(applied, 2, "the first plan and this one, once");
        system.wait_for_version(&ALL, version).await;
    }

    async outages_change_nothing: "entries that stop serving or go back while the platform is down" => {
        let mut system = TestSystem::start("outage", 2, &[WORKING, WORKING]).await;
        let version = system.change(0, &numbered(&system, 11)).await;
        system.wait_for_version(&ALL, version).await;
        let load = system.load(&ALL, 2);
        system.set_faults(&json!({ "down": true })).await;
        // Longer than the 10 s after which an entry without any contact is not ready.
        tokio::time::sleep(Duration::from_secs(12)).await;
        for entry in ALL {
            assert!(system.is_ready(entry).await, "entry {entry}");
            assert_eq!(system.version(entry).await, version, "entry {entry}");
        }
        load.wait_for_answers(50).await;

        system.start_entry().await;
        system.wait_until_ready(3).await;
        assert_eq!(system.version(3).await, version, "ready before it had the newest version");
        let newcomer = system.load(&[3], 2);
        newcomer.wait_for_answers(50).await;
        newcomer.stop_whole().await;
        load.stop_whole().await;

        system.set_faults(&json!({})).await;
        let version = system.change(3, &numbered(&system, 12)).await;
        system.wait_for_version(&[0, 1, 2, 3], version).await;
    }

    async resumed_entries_never_go_back: "an entry that puts an old version in force after a pause" => {
        let system = TestSystem::start("resumed", 2, &[WORKING]).await;
        let mut version = system.version(2).await;
        for round in 0..3 {
            system.entries[2].process.signal(ChildSignal::STOP);
            let newest = {
                system.change(0, &numbered(&system, 100 + round)).await;
                system.change(1, &numbered(&system, 200 + round)).await
            };
            system.wait_for_version(&[0, 1], newest).await;
            system.entries[2].process.signal(ChildSignal::CONT);
            while version < newest {
                let next = system.version(2).await;
                assert!(next >= version, "from {version} back to {next}");
                version = next;
            }
            let others = [system.version(0).await, system.version(1).await];
            assert_eq!(others, [newest, newest], "the resumed entry took others back");
        }
    }

    async restored_platforms_revert_nothing: "a restored backup that takes accepted plans back" => {
        let mut system = TestSystem::start("restored", 2, &[WORKING]).await;
        let (backup, _) = stored(&system).await;
        let version = system.change(0, &numbered(&system, 11)).await;
        system.wait_for_version(&ALL, version).await;
        restore(&mut system, &backup).await;
        eventually("entries read the old state", async || system.calls("list").await >= 6).await;
        for entry in ALL {
            assert_eq!(system.version(entry).await, version, "entry {entry}");
        }
    }

    async plans_work_after_a_restore: "a restored backup after which accepted plans are not in force" => {
        let mut system = TestSystem::start("after-restore", 2, &[WORKING]).await;
        let (backup, _) = stored(&system).await;
        for queue in 11..21 {
            system.change(0, &numbered(&system, queue)).await;
        }
        let held = stored(&system).await.1;
        system.wait_for_version(&ALL, held).await;
        restore(&mut system, &backup).await;
        let version = system.change(0, &numbered(&system, 30)).await;
        assert!(version > held, "version {version} would not replace {held}");
        system.wait_for_version(&ALL, version).await;
        eventually("entries read the new state", async || system.calls("list").await >= 3).await;
        // A second plan has to follow the first, from any entry.
        let version = system.change(2, &numbered(&system, 31)).await;
        system.wait_for_version(&ALL, version).await;
        for entry in ALL {
            let present = system.version(entry).await;
            assert_eq!(present, version, "entry {entry} keeps the version from before the restore");
        }
    }
}
