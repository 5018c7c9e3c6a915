//! Measuring: sends probes to targets within the budget of their service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, MissedTickBehavior, timeout_at};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    MeasuringController, MeasuringEffect, MeasuringMessage, ProbeTrigger, StateController,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::policy::{ProbePolicy, RoutingPolicy};

use crate::pool::{TargetTransport, send_probe};
use crate::propagation::PropagationStatus;
use crate::state::SharedState;
use crate::targets::record_warm_up;

/// Path at which targets answer the probes of this driver. Probes just before a dispatch use
/// the `probe_path` of the intent.
const PROBE_PATH: &str = "/probe";

/// Time between ticks.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Maximum size of a probe response that is read so that its connection can be reused, in
/// bytes.
const MAX_PROBE_BYTES: usize = 4 << 10;

/// Freshness of the intents that this entry uses.
pub trait IntentFreshness: Send + Sync {
    /// Returns the latest time at which no newer intent existed, or 0 if that was never
    /// confirmed.
    fn confirmed_at(&self, now: Timestamp) -> Timestamp;
}

impl IntentFreshness for PropagationStatus {
    fn confirmed_at(&self, _now: Timestamp) -> Timestamp {
        Self::confirmed_at(self)
    }
}

/// Freshness of the intents of an entry without a platform. They come from its settings file,
/// which does not change.
pub struct StaticFreshness;

impl IntentFreshness for StaticFreshness {
    fn confirmed_at(&self, now: Timestamp) -> Timestamp {
        now
    }
}

/// Returns when targets are probed under a routing policy.
pub fn probe_trigger(policy: &dyn RoutingPolicy) -> ProbeTrigger {
    if policy.name() == ProbePolicy::default().name() {
        ProbeTrigger::ForRouting
    } else {
        ProbeTrigger::AfterSilence
    }
}

/// Dependencies of the measuring driver.
pub struct MeasuringParts {
    /// State of the entry.
    pub state: Arc<SharedState>,
    /// Transport that sends the probes.
    pub transport: Arc<dyn TargetTransport>,
    /// Freshness of the intents.
    pub freshness: Arc<dyn IntentFreshness>,
    /// When targets are probed.
    pub trigger: ProbeTrigger,
}

/// Owns the measuring controller and sends its probes.
pub struct MeasuringDriver {
    parts: MeasuringParts,
    controller: MeasuringController,
    fleet: Arc<FleetSnapshot>,
}

impl MeasuringDriver {
    /// Creates a driver with nothing spent.
    pub fn new(parts: MeasuringParts) -> Self {
        let controller = MeasuringController::new(parts.trigger);
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

    /// Passes changes to the controller and sends the probes that it has charged.
    fn tick(&mut self) {
        let now = self.parts.state.clock.now();
        // Read before the fleet, so that an intent which the confirmation covers is in the fleet
        // already, or will be within a tick.
        let confirmed_at = self.parts.freshness.confirmed_at(now);
        let fleet = self.parts.state.fleet.load_full();
        if !Arc::ptr_eq(&fleet, &self.fleet) {
            self.fleet = fleet.clone();
            self.controller.handle(MeasuringMessage::Fleet(fleet.clone()), now);
        }
        for (service, snapshot) in &fleet.services {
            let version = snapshot.version;
            self.controller
                .handle(MeasuringMessage::Confirmed { service, version, sent: confirmed_at }, now);
        }
        for effect in self.controller.handle(MeasuringMessage::Tick, now) {
            self.send(effect);
        }
        self.publish();
    }

    /// Sends a probe that is already charged. A delayed probe is abandoned at the end of its
    /// permit, so that probes never arrive closer together than they were charged.
    fn send(&self, effect: MeasuringEffect) {
        let MeasuringEffect::Probe { service, target, address, permit } = effect;
        let service = self.fleet.services.get(service).map(|snapshot| snapshot.counters.clone());
        let counters = self.fleet.targets.get(target).map(|snapshot| snapshot.counters.clone());
        let (Some(service), Some(counters)) = (service, counters) else { return };
        let (state, transport) = (self.parts.state.clone(), self.parts.transport.clone());
        tokio::spawn(async move {
            let sent = state.clock.now();
            let deadline = Instant::now() + permit.arrive_before.since(sent);
            if sent >= permit.arrive_before {
                return;
            }
            let (transport, dialect) = (transport.as_ref(), state.dialect.as_ref());
            let path = http::Uri::from_static(PROBE_PATH);
            let response = send_probe(transport, dialect, address, path, deadline).await;
            let Some(response) = response else { return };
            if let Some(left) = state.dialect.parse_warm_up(response.headers())
                && let Some(target) = state.fleet.load().targets.get(target)
            {
                record_warm_up(target, left, sent, state.clock.now());
            }
            if let Some(report) = state.dialect.parse_load(response.headers()) {
                let now = state.clock.now();
                counters.record_report(report, now);
                let load = report.running + report.waiting;
                // The probe pool compares targets by the latency of requests. A probe takes less
                // time, so its latency is used only until the first request has completed.
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
