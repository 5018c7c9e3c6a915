//! Grants: what this entry, as a coordinator, has promised to other entries.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::placement::{
    EndedPlacement, PlacementId, PlacementMessage, PlacementRequest, PlacementResponse, TargetGrant,
};

/// Age from which a granted target that its entry does not list as in use is taken
/// back. A list may have been on its way when the grant was made.
const LISTED_AFTER: Duration = Duration::from_millis(100);

/// Silence after which all grants of an entry are taken back, four of its lists.
const PEER_SILENCE: Duration = Duration::from_secs(1);

/// Questions of one entry that are kept, so that a faulty one takes bounded memory.
const MAX_ASKS: usize = 4096;

/// One question of one entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GrantKey {
    /// The entry.
    pub peer: SocketAddr,
    /// Its question.
    pub id: PlacementId,
}

/// What the grants controller is told.
#[derive(Clone, Debug)]
pub enum GrantsMessage {
    /// A message of another entry arrived.
    Received(SocketAddr, PlacementMessage),
    /// The service has decided on a question.
    Decided(GrantKey, PlacementResponse),
    /// Time has passed; due every 100 ms.
    Tick,
}

/// What the grants controller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantsEffect {
    /// Decide on a question.
    Place(GrantKey, PlacementRequest),
    /// Give up the place or the target of a question.
    Release(GrantKey),
    /// An entry says how the use of its target ended; comes before the release.
    Ended(GrantKey, EndedPlacement),
    /// Answer an entry.
    Send(SocketAddr, PlacementMessage),
}

#[derive(Clone, Copy, Debug)]
enum GrantState {
    Waiting,
    Granted { target: TargetGrant, since: Timestamp },
}

#[derive(Debug, Default)]
struct PeerGrants {
    heard: Timestamp,
    asks: IndexMap<PlacementId, GrantState>,
}

/// Owns what was granted to each entry.
#[derive(Debug, Default)]
pub struct GrantsController {
    peers: HashMap<SocketAddr, PeerGrants>,
}

impl GrantsController {
    /// Counts the granted targets in use.
    pub fn granted_count(&self) -> usize {
        let states = self.peers.values().flat_map(|peer| peer.asks.values());
        states.filter(|state| matches!(state, GrantState::Granted { .. })).count()
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        message: PlacementMessage,
        now: Timestamp,
    ) -> Vec<GrantsEffect> {
        let mut effects = Vec::new();
        let peer = self.peers.entry(from).or_default();
        peer.heard = now;
        for ended in message.ended {
            let key = GrantKey { peer: from, id: ended.id };
            if peer.asks.swap_remove(&ended.id).is_some() {
                effects.push(GrantsEffect::Ended(key, ended));
                effects.push(GrantsEffect::Release(key));
            }
        }
        if let Some(held) = message.held_grants {
            let held: HashSet<PlacementId> = held.into_iter().collect();
            let lost = peer.asks.extract_if(.., |id, state| match state {
                GrantState::Granted { since, .. } => {
                    !held.contains(id) && now.since(*since) >= LISTED_AFTER
                }
                GrantState::Waiting => false,
            });
            effects.extend(lost.map(|(id, _)| GrantsEffect::Release(GrantKey { peer: from, id })));
        }
        let mut answers = Vec::new();
        for (id, ask) in message.requests {
            match peer.asks.get(&id) {
                Some(GrantState::Waiting) => answers.push((id, PlacementResponse::Waiting)),
                Some(GrantState::Granted { target, .. }) => {
                    answers.push((id, PlacementResponse::Granted(*target)));
                }
                None if peer.asks.len() >= MAX_ASKS => {}
                None => {
                    peer.asks.insert(id, GrantState::Waiting);
                    effects.push(GrantsEffect::Place(GrantKey { peer: from, id }, ask));
                }
            }
        }
        effects.extend(answer(from, answers));
        effects
    }

    fn decide(
        &mut self,
        key: GrantKey,
        decision: PlacementResponse,
        now: Timestamp,
    ) -> Vec<GrantsEffect> {
        let peer = self.peers.get_mut(&key.peer);
        let Some(peer) = peer.filter(|peer| peer.asks.contains_key(&key.id)) else {
            // The question ended while it was decided.
            return vec![GrantsEffect::Release(key)];
        };
        match &decision {
            PlacementResponse::Granted(target) => {
                peer.asks.insert(key.id, GrantState::Granted { target: *target, since: now });
            }
            PlacementResponse::Waiting => {}
            PlacementResponse::Refused { .. } | PlacementResponse::UnknownService => {
                peer.asks.swap_remove(&key.id);
            }
        }
        answer(key.peer, vec![(key.id, decision)]).into_iter().collect()
    }

    fn tick(&mut self, now: Timestamp) -> Vec<GrantsEffect> {
        let silent = self.peers.extract_if(|_, peer| now.since(peer.heard) >= PEER_SILENCE);
        let keys = silent.flat_map(|(address, peer)| {
            let key = move |id| GrantKey { peer: address, id };
            peer.asks.into_keys().map(key).collect::<Vec<_>>()
        });
        keys.map(GrantsEffect::Release).collect()
    }
}

fn answer(to: SocketAddr, answers: Vec<(PlacementId, PlacementResponse)>) -> Option<GrantsEffect> {
    let message = PlacementMessage { responses: answers, ..PlacementMessage::default() };
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
