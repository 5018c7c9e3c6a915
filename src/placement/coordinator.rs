//! Decides for all entries: admits requests to a service and picks their targets.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::timeout;
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::fleet::{
    FleetSnapshot, ServiceCounters, ServiceSnapshot, TargetCounters, TargetSnapshot,
};
use zinniaport_core::keys::{ServiceKey, TargetKey};
use zinniaport_core::placement::{AttemptEnd, AttemptKind};
use zinniaport_core::policy::{MEAN_SLOWDOWN, RoutingPolicy, TargetChoice, TargetQuery};

use super::prober::TargetProber;
use crate::gate::{AdmissionGates, GateRefusal, SlotGuard};
use crate::state::SharedState;

/// Targets that are probed at the same time for one request.
const PROBED_TOGETHER: usize = 3;

/// Longest time that a request waits for probes. Two rounds between data centres take
/// some 6 ms; a wrong pick costs hundreds.
const PROBING_LIMIT: Duration = Duration::from_millis(12);

/// Age up to which the reported pace of a target holds for a request that begins.
const KNOWN_PACE_AGE: Duration = Duration::from_millis(40);

/// Longest pause between two looks for a target while a request can wait for one.
const LOOK_PERIOD: Duration = Duration::from_millis(5);

/// Share of the usual time of work that is kept in reserve when a request waits for a
/// target that can answer in time.
const RESERVE_SHARE: f32 = 1.3;

/// Share of the retries that all entries may save up which one coordinator saves; a
/// second one may stand in for it.
const COORDINATOR_SHARE: f64 = 0.4;

/// Time after the last question of another entry for which this one saves up retries
/// as a coordinator.
const COORDINATES_FOR: Duration = Duration::from_secs(2);

/// A request to place.
#[derive(Clone, Debug)]
pub struct PlacementCall {
    /// The service.
    pub service: ServiceKey,
    /// What decisions know of the request.
    pub facts: CallFacts,
    /// Which attempt it is.
    pub attempt: AttemptKind,
    /// Targets that it was sent to before.
    pub excluded: Vec<TargetKey>,
    /// Data centre of the entry that sends it.
    pub data_centre: String,
    /// Draw of that entry, by which it keeps to few targets.
    pub affinity: u64,
    /// Share of the time of work that avoiding another data centre is worth.
    pub remote_cost: f32,
}

/// A placed request.
pub struct PlacedCall {
    /// How it was admitted; none if it was admitted before.
    pub trace: Option<AdmissionTrace>,
    /// Its target.
    pub choice: TargetChoice,
    /// The use of that target, given back when dropped.
    pub reservation: TargetReservation,
}

/// A place at a target that counts as taken until it is dropped.
pub struct TargetReservation {
    target: Arc<TargetCounters>,
    service: Arc<ServiceCounters>,
    /// Whether the request took the last slot of the target.
    full: bool,
    /// Time of work that the target had just reported, in percent of the usual; none if
    /// its last report was old.
    pace_percent: Option<u32>,
    _slot: SlotGuard,
}

impl TargetReservation {
    fn new(
        target: &TargetSnapshot,
        service: Arc<ServiceCounters>,
        slot: SlotGuard,
        now: Timestamp,
    ) -> Self {
        let counters = target.counters.clone();
        let before = counters.estimated_requests(now);
        counters.placed.fetch_add(1, Ordering::SeqCst);
        let (pace, age) = counters.slowdown_report(now);
        let pace_percent = (pace > 0 && age <= KNOWN_PACE_AGE).then_some(pace);
        let full = before + 1 >= target.slots;
        Self { target: counters, service, full, pace_percent, _slot: slot }
    }

    /// Learns from how the use of the target ended.
    pub(super) fn record_end(&self, end: AttemptEnd) {
        if let (AttemptEnd::Answered(latency_us), Some(pace)) = (end, self.pace_percent) {
            let latency = Duration::from_micros(latency_us.into());
            if let Some(verdict) = self.service.saturation.record(self.full, latency, pace) {
                log::info!(
                    part_us = verdict.unsaturated_us, full_us = verdict.saturated_us;
                    "full targets are {}", if verdict.slows_down { "slower" } else { "as fast as others" }
                );
            }
        }
    }
}

impl Drop for TargetReservation {
    /// The slot is given back after this, so that whoever takes it sees the room.
    fn drop(&mut self) {
        self.target.placed.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Places requests by what this entry knows.
pub struct Coordinator {
    state: Arc<SharedState>,
    gates: Arc<AdmissionGates>,
    policy: Arc<dyn RoutingPolicy>,
    prober: TargetProber,
    /// Retries that all entries together may save up.
    saved_retries: f64,
    /// When another entry last asked, in microseconds.
    asked_at: AtomicU64,
}

impl Coordinator {
    /// Creates a coordinator. All entries together may save up `saved_retries`.
    pub fn new(
        state: Arc<SharedState>,
        gates: Arc<AdmissionGates>,
        policy: Arc<dyn RoutingPolicy>,
        prober: TargetProber,
        saved_retries: f64,
    ) -> Self {
        Self { state, gates, policy, prober, saved_retries, asked_at: AtomicU64::new(0) }
    }

    /// Notes that another entry asks.
    pub(super) fn record_remote_request(&self) {
        self.asked_at.store(self.state.clock.now().0, Ordering::Relaxed);
    }

    /// Waits until a request may be sent to a target.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted.
    pub async fn place(&self, call: &PlacementCall) -> Result<PlacedCall, GateRefusal> {
        let fleet = self.state.fleet.load_full();
        let Some(service) = fleet.services.get(call.service) else {
            return Err(GateRefusal::with_default_delay(ReasonCode::UnknownService));
        };
        let gate = self.gates.get_or_create(call.service, service);
        let retries = &service.counters.retry_budget;
        let (trace, slot) = match call.attempt {
            AttemptKind::First => {
                let percent = service.intent.retry_percent;
                retries.record_first_attempt(percent, self.max_saved());
                let (trace, slot) = gate.admit(&fleet, service, &call.facts).await?;
                (Some(trace), slot)
            }
            AttemptKind::Retry if retries.try_spend() => {
                (None, gate.admit(&fleet, service, &call.facts).await?.1)
            }
            AttemptKind::Hedge => {
                let slot = gate.take_idle_slot(service).filter(|_| retries.try_spend());
                (None, slot.ok_or_else(|| GateRefusal::with_default_delay(ReasonCode::NoTarget))?)
            }
            AttemptKind::Retry => {
                return Err(GateRefusal::with_default_delay(ReasonCode::NoTarget));
            }
        };
        let choice = self.choose(call).await;
        let choice = choice.ok_or_else(|| GateRefusal::with_default_delay(ReasonCode::NoTarget))?;
        let fleet = self.state.fleet.load();
        let Some(target) = fleet.targets.get(choice.target) else {
            return Err(GateRefusal::with_default_delay(ReasonCode::NoTarget));
        };
        let service = service.counters.clone();
        let reservation = TargetReservation::new(target, service, slot, self.state.clock.now());
        Ok(PlacedCall { trace, choice, reservation })
    }

    /// Gives the retries that this entry may save up for a service: as a coordinator a
    /// fixed share, else its part of what all may.
    fn max_saved(&self) -> u64 {
        let asked = Timestamp(self.asked_at.load(Ordering::Relaxed));
        if asked.0 > 0 && self.state.clock.now().since(asked) < COORDINATES_FOR {
            return (self.saved_retries * COORDINATOR_SHARE) as u64;
        }
        self.state.max_saved_retries.load(Ordering::Relaxed)
    }

    /// Picks a target whose pace is known and that can answer while the answer keeps its
    /// full worth. Probes the most promising ones where that is not known, and waits for
    /// one as long as there is time.
    async fn choose(&self, call: &PlacementCall) -> Option<TargetChoice> {
        let started = self.state.clock.now();
        loop {
            let fleet = self.state.fleet.load_full();
            let service = fleet.services.get(call.service)?;
            if !self.prober.can_probe(service) {
                break;
            }
            let now = self.state.clock.now();
            let choice = self.pick(call, &fleet, &call.excluded, 1.0)?;
            let is_fresh = self.is_fresh(&fleet, choice.target, now);
            let answered = now + Duration::from_micros(choice.expected_us.into());
            if is_fresh && answered <= call.facts.soft_deadline() {
                return Some(choice);
            }
            let news = self.prober.report_arrived.notified();
            let mut news = std::pin::pin!(news);
            news.as_mut().enable();
            let awaited = self.probe_some(call, &fleet, service);
            let usual = service.counters.saturation.nominal_service_time().unwrap_or_default();
            let patience = call.facts.soft_deadline().since(now + usual.mul_f32(RESERVE_SHARE));
            let probing = PROBING_LIMIT.saturating_sub(now.since(started));
            let left = if is_fresh || awaited { patience.max(probing) } else { Duration::ZERO };
            if left.is_zero() {
                break;
            }
            let _ = timeout(left.min(LOOK_PERIOD), news).await;
        }
        let fleet = self.state.fleet.load_full();
        self.pick(call, &fleet, &call.excluded, MEAN_SLOWDOWN)
    }

    fn is_fresh(&self, fleet: &FleetSnapshot, target: TargetKey, now: Timestamp) -> bool {
        let Some(target) = fleet.targets.get(target) else { return false };
        let reported = Timestamp(target.counters.reported_at.load(Ordering::Relaxed));
        now.since(reported) <= self.prober.fresh_age()
    }

    /// Probes the targets that would be picked if they worked at their usual pace.
    /// Returns whether an answer is on its way.
    fn probe_some(
        &self,
        call: &PlacementCall,
        fleet: &FleetSnapshot,
        service: &ServiceSnapshot,
    ) -> bool {
        let mut excluded = call.excluded.clone();
        let mut awaited = false;
        for _ in 0..PROBED_TOGETHER {
            let Some(choice) = self.pick(call, fleet, &excluded, 1.0) else { break };
            excluded.push(choice.target);
            if !self.is_fresh(fleet, choice.target, self.state.clock.now()) {
                awaited |= self.prober.probe(fleet, service, choice.target);
            }
        }
        awaited
    }

    fn pick(
        &self,
        call: &PlacementCall,
        fleet: &FleetSnapshot,
        excluded: &[TargetKey],
        assumed_pace: f32,
    ) -> Option<TargetChoice> {
        let query = TargetQuery {
            fleet,
            service: fleet.services.get(call.service)?,
            data_centre: &call.data_centre,
            affinity: Some(call.affinity),
            assumed_slowdown: assumed_pace,
            members: &fleet.view.members,
            excluded,
            remote_cost: call.remote_cost,
            now: self.state.clock.now(),
        };
        self.policy.pick(&query, &mut rand::rng())
    }
}
