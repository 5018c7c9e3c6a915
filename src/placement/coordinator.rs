//! The coordinator of services: admits the requests of all entries and picks their targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use tokio::time::{sleep, timeout};
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::fleet::{
    FleetSnapshot, ServiceCounters, ServiceSnapshot, TargetCounters, TargetSnapshot,
};
use zinniaport_core::keys::{KindKey, TargetKey};
use zinniaport_core::placement::{AttemptEnd, AttemptKind, PartKey};
use zinniaport_core::policy::{MEAN_SLOWDOWN, RoutingPolicy, TargetChoice, TargetQuery};

use super::prober::TargetProber;
use crate::gate::{AdmissionGates, GateRefusal, SlotGuard};
use crate::state::SharedState;

/// Maximum number of targets that are probed at the same time for one request.
const MAX_PROBED_TARGETS: usize = 3;

/// Maximum time that a request waits for probe responses. Two round trips between data
/// centres take about 6 ms; a wrongly picked target costs hundreds of milliseconds.
const PROBING_TIMEOUT: Duration = Duration::from_millis(12);

/// Maximum age of a slowdown report that is relied on for a request that starts now.
const FRESH_SLOWDOWN_AGE: Duration = Duration::from_millis(40);

/// Maximum time between two attempts to pick a target while a request waits for one.
const PICK_PERIOD: Duration = Duration::from_millis(5);

/// Time before the soft deadline at which a request stops waiting for a suitable target, as a
/// multiple of the nominal service time. It is reserved for the run.
const RESERVED_SERVICE_TIMES: f32 = 1.3;

/// Share of the retry tokens of all entries that one coordinator may accumulate. It is below
/// a half because a second entry may coordinate the same service for a while.
const COORDINATOR_SHARE: f64 = 0.4;

/// Time after the last placement request of another entry for which this entry accumulates
/// retry tokens as a coordinator.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to place.
#[derive(Clone, Debug)]
pub struct PlacementCall {
    /// Service of the request, or the part of it whose targets it may be sent to.
    pub part: PartKey,
    /// Properties of the request that decisions use.
    pub facts: CallFacts,
    /// Whether this is the first attempt, a retry or a hedge.
    pub attempt: AttemptKind,
    /// Targets that the request was sent to before.
    pub excluded: Vec<TargetKey>,
    /// Data centre of the entry that sends it.
    pub data_centre: String,
    /// Hash of that entry, by which its requests prefer the same few targets.
    pub affinity: u64,
    /// Cost of a target in another data centre, as a share of the service time.
    pub remote_cost: f32,
}

/// A placed request.
pub struct PlacedCall {
    /// How the request was admitted, or `None` if it was admitted by an earlier attempt.
    pub trace: Option<AdmissionTrace>,
    /// The picked target.
    pub choice: TargetChoice,
    /// Reservation of the target, released when dropped.
    pub reservation: TargetReservation,
}

/// One request that is counted at its target until the reservation is dropped.
pub struct TargetReservation {
    target: Arc<TargetCounters>,
    service: Arc<ServiceCounters>,
    /// Whether the request took the last free slot of the target.
    fills_target: bool,
    address: SocketAddr,
    /// Whether the target has responded, or its connection has failed.
    is_answered: AtomicBool,
    state: Arc<SharedState>,
    /// Slowdown that the target reported last, in percent of the nominal service time, or
    /// `None` if the report was old.
    slowdown_percent: Option<u32>,
    /// Kind of the request.
    kind: KindKey,
    _slot: SlotGuard,
}

impl TargetReservation {
    /// Reserves a target, or gives the slot back if the target is cold and takes no request now.
    fn new(
        state: Arc<SharedState>,
        target: &TargetSnapshot,
        service: Arc<ServiceCounters>,
        kind: KindKey,
        slot: SlotGuard,
    ) -> Result<Self, SlotGuard> {
        let now = state.clock.now();
        let counters = target.counters.clone();
        let before = counters.estimated_requests(now);
        if !counters.try_record_placement(now) {
            return Err(slot);
        }
        let (slowdown, age) = counters.slowdown_report(now);
        let slowdown_percent = (slowdown > 0 && age <= FRESH_SLOWDOWN_AGE).then_some(slowdown);
        let fills_target = before + 1 >= target.slots;
        let saturation = &service.saturation;
        let (typical, slows) = (saturation.nominal_service_time(), saturation.slows_when_full());
        let limit = state.silence.time_limit(typical, (slowdown, age), slows);
        let is_first = counters.placed.load(Ordering::SeqCst) == 1;
        counters.silence.record_placement(limit, is_first, now);
        Ok(Self {
            target: counters,
            service,
            fills_target,
            kind,
            address: target.address,
            is_answered: AtomicBool::new(false),
            state,
            slowdown_percent,
            _slot: slot,
        })
    }

    /// Records how the attempt ended, and from a response whether full targets are slower.
    pub(super) fn record_end(&self, end: AttemptEnd) {
        if end != AttemptEnd::Unknown {
            self.is_answered.store(true, Ordering::Relaxed);
            self.target.silence.record_answer(self.state.clock.now());
        }
        if let AttemptEnd::Answered(latency_us) = end {
            self.service.kind_work.record(self.kind, Duration::from_micros(latency_us.into()));
        }
        if let (AttemptEnd::Answered(latency_us), Some(slowdown)) = (end, self.slowdown_percent) {
            let latency = Duration::from_micros(latency_us.into());
            if let Some(effect) =
                self.service.saturation.record(self.fills_target, latency, slowdown)
            {
                log::info!(
                    part_us = effect.unsaturated_us, full_us = effect.saturated_us;
                    "targets with all slots busy are {}", if effect.slows_down { "slower" } else { "not slower" }
                );
            }
        }
    }
}

impl Drop for TargetReservation {
    /// Runs before the slot guard is dropped, so that whoever takes the slot next sees that the
    /// target has a free one.
    fn drop(&mut self) {
        let (placed, now) = (self.target.placed.load(Ordering::Relaxed), self.state.clock.now());
        let is_answered = self.is_answered.load(Ordering::Relaxed);
        if !is_answered && self.target.silence.record_end(placed, now) {
            self.state.metrics.placement.silent_targets.increment(1);
            log::info!(target:% = self.address, placed; "target does not respond to requests");
        }
        self.target.placed.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Places requests by the state that this entry knows.
pub struct Coordinator {
    state: Arc<SharedState>,
    gates: Arc<AdmissionGates>,
    policy: Arc<dyn RoutingPolicy>,
    prober: TargetProber,
    /// Maximum number of retry tokens that all entries together accumulate for a service.
    saved_retries: f64,
    /// Time of the last placement request of another entry, in microseconds, or 0.
    last_remote_request_at: AtomicU64,
}

impl Coordinator {
    /// Creates a coordinator. All entries together accumulate at most `saved_retries` retry tokens
    /// for a service.
    pub fn new(
        state: Arc<SharedState>,
        gates: Arc<AdmissionGates>,
        policy: Arc<dyn RoutingPolicy>,
        prober: TargetProber,
        saved_retries: f64,
    ) -> Self {
        Self {
            state,
            gates,
            policy,
            prober,
            saved_retries,
            last_remote_request_at: AtomicU64::new(0),
        }
    }

    /// Records that another entry sent a placement request.
    pub(super) fn record_remote_request(&self) {
        self.last_remote_request_at.store(self.state.clock.now().0, Ordering::Relaxed);
    }

    /// Waits until a request may be sent to a target, and picks the target.
    ///
    /// # Errors
    ///
    /// Returns why the request was not placed.
    pub async fn place(&self, call: &PlacementCall) -> Result<PlacedCall, GateRefusal> {
        let fleet = self.state.fleet.load_full();
        let Some(whole) = fleet.services.get(call.part.service) else {
            return Err(GateRefusal::with_default_delay(ReasonCode::UnknownService));
        };
        let service = whole.part(call.part.part);
        let gate = self.gates.get_or_create(call.part, service);
        let budget = &whole.counters.retry_budget;
        let (trace, mut slot) = match call.attempt {
            AttemptKind::First => {
                let percent = service.intent.retry_percent;
                budget.record_first_attempt(percent, self.max_retry_tokens(whole.parts.len()));
                let admitted = gate.admit(&fleet, service, &call.facts).await;
                let (trace, slot) = self.count(call, admitted)?;
                (Some(trace), slot)
            }
            AttemptKind::Resent => {
                let admitted = gate.admit(&fleet, service, &call.facts).await;
                let (trace, slot) = self.count(call, admitted)?;
                (Some(trace), slot)
            }
            AttemptKind::Retry if budget.try_spend() => {
                let admitted = gate.admit_attempt(&fleet, service, &call.facts, true).await;
                (None, self.count(call, admitted)?.1)
            }
            AttemptKind::Hedge => {
                let slot = gate.take_idle_slot(service).filter(|_| budget.try_spend());
                let slot =
                    slot.ok_or_else(|| GateRefusal::with_default_delay(ReasonCode::NoTarget))?;
                gate.record_hedge(&fleet, service, &call.facts);
                (None, slot)
            }
            AttemptKind::Retry => {
                return Err(GateRefusal::with_default_delay(ReasonCode::NoTarget));
            }
        };
        loop {
            let no_target = || GateRefusal::with_default_delay(ReasonCode::NoTarget);
            let choice = self.choose_target(call).await.ok_or_else(no_target)?;
            let fleet = self.state.fleet.load();
            let target = fleet.targets.get(choice.target).ok_or_else(no_target)?;
            let (state, service) = (self.state.clone(), service.counters.clone());
            match TargetReservation::new(state, target, service, call.facts.kind, slot) {
                Ok(reservation) => return Ok(PlacedCall { trace, choice, reservation }),
                // Another request took the last one that the target takes now. The target is no
                // longer a choice, so this ends.
                Err(unused) => slot = unused,
            }
            self.state.metrics.placement.cold_conflicts.increment(1);
        }
    }

    /// Counts a refused or delayed request in the metrics.
    fn count(
        &self,
        call: &PlacementCall,
        admitted: Result<(AdmissionTrace, SlotGuard), GateRefusal>,
    ) -> Result<(AdmissionTrace, SlotGuard), GateRefusal> {
        let (metrics, rank) = (&self.state.metrics, call.facts.rank);
        match &admitted {
            Ok((trace, _)) if trace.rule == ReasonCode::AdmittedAtOnce => {}
            Ok((trace, _)) => metrics.count_delayed(rank, trace.rule),
            Err(refusal) => metrics.count_refused(rank, refusal.reason),
        }
        admitted
    }

    /// Returns the maximum number of retry tokens that this entry accumulates for a service with
    /// this number of parts: while it coordinates one of them, its part of a fixed share of the
    /// tokens of all entries, else its own part of them.
    fn max_retry_tokens(&self, parts: usize) -> u64 {
        let last_request = Timestamp(self.last_remote_request_at.load(Ordering::Relaxed));
        if last_request.0 > 0 && self.state.clock.now().since(last_request) < COORDINATOR_TIMEOUT {
            return (self.saved_retries * COORDINATOR_SHARE / parts.max(1) as f64) as u64;
        }
        self.state.max_saved_retries.load(Ordering::Relaxed)
    }

    /// Picks a target with a fresh slowdown report that can answer before the soft deadline.
    /// Probes the best candidates that lack a fresh report, and waits for a suitable one
    /// while there is time.
    async fn choose_target(&self, call: &PlacementCall) -> Option<TargetChoice> {
        let started = self.state.clock.now();
        loop {
            let fleet = self.state.fleet.load_full();
            let service = fleet.services.get(call.part.service)?.part(call.part.part);
            if !self.prober.can_probe(service) {
                break;
            }
            let now = self.state.clock.now();
            let choices = self.pick(call, &fleet, MAX_PROBED_TARGETS, 1.0);
            let Some(choice) = choices.first() else {
                if now >= call.facts.soft_deadline() || !has_permit_soon(call, service, now) {
                    return None;
                }
                sleep(PICK_PERIOD).await;
                continue;
            };
            let is_fresh = self.is_fresh(&fleet, choice.target, now);
            let expected_time = Duration::from_micros(choice.expected_us.into());
            let finished = now + expected_time.mul_f32(work_share(service, call.facts.kind));
            if is_fresh && finished <= call.facts.soft_deadline() {
                return Some(*choice);
            }
            let candidates = choices.iter().map(|choice| choice.target);
            let candidates = candidates.filter(|target| !self.is_fresh(&fleet, *target, now));
            let candidates: Vec<_> = candidates.collect();
            // Created before the probes are sent, so that no report is missed.
            let reports = candidates.iter().map(|target| Box::pin(self.prober.report_of(*target)));
            let reports: Vec<_> = reports.collect();
            let mut has_outstanding = false;
            for target in candidates {
                has_outstanding |= self.prober.probe(&fleet, service, target);
            }
            let nominal = service.counters.saturation.nominal_service_time().unwrap_or_default();
            let slack =
                call.facts.soft_deadline().since(now + nominal.mul_f32(RESERVED_SERVICE_TIMES));
            let probing = PROBING_TIMEOUT.saturating_sub(now.since(started));
            let time_left =
                if is_fresh || has_outstanding { slack.max(probing) } else { Duration::ZERO };
            if time_left.is_zero() {
                break;
            }
            let pause = time_left.min(PICK_PERIOD);
            match has_outstanding {
                true => drop(timeout(pause, join_all(reports)).await),
                false => sleep(pause).await,
            }
        }
        let fleet = self.state.fleet.load_full();
        self.pick(call, &fleet, 1, MEAN_SLOWDOWN).first().copied()
    }

    fn is_fresh(&self, fleet: &FleetSnapshot, target: TargetKey, now: Timestamp) -> bool {
        let Some(target) = fleet.targets.get(target) else { return false };
        let reported = Timestamp(target.counters.reported_at.load(Ordering::Relaxed));
        now.since(reported) <= self.prober.fresh_report_age()
    }

    /// Picks up to `count` targets by the policy, the best first. `assumed_slowdown` is the
    /// slowdown of targets without a usable report, as a factor on the nominal service time; 1 is
    /// not slowed.
    fn pick(
        &self,
        call: &PlacementCall,
        fleet: &FleetSnapshot,
        count: usize,
        assumed_slowdown: f32,
    ) -> Vec<TargetChoice> {
        let Some(service) = fleet.services.get(call.part.service) else { return Vec::new() };
        let query = TargetQuery {
            fleet,
            service: service.part(call.part.part),
            data_centre: &call.data_centre,
            affinity: Some(call.affinity),
            assumed_slowdown,
            members: &fleet.view.members,
            excluded: &call.excluded,
            remote_cost: call.remote_cost,
            now: self.state.clock.now(),
        };
        self.state.metrics.placement.count_compared(query.service.table.available.len());
        self.policy.pick_several(&query, count, &mut rand::rng())
    }
}

/// Returns the work of a request of this kind relative to that of most requests of the service,
/// from which the times at targets are estimated; at most 1.
fn work_share(service: &ServiceSnapshot, kind: KindKey) -> f32 {
    let Some(nominal) = service.counters.saturation.nominal_service_time() else { return 1.0 };
    let work = service.counters.kind_work.expected(kind, nominal).mean;
    (work.as_secs_f32() / nominal.as_secs_f32()).min(1.0)
}

/// Returns `true` if a target that the request may use has used up its request limit, and takes
/// the next request before the soft deadline.
fn has_permit_soon(call: &PlacementCall, service: &ServiceSnapshot, now: Timestamp) -> bool {
    let mut targets =
        service.table.available.iter().filter(|target| !call.excluded.contains(&target.key));
    targets.any(|target| {
        let limit = &target.counters.limit;
        limit.is_exhausted(now) && !limit.is_exhausted(call.facts.soft_deadline())
    })
}
