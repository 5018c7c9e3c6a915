//! Targets that leave, as the callers of three entries see it.

mod system;

use std::time::Duration;

use serde_json::json;
use system::{TestSystem, eventually};
use zinniaport_testing::test_cases;

const ALL: [usize; 3] = [0, 1, 2];

/// Slow enough that requests are in flight at each moment.
const SLOW: &[&str] = &["--behaviour", SLOW_JSON];
const SLOW_JSON: &str = r#"{"service_time":{"shape":"fixed","ms":30.0},"response_bytes":4096}"#;

/// Takes a target away under load by `sign`: once `state` shows at all entries and
/// what was in flight has ended, it runs nothing more, and no request is cut.
async fn leaves(system: &TestSystem, state: &str, sign: impl AsyncFnOnce()) {
    let load = system.load(&ALL, 4);
    eventually("the target works", async || system.runs(0).await.started >= 20).await;
    sign().await;
    system.wait_for_state(&ALL, 0, state).await;
    for entry in ALL {
        eventually("requests in flight end", async || {
            system.target_state(entry, 0).await["in_flight"] == 0
        })
        .await;
    }
    let runs = system.runs(0).await;
    load.wait_for_answers(100).await;
    let later = system.runs(0).await;
    assert_eq!(later.started, runs.started, "new work after the signal had spread");
    assert_eq!(later.cancelled, 0, "a request in flight was cut");
    load.stop_whole().await;
}

test_cases! {
    async leaves_by_intent: "a target that an accepted plan takes away and that still gets work" => {
        let system = TestSystem::start("leaves-by-intent", 1, &[SLOW; 3]).await;
        leaves(&system, "leaving", async || {
            system.change(0, &system.intent(&[0])).await;
        })
        .await;
    }

    async leaves_by_intent_in_an_outage: "a plan that was accepted right before an outage and stays at one entry" => {
        let system = TestSystem::start("leaves-in-outage", 1, &[SLOW; 3]).await;
        leaves(&system, "leaving", async || {
            // Once each entry has a silent watch, only messages between entries
            // spread the plan.
            let watches = system.calls("watch").await;
            system.set_faults(&json!({ "silent_watches": true })).await;
            eventually("watches are silent", async || system.calls("watch").await >= watches + 3)
                .await;
            system.change(1, &system.intent(&[0])).await;
            system.set_faults(&json!({ "down": true })).await;
        })
        .await;
    }

    async leaves_by_its_own_sign: "a draining target that gets work while the platform is down" => {
        let system = TestSystem::start("leaves-by-sign", 1, &[SLOW; 3]).await;
        let mut behaviour: serde_json::Value = serde_json::from_str(SLOW_JSON).unwrap();
        behaviour["draining"] = json!(true);
        leaves(&system, "draining", async || {
            system.set_faults(&json!({ "down": true })).await;
            system.set_behaviour(0, &behaviour).await;
        })
        .await;
    }

    async leaves_by_a_sign_on_refusals: "a drain sign that is lost because the target refuses all work" => {
        // Without slots and queue the target refuses each request.
        let refusing = ["--slots", "0", "--behaviour", r#"{"queue_length":0,"draining":true}"#];
        let system = TestSystem::start("leaves-refusing", 1, &[&refusing, SLOW, SLOW]).await;
        let load = system.load(&ALL, 4);
        system.wait_for_state(&ALL, 0, "draining").await;
        let shed = async || system.runs(0).await.shed;
        eventually("requests in flight end", async || {
            let before = shed().await;
            load.wait_for_answers(5).await;
            shed().await == before
        })
        .await;
        let before = shed().await;
        load.wait_for_answers(100).await;
        assert_eq!(shed().await, before, "new work after the signal had spread");
        // Retries have a budget, so some refusals reach callers before the spread.
        system.assert_truthful(&load.stop().await, &ALL).await;
    }

    async leaves_by_the_vm_list: "a target on a VM that the platform takes away and that still gets work" => {
        let mut system = TestSystem::start("leaves-by-list", 1, &[SLOW; 3]).await;
        // Three entries read the list; a fourth learns from them.
        system.start_entry().await;
        system.wait_until_ready(3).await;
        eventually("three of four entries follow the platform", async || {
            for _ in 0..20 {
                tokio::time::sleep(Duration::from_millis(20)).await;
                if system.counts().await["waiting_watches"] != 3 {
                    return false;
                }
            }
            true
        })
        .await;
        leaves(&system, "leaving", async || {
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
