//! Holds the intents in force: the newest accepted version of the intent of each service.

mod exchange;
mod follower;

use std::sync::Arc;
use std::time::Duration;

pub use exchange::{ConfigMessage, ConfigSummary, VersionedIntent};
use follower::StoreFollower;
pub use follower::{WATCHERS_PER_REGION, choose_watchers};

use super::{StateController, StoreEra};
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::fleet::FleetSnapshot;
use crate::intent::ServiceIntent;
use crate::plan::VersionFloor;

/// Intents that the store returned, complete up to a version.
#[derive(Clone, Debug)]
pub struct StoreBatch {
    /// When the call was sent. The batch reflects the store at that time or later.
    pub sent: Timestamp,
    /// Store version up to which the batch is complete.
    pub version: u64,
    /// Era of the store.
    pub era: StoreEra,
    /// Largest version offset among the intents.
    pub offset: u64,
    /// The intents.
    pub intents: Vec<VersionedIntent>,
    /// Whether every object could be decoded.
    pub fully_decoded: bool,
}

/// Name and region of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryLocation {
    /// Name of the entry.
    pub name: String,
    /// Region that it is in.
    pub region: String,
}

/// Messages that the controller of the intents handles.
#[derive(Clone, Debug)]
pub enum IntentsMessage {
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
    /// A store call failed. The next one lists the intents.
    StoreFailed,
    /// A peer responded.
    PeerReplied {
        /// Name of the peer.
        peer: String,
        /// When the call was sent.
        sent: Timestamp,
        /// The response.
        reply: ConfigMessage,
    },
    /// The entries of all regions, including this one.
    Members(Vec<EntryLocation>),
    /// Time passed.
    Tick,
}

/// Effects that the controller of the intents requests from its driver.
#[derive(Clone, Debug)]
pub enum IntentsEffect {
    /// Publish this snapshot to the request path.
    Publish(Arc<FleetSnapshot>),
    /// Send a changed intent to peers without waiting for the next gossip round.
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
    /// The intents held are at least as new as the store was at this time.
    Confirmed(Timestamp),
    /// Whether the entry may serve callers changed.
    Ready(bool),
}

/// Puts accepted intents in force and never goes back to a lower version.
///
/// The default controller gets its intents from the settings file alone and is always
/// ready. [`Self::following`] creates one that follows the store and peers.
#[derive(Debug, Default)]
pub struct IntentsController {
    fleet: FleetSnapshot,
    digest: u64,
    /// Highest version in force of any service.
    highest: u64,
    follower: Option<StoreFollower>,
}

impl IntentsController {
    /// Creates a controller that follows the store and its peers.
    pub fn following(location: EntryLocation, started: Timestamp, seed: u64) -> Self {
        Self { follower: Some(StoreFollower::new(location, started, seed)), ..Self::default() }
    }

    /// Returns `true` if the entry may serve callers.
    pub fn ready(&self, now: Timestamp) -> bool {
        self.follower.as_ref().is_none_or(|follower| follower.ready(now))
    }

    /// Returns the latest time as of which the intents held were known to be the newest;
    /// `None` if they never were.
    pub fn confirmed(&self) -> Option<Timestamp> {
        self.follower.as_ref()?.confirmed
    }

    /// Returns the digest of all services and versions, for anti-entropy.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the version in force of a service, 0 if there is none.
    pub fn version_of(&self, service: &str) -> u64 {
        self.fleet.find(service).map_or(0, |(_, snapshot)| snapshot.version)
    }

    /// Returns the versions held, for a plan that is confirmed at this entry. While the
    /// store is behind them, any version that it returns counts as too low.
    pub fn version_floor(&self, service: &str) -> VersionFloor {
        let follower = self.follower.as_ref();
        let behind = follower.is_some_and(|follower| follower.is_behind);
        VersionFloor {
            service: if behind { u64::MAX } else { self.version_of(service) },
            highest: self.highest,
            offset: follower.map_or(0, |follower| follower.offset),
            era: StoreEra::default(),
        }
    }

    /// Applies an intent. Returns `true` if it was newer.
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

    /// Applies intents, publishes one snapshot and announces the changed intents.
    fn apply_all(&mut self, intents: Vec<VersionedIntent>, now: Timestamp) -> Vec<IntentsEffect> {
        let mut effects = Vec::new();
        for VersionedIntent { intent, version } in intents {
            if self.apply(intent.as_ref().clone(), version, now) {
                effects.push(IntentsEffect::Announce(VersionedIntent { intent, version }));
            }
        }
        if !effects.is_empty() {
            effects.insert(0, IntentsEffect::Publish(Arc::new(self.fleet.clone())));
        }
        effects
    }

    /// Runs `step` for a message whose intents were applied already, with the digest and the
    /// highest version held, and returns its effects and the next store call.
    fn step_follower(
        &mut self,
        now: Timestamp,
        step: impl FnOnce(&mut StoreFollower, u64, u64) -> Vec<IntentsEffect>,
    ) -> Vec<IntentsEffect> {
        let Some(follower) = &mut self.follower else { return Vec::new() };
        let confirmed = follower.confirmed;
        let mut effects = step(follower, self.digest, self.highest);
        follower.complete_from_list(now);
        effects.extend(follower.next_call(now));
        if follower.confirmed > confirmed {
            effects.extend(follower.confirmed.map(IntentsEffect::Confirmed));
        }
        effects.extend(follower.readiness_change(now).map(IntentsEffect::Ready));
        effects
    }
}

/// Returns the digest of one service at one version. XOR combines those of all services, so
/// that the order does not matter and a change costs two digests.
fn digest_of(service: &str, version: u64) -> u64 {
    ShortDigest::of(&[service.as_bytes(), &version.to_be_bytes()]).high_bits()
}

impl StateController for IntentsController {
    type Message = IntentsMessage;
    type Effect = IntentsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            IntentsMessage::Accepted { intent, version } => {
                let intents = vec![VersionedIntent { intent: Arc::new(intent), version }];
                let mut effects = self.apply_all(intents, now);
                effects.extend(self.step_follower(now, |_, _, _| Vec::new()));
                effects
            }
            IntentsMessage::Listed(mut batch) => {
                let mut effects = self.apply_all(std::mem::take(&mut batch.intents), now);
                effects.extend(self.step_follower(now, |follower, _, highest| {
                    follower.handle_list(&batch, highest, now)
                }));
                effects
            }
            IntentsMessage::Watched(mut batch) => {
                let mut effects = self.apply_all(std::mem::take(&mut batch.intents), now);
                effects.extend(self.step_follower(now, |follower, _, highest| {
                    follower.handle_watch(&batch, highest, now)
                }));
                effects
            }
            IntentsMessage::StoreFailed => {
                self.step_follower(now, |follower, _, _| follower.handle_failure(now))
            }
            IntentsMessage::PeerReplied { peer, sent, mut reply } => {
                let mut effects = self.apply_all(std::mem::take(&mut reply.intents), now);
                effects.extend(self.step_follower(now, |follower, digest, highest| {
                    follower.handle_reply(peer, sent, (reply.summary, digest), now);
                    follower.observe_highest(highest, now);
                    Vec::new()
                }));
                effects
            }
            IntentsMessage::Members(members) => self.step_follower(now, |follower, _, _| {
                follower.handle_members(&members);
                Vec::new()
            }),
            IntentsMessage::Tick => self.step_follower(now, |follower, _, highest| {
                follower.observe_highest(highest, now);
                Vec::new()
            }),
        }
    }
}
