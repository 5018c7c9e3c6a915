//! Placement by a coordinator, with scripted targets and between two entries.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use support::service_intent;
use tokio_util::sync::CancellationToken;
use zinniaport::dialect::{
    DEADLINE_HEADER, DefaultDialect, HeaderDialect, REQUEST_ID_HEADER, ResponseClass,
};
use zinniaport::exchange::{CallResponse, Exchange, empty_body};
use zinniaport::gate::AdmissionGates;
use zinniaport::placement::{
    CallPlacement, CoordinatedPlacement, Coordinator, Placement, PlacementCall, PlacementDriver,
    TargetProber,
};
use zinniaport::pool::{TargetCall, TargetTransport, TransportError};
use zinniaport::signals::SignalsDriver;
use zinniaport::state::SharedState;
use zinniaport::targets::TargetsDriver;
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::SystemClock;
use zinniaport_core::controllers::TargetsMessage;
use zinniaport_core::fleet::{FleetSnapshot, LoadReport};
use zinniaport_core::intent::{MeasuringIntent, ServiceIntent, TargetInstance};
use zinniaport_core::keys::ServiceKey;
use zinniaport_core::placement::AttemptKind;
use zinniaport_core::policy::ShortestWait;
use zinniaport_core::request_limit::LimitStatement;
use zinniaport_testing::test_cases;

const SLOWDOWN_HEADER: HeaderName = HeaderName::from_static("x-slowdown");

/// Targets that answer probes with their slowdown. Those without one never respond.
struct ScriptedTargets {
    slowdowns: HashMap<SocketAddr, u32>,
    probes: AtomicUsize,
}

impl TargetTransport for ScriptedTargets {
    fn send(&self, call: TargetCall) -> BoxFuture<'_, Result<CallResponse, TransportError>> {
        assert_eq!(call.request.uri().path(), "/health");
        self.probes.fetch_add(1, Ordering::SeqCst);
        let slowdown = self.slowdowns.get(&call.address).copied();
        Box::pin(async move {
            let Some(slowdown) = slowdown else { return std::future::pending().await };
            tokio::time::sleep(Duration::from_millis(1)).await;
            let response = http::Response::builder().header(SLOWDOWN_HEADER, slowdown);
            Ok(response.body(empty_body()).unwrap())
        })
    }
}

/// The default headers, and one with the slowdown of a target.
struct SlowdownDialect;

impl HeaderDialect for SlowdownDialect {
    fn request_id_header(&self) -> &HeaderName {
        &REQUEST_ID_HEADER
    }

    fn adds_request_id(&self) -> bool {
        true
    }

    fn deadline_header(&self) -> &HeaderName {
        &DEADLINE_HEADER
    }

    fn insert_instance(&self, headers: &mut HeaderMap, instance: &TargetInstance) {
        DefaultDialect.insert_instance(headers, instance);
    }

    fn parse_load(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let slowdown_percent = headers.get(SLOWDOWN_HEADER)?.to_str().ok()?.parse().ok()?;
        Some(LoadReport { running: 0, waiting: 0, slowdown_percent })
    }

    fn parse_limit(&self, headers: &HeaderMap) -> LimitStatement {
        DefaultDialect.parse_limit(headers)
    }

    fn classify_response(
        &self,
        request_id: Option<&str>,
        response: &CallResponse,
    ) -> ResponseClass {
        DefaultDialect.classify_response(request_id, response)
    }

    fn announces_drain(&self, headers: &HeaderMap) -> bool {
        DefaultDialect.announces_drain(headers)
    }

    fn retry_after(&self, delay: Duration) -> HeaderValue {
        DefaultDialect.retry_after(delay)
    }
}

fn address(target: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, target], 80))
}

/// Returns the intent of a service with one target of three slots for each number.
fn intent(targets: impl Iterator<Item = u8>) -> ServiceIntent {
    let probe_path = Some("/health".to_owned());
    ServiceIntent {
        measuring: MeasuringIntent { probe_path, ..MeasuringIntent::default() },
        retry_percent: 20.0,
        ..service_intent(targets.map(address))
    }
}

/// An entry that knows the service and exchanges signals with its seeds.
struct Entry {
    state: Arc<SharedState>,
    coordinator: Arc<Coordinator>,
    placement: CoordinatedPlacement,
    address: SocketAddr,
    stop: CancellationToken,
}

impl Entry {
    async fn start(targets: &Arc<ScriptedTargets>, cpu_share: f64, seeds: &[SocketAddr]) -> Self {
        let name = format!("entry-{cpu_share}");
        let state = SharedState::new(Arc::new(SystemClock::new()), &name, "valle-a");
        let state = Arc::new(state.with_dialect(Arc::new(SlowdownDialect)));
        state.set_may_coordinate(true);
        let (mut driver, handle) = TargetsDriver::new(state.clone());
        let mut fleet = FleetSnapshot::default();
        let numbers = targets.slowdowns.keys().copied().chain([address(200)]);
        let numbers = numbers.map(|address| match address {
            SocketAddr::V4(address) => address.ip().octets()[3],
            SocketAddr::V6(_) => unreachable!(),
        });
        fleet.apply(intent(numbers), 1, state.clock.now());
        driver.deliver(TargetsMessage::Intents(Arc::new(fleet)));
        let stop = CancellationToken::new();
        tokio::spawn(driver.run(stop.clone()));
        let gates = Arc::new(AdmissionGates::new(state.clock.clone()));
        let prober = TargetProber::new(state.clone(), targets.clone(), 60.0, 100);
        let coordinator =
            Coordinator::new(state.clone(), gates.clone(), Arc::new(ShortestWait), prober, 58.0);
        let coordinator = Arc::new(coordinator);
        let text = format!("{{listen: 127.0.0.1:0, cpu_share: {cpu_share}, seeds: {seeds:?}}}");
        let settings = serde_norway::from_str(&text).unwrap();
        let quarantine = Arc::new(zinniaport::gate::QuarantineGate::new(state.clock.clone()));
        let mut signals =
            SignalsDriver::open(state.clone(), handle.clone(), quarantine, settings).await.unwrap();
        let (address, sender) = (signals.address(), signals.sender());
        let driver =
            PlacementDriver::new(state.clone(), handle, gates, coordinator.clone(), sender);
        signals.set_placement(driver.handle());
        let placement = driver.placement();
        tokio::spawn(signals.run(stop.clone()));
        tokio::spawn(driver.run(stop.clone()));
        let entry = Self { state, coordinator, placement, address, stop };
        while !entry.is_coordinated() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        entry
    }

    fn is_coordinated(&self) -> bool {
        self.state.fleet.load().find("pump-history").unwrap().1.table.is_coordinated
    }

    fn service(&self) -> ServiceKey {
        self.state.fleet.load().find("pump-history").unwrap().0
    }

    fn facts(&self, soft_deadline_ms: u64) -> CallFacts {
        let now = self.state.clock.now();
        CallFacts {
            service: self.service(),
            deadline: now + Duration::from_secs(20),
            soft_deadline: Some(now + Duration::from_millis(soft_deadline_ms)),
            ..CallFacts::default()
        }
    }

    fn call(&self, soft_deadline_ms: u64) -> PlacementCall {
        PlacementCall {
            service: self.service(),
            facts: self.facts(soft_deadline_ms),
            attempt: AttemptKind::First,
            excluded: Vec::new(),
            data_centre: "valle-a".to_owned(),
            affinity: 7,
            remote_cost: 0.05,
        }
    }

    async fn place(&self) -> Placement {
        let fleet = self.state.fleet.load_full();
        let request = http::Request::new(empty_body());
        let mut exchange = Exchange::new("request-1".to_owned(), fleet, request);
        exchange.facts = self.facts(10_000);
        self.placement.place(&exchange).await.expect("a slot is free")
    }

    /// Returns the number of requests that are placed by this entry as the coordinator.
    fn placed(&self) -> u32 {
        let fleet = self.state.fleet.load();
        fleet.targets.values().map(|target| target.counters.placed.load(Ordering::SeqCst)).sum()
    }
}

fn targets(slowdowns: impl IntoIterator<Item = (u8, u32)>) -> Arc<ScriptedTargets> {
    let slowdowns = slowdowns.into_iter().map(|(number, slowdown)| (address(number), slowdown));
    Arc::new(ScriptedTargets { slowdowns: slowdowns.collect(), probes: AtomicUsize::new(0) })
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), waited)
        .await
        .expect("the condition does not become true within 20 s");
}

test_cases! {
    async slowed_targets_are_found_before_use: "a request that takes five times as long because the slowdown of its target was not known" => {
        // Two of six targets are not slowed. Another one, at address 200, answers no probe.
        let targets = targets([(1, 500), (2, 500), (3, 100), (4, 500), (5, 100), (6, 500)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let mut reservations = Vec::new();
        for _ in 0..4 {
            let placed = entry.coordinator.place(&entry.call(5_000)).await.unwrap();
            let target = entry.state.fleet.load().targets[placed.choice.target].address;
            assert!([address(3), address(5)].contains(&target), "{target}");
            reservations.push(placed);
        }
        assert_eq!(entry.placed(), 4);
        drop(reservations);
        assert_eq!(entry.placed(), 0);
    }

    async late_requests_take_slowed_targets: "a slowed target that stays idle although requests past their soft deadline wait" => {
        let targets = targets([(1, 500), (2, 500)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let placed = entry.coordinator.place(&entry.call(1)).await.unwrap();
        let target = entry.state.fleet.load().targets[placed.choice.target].address;
        assert!([address(1), address(2)].contains(&target), "{target}");
    }

    async probes_are_bounded: "a probe rate that grows with the request rate and takes the slots of the targets" => {
        let targets = targets((1..=4).map(|number| (number, 100)));
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let started = std::time::Instant::now();
        for _ in 0..300 {
            drop(entry.coordinator.place(&entry.call(5_000)).await.unwrap());
        }
        // At most 60 per second for each of five targets, and one at the start.
        let allowed = 5.0 * (1.0 + 60.0 * started.elapsed().as_secs_f64());
        let probes = targets.probes.load(Ordering::SeqCst);
        assert!(probes as f64 <= allowed, "{probes} probes, {allowed} allowed");
    }

    async coordinator_places_for_others: "two entries that overload targets because each counts only its own requests" => {
        let targets = targets((1..=4).map(|number| (number, 100)));
        let large = Entry::start(&targets, 4.0, &[]).await;
        let small = Entry::start(&targets, 0.5, &[large.address]).await;
        // Once the small entry knows the large one, it sends its placement requests there.
        let mut first = None;
        wait_until(|| large.state.fleet.load().view.members.len() == 2).await;
        for _ in 0..400 {
            let placement = small.place().await;
            if large.placed() == 1 {
                first = Some(placement);
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let first = first.expect("the small entry sends no placement request to the large one");
        let second = large.place().await;
        assert_eq!((large.placed(), small.placed()), (2, 0));
        drop(first);
        drop(second);
        wait_until(|| large.placed() == 0).await;
        // After the large one has stopped, the small one soon places requests itself.
        large.stop.cancel();
        let placement = small.place().await;
        assert_eq!(placement.choice.unwrap().reason, ReasonCode::ShortestWait);
        assert_eq!(small.placed(), 1);
    }

    async paused_targets_get_no_requests: "a target that asked an entry for no requests and gets them from it through a coordinator" => {
        let targets = targets((1..=3).map(|number| (number, 100)));
        let large = Entry::start(&targets, 4.0, &[]).await;
        let small = Entry::start(&targets, 0.5, &[large.address]).await;
        wait_until(|| large.state.fleet.load().view.members.len() == 2).await;
        let pause = |open: SocketAddr, period: Duration| {
            let fleet = small.state.fleet.load();
            for target in fleet.targets.values().filter(|target| target.address != open) {
                target.counters.record_pause(period, small.state.clock.now());
            }
        };
        pause(address(2), Duration::from_secs(50));
        for _ in 0..30 {
            let target = small.place().await.choice.unwrap().target;
            assert_eq!(small.state.fleet.load().targets[target].address, address(2));
        }
        // Once all targets are paused, requests are refused at once, until the first one opens.
        pause(address(1), Duration::from_secs(20));
        let fleet = small.state.fleet.load_full();
        let mut exchange = Exchange::new("request-1".to_owned(), fleet, http::Request::new(empty_body()));
        exchange.facts = small.facts(10_000);
        let refusal = small.placement.place(&exchange).await.err().expect("all targets are paused");
        assert_eq!(refusal.reason, ReasonCode::NoTarget);
        let (least, most) = (Duration::from_secs(15), Duration::from_secs(30));
        assert!((least..=most).contains(&refusal.retry_after), "{:?}", refusal.retry_after);
    }

    async hedges_need_a_free_slot: "hedges that take slots while first attempts wait" => {
        let targets = targets([(1, 100)]);
        let entry = Entry::start(&targets, 1.0, &[]).await;
        let mut reservations = Vec::new();
        // Each first attempt adds a fifth of a retry to the budget.
        for _ in 0..20 {
            drop(entry.coordinator.place(&entry.call(5_000)).await.unwrap());
        }
        let hedge = || PlacementCall { attempt: AttemptKind::Hedge, ..entry.call(5_000) };
        reservations.push(entry.coordinator.place(&hedge()).await.expect("a slot is free"));
        while entry.placed() < 4 {
            reservations.push(entry.coordinator.place(&entry.call(50)).await.unwrap());
        }
        assert!(entry.coordinator.place(&hedge()).await.is_err(), "a hedge was placed although all slots are taken");
        // A retry waits for a free slot.
        let retry = PlacementCall { attempt: AttemptKind::Retry, ..entry.call(5_000) };
        let retry = entry.coordinator.place(&retry);
        let release = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            reservations.pop();
        };
        let (retry, ()) = tokio::join!(retry, release);
        assert!(retry.is_ok());
    }
}
