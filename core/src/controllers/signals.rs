//! Signals: who hears whom, and what the others can carry and know.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::placement::CoordinatorCandidate;
use crate::signals::SignalMessage;

/// Time between two messages to each entry of a small fleet, which show that the
/// sender lives.
const PERIOD: Duration = Duration::from_millis(250);

/// Time that a message to one more entry takes from the next one, so that an entry
/// of a large fleet sends and receives some 40 datagrams a second, 0.2% of a core.
const PERIOD_PER_ENTRY: Duration = Duration::from_millis(25);

/// Time between two messages to an entry that is not heard.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);

/// The same while no entry is heard at all, as after a loss of power.
const FIRST_CONTACT_PERIOD: Duration = Duration::from_millis(100);

/// Silence after which an entry that was heard before is not contacted any more.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Entries that are remembered, so that forged addresses take bounded memory.
const MAX_PEERS: usize = 1024;

/// What the signals controller is told.
#[derive(Clone, Debug)]
pub enum SignalsMessage {
    /// A message of another entry arrived.
    Received(SocketAddr, SignalMessage),
    /// Time has passed; due every 50 ms.
    Tick,
}

/// What the signals controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum SignalsEffect {
    /// Another entry knows newer changes of targets or configuration.
    Revisions([u64; 2]),
    /// Send a message to these entries.
    Send(Vec<SocketAddr>),
    /// The entries that are heard, or what they can carry, changed; these are they
    /// and how many entries may run, this one and silent ones included.
    PeersChanged(Vec<CoordinatorCandidate>, usize),
}

/// What is known of another entry.
#[derive(Debug, Default)]
struct PeerRecord {
    incarnation: u64,
    sequence: u64,
    capacity: u16,
    /// When it was last heard; none if never.
    heard: Option<Timestamp>,
    contacted: Timestamp,
}

impl PeerRecord {
    fn is_heard(&self, silence: Duration, now: Timestamp) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < silence)
    }
}

/// Owns what the other entries told.
#[derive(Debug)]
pub struct SignalsController {
    own: SocketAddr,
    peers: IndexMap<SocketAddr, PeerRecord>,
    heard: Vec<CoordinatorCandidate>,
    revisions: [u64; 2],
    last_sent: Timestamp,
}

impl SignalsController {
    /// Creates a controller that contacts `seeds` first.
    pub fn new(own: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own);
        Self {
            own,
            peers: seeds.map(|seed| (seed, PeerRecord::default())).collect(),
            heard: Vec::new(),
            revisions: [0; 2],
            last_sent: Timestamp::default(),
        }
    }

    fn period(&self) -> Duration {
        PERIOD.max(PERIOD_PER_ENTRY * self.peers.len() as u32)
    }

    /// Gives the silence after which an entry counts as gone, a little more than
    /// three messages.
    fn silence(&self) -> Duration {
        self.period().mul_f64(3.2)
    }

    /// Gives the entries that are heard.
    pub fn live_peers(&self) -> &[CoordinatorCandidate] {
        &self.heard
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        message: &SignalMessage,
        now: Timestamp,
    ) -> Vec<SignalsEffect> {
        let mut effects = Vec::new();
        if from == self.own || (!self.peers.contains_key(&from) && self.peers.len() >= MAX_PEERS) {
            return effects;
        }
        for member in &message.members {
            if *member != self.own && self.peers.len() < MAX_PEERS {
                self.peers.entry(*member).or_default();
            }
        }
        let silence = self.silence();
        let peer = self.peers.entry(from).or_default();
        if message.incarnation < peer.incarnation {
            return effects;
        }
        if message.incarnation > peer.incarnation {
            peer.sequence = 0;
            peer.incarnation = message.incarnation;
        } else if message.sequence <= peer.sequence {
            return effects;
        }
        peer.sequence = message.sequence;
        let newly_heard = !peer.is_heard(silence, now);
        peer.heard = Some(now);
        let changed = std::mem::replace(&mut peer.capacity, message.capacity) != message.capacity;
        let mut revisions = self.revisions;
        for (known, told) in revisions.iter_mut().zip(message.revisions) {
            *known = told.max(*known);
        }
        if revisions != self.revisions {
            self.revisions = revisions;
            effects.push(SignalsEffect::Revisions(revisions));
        }
        if newly_heard {
            effects.push(SignalsEffect::Send(vec![from]));
        }
        if newly_heard || changed {
            effects.extend(self.update_heard(now));
        }
        effects
    }

    fn update_heard(&mut self, now: Timestamp) -> Option<SignalsEffect> {
        let silence = self.silence();
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard(silence, now));
        let member = |(address, peer): (&SocketAddr, &PeerRecord)| CoordinatorCandidate {
            address: *address,
            capacity: peer.capacity,
        };
        let heard: Vec<_> = heard.map(member).collect();
        if heard == self.heard {
            return None;
        }
        self.heard.clone_from(&heard);
        Some(SignalsEffect::PeersChanged(heard, self.peers.len() + 1))
    }

    fn tick(&mut self, now: Timestamp) -> Vec<SignalsEffect> {
        let mut effects = Vec::new();
        let silence = self.silence();
        self.peers.retain(|_, peer| peer.heard.is_none_or(|heard| now.since(heard) < FORGET_AFTER));
        effects.extend(self.update_heard(now));
        let mut due = Vec::new();
        if now.since(self.last_sent) >= self.period() {
            self.last_sent = now;
            due.extend(self.heard.iter().map(|member| member.address));
        }
        let pause = if self.heard.is_empty() { FIRST_CONTACT_PERIOD } else { CONTACT_PERIOD };
        for (address, peer) in &mut self.peers {
            if !peer.is_heard(silence, now) && now.since(peer.contacted) >= pause {
                peer.contacted = now;
                due.push(*address);
            }
        }
        if !due.is_empty() {
            effects.push(SignalsEffect::Send(due));
        }
        effects
    }
}

impl StateController for SignalsController {
    type Message = SignalsMessage;
    type Effect = SignalsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            SignalsMessage::Received(from, message) => self.receive(from, &message, now),
            SignalsMessage::Tick => self.tick(now),
        }
    }
}
