//! Placement by the coordinator of each service, or by this entry if no coordinator responds.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::oneshot;
use tokio::time::timeout;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::PlacementDecision;
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot, TargetCounters, TargetState};
use zinniaport_core::placement::{
    AttemptEnd, AttemptKind, EndedPlacement, PartChooser, PartKey, PlacementId, PlacementRequest,
    TargetGrant,
};
use zinniaport_core::policy::TargetChoice;

use super::coordinator::{Coordinator, PlacementCall, TargetReservation};
use super::exclusions::{excluded_targets, has_usable_target, time_until_open};
use super::handle::PlacementHandle;
use super::tags::TagCache;
use super::{CallPlacement, Placement, PlacementLease};
use crate::exchange::Exchange;
use crate::filters::remote_cost;
use crate::gate::{GateRefusal, add_jitter};
use crate::state::SharedState;

/// Maximum age of what a target reported about its slowdown and its limit, up to which it is
/// passed on to the coordinator, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 500;

/// Time without a decision after which a request is placed in another part of the service, unless
/// requests wait there too. Probes before use take up to 12 ms.
const PRESSED_WAIT: Duration = Duration::from_millis(30);

/// Round trips to another data centre that a request placed there takes: one for its placement and
/// one for the request itself.
const ROUND_TRIPS_ELSEWHERE: u32 = 2;

/// Sends a placement request to the coordinator of the service for each attempt.
pub struct CoordinatedPlacement {
    state: Arc<SharedState>,
    coordinator: Arc<Coordinator>,
    handle: PlacementHandle,
    tags: Arc<TagCache>,
    /// Hash of this entry's address, by which its requests prefer the same few targets. Other
    /// coordinators compute the same value for them.
    affinity: u64,
}

impl CoordinatedPlacement {
    pub(super) fn new(
        state: Arc<SharedState>,
        coordinator: Arc<Coordinator>,
        handle: PlacementHandle,
        tags: Arc<TagCache>,
        affinity: u64,
    ) -> Self {
        Self { state, coordinator, handle, tags, affinity }
    }

    async fn request_placement(
        &self,
        exchange: &Exchange,
        attempt: AttemptKind,
    ) -> Result<Placement, GateRefusal> {
        let fleet = self.state.fleet.load_full();
        let facts = &exchange.facts;
        let Some(service) = fleet.services.get(facts.service) else {
            return Err(GateRefusal::with_default_delay(ReasonCode::UnknownService));
        };
        let now = self.state.clock.now();
        if let Some(retry_after) = time_until_open(service, now) {
            let retry_after = add_jitter(retry_after);
            return Err(GateRefusal { reason: ReasonCode::NoTarget, retry_after });
        }
        let chooser = self.part_chooser(service, exchange);
        let mut index = chooser.first(now, &mut rand::rng());
        let is_divided = !service.part_data_centres.is_empty();
        if is_divided && !has_usable_target(&fleet, service.part(index), exchange, now) {
            index = chooser.next(index, now, &mut rand::rng()).or(index);
        }
        if chooser.is_elsewhere(index) {
            self.state.metrics.placement.sent_elsewhere.increment(1);
        }
        let open = self.open_placement(exchange, attempt, &fleet, index);
        let (mut open, decision) = match attempt.is_first() && service.parts.len() > 1 {
            true => self.decide_in_either(exchange, &fleet, open, &chooser).await,
            false => (open, None),
        };
        let decision = match decision {
            Some(decision) => Some(decision),
            None => open.wait(facts.time_left(self.state.clock.now())).await,
        };
        let OpenPlacement { part, mut lease, .. } = open;
        let Some(decision) = decision else {
            return Err(GateRefusal::with_default_delay(ReasonCode::DeadlineUnreachable));
        };
        match decision {
            PlacementDecision::Refused { reason, retry_after } => {
                service.part(part.part).counters.record_pressure(self.state.clock.now());
                Err(GateRefusal { reason, retry_after })
            }
            PlacementDecision::Granted(grant) => {
                let fleet = self.state.fleet.load_full();
                match self.usable_target(&fleet, grant, exchange) {
                    Some((choice, counters)) => {
                        lease.counters = Some(counters);
                        let trace = attempt.is_first().then(|| self.admission_trace(grant, now));
                        let lease: Box<dyn PlacementLease> = Box::new(lease);
                        Ok(Placement {
                            trace,
                            choice: Some(choice),
                            lease: Some(lease),
                            slot: None,
                        })
                    }
                    // The coordinator does not know yet that the target is leaving, or this
                    // entry does not know the target yet.
                    None => self.place_locally(exchange, attempt.resent(), part).await,
                }
            }
            PlacementDecision::PlaceLocally(attempt) => {
                self.place_locally(exchange, attempt, part).await
            }
        }
    }

    fn part_chooser<'a>(
        &'a self,
        service: &'a ServiceSnapshot,
        exchange: &Exchange,
    ) -> PartChooser<'a> {
        let round_trip_us = self.state.data_centre_round_trip_us.load(Ordering::Relaxed);
        let nominal = service
            .groups()
            .iter()
            .find_map(|part| part.counters.saturation.nominal_service_time());
        let transfer = Duration::from_micros(round_trip_us) * ROUND_TRIPS_ELSEWHERE
            + nominal.unwrap_or_default().mul_f32(remote_cost(exchange));
        let (data_centre, affinity) = (&*self.state.data_centre, self.affinity);
        let soft_left = exchange.facts.soft_deadline().since(self.state.clock.now());
        PartChooser { service, data_centre, affinity, transfer, soft_left }
    }

    /// Waits for the decision on a request in one of the parts of its service. While it waits
    /// there, or if it is refused, places it in another part as soon as no request waits in that
    /// one. Returns the open placement, and the decision if there is one.
    async fn decide_in_either(
        &self,
        exchange: &Exchange,
        fleet: &Arc<FleetSnapshot>,
        mut open: OpenPlacement,
        chooser: &PartChooser<'_>,
    ) -> (OpenPlacement, Option<PlacementDecision>) {
        let facts = &exchange.facts;
        let decision_wait = chooser.decision_wait(PRESSED_WAIT, self.state.clock.now());
        let mut moves = 0;
        loop {
            let time_left = facts.time_left(self.state.clock.now());
            if time_left.is_zero() {
                return (open, None);
            }
            let decision = open.wait(decision_wait.min(time_left)).await;
            if !matches!(decision, None | Some(PlacementDecision::Refused { .. })) {
                return (open, decision);
            }
            let now = self.state.clock.now();
            chooser.service.part(open.part.part).counters.record_pressure(now);
            if let Some(other) = chooser.next(open.part.part, now, &mut rand::rng()) {
                self.state.metrics.placement.moved.increment(1);
                // Dropping the first one gives up its place in the queue.
                open = self.open_placement(exchange, AttemptKind::Resent, fleet, Some(other));
                moves += 1;
                if moves == chooser.max_moves() {
                    return (open, None);
                }
                continue;
            }
            if decision.is_some() {
                return (open, decision);
            }
        }
    }

    /// Sends a placement request to the coordinator of a part.
    fn open_placement(
        &self,
        exchange: &Exchange,
        attempt: AttemptKind,
        fleet: &Arc<FleetSnapshot>,
        index: Option<u16>,
    ) -> OpenPlacement {
        let (facts, now) = (&exchange.facts, self.state.clock.now());
        let part = PartKey { service: facts.service, part: index };
        let service = fleet.services.get(part.service).map(|service| service.part(index));
        let table = self.tags.table_for(fleet);
        let excluded = service
            .map(|service| excluded_targets(fleet, service, exchange, now))
            .unwrap_or_default();
        let request = PlacementRequest {
            service: table.tag_of_part(part).unwrap_or_default(),
            data_centre: self.state.data_centre.to_string(),
            attempt,
            rank: facts.rank,
            soft_deadline_ms: millis(facts.soft_deadline().since(now)),
            deadline_ms: millis(facts.time_left(now)),
            remote_cost_percent: (remote_cost(exchange) * 100.0) as u16,
            excluded: excluded.iter().filter_map(|key| table.tag_of(*key)).collect(),
            tenant: fleet.tenant(facts.tenant).map(|tenant| tenant.tag).unwrap_or_default(),
            kind: table.tag_of_kind(facts.service, facts.kind),
        };
        let (lease, decision) = self.handle.request(request);
        OpenPlacement { part, attempt, lease, decision }
    }

    async fn place_locally(
        &self,
        exchange: &Exchange,
        attempt: AttemptKind,
        part: PartKey,
    ) -> Result<Placement, GateRefusal> {
        self.state.metrics.placement.local.increment(1);
        let fleet = self.state.fleet.load();
        let service = fleet.services.get(part.service).map(|service| service.part(part.part));
        let now = self.state.clock.now();
        let call = PlacementCall {
            part,
            facts: exchange.facts,
            attempt,
            excluded: service
                .map(|service| excluded_targets(&fleet, service, exchange, now))
                .unwrap_or_default(),
            data_centre: self.state.data_centre.to_string(),
            affinity: self.affinity,
            remote_cost: remote_cost(exchange),
        };
        drop(fleet);
        let placed = self.coordinator.place(&call).await?;
        let lease: Box<dyn PlacementLease> =
            Box::new(LocalLease { reservation: placed.reservation });
        Ok(Placement {
            trace: placed.trace,
            choice: Some(placed.choice),
            lease: Some(lease),
            slot: None,
        })
    }

    /// Returns the granted target if this entry may still use it. The ejections that this entry
    /// knows of are ignored, since the coordinator sees the requests of all entries.
    fn usable_target(
        &self,
        fleet: &Arc<FleetSnapshot>,
        grant: TargetGrant,
        exchange: &Exchange,
    ) -> Option<(TargetChoice, Arc<TargetCounters>)> {
        let key = self.tags.table_for(fleet).target(grant.target)?;
        let target = fleet.targets.get(key)?;
        let is_leaving = matches!(target.state, TargetState::Draining | TargetState::Leaving);
        let is_paused = target.counters.pause_left(self.state.clock.now()).is_some();
        if is_leaving || is_paused || exchange.was_sent_to(target) {
            return None;
        }
        let TargetGrant { target_reason: reason, candidates, .. } = grant;
        let choice = TargetChoice { target: key, reason, candidates, expected_us: 0 };
        Some((choice, target.counters.clone()))
    }

    fn admission_trace(&self, grant: TargetGrant, queued: Timestamp) -> AdmissionTrace {
        AdmissionTrace {
            rule: grant.admission_reason,
            queued,
            admitted: self.state.clock.now(),
            admission_number: grant.admission_number,
            queue_length: grant.queue_length,
            overtaken: grant.overtaken,
        }
    }
}

/// A placement request that was sent to a coordinator. Dropping it ends the placement.
struct OpenPlacement {
    part: PartKey,
    attempt: AttemptKind,
    lease: RemoteLease,
    decision: oneshot::Receiver<PlacementDecision>,
}

impl OpenPlacement {
    /// Waits for the decision for at most `limit`. Without a driver that decides, this entry
    /// places the request.
    async fn wait(&mut self, limit: Duration) -> Option<PlacementDecision> {
        let decided = timeout(limit, &mut self.decision).await.ok()?;
        Some(decided.unwrap_or(PlacementDecision::PlaceLocally(self.attempt.resent())))
    }
}

impl CallPlacement for CoordinatedPlacement {
    fn place<'a>(
        &'a self,
        exchange: &'a Exchange,
    ) -> BoxFuture<'a, Result<Placement, GateRefusal>> {
        Box::pin(self.request_placement(exchange, AttemptKind::First))
    }

    fn place_again<'a>(
        &'a self,
        exchange: &'a Exchange,
        attempt: AttemptKind,
    ) -> BoxFuture<'a, Option<Placement>> {
        Box::pin(async move { self.request_placement(exchange, attempt).await.ok() })
    }
}

/// A lease that this entry granted to its own request. The route filter records the outcome
/// of the attempt in the counters of this entry, so only the reservation is informed.
struct LocalLease {
    reservation: TargetReservation,
}

impl PlacementLease for LocalLease {
    fn record_end(&mut self, end: AttemptEnd) {
        self.reservation.record_end(end);
    }

    /// Does nothing: the attempt tells the targets controller of this entry.
    fn record_leaving(&mut self) {}
}

/// An open placement request to a coordinator, or the lease of the granted target. Dropping
/// it ends the placement.
pub(super) struct RemoteLease {
    pub(super) id: PlacementId,
    pub(super) handle: PlacementHandle,
    pub(super) state: Arc<SharedState>,
    /// Counters of the granted target, if one was granted.
    pub(super) counters: Option<Arc<TargetCounters>>,
    pub(super) end: AttemptEnd,
    /// Whether the target announced that it leaves.
    pub(super) leaving: bool,
}

impl PlacementLease for RemoteLease {
    fn record_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }

    fn record_leaving(&mut self) {
        self.leaving = true;
    }
}

impl Drop for RemoteLease {
    fn drop(&mut self) {
        let mut ended = EndedPlacement {
            id: self.id,
            end: self.end,
            slowdown_percent: 0,
            slowdown_age_ms: 0,
            leaving: self.leaving,
            limit: None,
        };
        if let Some(counters) = &self.counters {
            let now = self.state.clock.now();
            ended.limit = counters.limit.statement(Duration::from_millis(MAX_REPORT_AGE_MS), now);
            let (slowdown_percent, age) = counters.slowdown_report(now);
            let age_ms = age.as_millis() as u64;
            if age_ms <= MAX_REPORT_AGE_MS {
                ended.slowdown_percent = u16::try_from(slowdown_percent).unwrap_or(u16::MAX);
                ended.slowdown_age_ms = age_ms as u16;
            }
        }
        self.handle.end(ended);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
