//! Tracks the targets that this entry, as a coordinator, granted to other entries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::placement::{
    EndedPlacement, PlacementId, PlacementMessage, PlacementRequest, PlacementResponse, TargetGrant,
};

/// Age from which a grant that its entry does not list as in use is released. A younger
/// grant may be missing because the list was sent before the grant arrived.
const MIN_UNLISTED_AGE: Duration = Duration::from_millis(100);

/// Time without messages after which all grants of an entry are released. An entry with
/// grants sends four lists of those in use in this time.
const PEER_SILENCE: Duration = Duration::from_secs(1);

/// Placement requests of one entry that are kept, so that a faulty entry takes bounded
/// memory.
const MAX_REQUESTS: usize = 4096;

/// Identifies a placement request of another entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GrantKey {
    /// Address of the entry.
    pub peer: SocketAddr,
    /// Identifier of its placement request.
    pub id: PlacementId,
}

/// Messages that the grants controller handles.
#[derive(Clone, Debug)]
pub enum GrantsMessage {
    /// A message of another entry arrived.
    Received(SocketAddr, PlacementMessage),
    /// The admission queue of the service decided on a placement request.
    Decided(GrantKey, PlacementResponse),
    /// Time passed. Due every 100 ms.
    Tick,
}

/// Effects that the grants controller requests from its driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantsEffect {
    /// Admit a request and pick its target.
    Place(GrantKey, PlacementRequest),
    /// Remove a placement request from the queue, or release its target.
    Release(GrantKey),
    /// An entry reported how the use of its target ended. Comes before the release.
    Ended(GrantKey, EndedPlacement),
    /// Send responses to an entry.
    Send(SocketAddr, PlacementMessage),
}

#[derive(Clone, Copy, Debug)]
enum GrantState {
    Waiting,
    Granted { target: TargetGrant, since: Timestamp },
}

#[derive(Debug, Default)]
struct PeerGrants {
    last_message: Timestamp,
    requests: IndexMap<PlacementId, GrantState>,
}

/// Owns the placement requests and grants of each other entry.
#[derive(Debug, Default)]
pub struct GrantsController {
    peers: HashMap<SocketAddr, PeerGrants>,
    /// Placement requests received again since [`Self::take_repeats`] was called last.
    repeats: u32,
}

impl GrantsController {
    /// Returns the number of granted targets in use.
    pub fn granted_count(&self) -> usize {
        let states = self.peers.values().flat_map(|peer| peer.requests.values());
        states.filter(|state| matches!(state, GrantState::Granted { .. })).count()
    }

    /// Returns how many placement requests were received again since the last call.
    pub fn take_repeats(&mut self) -> u32 {
        std::mem::take(&mut self.repeats)
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        message: PlacementMessage,
        now: Timestamp,
    ) -> Vec<GrantsEffect> {
        let mut effects = Vec::new();
        let peer = self.peers.entry(from).or_default();
        peer.last_message = now;
        for ended in message.ended {
            let key = GrantKey { peer: from, id: ended.id };
            if peer.requests.swap_remove(&ended.id).is_some() {
                effects.push(GrantsEffect::Ended(key, ended));
                effects.push(GrantsEffect::Release(key));
            }
        }
        if let Some(held) = message.held_grants {
            let held: HashSet<PlacementId> = held.into_iter().collect();
            let unlisted = peer.requests.extract_if(.., |id, state| match state {
                GrantState::Granted { since, .. } => {
                    !held.contains(id) && now.since(*since) >= MIN_UNLISTED_AGE
                }
                GrantState::Waiting => false,
            });
            effects
                .extend(unlisted.map(|(id, _)| GrantsEffect::Release(GrantKey { peer: from, id })));
        }
        let mut responses = Vec::new();
        for (id, request) in message.requests {
            let state = peer.requests.get(&id);
            self.repeats += u32::from(state.is_some());
            match state {
                Some(GrantState::Waiting) => responses.push((id, PlacementResponse::Waiting)),
                Some(GrantState::Granted { target, .. }) => {
                    responses.push((id, PlacementResponse::Granted(*target)));
                }
                None if peer.requests.len() >= MAX_REQUESTS => {}
                None => {
                    peer.requests.insert(id, GrantState::Waiting);
                    effects.push(GrantsEffect::Place(GrantKey { peer: from, id }, request));
                }
            }
        }
        effects.extend(send_responses(from, responses));
        effects
    }

    fn decide(
        &mut self,
        key: GrantKey,
        decision: PlacementResponse,
        now: Timestamp,
    ) -> Vec<GrantsEffect> {
        let peer = self.peers.get_mut(&key.peer);
        let Some(peer) = peer.filter(|peer| peer.requests.contains_key(&key.id)) else {
            // The placement request ended before the decision.
            return vec![GrantsEffect::Release(key)];
        };
        match &decision {
            PlacementResponse::Granted(target) => {
                peer.requests.insert(key.id, GrantState::Granted { target: *target, since: now });
            }
            PlacementResponse::Waiting => {}
            PlacementResponse::Refused { .. }
            | PlacementResponse::NotPlaced
            | PlacementResponse::Busy => {
                peer.requests.swap_remove(&key.id);
            }
        }
        send_responses(key.peer, vec![(key.id, decision)]).into_iter().collect()
    }

    fn tick(&mut self, now: Timestamp) -> Vec<GrantsEffect> {
        let silent = self.peers.extract_if(|_, peer| now.since(peer.last_message) >= PEER_SILENCE);
        let keys = silent.flat_map(|(address, peer)| {
            let key = move |id| GrantKey { peer: address, id };
            peer.requests.into_keys().map(key).collect::<Vec<_>>()
        });
        keys.map(GrantsEffect::Release).collect()
    }
}

fn send_responses(
    to: SocketAddr,
    responses: Vec<(PlacementId, PlacementResponse)>,
) -> Option<GrantsEffect> {
    let message = PlacementMessage { responses, ..PlacementMessage::default() };
    (!message.responses.is_empty()).then_some(GrantsEffect::Send(to, message))
}

impl StateController for GrantsController {
    type Message = GrantsMessage;
    type Effect = GrantsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            GrantsMessage::Received(from, message) => self.receive(from, message, now),
            GrantsMessage::Decided(key, decision) => self.decide(key, decision, now),
            GrantsMessage::Tick => self.tick(now),
        }
    }
}
