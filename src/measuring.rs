//! Sends probes to targets within the budget of their service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, MissedTickBehavior, timeout_at};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    MeasuringController, MeasuringEffect, MeasuringMessage, ProbeTrigger, StateController,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::policy::{ProbePolicy, RoutingPolicy};

use crate::exchange::empty_body;
use crate::pool::{TargetCall, TargetTransport};
use crate::propagation::PropagationStatus;
use crate::state::SharedState;

/// Path that targets answer probes at.
const PROBE_PATH: &str = "/probe";

/// Time between ticks.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Longest answer to a probe that is read to keep the connection, in bytes.
const MAX_PROBE_BYTES: usize = 4 << 10;

/// Tells how fresh the intents in force are.
pub trait IntentFreshness: Send + Sync {
    /// Gives the time as of which no newer intent existed, 0 for never.
    fn confirmed_at(&self, now: Timestamp) -> Timestamp;
}

impl IntentFreshness for PropagationStatus {
    fn confirmed_at(&self, _now: Timestamp) -> Timestamp {
        Self::confirmed(self)
    }
}

/// Grant of an entry without a platform: its settings file, which nobody changes.
pub struct StaticFreshness;

impl IntentFreshness for StaticFreshness {
    fn confirmed_at(&self, now: Timestamp) -> Timestamp {
        now
    }
}

/// Tells when targets are probed under a routing policy.
pub fn probe_need(policy: &dyn RoutingPolicy) -> ProbeTrigger {
    if policy.name() == ProbePolicy::default().name() {
        ProbeTrigger::ForRouting
    } else {
        ProbeTrigger::AfterSilence
    }
}

/// What the driver needs.
pub struct MeasuringParts {
    /// State of the entry.
    pub state: Arc<SharedState>,
    /// Sends probes.
    pub transport: Arc<dyn TargetTransport>,
    /// Confirms the intents in force.
    pub freshness: Arc<dyn IntentFreshness>,
    /// When targets are probed.
    pub need: ProbeTrigger,
}

/// Owns the measuring controller and sends its probes.
pub struct MeasuringDriver {
    parts: MeasuringParts,
    controller: MeasuringController,
    fleet: Arc<FleetSnapshot>,
}

impl MeasuringDriver {
    /// Creates a driver that has spent nothing.
    pub fn new(parts: MeasuringParts) -> Self {
        let controller = MeasuringController::new(parts.need);
        Self { parts, controller, fleet: Arc::default() }
    }

    /// Sends probes until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Tells the controller what changed and sends the probes that it charged.
    fn tick(&mut self) {
        let now = self.parts.state.clock.now();
        // Read before the fleet: an intent that the confirmation covers is then
        // in the fleet, or on its way there for less than a tick.
        let asked = self.parts.freshness.confirmed_at(now);
        let fleet = self.parts.state.fleet.load_full();
        if !Arc::ptr_eq(&fleet, &self.fleet) {
            self.fleet = fleet.clone();
            self.controller.handle(MeasuringMessage::Fleet(fleet.clone()), now);
        }
        for (service, entry) in &fleet.services {
            let version = entry.version;
            self.controller
                .handle(MeasuringMessage::Confirmed { service, version, sent: asked }, now);
        }
        for effect in self.controller.handle(MeasuringMessage::Tick, now) {
            self.send(effect);
        }
        self.publish();
    }

    /// Sends a probe that is already charged. One that is held up on its way is
    /// given up in time, so that probes never arrive closer than they were charged.
    fn send(&self, effect: MeasuringEffect) {
        let MeasuringEffect::Probe { service, target, address, permit: grant } = effect;
        let service = self.fleet.services.get(service).map(|entry| entry.counters.clone());
        let counters = self.fleet.targets.get(target).map(|entry| entry.counters.clone());
        let (Some(service), Some(counters)) = (service, counters) else { return };
        let (state, transport) = (self.parts.state.clone(), self.parts.transport.clone());
        tokio::spawn(async move {
            let sent = state.clock.now();
            let deadline = Instant::now() + grant.arrive_before.since(sent);
            if sent >= grant.arrive_before {
                return;
            }
            let mut request = Request::new(empty_body());
            *request.uri_mut() = http::Uri::from_static(PROBE_PATH);
            let Ok(response) =
                transport.send(TargetCall { address, request, deadline, check: None }).await
            else {
                return;
            };
            if let Some(report) = state.dialect.parse_load(response.headers()) {
                let now = state.clock.now();
                counters.record_report(report, now);
                let load = report.running + report.waiting;
                // The pool compares targets by the latency of requests; a probe is
                // shorter and stands in only until the first request has ended.
                let latency = match counters.latency_us.load(Ordering::Relaxed) {
                    0 => now.since(sent),
                    average => Duration::from_micros(average),
                };
                service.probes.add(target, load, latency, now);
            }
            let body = Limited::new(response.into_body(), MAX_PROBE_BYTES);
            let _ = timeout_at(deadline, body.collect()).await;
        });
    }

    fn publish(&self) {
        let accounts = self.controller.accounts();
        for (key, account) in accounts {
            if let Some(service) = self.fleet.services.get(key) {
                self.parts.state.metrics.set_measuring(&service.intent.service, account);
            }
        }
        self.parts.state.measuring.store(Arc::new(accounts.clone()));
    }
}
