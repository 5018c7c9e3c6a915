//! Entries that place requests by coordinators, with scripted targets.

// Not every test file uses all helpers.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use tokio_util::sync::CancellationToken;
use zinniaport::dialect::{
    DEADLINE_HEADER, DefaultDialect, HeaderDialect, REQUEST_ID_HEADER, ResponseClass,
};
use zinniaport::exchange::{CallResponse, Exchange, empty_body};
use zinniaport::gate::AdmissionGates;
use zinniaport::locations::LocationsDriver;
use zinniaport::placement::{
    CallPlacement, CoordinatedPlacement, Coordinator, Placement, PlacementCall, PlacementDriver,
    TargetProber,
};
use zinniaport::pool::{TargetCall, TargetTransport, TransportError};
use zinniaport::signals::SignalsDriver;
use zinniaport::state::SharedState;
use zinniaport::targets::TargetsDriver;
use zinniaport_core::call::CallFacts;
use zinniaport_core::clock::SystemClock;
use zinniaport_core::controllers::TargetsMessage;
use zinniaport_core::fleet::{FleetSnapshot, LoadReport};
use zinniaport_core::intent::{MeasuringIntent, ServiceIntent, TargetInstance};
use zinniaport_core::keys::ServiceKey;
use zinniaport_core::placement::{AttemptKind, DataCentreParts, PartKey, choose_part};
use zinniaport_core::policy::ShortestWait;
use zinniaport_core::request_limit::LimitStatement;
use zinniaport_core::silence::SilenceRule;

use super::support::service_intent;

const SLOWDOWN_HEADER: HeaderName = HeaderName::from_static("x-slowdown");

/// Hash of the entry that places requests.
const AFFINITY: u64 = 7;

/// Targets that answer probes with their slowdown. Those without one never respond.
pub struct ScriptedTargets {
    pub slowdowns: HashMap<SocketAddr, u32>,
    pub probes: AtomicUsize,
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

    fn parse_warm_up(&self, headers: &HeaderMap) -> Option<Duration> {
        DefaultDialect.parse_warm_up(headers)
    }

    fn classify_response(
        &self,
        request_id: Option<&str>,
        response: &CallResponse,
    ) -> ResponseClass {
        DefaultDialect.classify_response(request_id, response)
    }

    fn status_promises_not_run(&self, status: StatusCode) -> bool {
        DefaultDialect.status_promises_not_run(status)
    }

    fn announces_drain(&self, headers: &HeaderMap) -> bool {
        DefaultDialect.announces_drain(headers)
    }

    fn retry_after(&self, delay: Duration) -> HeaderValue {
        DefaultDialect.retry_after(delay)
    }
}

pub fn address(target: u16) -> SocketAddr {
    let [high, low] = target.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 80))
}

/// Returns the intent of a service with one target of three slots for each number.
fn intent(targets: impl Iterator<Item = u16>) -> ServiceIntent {
    let probe_path = Some("/health".to_owned());
    ServiceIntent {
        measuring: MeasuringIntent { probe_path, ..MeasuringIntent::default() },
        retry_percent: 20.0,
        ..service_intent(targets.map(address))
    }
}

/// Returns `true` if the number of a target is odd.
pub fn is_odd(target: SocketAddr) -> bool {
    matches!(target, SocketAddr::V4(address) if address.ip().octets()[3] % 2 == 1)
}

/// An entry that knows the service and exchanges signals with its seeds.
pub struct Entry {
    pub state: Arc<SharedState>,
    pub coordinator: Arc<Coordinator>,
    pub placement: CoordinatedPlacement,
    pub address: SocketAddr,
    pub stop: CancellationToken,
}

impl Entry {
    pub async fn start(
        targets: &Arc<ScriptedTargets>,
        cpu_share: f64,
        seeds: &[SocketAddr],
    ) -> Self {
        Self::start_in("valle-a", targets, cpu_share, seeds, DataCentreParts::Never).await
    }

    /// Starts an entry without seeds and with a rule for silent targets.
    pub async fn start_with(targets: &Arc<ScriptedTargets>, silence: SilenceRule) -> Self {
        let mode = DataCentreParts::Never;
        Self::start_by("valle-a", targets, 1.0, &[], (mode, silence)).await
    }

    /// Starts an entry of a data centre. Targets with even numbers are in `valle-a`, and the others
    /// too, unless services are divided by data centre, when they are in `valle-b`.
    pub async fn start_in(
        data_centre: &str,
        targets: &Arc<ScriptedTargets>,
        cpu_share: f64,
        seeds: &[SocketAddr],
        mode: DataCentreParts,
    ) -> Self {
        let rules = (mode, SilenceRule::default());
        Self::start_by(data_centre, targets, cpu_share, seeds, rules).await
    }

    async fn start_by(
        data_centre: &str,
        targets: &Arc<ScriptedTargets>,
        cpu_share: f64,
        seeds: &[SocketAddr],
        (mode, silence): (DataCentreParts, SilenceRule),
    ) -> Self {
        let name = format!("entry-{data_centre}-{cpu_share}");
        let state = SharedState::new(Arc::new(SystemClock::new()), &name, data_centre);
        let state = Arc::new(state.with_dialect(Arc::new(SlowdownDialect)).with_silence(silence));
        state.set_may_coordinate(true);
        let (mut driver, handle) = TargetsDriver::new(state.clone());
        let mut fleet = FleetSnapshot::default();
        let numbers = targets.slowdowns.keys().copied().chain([address(200)]);
        let numbers = numbers.map(|address| match address {
            SocketAddr::V4(address) => {
                let [_, _, high, low] = address.ip().octets();
                u16::from_be_bytes([high, low])
            }
            SocketAddr::V6(_) => unreachable!(),
        });
        let mut intent = intent(numbers);
        if mode == DataCentreParts::Always {
            let odd = intent.targets.iter_mut().filter(|target| is_odd(target.address));
            odd.for_each(|target| target.data_centre = "valle-b".to_owned());
        }
        fleet.apply(intent, 1, state.clock.now());
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
            PlacementDriver::new(state.clone(), handle.clone(), gates, coordinator.clone(), sender);
        signals.set_placement(driver.handle());
        let (placement, sender) = (driver.handle(), signals.sender());
        let locations = LocationsDriver::new(state.clone(), handle, placement, sender, mode);
        signals.set_locations(locations.handle());
        tokio::spawn(locations.run(stop.clone()));
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

    /// Returns the service, or the part of it in which this entry places its next request.
    fn part(&self) -> PartKey {
        let (fleet, service) = (self.state.fleet.load(), self.service());
        let now = self.state.clock.now();
        let part = choose_part(&fleet.services[service], AFFINITY, now, &mut rand::rng());
        PartKey { service, part }
    }

    pub fn facts(&self, soft_deadline_ms: u64) -> CallFacts {
        let now = self.state.clock.now();
        CallFacts {
            service: self.service(),
            deadline: now + Duration::from_secs(20),
            soft_deadline: Some(now + Duration::from_millis(soft_deadline_ms)),
            ..CallFacts::default()
        }
    }

    pub fn call(&self, soft_deadline_ms: u64) -> PlacementCall {
        PlacementCall {
            part: self.part(),
            facts: self.facts(soft_deadline_ms),
            attempt: AttemptKind::First,
            excluded: Vec::new(),
            data_centre: "valle-a".to_owned(),
            affinity: AFFINITY,
            remote_cost: 0.05,
        }
    }

    pub async fn place(&self) -> Placement {
        let fleet = self.state.fleet.load_full();
        let request = http::Request::new(empty_body());
        let mut exchange = Exchange::new("request-1".to_owned(), fleet, request);
        exchange.facts = self.facts(10_000);
        self.placement.place(&exchange).await.expect("a slot is free")
    }

    /// Returns the number of requests that are placed by this entry as the coordinator.
    pub fn placed(&self) -> u32 {
        let fleet = self.state.fleet.load();
        fleet.targets.values().map(|target| target.counters.placed.load(Ordering::SeqCst)).sum()
    }
}

pub fn targets(slowdowns: impl IntoIterator<Item = (u16, u32)>) -> Arc<ScriptedTargets> {
    let slowdowns = slowdowns.into_iter().map(|(number, slowdown)| (address(number), slowdown));
    Arc::new(ScriptedTargets { slowdowns: slowdowns.collect(), probes: AtomicUsize::new(0) })
}

pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), waited)
        .await
        .expect("the condition does not become true within 20 s");
}
