//! Propagation of accepted plans to three entries, with faults of the platform and of entries.

mod system;

use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use system::{TestSystem, eventually, start_platform};
use zinniaport_testing::client::{get, send};
use zinniaport_testing::process::ChildSignal;
use zinniaport_testing::test_cases;

/// Indices of all entries.
const ALL_ENTRIES: [usize; 3] = [0, 1, 2];
/// Options of a target with a short service time.
const FAST_TARGET: &[&str] = &["--service-ms", "5"];

/// Returns an intent with the given maximum queue length, by which the tests distinguish intents.
fn intent_with_queue(system: &TestSystem, queue: u32) -> Value {
    let mut intent = system.intent(&[]);
    intent["max_queue_length"] = json!(queue);
    intent
}

/// Reads the stored intent and its version from the platform.
async fn stored_intent(system: &TestSystem) -> (Value, u64) {
    let object = get(system.platform.address, "/objects/intents/pump-history").await.unwrap();
    let version = object.headers()["x-version"].to_str().unwrap().parse().unwrap();
    (serde_json::from_slice(object.body()).unwrap(), version)
}

/// Replaces the platform with one at the same address that stores only `intent`, at a low version,
/// as after an old backup is restored.
async fn restore_platform(system: &mut TestSystem, intent: &Value) {
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
    async plans_reach_all_entries: "an accepted plan that some entries do not apply" => {
        let system = TestSystem::start("plans-reach", 2, &[FAST_TARGET]).await;
        for (entry, queue) in [(0, 11), (1, 12), (2, 13)] {
            let version = system.apply_intent(entry, &intent_with_queue(&system, queue)).await;
            system.wait_for_version(&ALL_ENTRIES, version).await;
        }
    }

    async one_of_two_plans_wins: "two conflicting plans that are both reported as applied" => {
        let system = TestSystem::start("plans-race", 2, &[FAST_TARGET]).await;
        for round in 0..10 {
            let queues = [100 + round, 200 + round];
            let first = system.create_plan(0, "ana", &intent_with_queue(&system, queues[0])).await;
            let second = system.create_plan(1, "luz", &intent_with_queue(&system, queues[1])).await;
            let outcomes = tokio::join!(
                system.confirm(0, "ana", &first),
                system.confirm(1, "luz", &second)
            );
            let statuses = [outcomes.0.0, outcomes.1.0];
            let winners = statuses.iter().filter(|status| **status == StatusCode::OK).count();
            assert_eq!(winners, 1, "{outcomes:?}");
            assert!(statuses.contains(&StatusCode::CONFLICT), "{outcomes:?}");
            let winner = statuses.iter().position(|status| *status == StatusCode::OK).unwrap();
            let (content, version) = stored_intent(&system).await;
            assert_eq!(content["intent"]["max_queue_length"], queues[winner]);
            assert_eq!(content["author"], ["ana", "luz"][winner]);
            system.wait_for_version(&ALL_ENTRIES, version).await;
        }
    }

    async lost_responses_are_resolved: "a lost response that fails a plan or applies it twice" => {
        let system = TestSystem::start("lost-responses", 2, &[FAST_TARGET]).await;
        let plan = system.create_plan(0, "ana", &intent_with_queue(&system, 11)).await;
        system.set_faults(&json!({ "lost_answers": 1 })).await;
        let (status, outcome) = system.confirm(0, "ana", &plan).await;
        assert_eq!(status, StatusCode::OK, "{outcome}");
        let (content, version) = stored_intent(&system).await;
        assert_eq!(content["intent"]["max_queue_length"], 11);
        let applied = content["applied"].as_array().unwrap().len();
        assert_eq!(applied, 2, "the first plan, and this one only once");
        system.wait_for_version(&ALL_ENTRIES, version).await;
    }

    async outages_change_nothing: "entries that stop serving or revert during an outage" => {
        let mut system = TestSystem::start("outage", 2, &[FAST_TARGET, FAST_TARGET]).await;
        let version = system.apply_intent(0, &intent_with_queue(&system, 11)).await;
        system.wait_for_version(&ALL_ENTRIES, version).await;
        let load = system.load(&ALL_ENTRIES, 2);
        system.set_faults(&json!({ "down": true })).await;
        // Exceeds the 10 s after which an entry without any contact is not ready.
        tokio::time::sleep(Duration::from_secs(12)).await;
        for entry in ALL_ENTRIES {
            assert!(system.is_ready(entry).await, "entry {entry}");
            assert_eq!(system.version(entry).await, version, "entry {entry}");
        }
        load.wait_for_responses(50).await;

        system.start_entry().await;
        system.wait_until_ready(3).await;
        assert_eq!(system.version(3).await, version, "ready before it had the newest version");
        let newcomer = system.load(&[3], 2);
        newcomer.wait_for_responses(50).await;
        newcomer.stop_all_answered().await;
        load.stop_all_answered().await;

        system.set_faults(&json!({})).await;
        let version = system.apply_intent(3, &intent_with_queue(&system, 12)).await;
        system.wait_for_version(&[0, 1, 2, 3], version).await;
    }

    async resumed_entries_never_revert: "a resumed entry that applies an old version" => {
        let system = TestSystem::start("resumed", 2, &[FAST_TARGET]).await;
        let mut version = system.version(2).await;
        for round in 0..3 {
            system.entries[2].process.signal(ChildSignal::STOP);
            let newest = {
                system.apply_intent(0, &intent_with_queue(&system, 100 + round)).await;
                system.apply_intent(1, &intent_with_queue(&system, 200 + round)).await
            };
            system.wait_for_version(&[0, 1], newest).await;
            system.entries[2].process.signal(ChildSignal::CONT);
            while version < newest {
                let next = system.version(2).await;
                assert!(next >= version, "reverted from {version} to {next}");
                version = next;
            }
            let others = [system.version(0).await, system.version(1).await];
            assert_eq!(others, [newest, newest], "the resumed entry reverted other entries");
        }
    }

    async restored_platforms_revert_nothing: "a restored backup that reverts accepted plans" => {
        let mut system = TestSystem::start("restored", 2, &[FAST_TARGET]).await;
        let (backup, _) = stored_intent(&system).await;
        let version = system.apply_intent(0, &intent_with_queue(&system, 11)).await;
        system.wait_for_version(&ALL_ENTRIES, version).await;
        restore_platform(&mut system, &backup).await;
        eventually("entries list the old objects", async || system.calls("list").await >= 6).await;
        for entry in ALL_ENTRIES {
            assert_eq!(system.version(entry).await, version, "entry {entry}");
        }
    }

    async plans_apply_after_a_restore: "new plans that are not applied after a backup is restored" => {
        let mut system = TestSystem::start("after-restore", 2, &[FAST_TARGET]).await;
        let (backup, _) = stored_intent(&system).await;
        for queue in 11..21 {
            system.apply_intent(0, &intent_with_queue(&system, queue)).await;
        }
        let replaced = stored_intent(&system).await.1;
        system.wait_for_version(&ALL_ENTRIES, replaced).await;
        restore_platform(&mut system, &backup).await;
        let version = system.apply_intent(0, &intent_with_queue(&system, 30)).await;
        assert!(version > replaced, "version {version} does not supersede {replaced}");
        system.wait_for_version(&ALL_ENTRIES, version).await;
        eventually("entries list the new objects", async || system.calls("list").await >= 3).await;
        // Another entry must be able to apply a second plan on top of the first.
        let version = system.apply_intent(2, &intent_with_queue(&system, 31)).await;
        system.wait_for_version(&ALL_ENTRIES, version).await;
        for entry in ALL_ENTRIES {
            let current = system.version(entry).await;
            assert_eq!(current, version, "entry {entry} kept the version from before the restore");
        }
    }
}
