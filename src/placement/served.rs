//! The part of the placement driver that decides on placement requests of other entries.

use std::sync::PoisonError;
use std::time::Duration;

use futures::FutureExt;
use tokio_util::task::AbortOnDropHandle;
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::controllers::{
    GrantKey, GrantsEffect, GrantsMessage, RequesterMessage, StateController, TargetsMessage,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::keys::{CallerKey, TargetKey, TenantKey};
use zinniaport_core::placement::{
    AttemptEnd, EndedPlacement, PlacementMessage, PlacementRequest, PlacementResponse, TargetGrant,
};
use zinniaport_core::request_limit::AgedStatement;
use zinniaport_core::signals::TargetTag;

use super::coordinator::{PlacedCall, PlacementCall, TargetReservation};
use super::driver::{PlacementDriver, affinity_of};
use super::handle::{PlacementEvent, ReceivedMessage};
use crate::gate::GateRefusal;
use crate::signals::SignalDatagram;
use crate::targets::record_limit;

/// Messages that are handled before a decision is made.
const MESSAGES_PER_TURN: usize = 64;

/// Decisions that are made before further messages are handled.
const DECISIONS_PER_TURN: usize = 4;

/// Maximum time for which a target that refused a request while it had free slots counts as
/// shedding load. With a longer time, a service whose targets refuse half of all requests
/// would have no free slot.
const MAX_RANDOM_SHEDDING: Duration = Duration::from_millis(5);

/// A placement request of another entry that this entry decides on or has granted.
pub(super) enum ServedRequest {
    Deciding { _task: AbortOnDropHandle<()> },
    Granted { target: TargetKey, reservation: TargetReservation },
}

impl PlacementDriver {
    /// Handles a message and others that have arrived. Only decisions wait, so that responses and
    /// ends of placements are not delayed by them.
    pub(super) fn receive_all(&mut self, first: ReceivedMessage) {
        self.receive(first);
        for _ in 1..MESSAGES_PER_TURN {
            let Ok(message) = self.messages.try_recv() else { return };
            self.receive(message);
        }
    }

    fn receive(&mut self, message: ReceivedMessage) {
        let ReceivedMessage { from, mut message, received } = message;
        self.record_event(received);
        let responses = std::mem::take(&mut message.responses);
        if !responses.is_empty() {
            self.step_requester(RequesterMessage::Received(from, responses));
        }
        if message != PlacementMessage::default() {
            self.received = received;
            self.step_grants(GrantsMessage::Received(from, message));
        }
    }

    /// Decides on the next few requests of other entries and turns away those that have waited
    /// for too long.
    pub(super) fn decide_next(&mut self) {
        for _ in 0..DECISIONS_PER_TURN {
            let now = self.state.clock.now();
            while let Some(key) = self.intake.take_expired(now) {
                self.turn_away(key);
            }
            let Some((key, request)) = self.intake.take_next(now) else { return };
            self.start_placement(key, request);
        }
    }

    fn turn_away(&mut self, key: GrantKey) {
        self.state.metrics.placement.turned_away.increment(1);
        self.load.summary_mut().turned_away += 1;
        self.step_grants(GrantsMessage::Decided(key, PlacementResponse::Busy));
    }

    pub(super) fn step_grants(&mut self, message: GrantsMessage) {
        for effect in self.grants.handle(message, self.state.clock.now()) {
            match effect {
                GrantsEffect::Place(key, request) => {
                    let displaced = self.intake.push(key, request, self.received);
                    displaced.into_iter().for_each(|key| self.turn_away(key));
                }
                GrantsEffect::Release(key) => {
                    if self.served.remove(&key).is_none() {
                        self.intake.remove(key);
                    }
                }
                GrantsEffect::Ended(key, ended) => self.handle_ended(key, ended),
                GrantsEffect::Send(to, message) => {
                    self.sender.send(&SignalDatagram::Placement(message), &[to]);
                }
            }
        }
    }

    /// Decides on a placement request of another entry, in a task if that takes time.
    fn start_placement(&mut self, key: GrantKey, request: PlacementRequest) {
        self.coordinator.record_remote_request();
        let fleet = self.state.fleet.load_full();
        let table = self.tags.table_for(&fleet);
        let Some(part) = table.part(request.service) else {
            return self.step_grants(GrantsMessage::Decided(key, PlacementResponse::NotPlaced));
        };
        let now = self.state.clock.now();
        let tag = table.tag_of_part(part).unwrap_or(request.service);
        self.served_entries.record(tag, key.peer, now);
        let tenant = fleet.tenants.as_ref().and_then(|tenants| tenants.key_of(request.tenant));
        let tenant = tenant.unwrap_or_default();
        let facts = CallFacts {
            service: part.service,
            caller: self.caller_of(&fleet, tenant),
            tenant,
            kind: table.kind(part.service, request.kind),
            rank: request.rank,
            arrived: now,
            deadline: now + Duration::from_millis(request.deadline_ms.into()),
            soft_deadline: Some(now + Duration::from_millis(request.soft_deadline_ms.into())),
            ..CallFacts::default()
        };
        let call = PlacementCall {
            part,
            facts,
            attempt: request.attempt,
            excluded: request.excluded.iter().filter_map(|tag| table.target(*tag)).collect(),
            data_centre: request.data_centre,
            affinity: affinity_of(key.peer),
            remote_cost: f32::from(request.remote_cost_percent) / 100.0,
        };
        let (coordinator, handle) = (self.coordinator.clone(), self.handle.clone());
        let mut decision = Box::pin(async move { coordinator.place(&call).await });
        if let Some(decision) = (&mut decision).now_or_never() {
            return self.finish_decision(key, decision);
        }
        let task = tokio::spawn(async move {
            handle.send_event(PlacementEvent::Decided(key, decision.await));
        });
        let task = AbortOnDropHandle::new(task);
        self.served.insert(key, ServedRequest::Deciding { _task: task });
    }

    /// Returns the caller key of a tenant, as for its requests that this entry receives.
    fn caller_of(&self, fleet: &FleetSnapshot, tenant: TenantKey) -> CallerKey {
        let Some(tenant) = fleet.tenant(tenant) else { return CallerKey::default() };
        self.state.callers.lock().unwrap_or_else(PoisonError::into_inner).intern(&tenant.name)
    }

    pub(super) fn handle_decision(
        &mut self,
        key: GrantKey,
        decision: Result<PlacedCall, GateRefusal>,
    ) {
        if !self.served.contains_key(&key) {
            self.state.metrics.placement.wasted.increment(1);
            self.load.summary_mut().wasted += 1;
            // The placement ended meanwhile; dropping the decision releases its target.
            return;
        }
        self.finish_decision(key, decision);
    }

    fn finish_decision(&mut self, key: GrantKey, decision: Result<PlacedCall, GateRefusal>) {
        self.state.metrics.placement.decisions.increment(1);
        self.load.summary_mut().decisions += 1;
        let response = match decision {
            Ok(placed) => {
                let fleet = self.state.fleet.load_full();
                match self.tags.table_for(&fleet).tag_of(placed.choice.target) {
                    Some(tag) => {
                        let grant = target_grant(tag, &placed);
                        let target = placed.choice.target;
                        let reservation = placed.reservation;
                        let served = ServedRequest::Granted { target, reservation };
                        self.served.insert(key, served);
                        PlacementResponse::Granted(grant)
                    }
                    None => PlacementResponse::NotPlaced,
                }
            }
            Err(GateRefusal { reason, retry_after }) => {
                let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                PlacementResponse::Refused { reason, retry_after_ms }
            }
        };
        if !matches!(response, PlacementResponse::Granted(_)) {
            self.served.remove(&key);
        }
        self.step_grants(GrantsMessage::Decided(key, response));
    }

    /// Records what another entry reports of the target that it used.
    fn handle_ended(&self, key: GrantKey, ended: EndedPlacement) {
        let Some(ServedRequest::Granted { target, reservation }) = self.served.get(&key) else {
            return;
        };
        reservation.record_end(ended.end);
        let fleet = self.state.fleet.load();
        let Some(snapshot) = fleet.targets.get(*target) else { return };
        let (counters, now) = (&snapshot.counters, self.state.clock.now());
        if ended.slowdown_percent > 0 {
            let age = Duration::from_millis(ended.slowdown_age_ms.into());
            counters.record_slowdown(ended.slowdown_percent.into(), age, now);
        }
        if ended.leaving {
            self.targets.try_send(TargetsMessage::DrainStarted(*target));
        }
        if let Some(AgedStatement { statement, age_ms }) = ended.limit {
            let stated_at = now - Duration::from_millis(age_ms.into());
            record_limit(snapshot, statement, stated_at);
        }
        match ended.end {
            AttemptEnd::Unknown => {}
            AttemptEnd::Answered(latency_us) => {
                counters.record_success(Duration::from_micros(latency_us.into()));
            }
            AttemptEnd::Failed => {
                counters.record_failure();
                self.targets.try_send(TargetsMessage::Failed(*target));
            }
            AttemptEnd::Shed(period_ms) => {
                // A target that refuses while it has free slots refuses at random.
                let full = counters.estimated_requests(now) >= snapshot.slots;
                let period = Duration::from_millis(period_ms.into());
                let period = if full { period } else { period.min(MAX_RANDOM_SHEDDING) };
                counters.record_shedding(period, now);
            }
            AttemptEnd::WrongInstance => {
                self.targets.try_send(TargetsMessage::DrainStarted(*target));
            }
        }
    }
}

fn target_grant(target: TargetTag, placed: &PlacedCall) -> TargetGrant {
    let trace = placed.trace;
    TargetGrant {
        target,
        admission_reason: trace.map_or(ReasonCode::Retried, |trace| trace.rule),
        target_reason: placed.choice.reason,
        admission_number: trace.map_or(0, |trace| trace.admission_number),
        queue_length: trace.map_or(0, |trace| trace.queue_length),
        overtaken: trace.map_or(0, |trace| trace.overtaken),
        candidates: placed.choice.candidates,
    }
}
