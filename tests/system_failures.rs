//! Entries and targets that are killed or stopped under load, as seen by the callers of the
//! remaining entries.

mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::Value;
use system::{CallResult, TestSystem, eventually};
use tokio::net::{TcpListener, TcpStream};
use zinniaport_testing::process::ChildSignal;
use zinniaport_testing::test_cases;

/// Options of a target that queues requests without a free slot.
const QUEUEING_TARGET: &[&str] = &[
    "--behaviour",
    r#"{"service_time":{"shape":"exponential","mean_ms":8.0},"response_bytes":4096}"#,
];

/// Options of a target without a queue, which refuses some requests under load.
const SHEDDING_TARGET: &[&str] = &[
    "--behaviour",
    r#"{"service_time":{"shape":"exponential","mean_ms":8.0},"response_bytes":4096,"queue_length":0}"#,
];

/// Listens at the address of a killed target, closes all connections and counts them.
async fn count_connections(system: &TestSystem, target: usize) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(system.targets[target].address).await.unwrap();
    let count = Arc::<AtomicUsize>::default();
    let counter = count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            drop::<TcpStream>(stream);
        }
    });
    count
}

/// Returns the time of the target's ejection at each entry; `None` unless all have ejected it.
async fn ejected_since(
    system: &TestSystem,
    entries: &[usize],
    target: usize,
) -> Option<Vec<Value>> {
    let mut since = Vec::new();
    for entry in entries {
        let mut status = system.target_status(*entry, target).await;
        (status["state"] == "ejected").then(|| since.push(status["since"].take()))?;
    }
    Some(since)
}

test_cases! {
    async survivors_serve: "a killed entry or target that makes requests at other entries fail" => {
        let targets = [SHEDDING_TARGET, QUEUEING_TARGET, QUEUEING_TARGET];
        let mut system = TestSystem::start("survivors", 2, &targets).await;
        let load_of_killed = system.load(&[2], 4);
        let load = system.load(&[0, 1], 6);
        load.wait_for_responses(100).await;
        eventually("the target runs requests", async || system.runs(2).await.started >= 20).await;
        system.entries[2].process.signal(ChildSignal::KILL);
        system.targets[2].process.signal(ChildSignal::KILL);
        system.targets[2].process.wait().await;
        let connections = count_connections(&system, 2).await;
        load.wait_for_responses(300).await;

        // Each ejection ends after some time and the target is tried again. While all entries have
        // ejected it, no request may go there.
        eventually("the dead target gets no requests", async || {
            let Some(before) = ejected_since(&system, &[0, 1], 2).await else { return false };
            let count = connections.load(Ordering::SeqCst);
            load.wait_for_responses(50).await;
            let same = ejected_since(&system, &[0, 1], 2).await == Some(before);
            same && connections.load(Ordering::SeqCst) == count
        })
        .await;
        let results = load.stop().await;
        let answered = results.iter().filter(|r| matches!(r, CallResult::Answered)).count();
        // Both entries answered at least 100 requests before the kill and 300 after it.
        assert!(answered >= 800, "{answered} of {}", results.len());
        system.assert_outcomes_match_runs(&results, &[0, 1]).await;
        drop(load_of_killed);
    }

    async refusals_are_truthful: "a request that is reported as not run but ran" => {
        let system = TestSystem::start("refusals", 2, &[SHEDDING_TARGET]).await;
        let load = system.load(&[0, 1, 2], 6);
        load.wait_for_responses(100).await;
        let results = load.stop().await;
        let refused = results.iter().filter(|r| matches!(r, CallResult::Refused { .. })).count();
        assert!(refused > 0, "the load was too low for refusals");
        system.assert_outcomes_match_runs(&results, &[0]).await;
    }

    async planned_stop_loses_nothing: "a planned stop of one entry that aborts or loses requests" => {
        // Requests take longer than the balancer's lag, so that some are in flight when the entry
        // closes its listener.
        let slow: &[&str] = &["--service-ms", "900"];
        let mut system = TestSystem::start("planned-stop", 1, &[slow, slow]).await;
        let (load, others) = (system.load(&[2], 2), system.load(&[0, 1], 1));
        load.wait_for_responses(2).await;
        system.entries[2].process.signal(ChildSignal::TERM);
        eventually("the entry is not ready", async || !system.is_ready(2).await).await;
        // The balancer stops sending to an entry that is not ready, with a delay that the setting
        // `balancer_lag_ms` covers.
        load.stop_all_answered().await;
        assert!(system.entries[2].process.wait().await.success());
        others.wait_for_responses(2).await;
        others.stop_all_answered().await;
    }
}
