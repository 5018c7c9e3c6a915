//! Tracks which other entries are live, their processor capacity and the newest directory
//! revisions that they know, from datagrams between entries.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::directory::{DirectoryPart, StoreRevision};
use crate::placement::CoordinatorCandidate;
use crate::signals::SignalMessage;

/// Time between two messages to each entry when there are few. The messages show that the
/// sender is alive.
const BASE_PERIOD: Duration = Duration::from_millis(250);

/// Shortest period for each other entry. With more than ten of them it exceeds
/// [`BASE_PERIOD`], so that an entry among many sends and receives about 40 datagrams a
/// second, 0.2% of a core.
const PERIOD_PER_ENTRY: Duration = Duration::from_millis(25);

/// Time between two messages to an entry from which nothing arrives.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);

/// Time between two messages to an entry from which nothing arrives while no entry is live
/// at all, as after a power failure.
const FIRST_CONTACT_PERIOD: Duration = Duration::from_millis(100);

/// Time without messages after which an entry that was live before is no longer contacted.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Number of messages that announce a crash to all live entries, since one may be lost.
const ANNOUNCEMENTS: u32 = 2;

/// Shortest time between two such messages. While many targets are lost, one message
/// announces several crashes.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(200);

/// Time in which [`MAX_PEERS_REPORTS`] reports of changed live entries are made at once. While
/// a large fleet starts, an entry hears of hundreds of others within a second, and each report
/// rebuilds the tables of all targets.
const PEERS_REPORT_PERIOD: Duration = Duration::from_millis(200);

/// Greatest number of reports of changed live entries in [`PEERS_REPORT_PERIOD`].
const MAX_PEERS_REPORTS: u32 = 4;

/// Greatest number of entries that are tracked, so that forged addresses take bounded
/// memory.
const MAX_PEERS: usize = 1024;

/// Messages that the signals controller handles.
#[derive(Clone, Debug)]
pub enum SignalsMessage {
    /// A message of another entry arrived.
    Received(SocketAddr, SignalMessage),
    /// Another entry knows these revisions.
    ReceivedRevisions([StoreRevision; DirectoryPart::COUNT]),
    /// This entry lost a target that ran a request.
    CrashRecorded,
    /// The settings name these entries to contact first, instead of those before.
    SeedsChanged(Vec<SocketAddr>),
    /// Time passed. Due every 50 ms.
    Tick,
}

/// Effects that the signals controller requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum SignalsEffect {
    /// Another entry knows newer revisions of targets or configuration. Holds the newest
    /// known revision of each.
    Revisions([StoreRevision; DirectoryPart::COUNT]),
    /// Send a message to these entries.
    Send(Vec<SocketAddr>),
    /// Send the news of crashes to these entries at once.
    Announce(Vec<SocketAddr>),
    /// Send a message to this entry, which has just started or was silent.
    SendFirst(SocketAddr),
    /// The live entries or their capacities changed. Holds the live entries and the number
    /// of entries that may be running, including this one and silent ones.
    PeersChanged(Vec<CoordinatorCandidate>, usize),
}

/// State of another entry.
#[derive(Debug, Default)]
struct PeerRecord {
    incarnation: u64,
    sequence: u64,
    capacity: u16,
    /// When its last message arrived; `None` if there was none.
    last_message: Option<Timestamp>,
    last_contact: Timestamp,
}

impl PeerRecord {
    fn is_live(&self, max_silence: Duration, now: Timestamp) -> bool {
        self.last_message.is_some_and(|received| now.since(received) < max_silence)
    }
}

/// Owns the state of the other entries.
#[derive(Debug)]
pub struct SignalsController {
    own_address: SocketAddr,
    peers: IndexMap<SocketAddr, PeerRecord>,
    live_peers: Vec<CoordinatorCandidate>,
    /// When the current [`PEERS_REPORT_PERIOD`] began, and the number of reports in it.
    peers_reports: (Timestamp, u32),
    revisions: [StoreRevision; DirectoryPart::COUNT],
    last_sent: Timestamp,
    /// Number of messages that are still to announce the last crash.
    announcements: u32,
    last_announced: Timestamp,
}

impl SignalsController {
    /// Creates a controller that contacts `seeds` first.
    pub fn new(own_address: SocketAddr, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own_address);
        Self {
            own_address,
            peers: seeds.map(|seed| (seed, PeerRecord::default())).collect(),
            live_peers: Vec::new(),
            peers_reports: (Timestamp::default(), 0),
            revisions: Default::default(),
            last_sent: Timestamp::default(),
            announcements: 0,
            last_announced: Timestamp::default(),
        }
    }

    fn period(&self) -> Duration {
        BASE_PERIOD.max(PERIOD_PER_ENTRY * self.peers.len() as u32)
    }

    /// Returns the time without messages after which an entry is not live any more, a
    /// little more than three periods.
    fn max_silence(&self) -> Duration {
        self.period().mul_f64(3.2)
    }

    /// Returns the live entries, without this one.
    pub fn live_peers(&self) -> &[CoordinatorCandidate] {
        &self.live_peers
    }

    /// Returns the number of entries that may be running, including this one and silent ones.
    pub fn entry_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Contacts other seeds. Entries that never sent a message are no longer contacted: they come
    /// from the seeds before, or will be named again by the entries that know them.
    fn replace_seeds(&mut self, seeds: Vec<SocketAddr>) -> Vec<SignalsEffect> {
        self.peers.retain(|_, peer| peer.last_message.is_some());
        for seed in seeds {
            if seed != self.own_address && self.peers.len() < MAX_PEERS {
                self.peers.entry(seed).or_default();
            }
        }
        vec![SignalsEffect::PeersChanged(self.live_peers.clone(), self.entry_count())]
    }

    fn receive(
        &mut self,
        from: SocketAddr,
        message: &SignalMessage,
        now: Timestamp,
    ) -> Vec<SignalsEffect> {
        let mut effects = Vec::new();
        if from == self.own_address
            || (!self.peers.contains_key(&from) && self.peers.len() >= MAX_PEERS)
        {
            return effects;
        }
        for member in &message.members {
            if *member != self.own_address && self.peers.len() < MAX_PEERS {
                self.peers.entry(*member).or_default();
            }
        }
        let max_silence = self.max_silence();
        let peer = self.peers.entry(from).or_default();
        if message.incarnation < peer.incarnation {
            return effects;
        }
        let has_restarted = message.incarnation > peer.incarnation;
        if has_restarted {
            peer.sequence = 0;
            peer.incarnation = message.incarnation;
        } else if message.sequence <= peer.sequence {
            return effects;
        }
        peer.sequence = message.sequence;
        let newly_live = !peer.is_live(max_silence, now);
        peer.last_message = Some(now);
        let changed = std::mem::replace(&mut peer.capacity, message.capacity) != message.capacity;
        effects.extend(self.observe_revisions(message.revisions.map(StoreRevision::from)));
        if newly_live || has_restarted {
            effects.push(SignalsEffect::SendFirst(from));
        }
        if newly_live || changed {
            effects.extend(self.update_live_peers(now));
        }
        effects
    }

    /// Records revisions that another entry knows. Returns an effect if one is newer.
    fn observe_revisions(
        &mut self,
        theirs: [StoreRevision; DirectoryPart::COUNT],
    ) -> Option<SignalsEffect> {
        let mut revisions = self.revisions;
        for (known, theirs) in revisions.iter_mut().zip(theirs) {
            *known = theirs.max(*known);
        }
        let is_newer = revisions != self.revisions;
        self.revisions = revisions;
        is_newer.then_some(SignalsEffect::Revisions(revisions))
    }

    /// Updates the live entries. After [`MAX_PEERS_REPORTS`] a change is left to a later tick.
    fn update_live_peers(&mut self, now: Timestamp) -> Option<SignalsEffect> {
        let (period_start, reports) = self.peers_reports;
        if now.since(period_start) >= PEERS_REPORT_PERIOD {
            self.peers_reports = (now, 0);
        } else if reports >= MAX_PEERS_REPORTS {
            return None;
        }
        let max_silence = self.max_silence();
        let live = self.peers.iter().filter(|(_, peer)| peer.is_live(max_silence, now));
        let candidate = |(address, peer): (&SocketAddr, &PeerRecord)| CoordinatorCandidate {
            address: *address,
            capacity: peer.capacity,
        };
        let live: Vec<_> = live.map(candidate).collect();
        if live == self.live_peers {
            return None;
        }
        self.live_peers.clone_from(&live);
        self.peers_reports.1 += 1;
        Some(SignalsEffect::PeersChanged(live, self.entry_count()))
    }

    /// Announces crashes to all live entries, if that is due.
    fn announce(&mut self, now: Timestamp) -> Option<SignalsEffect> {
        if self.announcements == 0 || now.since(self.last_announced) < ANNOUNCEMENT_PERIOD {
            return None;
        }
        self.announcements -= 1;
        self.last_announced = now;
        let addresses = self.live_peers.iter().map(|peer| peer.address).collect();
        Some(SignalsEffect::Announce(addresses))
    }

    fn tick(&mut self, now: Timestamp) -> Vec<SignalsEffect> {
        let mut effects = Vec::new();
        let max_silence = self.max_silence();
        self.peers.retain(|_, peer| {
            peer.last_message.is_none_or(|received| now.since(received) < FORGET_AFTER)
        });
        effects.extend(self.update_live_peers(now));
        effects.extend(self.announce(now));
        let mut due = Vec::new();
        if now.since(self.last_sent) >= self.period() {
            self.last_sent = now;
            due.extend(self.live_peers.iter().map(|peer| peer.address));
        }
        let pause = if self.live_peers.is_empty() { FIRST_CONTACT_PERIOD } else { CONTACT_PERIOD };
        for (address, peer) in &mut self.peers {
            if !peer.is_live(max_silence, now) && now.since(peer.last_contact) >= pause {
                peer.last_contact = now;
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
            SignalsMessage::ReceivedRevisions(revisions) => {
                self.observe_revisions(revisions).into_iter().collect()
            }
            SignalsMessage::CrashRecorded => {
                self.announcements = ANNOUNCEMENTS;
                self.announce(now).into_iter().collect()
            }
            SignalsMessage::SeedsChanged(seeds) => self.replace_seeds(seeds),
            SignalsMessage::Tick => self.tick(now),
        }
    }
}
