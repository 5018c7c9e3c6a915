//! Decides when to call the store, and tracks how fresh the intents are and whether the
//! entry is ready.

use std::collections::HashSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{ConfigSummary, EntryLocation, IntentsEffect, StoreBatch, StoreEra};
use crate::backoff::BackoffBounds;
use crate::clock::Timestamp;
use crate::digest::ShortDigest;

/// Entries of each region that watch the store. Three keep a region informed while one is
/// being replaced and another is cut off. The 18 watches of 6 regions cost the store about
/// 12 calls a second.
pub const WATCHERS_PER_REGION: usize = 3;

/// Time without a response of the store or a peer after which the entry is not ready.
const MAX_ISOLATION: Duration = Duration::from_secs(10);

/// Age of the last confirmation after which an entry that does not watch calls the store
/// itself.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(15);

/// Time that the watch has to deliver a version that a peer already holds. After it, the
/// watch counts as stalled and the intents are listed.
const MAX_WATCH_LAG: Duration = Duration::from_secs(2);

/// Shortest time between two watches that return nothing.
const MIN_EMPTY_WATCH: Duration = Duration::from_millis(200);

/// Number of complete peers whose intents a starting entry must hold to be complete itself
/// during an outage of the store.
const START_PEERS: usize = 3;

/// Time after the response of the first complete peer from which one peer suffices.
const START_PEERS_WAIT: Duration = Duration::from_secs(3);

/// Range of the random delay before a list call that follows no failure, so that entries
/// that start together do not call at the same time.
const START_SPREAD: Duration = Duration::from_millis(250);

/// Delays between failed calls of a watching entry, on which the whole region depends.
const WATCHER_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(250), longest: Duration::from_secs(4) };

/// Delays between failed calls of the other entries. With 200 entries the store gets at
/// most about 9 list calls a second from them when it recovers.
const OTHER_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_secs(1), longest: Duration::from_secs(30) };

/// The store call in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    None,
    List,
    Watch,
}

/// Follows the store and the peers.
#[derive(Debug)]
pub(super) struct StoreFollower {
    location: EntryLocation,
    random: SmallRng,
    pub(super) confirmed: Option<Timestamp>,
    pub(super) complete: bool,
    last_response: Timestamp,
    watches: bool,
    has_peers: bool,
    other_members: usize,
    call: StoreCall,
    failures: u32,
    /// Store version to watch from; `None` until a list succeeded.
    watch_version: Option<u64>,
    /// Era of the store in the last list.
    era: StoreEra,
    /// Largest version offset in the last list and the watches after it, and at least that of
    /// intents written in this era.
    pub(super) offset: u64,
    /// Whether the last list was behind what this entry holds: a stale read, or a store
    /// that was restored to an older state.
    pub(super) is_behind: bool,
    /// Highest version held that the store does not show yet, and since when.
    unseen: Option<(u64, Timestamp)>,
    synced_peers: HashSet<String>,
    first_complete_peer: Option<Timestamp>,
    /// When the first list succeeded.
    first_list: Option<Timestamp>,
    reported_ready: Option<bool>,
}

impl StoreFollower {
    pub(super) fn new(location: EntryLocation, started: Timestamp, seed: u64) -> Self {
        Self {
            location,
            random: SmallRng::seed_from_u64(seed),
            confirmed: None,
            complete: false,
            last_response: started,
            watches: false,
            has_peers: false,
            other_members: 0,
            call: StoreCall::None,
            failures: 0,
            watch_version: None,
            era: StoreEra::default(),
            offset: 0,
            is_behind: false,
            unseen: None,
            synced_peers: HashSet::new(),
            first_complete_peer: None,
            first_list: None,
            reported_ready: None,
        }
    }

    /// Returns `true` if the entry may serve callers. An entry without peers cannot tell an
    /// outage from a partition and keeps serving.
    pub(super) fn ready(&self, now: Timestamp) -> bool {
        let isolated = self.has_peers && now.since(self.last_response) > MAX_ISOLATION;
        self.complete && !isolated
    }

    pub(super) fn readiness_change(&mut self, now: Timestamp) -> Option<bool> {
        let ready = Some(self.ready(now));
        let changed = self.reported_ready != ready;
        self.reported_ready = ready;
        ready.filter(|_| changed)
    }

    pub(super) fn handle_members(&mut self, members: &[EntryLocation]) {
        let others = members.iter().filter(|member| member.name != self.location.name).count();
        self.other_members = others;
        self.has_peers |= others > 0;
        let watchers = choose_watchers(members, &self.location.region);
        self.watches = watchers.contains(&self.location.name.as_str());
    }

    pub(super) fn handle_list(
        &mut self,
        batch: &StoreBatch,
        highest: u64,
        now: Timestamp,
    ) -> Vec<IntentsEffect> {
        self.call = StoreCall::None;
        self.last_response = now;
        self.era = batch.era;
        self.offset = batch.offset.max(batch.era.first_version());
        self.is_behind = self.shown_by(batch) < highest;
        if self.is_behind {
            // The versions held stay in force.
            return self.handle_failure(now);
        }
        self.failures = 0;
        self.watch_version = Some(batch.version);
        self.unseen = None;
        self.first_list.get_or_insert(now);
        self.complete_from_list(now);
        self.confirm(batch, highest);
        Vec::new()
    }

    pub(super) fn handle_watch(
        &mut self,
        batch: &StoreBatch,
        highest: u64,
        now: Timestamp,
    ) -> Vec<IntentsEffect> {
        self.call = StoreCall::None;
        self.last_response = now;
        // In another era, the version that the watch began from means another state.
        let is_other_era = batch.era != self.era;
        if is_other_era || self.watch_version.is_none_or(|version| batch.version < version) {
            return self.handle_failure(now);
        }
        self.offset = self.offset.max(batch.offset);
        let quick = now.since(batch.sent) < MIN_EMPTY_WATCH;
        let empty = self.watch_version == Some(batch.version);
        self.watch_version = Some(batch.version);
        self.failures = 0;
        self.observe_highest(highest, now);
        self.confirm(batch, highest);
        if quick && empty && self.watches {
            self.call = StoreCall::Watch;
            return vec![IntentsEffect::Watch { version: batch.version, delay: MIN_EMPTY_WATCH }];
        }
        Vec::new()
    }

    /// Makes the entry complete once a list suffices. A store that came back from an older copy
    /// may lack acknowledged intents, so an entry that starts then also waits until it holds what
    /// a complete peer holds, for a limited time in case that no peer is complete.
    pub(super) fn complete_from_list(&mut self, now: Timestamp) {
        let Some(listed) = self.first_list else { return };
        let is_first_era = self.era == StoreEra::default();
        let has_waited = now.since(listed) >= START_PEERS_WAIT;
        self.complete |= is_first_era || has_waited || !self.synced_peers.is_empty();
    }

    /// Returns the version in force up to which a batch is complete.
    fn shown_by(&self, batch: &StoreBatch) -> u64 {
        self.offset.saturating_add(batch.version)
    }

    /// Records a batch as proof of freshness if it is not behind the versions held.
    fn confirm(&mut self, batch: &StoreBatch, highest: u64) {
        if batch.fully_decoded && self.shown_by(batch) >= highest {
            self.confirmed = self.confirmed.max(Some(batch.sent));
        }
    }

    /// Handles a failed call: lists the intents after a delay.
    pub(super) fn handle_failure(&mut self, _now: Timestamp) -> Vec<IntentsEffect> {
        self.watch_version = None;
        self.failures = self.failures.saturating_add(1);
        self.call = StoreCall::List;
        let bounds = if self.watches { WATCHER_BACKOFF } else { OTHER_BACKOFF };
        vec![IntentsEffect::List { delay: bounds.delay(self.failures, &mut self.random) }]
    }

    /// Handles the response of a peer whose intents were applied already. The pair holds
    /// the peer's summary and this entry's digest.
    pub(super) fn handle_reply(
        &mut self,
        peer: String,
        sent: Timestamp,
        (theirs, digest): (ConfigSummary, u64),
        now: Timestamp,
    ) {
        self.has_peers = true;
        self.last_response = now;
        if theirs.digest != digest {
            self.synced_peers.remove(&peer);
            return;
        }
        // The peer computed the age after the call was sent, so this time is not later than
        // its confirmation.
        let confirmed = theirs.confirmed_age.map(|age| sent - age);
        self.confirmed = self.confirmed.max(confirmed);
        if theirs.complete && !self.complete {
            self.synced_peers.insert(peer);
            let first = *self.first_complete_peer.get_or_insert(now);
            let waits_for_more = now.since(first) < START_PEERS_WAIT;
            let needed =
                if waits_for_more { START_PEERS.min(self.other_members).max(1) } else { 1 };
            self.complete = self.synced_peers.len() >= needed;
        }
    }

    /// Records the highest version held, to detect a watch that delivers nothing.
    pub(super) fn observe_highest(&mut self, highest: u64, now: Timestamp) {
        let Some(watch_version) = self.watch_version else { return };
        let shown = self.offset.saturating_add(watch_version);
        self.unseen = match self.unseen {
            _ if highest <= shown => None,
            Some((version, since)) if version > shown => Some((version, since)),
            _ => Some((highest, now)),
        };
    }

    /// Returns the next store call if none is in progress and one is due.
    pub(super) fn next_call(&mut self, now: Timestamp) -> Option<IntentsEffect> {
        if self.call != StoreCall::None {
            return None;
        }
        let stalled = self.unseen.is_some_and(|(_, since)| now.since(since) > MAX_WATCH_LAG);
        if self.watches
            && !stalled
            && let Some(version) = self.watch_version
        {
            self.call = StoreCall::Watch;
            return Some(IntentsEffect::Watch { version, delay: Duration::ZERO });
        }
        let fresh = self.confirmed.is_some_and(|time| now.since(time) <= MAX_CONFIRMATION_AGE);
        if !self.watches && fresh {
            // The watch position becomes outdated while other entries watch.
            self.watch_version = None;
            return None;
        }
        self.call = StoreCall::List;
        let spread = self.random.random_range(0.0..1.0);
        Some(IntentsEffect::List { delay: START_SPREAD.mul_f64(spread) })
    }
}

/// Returns the entries of a region that watch the store, chosen by rendezvous hashing: all
/// entries choose the same ones from the same list, and if a watcher leaves, the others
/// keep watching.
pub fn choose_watchers<'a>(members: &'a [EntryLocation], region: &str) -> Vec<&'a str> {
    let local = members.iter().filter(|member| member.region == region);
    let mut names: Vec<_> = local.map(|member| member.name.as_str()).collect();
    names.sort_by_key(|name| ShortDigest::of(&[b"watcher", name.as_bytes()]));
    names.truncate(WATCHERS_PER_REGION);
    names
}
