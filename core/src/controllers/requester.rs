//! Asks: the questions of this entry to the coordinators of services.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::placement::{
    CoordinatorCandidate, EndedPlacement, PlacementId, PlacementMessage, PlacementRequest,
    PlacementResponse, TargetGrant, rank_coordinators,
};
use crate::signals::ServiceTag;

/// Time after which a question without any answer is sent again. A coordinator that
/// probes targets first answers in some 10 ms.
const RESEND_AFTER: Duration = Duration::from_millis(15);

/// Sends of one question without any answer after which its coordinator is passed
/// over. The next one is asked within 45 ms, less than half of the shortest
/// objective.
const MAX_SENDS: u32 = 3;

/// Time between two sends of a question that waits in the queue of its coordinator,
/// which answers each.
const POLL_PERIOD: Duration = Duration::from_millis(60);

/// Time without an answer to such sends after which a coordinator is passed over.
const WAITING_SILENCE: Duration = Duration::from_millis(150);

/// Time for which a coordinator that did not answer is passed over.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// Time between two lists of the granted targets in use, which repair lost messages.
const HELD_PERIOD: Duration = Duration::from_millis(250);

/// What the asks controller is told.
#[derive(Clone, Debug)]
pub enum RequesterMessage {
    /// The entries that may coordinate, this one included.
    Candidates(Vec<CoordinatorCandidate>),
    /// A request needs a target.
    Requested(PlacementId, PlacementRequest),
    /// A request needs its target or its place in the queue no more.
    Ended(EndedPlacement),
    /// Answers of another entry arrived.
    Received(SocketAddr, Vec<(PlacementId, PlacementResponse)>),
    /// Time has passed; due every 10 ms while questions are open.
    Tick,
}

/// What becomes of a question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// The request may be sent to this target.
    Granted(TargetGrant),
    /// The request is not admitted.
    Refused {
        /// The rule that refused.
        reason: ReasonCode,
        /// When another try is worthwhile.
        retry_after: Duration,
    },
    /// This entry decides itself.
    PlaceLocally,
}

/// What the asks controller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequesterEffect {
    /// Send a message to an entry.
    Send(SocketAddr, PlacementMessage),
    /// Tell the request that waits.
    Resolve(PlacementId, PlacementDecision),
    /// A coordinator does not answer and is passed over for a while.
    Suspected(SocketAddr),
}

#[derive(Clone, Copy, Debug)]
enum AskState {
    /// Sent this often without any answer, last at this time.
    Unheard { sends: u32, sent: Timestamp },
    /// In the queue of the coordinator, which last said so at `heard`.
    Waiting { heard: Timestamp, polled: Timestamp },
    /// The target is in use.
    Granted,
}

#[derive(Debug)]
struct OpenAsk {
    ask: PlacementRequest,
    asked: Timestamp,
    coordinator: SocketAddr,
    state: AskState,
}

impl OpenAsk {
    /// Gives the question as of now: what is left of its time.
    fn message(&self, id: PlacementId, now: Timestamp) -> PlacementMessage {
        let passed = now.since(self.asked).as_millis() as u32;
        let ask = PlacementRequest {
            soft_deadline_ms: self.ask.soft_deadline_ms.saturating_sub(passed),
            deadline_ms: self.ask.deadline_ms.saturating_sub(passed),
            ..self.ask.clone()
        };
        PlacementMessage { requests: vec![(id, ask)], ..PlacementMessage::default() }
    }

    fn is_lost(&self, now: Timestamp) -> bool {
        match self.state {
            AskState::Unheard { sends, sent } => {
                sends >= MAX_SENDS && now.since(sent) >= RESEND_AFTER
            }
            AskState::Waiting { heard, .. } => now.since(heard) >= WAITING_SILENCE,
            AskState::Granted => false,
        }
    }
}

/// Owns the open questions of this entry.
#[derive(Debug)]
pub struct RequesterController {
    own: SocketAddr,
    members: Vec<CoordinatorCandidate>,
    /// Coordinators of the services asked for since the members changed.
    ranked: HashMap<ServiceTag, Vec<SocketAddr>>,
    suspects: HashMap<SocketAddr, Timestamp>,
    open: IndexMap<PlacementId, OpenAsk>,
    held_told: Timestamp,
}

impl RequesterController {
    /// Creates a controller of the entry with this address.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            members: Vec::new(),
            ranked: HashMap::new(),
            suspects: HashMap::new(),
            open: IndexMap::new(),
            held_told: Timestamp::default(),
        }
    }

    /// Tells whether ticks are due.
    pub fn has_open_requests(&self) -> bool {
        !self.open.is_empty()
    }

    /// Gives the entry to ask about a service, this one if there is no better.
    pub fn coordinator(&mut self, service: ServiceTag, now: Timestamp) -> SocketAddr {
        let members = &self.members;
        let ranked =
            self.ranked.entry(service).or_insert_with(|| rank_coordinators(service, members));
        let suspects = &self.suspects;
        let trusted =
            |address: &&SocketAddr| suspects.get(*address).is_none_or(|until| *until <= now);
        ranked.iter().find(trusted).copied().unwrap_or(self.own)
    }

    fn ask(
        &mut self,
        id: PlacementId,
        ask: PlacementRequest,
        asked: Timestamp,
        now: Timestamp,
    ) -> RequesterEffect {
        let coordinator = self.coordinator(ask.service, now);
        if coordinator == self.own {
            return RequesterEffect::Resolve(id, PlacementDecision::PlaceLocally);
        }
        let state = AskState::Unheard { sends: 1, sent: now };
        let open = OpenAsk { ask, asked, coordinator, state };
        let message = open.message(id, now);
        self.open.insert(id, open);
        RequesterEffect::Send(coordinator, message)
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        answers: Vec<(PlacementId, PlacementResponse)>,
        now: Timestamp,
    ) -> Vec<RequesterEffect> {
        let mut effects = Vec::new();
        let mut unused = Vec::new();
        for (id, answer) in answers {
            let granted = matches!(answer, PlacementResponse::Granted(_));
            let Some(open) = self.open.get_mut(&id).filter(|open| open.coordinator == from) else {
                // The request is over or was placed elsewhere meanwhile.
                if granted {
                    unused.push(unused_grant(id));
                }
                continue;
            };
            let verdict = match answer {
                PlacementResponse::Waiting => {
                    if !matches!(open.state, AskState::Granted) {
                        open.state = AskState::Waiting { heard: now, polled: now };
                    }
                    continue;
                }
                // A repeated answer.
                PlacementResponse::Granted(_) if matches!(open.state, AskState::Granted) => {
                    continue;
                }
                PlacementResponse::Granted(target) => {
                    open.state = AskState::Granted;
                    PlacementDecision::Granted(target)
                }
                PlacementResponse::Refused { reason, retry_after_ms } => {
                    let retry_after = Duration::from_millis(retry_after_ms.into());
                    PlacementDecision::Refused { reason, retry_after }
                }
                PlacementResponse::UnknownService => PlacementDecision::PlaceLocally,
            };
            if !granted {
                self.open.swap_remove(&id);
            }
            effects.push(RequesterEffect::Resolve(id, verdict));
        }
        if !unused.is_empty() {
            let message = PlacementMessage { ended: unused, ..PlacementMessage::default() };
            effects.push(RequesterEffect::Send(from, message));
        }
        effects
    }

    fn tick(&mut self, now: Timestamp) -> Vec<RequesterEffect> {
        let mut effects = Vec::new();
        let silent = self.open.values().find(|open| open.is_lost(now)).map(|open| open.coordinator);
        if let Some(coordinator) = silent {
            effects.push(RequesterEffect::Suspected(coordinator));
            effects.extend(self.pass_over(coordinator, now));
        }
        for (id, open) in &mut self.open {
            match &mut open.state {
                AskState::Unheard { sends, sent } if now.since(*sent) >= RESEND_AFTER => {
                    *sends += 1;
                    *sent = now;
                }
                AskState::Waiting { polled, .. } if now.since(*polled) >= POLL_PERIOD => {
                    *polled = now;
                }
                _ => continue,
            }
            effects.push(RequesterEffect::Send(open.coordinator, open.message(*id, now)));
        }
        if now.since(self.held_told) >= HELD_PERIOD {
            self.held_told = now;
            effects.extend(self.tell_held());
        }
        effects
    }

    /// Asks others about all that waits for an answer of a coordinator.
    fn pass_over(&mut self, coordinator: SocketAddr, now: Timestamp) -> Vec<RequesterEffect> {
        self.suspects.retain(|_, until| *until > now);
        self.suspects.insert(coordinator, now + SUSPECT_TIME);
        let lost = self.open.extract_if(.., |_, open| {
            open.coordinator == coordinator && !matches!(open.state, AskState::Granted)
        });
        let lost: Vec<_> = lost.collect();
        let mut effects = Vec::new();
        // It may only be slow, and should not keep the places of these requests.
        let ended = lost.iter().map(|(id, _)| unused_grant(*id)).collect();
        let message = PlacementMessage { ended, ..PlacementMessage::default() };
        effects.push(RequesterEffect::Send(coordinator, message));
        effects.extend(lost.into_iter().map(|(id, open)| self.ask(id, open.ask, open.asked, now)));
        effects
    }

    fn tell_held(&self) -> Vec<RequesterEffect> {
        let mut held: IndexMap<SocketAddr, Vec<PlacementId>> = IndexMap::new();
        for (id, open) in &self.open {
            if matches!(open.state, AskState::Granted) {
                held.entry(open.coordinator).or_default().push(*id);
            }
        }
        let message =
            |held| PlacementMessage { held_grants: Some(held), ..PlacementMessage::default() };
        held.into_iter().map(|(to, held)| RequesterEffect::Send(to, message(held))).collect()
    }
}

/// Gives back what may have been granted for a question that needs it no more.
fn unused_grant(id: PlacementId) -> EndedPlacement {
    EndedPlacement { id, end: Default::default(), slowdown_percent: 0, slowdown_age_ms: 0 }
}

impl StateController for RequesterController {
    type Message = RequesterMessage;
    type Effect = RequesterEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            RequesterMessage::Candidates(members) => {
                self.members = members;
                self.ranked.clear();
                Vec::new()
            }
            RequesterMessage::Requested(id, ask) => vec![self.ask(id, ask, now, now)],
            RequesterMessage::Ended(ended) => {
                let Some(open) = self.open.swap_remove(&ended.id) else { return Vec::new() };
                let message = PlacementMessage { ended: vec![ended], ..Default::default() };
                vec![RequesterEffect::Send(open.coordinator, message)]
            }
            RequesterMessage::Received(from, answers) => self.receive(from, answers, now),
            RequesterMessage::Tick => self.tick(now),
        }
    }
}
