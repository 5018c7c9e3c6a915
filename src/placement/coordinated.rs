//! Placement by the coordinator of each service, or by this entry when none answers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::timeout;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::PlacementDecision;
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::fleet::{FleetSnapshot, TargetCounters, TargetState};
use zinniaport_core::placement::{
    AttemptEnd, AttemptKind, EndedPlacement, PlacementId, PlacementRequest, TargetGrant,
};
use zinniaport_core::policy::TargetChoice;
use zinniaport_core::signals::ServiceTag;

use super::coordinator::{Coordinator, PlacementCall, TargetReservation};
use super::driver::PlacementHandle;
use super::tags::TagCache;
use super::{CallPlacement, Placement, PlacementLease};
use crate::exchange::Exchange;
use crate::filters::remote_cost;
use crate::gate::GateRefusal;
use crate::state::SharedState;

/// Age from which a report of a target is not passed on, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 500;

/// Asks the coordinator of a service for each request.
pub struct CoordinatedPlacement {
    state: Arc<SharedState>,
    coordinator: Arc<Coordinator>,
    handle: PlacementHandle,
    tags: Arc<TagCache>,
    /// Draw of this entry, the same that other coordinators use for it.
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

    async fn ask(
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
        let table = self.tags.table_for(&fleet);
        let ask = PlacementRequest {
            service: ServiceTag::of(&service.intent.service),
            data_centre: self.state.data_centre.to_string(),
            attempt,
            rank: facts.rank,
            soft_deadline_ms: millis(facts.soft_deadline().since(now)),
            deadline_ms: millis(facts.time_left(now)),
            remote_cost_percent: (remote_cost(exchange) * 100.0) as u16,
            excluded: exchange.targets.iter().filter_map(|key| table.tag_of(*key)).collect(),
        };
        let (mut hold, verdict) = self.handle.request(ask);
        let Ok(Ok(verdict)) = timeout(facts.time_left(now), verdict).await else {
            return Err(GateRefusal::with_default_delay(ReasonCode::DeadlineUnreachable));
        };
        match verdict {
            PlacementDecision::Refused { reason, retry_after } => {
                Err(GateRefusal { reason, retry_after })
            }
            PlacementDecision::Granted(granted) => {
                let fleet = self.state.fleet.load_full();
                match self.usable(&fleet, granted, exchange) {
                    Some((choice, counters)) => {
                        hold.counters = Some(counters);
                        let is_first = attempt == AttemptKind::First;
                        let trace = is_first.then(|| self.trace_of(granted, now));
                        let hold: Box<dyn PlacementLease> = Box::new(hold);
                        Ok(Placement { trace, choice: Some(choice), lease: Some(hold), slot: None })
                    }
                    // The coordinator has not heard yet that the target leaves, or this
                    // entry has not heard of it.
                    None => self.place_here(exchange, attempt).await,
                }
            }
            PlacementDecision::PlaceLocally => self.place_here(exchange, attempt).await,
        }
    }

    async fn place_here(
        &self,
        exchange: &Exchange,
        attempt: AttemptKind,
    ) -> Result<Placement, GateRefusal> {
        let call = PlacementCall {
            service: exchange.facts.service,
            facts: exchange.facts,
            attempt,
            excluded: exchange.targets.clone(),
            data_centre: self.state.data_centre.to_string(),
            affinity: self.affinity,
            remote_cost: remote_cost(exchange),
        };
        let placed = self.coordinator.place(&call).await?;
        let hold: Box<dyn PlacementLease> = Box::new(OwnHold { reservation: placed.reservation });
        Ok(Placement {
            trace: placed.trace,
            choice: Some(placed.choice),
            lease: Some(hold),
            slot: None,
        })
    }

    /// Finds a granted target that this entry may still use. Its own view of ejections
    /// does not count: the coordinator has seen more.
    fn usable(
        &self,
        fleet: &Arc<FleetSnapshot>,
        granted: TargetGrant,
        exchange: &Exchange,
    ) -> Option<(TargetChoice, Arc<TargetCounters>)> {
        let key = self.tags.table_for(fleet).target(granted.target)?;
        let target = fleet.targets.get(key)?;
        let leaves = matches!(target.state, TargetState::Draining | TargetState::Leaving);
        if leaves || exchange.targets.contains(&key) {
            return None;
        }
        let TargetGrant { target_reason: reason, candidates, .. } = granted;
        let choice = TargetChoice { target: key, reason, candidates, expected_us: 0 };
        Some((choice, target.counters.clone()))
    }

    fn trace_of(&self, granted: TargetGrant, queued: Timestamp) -> AdmissionTrace {
        AdmissionTrace {
            rule: granted.admission_reason,
            queued,
            admitted: self.state.clock.now(),
            admission_number: granted.admission_number,
            queue_length: granted.queue_length,
            overtaken: granted.overtaken,
        }
    }
}

impl CallPlacement for CoordinatedPlacement {
    fn place<'a>(
        &'a self,
        exchange: &'a Exchange,
    ) -> BoxFuture<'a, Result<Placement, GateRefusal>> {
        Box::pin(self.ask(exchange, AttemptKind::First))
    }

    fn place_again<'a>(
        &'a self,
        exchange: &'a Exchange,
        attempt: AttemptKind,
    ) -> BoxFuture<'a, Option<Placement>> {
        Box::pin(async move { self.ask(exchange, attempt).await.ok() })
    }
}

/// A place that this entry gave to a request of its own. What the attempt shows of the
/// target is recorded in the counters of this entry in any case.
struct OwnHold {
    reservation: TargetReservation,
}

impl PlacementLease for OwnHold {
    fn record_end(&mut self, end: AttemptEnd) {
        self.reservation.record_end(end);
    }
}

/// An open question to a coordinator, or the use of what it granted; dropping it ends
/// either.
pub(super) struct RemoteLease {
    pub(super) id: PlacementId,
    pub(super) handle: PlacementHandle,
    pub(super) state: Arc<SharedState>,
    /// Counters of the granted target.
    pub(super) counters: Option<Arc<TargetCounters>>,
    pub(super) end: AttemptEnd,
}

impl PlacementLease for RemoteLease {
    fn record_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for RemoteLease {
    fn drop(&mut self) {
        let mut ended =
            EndedPlacement { id: self.id, end: self.end, slowdown_percent: 0, slowdown_age_ms: 0 };
        if let Some(counters) = &self.counters {
            let (pace_percent, age) = counters.slowdown_report(self.state.clock.now());
            let age_ms = age.as_millis() as u64;
            if age_ms <= MAX_REPORT_AGE_MS {
                ended.slowdown_percent = u16::try_from(pace_percent).unwrap_or(u16::MAX);
                ended.slowdown_age_ms = age_ms as u16;
            }
        }
        self.handle.end(ended);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
