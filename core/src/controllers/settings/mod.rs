//! Intents in force: the newest accepted version of each service's intent.

mod exchange;
mod follower;

use std::sync::Arc;
use std::time::Duration;

pub use exchange::{ConfigMessage, ConfigSummary, VersionedIntent};
use follower::StoreFollower;
pub use follower::{WATCHERS_PER_REGION, choose_watchers};

use super::StateController;
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::fleet::FleetSnapshot;
use crate::intent::ServiceIntent;
use crate::plan::VersionFloor;

/// Intents that the store returned, complete up to a version.
#[derive(Clone, Debug)]
pub struct StoreBatch {
    /// When the call was sent. The batch shows the store at that time or later.
    pub sent: Timestamp,
    /// Store version up to which the batch is complete.
    pub version: u64,
    /// Largest offset of versions among the intents.
    pub offset: u64,
    /// The intents.
    pub intents: Vec<VersionedIntent>,
    /// Whether every object could be read.
    pub fully_decoded: bool,
}

/// An entry as far as the settings controller needs to know it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryLocation {
    /// Name of the entry.
    pub name: String,
    /// Region that it is in.
    pub region: String,
}

/// What the settings controller is told.
#[derive(Clone, Debug)]
pub enum SettingsMessage {
    /// An accepted intent arrived from the settings file, a confirmation or a peer.
    Accepted {
        /// The intent.
        intent: ServiceIntent,
        /// Its version in the store.
        version: u64,
    },
    /// The store returned all intents.
    Listed(StoreBatch),
    /// The store returned the intents that changed.
    Watched(StoreBatch),
    /// A store call failed; the next one lists the intents again.
    StoreFailed,
    /// A peer answered.
    PeerReplied {
        /// Name of the peer.
        peer: String,
        /// When the call was sent.
        sent: Timestamp,
        /// The answer.
        reply: ConfigMessage,
    },
    /// The entries of all regions, this one among them.
    Members(Vec<EntryLocation>),
    /// Time passed.
    Tick,
}

/// What the settings controller asks for.
#[derive(Clone, Debug)]
pub enum SettingsEffect {
    /// Publish this snapshot to the request path.
    Publish(Arc<FleetSnapshot>),
    /// Send a changed intent to peers without waiting for the next round.
    Announce(VersionedIntent),
    /// List the intents after a delay.
    List {
        /// Time to wait before the call.
        delay: Duration,
    },
    /// Watch for changes after a version.
    Watch {
        /// The version.
        version: u64,
        /// Time to wait before the call.
        delay: Duration,
    },
    /// The intents held are at least as new as the store's at this time.
    Confirmed(Timestamp),
    /// Whether the entry may serve callers changed.
    Ready(bool),
}

/// Puts accepted intents in force and never goes back to a lower version.
///
/// The default controller takes intents from its settings file alone and is
/// always ready; [`SettingsController::following`] follows the store and peers.
#[derive(Debug, Default)]
pub struct SettingsController {
    fleet: FleetSnapshot,
    digest: u64,
    highest: u64,
    follower: Option<StoreFollower>,
}

impl SettingsController {
    /// Creates a controller that follows the store and its peers.
    pub fn following(place: EntryLocation, started: Timestamp, seed: u64) -> Self {
        Self { follower: Some(StoreFollower::new(place, started, seed)), ..Self::default() }
    }

    /// Tells whether the entry may serve callers.
    pub fn ready(&self, now: Timestamp) -> bool {
        self.follower.as_ref().is_none_or(|follower| follower.ready(now))
    }

    /// Gives the latest time as of which no newer intent existed.
    pub fn confirmed(&self) -> Option<Timestamp> {
        self.follower.as_ref()?.confirmed
    }

    /// Gives the digest of all services and versions, for anti-entropy.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Gives the version in force of a service, 0 for none.
    pub fn version_of(&self, service: &str) -> u64 {
        self.fleet.find(service).map_or(0, |(_, entry)| entry.version)
    }

    /// Gives the versions held, for a plan that is confirmed here.
    pub fn version_floor(&self, service: &str) -> VersionFloor {
        let follower = self.follower.as_ref();
        let lost = follower.is_some_and(|follower| follower.shows_less);
        VersionFloor {
            service: if lost { u64::MAX } else { self.version_of(service) },
            highest: self.highest,
            offset: follower.map_or(0, |follower| follower.offset),
        }
    }

    /// Applies an intent and returns whether it was newer.
    fn apply(&mut self, intent: ServiceIntent, version: u64, now: Timestamp) -> bool {
        let service = intent.service.clone();
        let before = self.version_of(&service);
        if !self.fleet.apply(intent, version, now) {
            return false;
        }
        if before > 0 {
            self.digest ^= digest_of(&service, before);
        }
        self.digest ^= digest_of(&service, version);
        self.highest = self.highest.max(version);
        true
    }

    /// Applies intents, publishes once and announces the changed ones.
    fn apply_all(&mut self, intents: Vec<VersionedIntent>, now: Timestamp) -> Vec<SettingsEffect> {
        let mut effects = Vec::new();
        for VersionedIntent { intent, version } in intents {
            if self.apply(intent.as_ref().clone(), version, now) {
                effects.push(SettingsEffect::Announce(VersionedIntent { intent, version }));
            }
        }
        if !effects.is_empty() {
            effects.insert(0, SettingsEffect::Publish(Arc::new(self.fleet.clone())));
        }
        effects
    }

    /// Passes a message on to the follower; the intents in it are applied already.
    fn follow(
        &mut self,
        now: Timestamp,
        step: impl FnOnce(&mut StoreFollower, u64, u64) -> Vec<SettingsEffect>,
    ) -> Vec<SettingsEffect> {
        let Some(follower) = &mut self.follower else { return Vec::new() };
        let confirmed = follower.confirmed;
        let mut effects = step(follower, self.digest, self.highest);
        effects.extend(follower.resume(now));
        if follower.confirmed > confirmed {
            effects.extend(follower.confirmed.map(SettingsEffect::Confirmed));
        }
        effects.extend(follower.readiness_change(now).map(SettingsEffect::Ready));
        effects
    }
}

/// Digest of one service at one version; XOR combines those of all services, so
/// that the order does not matter and one change costs two digests.
fn digest_of(service: &str, version: u64) -> u64 {
    ShortDigest::of(&[service.as_bytes(), &version.to_be_bytes()]).high_bits()
}

impl StateController for SettingsController {
    type Message = SettingsMessage;
    type Effect = SettingsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            SettingsMessage::Accepted { intent, version } => {
                let intents = vec![VersionedIntent { intent: Arc::new(intent), version }];
                let mut effects = self.apply_all(intents, now);
                effects.extend(self.follow(now, |_, _, _| Vec::new()));
                effects
            }
            SettingsMessage::Listed(mut batch) => {
                let mut effects = self.apply_all(std::mem::take(&mut batch.intents), now);
                effects.extend(
                    self.follow(now, |follower, _, highest| {
                        follower.take_list(&batch, highest, now)
                    }),
                );
                effects
            }
            SettingsMessage::Watched(mut batch) => {
                let mut effects = self.apply_all(std::mem::take(&mut batch.intents), now);
                effects.extend(
                    self.follow(now, |follower, _, highest| {
                        follower.take_watch(&batch, highest, now)
                    }),
                );
                effects
            }
            SettingsMessage::StoreFailed => {
                self.follow(now, |follower, _, _| follower.take_failure(now))
            }
            SettingsMessage::PeerReplied { peer, sent, mut reply } => {
                let mut effects = self.apply_all(std::mem::take(&mut reply.intents), now);
                effects.extend(self.follow(now, |follower, digest, highest| {
                    follower.take_reply(peer, sent, (reply.summary, digest), now);
                    follower.note_highest(highest, now);
                    Vec::new()
                }));
                effects
            }
            SettingsMessage::Members(members) => self.follow(now, |follower, _, _| {
                follower.take_members(&members);
                Vec::new()
            }),
            SettingsMessage::Tick => self.follow(now, |follower, _, highest| {
                follower.note_highest(highest, now);
                Vec::new()
            }),
        }
    }
}
