//! Model of an entry: a ledger for each part and the controller, connected as the driver does it.

use std::time::Duration;

use indexmap::IndexMap;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
};
use zinniaport_core::directory::{
    BatchOrigin, DirectoryBatch, DirectoryPart, PartLedger, StoreRevision,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetState};

/// Age of the last response of the store after which an entry stops serving others.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1_300);

/// Process of a target and number of its content, as they order its states.
pub type TargetContent = (u64, u32);

/// Kind of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadKind {
    /// List or watch that the entry repeats.
    Follow,
    /// Read of what another entry announced.
    CatchUp,
}

/// Response to a read.
#[derive(Clone, Debug)]
pub enum ReadResponse {
    /// Objects or changes.
    Batch { batch: DirectoryBatch, is_list: bool, is_from_store: bool },
    /// The changes are gone.
    TooOld,
    /// The read failed.
    Refused,
}

/// Reads of one part.
#[derive(Debug, Default)]
pub struct PartReads {
    /// Next list or watch, and when it is due.
    follow: Option<(Option<StoreRevision>, Timestamp)>,
    catch_up: Option<Option<StoreRevision>>,
    /// Responses that have not been delivered.
    responses: [Option<ReadResponse>; 2],
}

impl PartReads {
    /// Returns after which revision a read of this kind asks for changes, or `None` if there is no
    /// such read to be sent.
    pub fn due(&self, kind: ReadKind, now: Timestamp) -> Option<Option<StoreRevision>> {
        if self.responses[kind as usize].is_some() {
            return None;
        }
        match kind {
            ReadKind::Follow => self.follow.filter(|(_, due)| *due <= now).map(|(after, _)| after),
            ReadKind::CatchUp => self.catch_up,
        }
    }

    /// Keeps a response until it is delivered.
    pub fn keep(&mut self, kind: ReadKind, response: ReadResponse) {
        self.responses[kind as usize] = Some(response);
    }
}

/// Entry that follows the targets and the configuration.
#[derive(Debug)]
pub struct FollowingEntry {
    pub ledgers: [PartLedger; DirectoryPart::COUNT],
    pub reads: [PartReads; DirectoryPart::COUNT],
    confirmed_at: [Option<Timestamp>; DirectoryPart::COUNT],
    controller: DirectoryController,
    /// Newest changes that this entry knows and announces.
    pub known: [StoreRevision; DirectoryPart::COUNT],
    /// Newest changes that others announced.
    pub announced: [StoreRevision; DirectoryPart::COUNT],
    /// Published version.
    pub version: u64,
    /// Published versions that were lower than the one before.
    pub reverted: Vec<(u64, u64)>,
    /// Number of restores that the controller noticed, in all parts.
    pub restores: usize,
    published: IndexMap<String, TargetContent>,
    /// Newest content of targets that this entry knew to have left.
    left: IndexMap<String, TargetContent>,
    /// Targets that take requests.
    pub used: IndexMap<String, TargetContent>,
}

impl FollowingEntry {
    pub fn new(seed: u64) -> Self {
        let controller = DirectoryController::new(DirectorySettings::default(), seed);
        let start = controller.start();
        let mut entry = Self {
            ledgers: Default::default(),
            reads: Default::default(),
            confirmed_at: Default::default(),
            controller,
            known: Default::default(),
            announced: Default::default(),
            version: 0,
            reverted: Vec::new(),
            restores: 0,
            published: IndexMap::new(),
            left: IndexMap::new(),
            used: IndexMap::new(),
        };
        entry.apply_effects(start, Timestamp::default());
        entry
    }

    pub fn send(&mut self, message: DirectoryMessage, now: Timestamp) {
        let effects = self.controller.handle(message, now);
        self.apply_effects(effects, now);
    }

    fn apply_effects(&mut self, effects: Vec<DirectoryEffect>, now: Timestamp) {
        for effect in effects {
            match effect {
                DirectoryEffect::List(part, delay) => {
                    self.reads[part as usize].follow = Some((None, now + delay));
                }
                DirectoryEffect::Watch(part, after, delay) => {
                    self.reads[part as usize].follow = Some((Some(after), now + delay));
                }
                DirectoryEffect::CatchUp(part, after) => {
                    self.reads[part as usize].catch_up = Some(after);
                }
                DirectoryEffect::Revision(part, revision) => self.known[part as usize] = revision,
                DirectoryEffect::Restored(..) => self.restores += 1,
                DirectoryEffect::Publish(fleet) => self.record_fleet(&fleet),
                _ => {}
            }
        }
    }

    fn record_fleet(&mut self, fleet: &FleetSnapshot) {
        let version = fleet.routes.as_ref().map_or(0, |routes| routes.version);
        if version < self.version {
            self.reverted.push((self.version, version));
        }
        self.version = version;
        let mut published = IndexMap::new();
        self.used.clear();
        for target in fleet.targets.values() {
            let instance = target.instance.as_ref().unwrap();
            let (name, content) = (instance.id.to_string(), (instance.started_ms, target.slots));
            if target.state == TargetState::Leaving {
                self.left.insert(name.clone(), content);
            } else if target.state.takes_requests() {
                self.used.insert(name.clone(), content);
            }
            published.insert(name, content);
        }
        for (name, content) in std::mem::replace(&mut self.published, published) {
            if !self.published.contains_key(&name) {
                self.left.insert(name, content);
            }
        }
    }

    /// Returns the content of targets that are used although this entry knew that they had left.
    pub fn used_after_leaving(&self) -> impl Iterator<Item = (&str, TargetContent)> {
        let used = self
            .used
            .iter()
            .filter(|(name, content)| self.left.get(*name).is_some_and(|left| left >= *content));
        used.map(|(name, content)| (name.as_str(), *content))
    }

    /// Returns `true` if this entry serves a part to others.
    pub fn is_fresh(&self, part: DirectoryPart, now: Timestamp) -> bool {
        self.confirmed_at[part as usize].is_some_and(|at| now.since(at) < MAX_CONFIRMED_AGE)
    }

    /// Handles the response to a read, if there is one.
    pub fn deliver(&mut self, part: DirectoryPart, kind: ReadKind, now: Timestamp) {
        let reads = &mut self.reads[part as usize];
        let Some(response) = reads.responses[kind as usize].take() else { return };
        match kind {
            ReadKind::Follow => reads.follow = None,
            ReadKind::CatchUp => reads.catch_up = None,
        }
        let message = match (response, kind) {
            (ReadResponse::Batch { mut batch, is_list, is_from_store }, _) => {
                let origin = match (is_list, is_from_store) {
                    (true, true) => BatchOrigin::Listed,
                    (false, true) => BatchOrigin::Watched,
                    (true, false) => BatchOrigin::ListedByPeer,
                    (false, false) => BatchOrigin::WatchedByPeer,
                };
                let is_applied = self.ledgers[part as usize].apply(&mut batch, origin);
                if is_applied && is_from_store {
                    self.confirmed_at[part as usize] = Some(now);
                }
                match (kind, is_list) {
                    (ReadKind::CatchUp, _) => DirectoryMessage::CaughtUp(part, Some(batch)),
                    (ReadKind::Follow, true) => DirectoryMessage::Listed(part, batch),
                    (ReadKind::Follow, false) => DirectoryMessage::Watched(part, batch),
                }
            }
            (_, ReadKind::CatchUp) => DirectoryMessage::CaughtUp(part, None),
            (ReadResponse::TooOld, ReadKind::Follow) => DirectoryMessage::HistoryGone(part),
            (ReadResponse::Refused, ReadKind::Follow) => DirectoryMessage::Failed(part),
        };
        self.send(message, now);
    }
}
