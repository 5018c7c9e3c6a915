//! Entries and targets that die under load, as callers of the others see it.

mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::Value;
use system::{CallEnd, TestSystem, eventually};
use tokio::net::{TcpListener, TcpStream};
use zinniaport_testing::process::ChildSignal;
use zinniaport_testing::test_cases;

const WORKING: &[&str] = &[
    "--behaviour",
    r#"{"service_time":{"shape":"exponential","mean_ms":8.0},"response_bytes":4096}"#,
];

/// With a queue of one request a target under load refuses some work.
const SHEDDING: &[&str] = &[
    "--behaviour",
    r#"{"service_time":{"shape":"exponential","mean_ms":8.0},"response_bytes":4096,"queue_length":0}"#,
];

/// Listens in place of a dead target and counts connections, which it closes.
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

/// Gives since when each entry has a target ejected, if all have.
async fn ejections(system: &TestSystem, entries: &[usize], target: usize) -> Option<Vec<Value>> {
    let mut since = Vec::new();
    for entry in entries {
        let mut state = system.target_state(*entry, target).await;
        (state["state"] == "ejected").then(|| since.push(state["since"].take()))?;
    }
    Some(since)
}

test_cases! {
    async survivors_answer: "a killed entry or target whose fault reaches callers of other entries" => {
        let mut system = TestSystem::start("survivors", 2, &[SHEDDING, WORKING, WORKING]).await;
        let dying = system.load(&[2], 4);
        let load = system.load(&[0, 1], 6);
        load.wait_for_answers(100).await;
        eventually("the target works", async || system.runs(2).await.started >= 20).await;
        system.entries[2].process.signal(ChildSignal::KILL);
        system.targets[2].process.signal(ChildSignal::KILL);
        system.targets[2].process.wait().await;
        let dead = count_connections(&system, 2).await;
        load.wait_for_answers(300).await;

        // An ejection ends after some time, so that the target is tried again.
        // While it lasts at all entries no request may go there.
        eventually("the dead target gets no requests", async || {
            let Some(before) = ejections(&system, &[0, 1], 2).await else { return false };
            let count = dead.load(Ordering::SeqCst);
            load.wait_for_answers(50).await;
            let same = ejections(&system, &[0, 1], 2).await == Some(before);
            same && dead.load(Ordering::SeqCst) == count
        })
        .await;
        let ends = load.stop().await;
        let answered = ends.iter().filter(|end| matches!(end, CallEnd::Answered)).count();
        assert!(answered >= 800, "{answered} of {}", ends.len());
        system.assert_truthful(&ends, &[0, 1]).await;
        drop(dying);
    }

    async refusals_are_truthful: "a request reported as not run that a target ran" => {
        let system = TestSystem::start("refusals", 2, &[SHEDDING]).await;
        let load = system.load(&[0, 1, 2], 6);
        load.wait_for_answers(100).await;
        let ends = load.stop().await;
        let refused = ends.iter().filter(|end| matches!(end, CallEnd::Refused { .. })).count();
        assert!(refused > 0, "the load was too low to be refused");
        system.assert_truthful(&ends, &[0]).await;
    }

    async planned_stop_cuts_nothing: "a planned stop of one entry of three that cuts or loses requests" => {
        // Requests take longer than the balancer's lag, so that some are in flight
        // when the listener closes.
        let slow: &[&str] = &["--service-ms", "900"];
        let mut system = TestSystem::start("planned-stop", 1, &[slow, slow]).await;
        let (load, others) = (system.load(&[2], 2), system.load(&[0, 1], 1));
        load.wait_for_answers(2).await;
        system.entries[2].process.signal(ChildSignal::TERM);
        eventually("the entry is not ready", async || !system.is_ready(2).await).await;
        // The balancer follows readiness; the lag of the stop covers it.
        load.stop_whole().await;
        assert!(system.entries[2].process.wait().await.success());
        others.wait_for_answers(2).await;
        others.stop_whole().await;
    }
}
