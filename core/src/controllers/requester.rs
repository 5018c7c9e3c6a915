//! Sends the placement requests of this entry to the coordinators of services and tracks
//! them until the requests end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::placement::{
    AttemptKind, CoordinatorCandidate, EndedPlacement, PartLocations, PlacementId,
    PlacementMessage, PlacementRequest, PlacementResponse, TargetGrant, rank_coordinators,
};
use crate::signals::ServiceTag;

/// Time without any response after which a placement request is sent again. A coordinator
/// that probes targets first responds within about 10 ms.
const RESEND_AFTER: Duration = Duration::from_millis(15);

/// Sends of one placement request without any response after which its coordinator is
/// suspected. The next coordinator gets the request within 45 ms, less than half of the
/// shortest latency objective.
const MAX_SENDS: u32 = 3;

/// Time between two sends of a placement request that waits in the queue of its
/// coordinator, which responds to each.
const POLL_PERIOD: Duration = Duration::from_millis(60);

/// Time without a response about a queued placement request after which its coordinator is
/// suspected.
const POLL_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a suspected coordinator gets no placement requests.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Time for which a coordinator that turned a request away gets no further ones of this entry.
/// In simulated time a coordinator with three times as many requests as it can decide on makes
/// 81% of its decisions with 50 ms, 63% with 100 ms and 73% with 20 ms.
const BUSY_TIME: Duration = Duration::from_millis(50);

/// Busy coordinators that turn a request away until this entry places it.
const MAX_TURNED_AWAY: u32 = 2;

/// Time between two lists of the grants in use. The lists make up for lost messages about
/// ended grants.
const GRANT_LIST_PERIOD: Duration = Duration::from_millis(250);

/// Messages that the requester controller handles.
#[derive(Clone, Debug)]
pub enum RequesterMessage {
    /// The entries that may coordinate changed; this entry is among them.
    Candidates(Vec<CoordinatorCandidate>),
    /// The data centres of entries or parts changed.
    Locations(PartLocations),
    /// A request needs a target.
    Requested(PlacementId, PlacementRequest),
    /// A request no longer needs its target or its place in the queue.
    Ended(EndedPlacement),
    /// Responses of another entry arrived.
    Received(SocketAddr, Vec<(PlacementId, PlacementResponse)>),
    /// Time passed. Due every 10 ms while placement requests are open.
    Tick,
}

/// Result of a placement request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// The request may be sent to this target.
    Granted(TargetGrant),
    /// The request is not admitted.
    Refused {
        /// The rule that refused.
        reason: ReasonCode,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// This entry admits this kind of attempt and picks the target itself.
    PlaceLocally(AttemptKind),
}

/// Effects that the requester controller requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequesterEffect {
    /// Send a message to an entry.
    Send(SocketAddr, PlacementMessage),
    /// Deliver the decision to the waiting request.
    Resolve(PlacementId, PlacementDecision),
    /// A coordinator does not respond and gets no placement requests for a while.
    Suspected(SocketAddr),
}

#[derive(Clone, Copy, Debug)]
enum OpenState {
    /// Sent `sends` times, last at `sent`, without any response.
    Unconfirmed { sends: u32, sent: Timestamp },
    /// In the queue of the coordinator, whose last response arrived at `last_response`.
    Queued { last_response: Timestamp, last_poll: Timestamp },
    /// The granted target is in use.
    Granted,
}

#[derive(Debug)]
struct OpenRequest {
    request: PlacementRequest,
    requested: Timestamp,
    coordinator: SocketAddr,
    state: OpenState,
    /// Number of busy coordinators that turned it away.
    turned_away: u32,
}

impl OpenRequest {
    /// Builds the message that sends this placement request, with the time that is left at
    /// `now`.
    fn message(&self, id: PlacementId, now: Timestamp) -> PlacementMessage {
        let passed = now.since(self.requested).as_millis() as u32;
        let request = PlacementRequest {
            soft_deadline_ms: self.request.soft_deadline_ms.saturating_sub(passed),
            deadline_ms: self.request.deadline_ms.saturating_sub(passed),
            ..self.request.clone()
        };
        PlacementMessage { requests: vec![(id, request)], ..PlacementMessage::default() }
    }

    fn is_timed_out(&self, now: Timestamp) -> bool {
        match self.state {
            OpenState::Unconfirmed { sends, sent } => {
                sends >= MAX_SENDS && now.since(sent) >= RESEND_AFTER
            }
            OpenState::Queued { last_response, .. } => now.since(last_response) >= POLL_TIMEOUT,
            OpenState::Granted => false,
        }
    }
}

/// Owns the open placement requests of this entry.
#[derive(Debug)]
pub struct RequesterController {
    own_address: SocketAddr,
    candidates: Vec<CoordinatorCandidate>,
    locations: PartLocations,
    /// Ranked coordinators of each service requested since the candidates changed.
    ranked: HashMap<ServiceTag, Vec<SocketAddr>>,
    suspected_until: HashMap<SocketAddr, Timestamp>,
    /// Coordinators that turned a request away, which get no requests for a while.
    busy_until: HashMap<SocketAddr, Timestamp>,
    open: IndexMap<PlacementId, OpenRequest>,
    grants_listed: Timestamp,
}

impl RequesterController {
    /// Creates the controller of the entry with address `own_address`.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            candidates: Vec::new(),
            locations: PartLocations::default(),
            ranked: HashMap::new(),
            suspected_until: HashMap::new(),
            busy_until: HashMap::new(),
            open: IndexMap::new(),
            grants_listed: Timestamp::default(),
        }
    }

    /// Returns `true` if placement requests are open, so that ticks are due.
    pub fn has_open_requests(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns the first coordinator of a service that is neither suspected nor busy, or this
    /// entry if all are.
    pub fn coordinator(&mut self, service: ServiceTag, now: Timestamp) -> SocketAddr {
        let (candidates, locations) = (&self.candidates, &self.locations);
        let ranked = self.ranked.entry(service).or_insert_with(|| {
            let mut ranked = rank_coordinators(service, candidates);
            locations.prefer_home(service, &mut ranked);
            ranked
        });
        let has_passed = |times: &HashMap<SocketAddr, Timestamp>, address: &SocketAddr| {
            times.get(address).is_none_or(|until| *until <= now)
        };
        let is_usable = |address: &&SocketAddr| {
            has_passed(&self.suspected_until, address) && has_passed(&self.busy_until, address)
        };
        ranked.iter().find(is_usable).copied().unwrap_or(self.own_address)
    }

    fn send_request(
        &mut self,
        id: PlacementId,
        request: PlacementRequest,
        requested: Timestamp,
        now: Timestamp,
    ) -> RequesterEffect {
        let coordinator = self.coordinator(request.service, now);
        if coordinator == self.own_address {
            return RequesterEffect::Resolve(id, PlacementDecision::PlaceLocally(request.attempt));
        }
        let state = OpenState::Unconfirmed { sends: 1, sent: now };
        let open = OpenRequest { request, requested, coordinator, state, turned_away: 0 };
        let message = open.message(id, now);
        self.open.insert(id, open);
        RequesterEffect::Send(coordinator, message)
    }

    fn handle_responses(
        &mut self,
        from: SocketAddr,
        responses: Vec<(PlacementId, PlacementResponse)>,
        now: Timestamp,
    ) -> Vec<RequesterEffect> {
        let mut effects = Vec::new();
        let mut unused = Vec::new();
        for (id, response) in responses {
            let granted = matches!(response, PlacementResponse::Granted(_));
            let Some(open) = self.open.get_mut(&id).filter(|open| open.coordinator == from) else {
                // The request has ended or was placed elsewhere in the meantime.
                if granted {
                    unused.push(without_result(id));
                }
                continue;
            };
            let decision = match response {
                PlacementResponse::Busy if matches!(open.state, OpenState::Granted) => continue,
                PlacementResponse::Busy => {
                    effects.extend(self.leave_busy(id, from, now));
                    continue;
                }
                PlacementResponse::Waiting => {
                    if !matches!(open.state, OpenState::Granted) {
                        open.state = OpenState::Queued { last_response: now, last_poll: now };
                    }
                    continue;
                }
                // A repeated response.
                PlacementResponse::Granted(_) if matches!(open.state, OpenState::Granted) => {
                    continue;
                }
                PlacementResponse::Granted(target) => {
                    open.state = OpenState::Granted;
                    PlacementDecision::Granted(target)
                }
                PlacementResponse::Refused { reason, retry_after_ms } => {
                    let retry_after = Duration::from_millis(retry_after_ms.into());
                    PlacementDecision::Refused { reason, retry_after }
                }
                PlacementResponse::NotPlaced => {
                    PlacementDecision::PlaceLocally(open.request.attempt.resent())
                }
            };
            if !granted {
                self.open.swap_remove(&id);
            }
            effects.push(RequesterEffect::Resolve(id, decision));
        }
        if !unused.is_empty() {
            let message = PlacementMessage { ended: unused, ..PlacementMessage::default() };
            effects.push(RequesterEffect::Send(from, message));
        }
        effects
    }

    /// Sends a request that a busy coordinator turned away to the next one, or has it placed by
    /// this entry if several are busy. The busy one has not decided on it, so the attempt is the
    /// same as before.
    fn leave_busy(
        &mut self,
        id: PlacementId,
        busy: SocketAddr,
        now: Timestamp,
    ) -> Option<RequesterEffect> {
        self.busy_until.retain(|_, until| *until > now);
        self.busy_until.insert(busy, now + BUSY_TIME);
        let open = self.open.swap_remove(&id)?;
        let turned_away = open.turned_away + 1;
        if turned_away >= MAX_TURNED_AWAY {
            let decision = PlacementDecision::PlaceLocally(open.request.attempt);
            return Some(RequesterEffect::Resolve(id, decision));
        }
        let effect = self.send_request(id, open.request, open.requested, now);
        if let Some(open) = self.open.get_mut(&id) {
            open.turned_away = turned_away;
        }
        Some(effect)
    }

    fn tick(&mut self, now: Timestamp) -> Vec<RequesterEffect> {
        let mut effects = Vec::new();
        let timed_out =
            self.open.values().find(|open| open.is_timed_out(now)).map(|open| open.coordinator);
        if let Some(coordinator) = timed_out {
            effects.push(RequesterEffect::Suspected(coordinator));
            effects.extend(self.suspect(coordinator, now));
        }
        for (id, open) in &mut self.open {
            match &mut open.state {
                OpenState::Unconfirmed { sends, sent } if now.since(*sent) >= RESEND_AFTER => {
                    *sends += 1;
                    *sent = now;
                }
                OpenState::Queued { last_poll, .. } if now.since(*last_poll) >= POLL_PERIOD => {
                    *last_poll = now;
                }
                _ => continue,
            }
            // The coordinator may have decided on an earlier message.
            open.request.attempt = open.request.attempt.resent();
            effects.push(RequesterEffect::Send(open.coordinator, open.message(*id, now)));
        }
        if now.since(self.grants_listed) >= GRANT_LIST_PERIOD {
            self.grants_listed = now;
            effects.extend(self.list_grants());
        }
        effects
    }

    /// Suspects a coordinator and sends the placement requests that wait for it to others.
    fn suspect(&mut self, coordinator: SocketAddr, now: Timestamp) -> Vec<RequesterEffect> {
        self.suspected_until.retain(|_, until| *until > now);
        self.suspected_until.insert(coordinator, now + SUSPECT_TIME);
        let unserved = self.open.extract_if(.., |_, open| {
            open.coordinator == coordinator && !matches!(open.state, OpenState::Granted)
        });
        let unserved: Vec<_> = unserved.collect();
        let mut effects = Vec::new();
        // The coordinator may only be slow. This frees the queue positions and targets that
        // it still holds for these requests.
        let ended = unserved.iter().map(|(id, _)| without_result(*id)).collect();
        let message = PlacementMessage { ended, ..PlacementMessage::default() };
        effects.push(RequesterEffect::Send(coordinator, message));
        effects.extend(unserved.into_iter().map(|(id, open)| {
            let attempt = open.request.attempt.resent();
            let request = PlacementRequest { attempt, ..open.request };
            self.send_request(id, request, open.requested, now)
        }));
        effects
    }

    fn list_grants(&self) -> Vec<RequesterEffect> {
        let mut held: IndexMap<SocketAddr, Vec<PlacementId>> = IndexMap::new();
        for (id, open) in &self.open {
            if matches!(open.state, OpenState::Granted) {
                held.entry(open.coordinator).or_default().push(*id);
            }
        }
        let message =
            |held| PlacementMessage { held_grants: Some(held), ..PlacementMessage::default() };
        held.into_iter().map(|(to, held)| RequesterEffect::Send(to, message(held))).collect()
    }
}

/// Returns a message part that frees the target granted to a placement request, if any,
/// without a result of its use.
fn without_result(id: PlacementId) -> EndedPlacement {
    EndedPlacement {
        id,
        end: Default::default(),
        slowdown_percent: 0,
        slowdown_age_ms: 0,
        leaving: false,
        limit: None,
    }
}

impl StateController for RequesterController {
    type Message = RequesterMessage;
    type Effect = RequesterEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            RequesterMessage::Candidates(candidates) => {
                self.candidates = candidates;
                self.ranked.clear();
                Vec::new()
            }
            RequesterMessage::Locations(locations) => {
                self.locations = locations;
                self.ranked.clear();
                Vec::new()
            }
            RequesterMessage::Requested(id, request) => {
                vec![self.send_request(id, request, now, now)]
            }
            RequesterMessage::Ended(ended) => {
                let Some(open) = self.open.swap_remove(&ended.id) else { return Vec::new() };
                let message = PlacementMessage { ended: vec![ended], ..Default::default() };
                vec![RequesterEffect::Send(open.coordinator, message)]
            }
            RequesterMessage::Received(from, responses) => {
                self.handle_responses(from, responses, now)
            }
            RequesterMessage::Tick => self.tick(now),
        }
    }
}
