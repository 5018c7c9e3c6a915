//! Cost of probes, counted at the targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{Response, StatusCode};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use zinniaport::exchange::{CallResponse, full_body};
use zinniaport::measuring::{IntentFreshness, MeasuringDriver, MeasuringParts};
use zinniaport::pool::{TargetCall, TargetTransport, TransportError};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport::state::SharedState;
use zinniaport_core::clock::{ClockSource, Timestamp};
use zinniaport_core::controllers::ProbeTrigger;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::ServiceIntent;
use zinniaport_standin::target::StandinTarget;
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

const ENTRIES: u32 = 4;
const COST_MS: f64 = 6.0;
const SLOTS: f64 = 3.0;
const START: Timestamp = Timestamp(1_000_000_000_000);

/// Clock that follows the paused time of the runtime.
struct PausedClock(Instant);

impl ClockSource for PausedClock {
    fn now(&self) -> Timestamp {
        START + self.0.elapsed()
    }
}

/// Targets that record the arrival of probes, which takes up to 900 ms.
#[derive(Default)]
struct CountingTargets {
    arrivals: Mutex<HashMap<SocketAddr, Vec<Instant>>>,
}

impl TargetTransport for CountingTargets {
    fn send(&self, call: TargetCall) -> BoxFuture<'_, Result<CallResponse, TransportError>> {
        Box::pin(async move {
            assert_eq!(call.request.uri().path(), "/probe");
            tokio::time::sleep(Duration::from_millis(rand::random_range(0..900))).await;
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.entry(call.address).or_default().push(Instant::now());
            let mut response = Response::new(full_body("7"));
            response.headers_mut().insert("x-load", 7.into());
            *response.status_mut() = StatusCode::OK;
            Ok(response)
        })
    }
}

/// Confirmation of the intents, renewed by the test.
struct TestFreshness(AtomicU64);

impl IntentFreshness for TestFreshness {
    fn confirmed_at(&self, _now: Timestamp) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }
}

fn intent(percent: f64) -> ServiceIntent {
    let text = format!(
        "{{service: s, team: t, kinds: [], targets: [\
         {{address: '10.0.0.1:80', data_centre: a, slots: {SLOTS}}}, \
         {{address: '10.0.0.2:80', data_centre: a, slots: {SLOTS}}}], \
         measuring: {{budget_percent: {percent}, probe_cost_ms: {COST_MS}, max_entries: {ENTRIES}}}}}"
    );
    serde_norway::from_str(&text).unwrap()
}

/// Several entries that probe the same targets.
struct Deployment {
    targets: Arc<CountingTargets>,
    freshness: Arc<TestFreshness>,
    states: Vec<Arc<SharedState>>,
    clock: Arc<PausedClock>,
    stop: CancellationToken,
}

impl Deployment {
    fn start(percent: f64) -> Self {
        let clock = Arc::new(PausedClock(Instant::now()));
        let freshness = Arc::new(TestFreshness(AtomicU64::new(START.0)));
        let targets = Arc::<CountingTargets>::default();
        let stop = CancellationToken::new();
        let mut states = Vec::new();
        for _ in 0..ENTRIES {
            let state = Arc::new(SharedState::new(clock.clone(), "entry", "a"));
            let mut fleet = FleetSnapshot::default();
            fleet.apply(intent(percent), 1, clock.now());
            state.fleet.store(Arc::new(fleet));
            let parts = MeasuringParts {
                state: state.clone(),
                transport: targets.clone(),
                freshness: freshness.clone(),
                trigger: ProbeTrigger::ForRouting,
            };
            tokio::spawn(MeasuringDriver::new(parts).run(stop.clone()));
            states.push(state);
        }
        Self { targets, freshness, states, clock, stop }
    }

    /// Advances the time while the intents stay confirmed.
    async fn run(&self, seconds: u64) {
        for _ in 0..seconds {
            self.freshness.0.store(self.clock.now().0, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }

    fn probes(&self) -> usize {
        self.targets.arrivals.lock().unwrap().values().map(Vec::len).sum()
    }

    /// Describes a window of 60 s or more in which the probes of a target cost more than its
    /// budget, if there is one.
    fn find_excess(&self, percent: f64) -> Option<String> {
        for arrivals in self.targets.arrivals.lock().unwrap().values() {
            for (first, start) in arrivals.iter().enumerate() {
                for (last, end) in arrivals.iter().enumerate().skip(first) {
                    let window = end.duration_since(*start).max(Duration::from_secs(60));
                    let cost = (last - first + 1) as f64 * COST_MS;
                    let allowed = window.as_secs_f64() * 1e3 * SLOTS * percent / 100.0;
                    if cost > allowed {
                        return Some(format!("{cost} ms of {allowed} ms in {window:?}"));
                    }
                }
            }
        }
        None
    }
}

test_cases! {
    paused probes_stay_within_budget: "entries whose probes together cost more than the budget" => {
        let deployment = Deployment::start(1.0);
        deployment.run(400).await;
        assert_eq!(deployment.find_excess(1.0), None);
        // 1% of the slot time of two targets in 400 s, in milliseconds.
        let allowed = 400.0 * 1e3 * SLOTS * 0.01 * 2.0;
        let spent = deployment.probes() as f64 * COST_MS;
        assert!(spent > 0.5 * allowed, "{spent} ms of {allowed} ms: the budget is not used");
        deployment.stop.cancel();
        let mut reported = 0.0;
        for state in &deployment.states {
            let account = *state.measuring.load().values().next().unwrap();
            assert!(account.spent <= account.allowed, "{account:?}");
            reported += account.spent.as_secs_f64() * 1e3;
        }
        assert!((reported - spent).abs() < 0.05 * spent + 50.0, "{reported} ms reported, {spent} ms spent");
    }

    paused no_budget_sends_no_probe: "probes without a budget" => {
        let deployment = Deployment::start(0.0);
        deployment.run(200).await;
        assert_eq!(deployment.probes(), 0);
    }

    paused unconfirmed_intents_send_no_probe: "probes that continue after the budget can no longer be confirmed" => {
        let deployment = Deployment::start(20.0);
        deployment.run(30).await;
        let confirmed = Instant::now();
        assert!(deployment.probes() > 0);
        tokio::time::sleep(Duration::from_secs(60)).await;
        let arrivals = deployment.targets.arrivals.lock().unwrap();
        let last = arrivals.values().flatten().max().unwrap();
        // Probes are sent for 4 s after a confirmation, take up to 1 s to arrive, and the last
        // confirmation was 1 s old.
        assert!(last.duration_since(confirmed) <= Duration::from_secs(4), "{last:?}");
    }

    async probes_reach_targets: "an entry that does not know the load of targets to which it sends no requests" => {
        let target = StandinTarget::start("127.0.0.1:0".parse().unwrap(), 2).await.unwrap();
        let text = format!(
            "{{name: e, data_centre: a, listen: '127.0.0.1:0', admin_listen: '127.0.0.1:0', \
             routing: {{policy: probe-pool}}, services: [{{service: s, team: t, \
             kinds: [{{name: k, rank: 0, idempotent: true, deadline_ms: 3000}}], \
             targets: [{{address: '{}', data_centre: a, slots: 2}}], \
             measuring: {{budget_percent: 50, probe_cost_ms: 1, max_entries: 1}}}}]}}",
            target.address()
        );
        let settings: EntrySettings = serde_norway::from_str(&text).unwrap();
        let entry = EntryRuntime::start(settings).await.unwrap();
        let mut status = serde_json::Value::Null;
        for _ in 0..1_000 {
            let answer = get(entry.admin_address(), "/v1/status").await.unwrap();
            status = serde_json::from_slice(answer.body()).unwrap();
            if status["services"][0]["targets"][0]["reported_load"].is_u64() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let service = &status["services"][0];
        assert!(service["targets"][0]["reported_load"].is_u64(), "{status}");
        assert!(service["measuring_spent_ms"].as_f64() >= Some(1.0), "{status}");
        assert!(target.counts().probes > 0);
        let metrics = get(entry.admin_address(), "/metrics").await.unwrap();
        let metrics = String::from_utf8_lossy(metrics.body()).into_owned();
        assert!(metrics.contains("zinniaport_measuring_spent_seconds_total{service=\"s\"}"));
        entry.stop().await;
    }
}
