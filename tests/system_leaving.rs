//! Targets that leave under load, as seen by the callers of three entries.

mod system;

use std::time::Duration;

use serde_json::json;
use system::{TestSystem, eventually};
use zinniaport_testing::test_cases;

/// Indices of all entries.
const ALL_ENTRIES: [usize; 3] = [0, 1, 2];

/// Options of a target that is slow enough that requests are always in flight.
const SLOW_TARGET: &[&str] = &["--behaviour", SLOW_BEHAVIOUR];
const SLOW_BEHAVIOUR: &str =
    r#"{"service_time":{"shape":"fixed","ms":30.0},"response_bytes":4096}"#;

/// Runs `announce`, which makes target 0 leave or drain, under load. Asserts that the target runs no new
/// request once all entries show `state` and its requests in flight have ended, and that no request
/// is aborted.
async fn assert_leaves_cleanly(system: &TestSystem, state: &str, announce: impl AsyncFnOnce()) {
    let load = system.load(&ALL_ENTRIES, 4);
    eventually("the target runs requests", async || system.runs(0).await.started >= 20).await;
    announce().await;
    system.wait_for_state(&ALL_ENTRIES, 0, state).await;
    for entry in ALL_ENTRIES {
        eventually("requests in flight end", async || {
            system.target_status(entry, 0).await["in_flight"] == 0
        })
        .await;
    }
    let runs = system.runs(0).await;
    load.wait_for_responses(100).await;
    let later = system.runs(0).await;
    assert_eq!(later.started, runs.started, "new requests after all entries knew");
    assert_eq!(later.cancelled, 0, "a request in flight was cancelled");
    load.stop_all_answered().await;
}

test_cases! {
    async leaves_by_intent: "a target that gets requests after an accepted plan removes it" => {
        let system = TestSystem::start("leaves-by-intent", 1, &[SLOW_TARGET; 3]).await;
        assert_leaves_cleanly(&system, "leaving", async || {
            system.apply_intent(0, &system.intent(&[0])).await;
        })
        .await;
    }

    async leaves_by_intent_in_an_outage: "a plan that only one entry applies in an outage" => {
        let system = TestSystem::start("leaves-in-outage", 1, &[SLOW_TARGET; 3]).await;
        assert_leaves_cleanly(&system, "leaving", async || {
            // Once the watch of each entry is silent, the plan can only spread by gossip.
            let watches = system.calls("watch").await;
            system.set_faults(&json!({ "silent_watches": true })).await;
            eventually("watches are silent", async || system.calls("watch").await >= watches + 3)
                .await;
            system.apply_intent(1, &system.intent(&[0])).await;
            system.set_faults(&json!({ "down": true })).await;
        })
        .await;
    }

    async leaves_by_drain_header: "a draining target that gets requests during an outage" => {
        let system = TestSystem::start("leaves-by-drain-header", 1, &[SLOW_TARGET; 3]).await;
        let mut behaviour: serde_json::Value = serde_json::from_str(SLOW_BEHAVIOUR).unwrap();
        behaviour["draining"] = json!(true);
        assert_leaves_cleanly(&system, "draining", async || {
            system.set_faults(&json!({ "down": true })).await;
            system.set_behaviour(0, &behaviour).await;
        })
        .await;
    }

    async leaves_by_drain_header_on_refusals: "a drain header that is ignored on refusals" => {
        // Without slots and queue the target refuses every request.
        let refusing = ["--slots", "0", "--behaviour", r#"{"queue_length":0,"draining":true}"#];
        let targets: [&[&str]; 3] = [&refusing, SLOW_TARGET, SLOW_TARGET];
        let system = TestSystem::start("leaves-refusing", 1, &targets).await;
        let load = system.load(&ALL_ENTRIES, 4);
        system.wait_for_state(&ALL_ENTRIES, 0, "draining").await;
        let shed = async || system.runs(0).await.shed;
        eventually("requests in flight end", async || {
            let before = shed().await;
            load.wait_for_responses(5).await;
            shed().await == before
        })
        .await;
        let before = shed().await;
        load.wait_for_responses(100).await;
        assert_eq!(shed().await, before, "new requests after all entries knew");
        // Retries have a budget, so some refusals reach callers before all entries know.
        system.assert_outcomes_match_runs(&load.stop().await, &ALL_ENTRIES).await;
    }

    async leaves_by_the_vm_list: "a target that gets requests after its VM is listed as leaving" => {
        let mut system = TestSystem::start("leaves-by-list", 1, &[SLOW_TARGET; 3]).await;
        // Three entries poll the list; the fourth learns of changes from them.
        system.start_entry().await;
        system.wait_until_ready(3).await;
        // Holds once the number of watches has been 3 for 400 ms.
        eventually("three of four entries watch the platform", async || {
            for _ in 0..20 {
                tokio::time::sleep(Duration::from_millis(20)).await;
                if system.counts().await["waiting_watches"] != 3 {
                    return false;
                }
            }
            true
        })
        .await;
        assert_leaves_cleanly(&system, "leaving", async || {
            let vm = |last: u8, state| {
                let address = format!("127.0.1.{last}");
                json!({ "name": address, "address": address, "data_centre": "valle-a", "state": state })
            };
            let list = json!([vm(1, "leaving"), vm(2, "live"), vm(3, "live")]);
            system::put(system.platform.address, "/vms", &list).await;
        })
        .await;
        system.wait_for_state(&[3], 0, "leaving").await;
    }
}
