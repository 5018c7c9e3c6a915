//! Signals: who hears whom, and the requests in flight and waiting at the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::signals::{LoadSignal, ServiceTag, SignalMessage, TargetTag};

/// Time between two whole messages of a small fleet, which repair lost ones and
/// show that the sender lives.
const WHOLE_PERIOD: Duration = Duration::from_millis(250);

/// Least time between two messages with changes. Both ends of a short request then
/// share a message, and a burst costs one.
const CHANGE_GAP: Duration = Duration::from_millis(2);

/// Entries up to which each change is told at once. Beyond it messages are spread
/// so that an entry sends and receives some 1,000 datagrams a second at most, 1% of
/// a core.
const SMALL_FLEET: u32 = 32;

/// Time that a message to one more entry of a large fleet takes from the next one.
const GAP_PER_ENTRY: Duration = Duration::from_millis(1);

/// The same for whole messages, eight times as rare.
const WHOLE_GAP_PER_ENTRY: Duration = Duration::from_millis(8);

/// Time between two messages to an entry that is not heard.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);

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
    /// The requests in flight at a target from all other entries changed.
    InFlight(TargetTag, u32),
    /// The requests that wait for a service at all other entries changed.
    Waiting(ServiceTag, u32),
    /// Another entry learnt something of a target.
    Learnt(LoadSignal),
    /// Another entry knows newer changes of targets or configuration.
    Revisions([u64; 2]),
    /// Send a whole message to these entries.
    SendWhole(Vec<SocketAddr>),
    /// The entries that are heard changed; these are their addresses and how many
    /// entries may run, this one and silent ones included.
    Heard(Vec<SocketAddr>, usize),
}

/// What is known of another entry.
#[derive(Debug, Default)]
struct PeerRecord {
    incarnation: u64,
    sequence: u64,
    /// When it was last heard; none if never.
    heard: Option<Timestamp>,
    contacted: Timestamp,
    loads: HashMap<TargetTag, u16>,
    waits: HashMap<ServiceTag, u16>,
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
    loads: HashMap<TargetTag, u32>,
    waits: HashMap<ServiceTag, u32>,
    heard: Vec<SocketAddr>,
    revisions: [u64; 2],
    last_whole: Timestamp,
}

impl SignalsController {
    /// Creates a controller that contacts `seeds` first.
    pub fn new(own: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own);
        Self {
            own,
            peers: seeds.map(|seed| (seed, PeerRecord::default())).collect(),
            loads: HashMap::new(),
            waits: HashMap::new(),
            heard: Vec::new(),
            revisions: [0; 2],
            last_whole: Timestamp::default(),
        }
    }

    /// Gives the least time between two messages with changes.
    pub fn change_gap(&self) -> Duration {
        match self.heard.len() as u32 {
            entries if entries <= SMALL_FLEET => CHANGE_GAP,
            entries => GAP_PER_ENTRY * entries,
        }
    }

    fn whole_period(&self) -> Duration {
        WHOLE_PERIOD.max(WHOLE_GAP_PER_ENTRY * self.peers.len() as u32)
    }

    /// Gives the silence after which what an entry told no longer counts, a little
    /// more than three whole messages.
    fn silence(&self) -> Duration {
        self.whole_period().mul_f64(3.2)
    }

    /// Gives the entries that are heard.
    pub fn heard(&self) -> &[SocketAddr] {
        &self.heard
    }

    /// Gives the requests in flight at a target from all other entries.
    pub fn in_flight(&self, target: TargetTag) -> u32 {
        self.loads.get(&target).copied().unwrap_or(0)
    }

    /// Gives the requests that wait for a service at all other entries.
    pub fn waiting(&self, service: ServiceTag) -> u32 {
        self.waits.get(&service).copied().unwrap_or(0)
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
        if message.whole {
            self.forget_loads(from, &mut effects);
        }
        for load in &message.loads {
            self.take_load(from, load.target, load.in_flight, &mut effects);
            if load.pace_percent > 0 || load.latency_us > 0 {
                effects.push(SignalsEffect::Learnt(*load));
            }
        }
        for wait in &message.waits {
            self.take_wait(from, wait.service, wait.waiting, &mut effects);
        }
        let mut revisions = self.revisions;
        for (known, told) in revisions.iter_mut().zip(message.revisions) {
            *known = told.max(*known);
        }
        if revisions != self.revisions {
            self.revisions = revisions;
            effects.push(SignalsEffect::Revisions(revisions));
        }
        if newly_heard {
            effects.push(SignalsEffect::SendWhole(vec![from]));
            effects.extend(self.update_heard(now));
        }
        effects
    }

    fn take_load(
        &mut self,
        from: SocketAddr,
        target: TargetTag,
        in_flight: u16,
        effects: &mut Vec<SignalsEffect>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let before = if in_flight == 0 {
            peer.loads.remove(&target)
        } else {
            peer.loads.insert(target, in_flight)
        };
        let total = self.loads.entry(target).or_default();
        *total = (*total + u32::from(in_flight)).saturating_sub(u32::from(before.unwrap_or(0)));
        effects.push(SignalsEffect::InFlight(target, *total));
        if *total == 0 {
            self.loads.remove(&target);
        }
    }

    fn take_wait(
        &mut self,
        from: SocketAddr,
        service: ServiceTag,
        waiting: u16,
        effects: &mut Vec<SignalsEffect>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let before = if waiting == 0 {
            peer.waits.remove(&service)
        } else {
            peer.waits.insert(service, waiting)
        };
        let total = self.waits.entry(service).or_default();
        *total = (*total + u32::from(waiting)).saturating_sub(u32::from(before.unwrap_or(0)));
        effects.push(SignalsEffect::Waiting(service, *total));
        if *total == 0 {
            self.waits.remove(&service);
        }
    }

    /// Takes back all that an entry told.
    fn forget_loads(&mut self, from: SocketAddr, effects: &mut Vec<SignalsEffect>) {
        let Some(peer) = self.peers.get(&from) else { return };
        let targets: Vec<_> = peer.loads.keys().copied().collect();
        let services: Vec<_> = peer.waits.keys().copied().collect();
        for target in targets {
            self.take_load(from, target, 0, effects);
        }
        for service in services {
            self.take_wait(from, service, 0, effects);
        }
    }

    fn update_heard(&mut self, now: Timestamp) -> Option<SignalsEffect> {
        let silence = self.silence();
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard(silence, now));
        let heard: Vec<_> = heard.map(|(address, _)| *address).collect();
        if heard == self.heard {
            return None;
        }
        self.heard.clone_from(&heard);
        Some(SignalsEffect::Heard(heard, self.peers.len() + 1))
    }

    fn tick(&mut self, now: Timestamp) -> Vec<SignalsEffect> {
        let mut effects = Vec::new();
        let silence = self.silence();
        let is_heard = |address: &&SocketAddr| {
            self.peers.get(*address).is_some_and(|peer| peer.is_heard(silence, now))
        };
        let silent: Vec<_> =
            self.heard.iter().filter(|address| !is_heard(address)).copied().collect();
        for address in &silent {
            self.forget_loads(*address, &mut effects);
        }
        self.peers.retain(|_, peer| peer.heard.is_none_or(|heard| now.since(heard) < FORGET_AFTER));
        if !silent.is_empty() {
            effects.extend(self.update_heard(now));
        }
        let mut due = Vec::new();
        if now.since(self.last_whole) >= self.whole_period() {
            self.last_whole = now;
            due.extend(&self.heard);
        }
        for (address, peer) in &mut self.peers {
            if !peer.is_heard(silence, now) && now.since(peer.contacted) >= CONTACT_PERIOD {
                peer.contacted = now;
                due.push(*address);
            }
        }
        if !due.is_empty() {
            effects.push(SignalsEffect::SendWhole(due));
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
