//! When to ask the store, how fresh the intents are and whether the entry is ready.

use std::collections::HashSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{ConfigSummary, EntryLocation, SettingsEffect, StoreBatch};
use crate::backoff::BackoffBounds;
use crate::clock::Timestamp;
use crate::digest::ShortDigest;

/// Entries of each region that watch the store. Three keep a region informed when
/// one is replaced and another is cut off; 18 watches in 6 regions cost the store
/// about 12 calls a second.
pub const WATCHERS_PER_REGION: usize = 3;

/// Time without contact to store and peers after which the entry is not ready.
const MAX_ISOLATION: Duration = Duration::from_secs(10);

/// Age of the last confirmation after which an entry that does not watch asks
/// the store itself.
const MAX_HEARSAY_AGE: Duration = Duration::from_secs(15);

/// Time for the watch to show a version that a peer already holds. After it the
/// watch is taken as silent and the intents are listed.
const MAX_WATCH_LAG: Duration = Duration::from_secs(2);

/// Shortest time between two watches that return nothing.
const MIN_EMPTY_WATCH: Duration = Duration::from_millis(200);

/// Complete peers whose intents a starting entry needs when the store is out.
const START_PEERS: usize = 3;

/// Time after the first complete peer answered from which one peer suffices.
const START_PATIENCE: Duration = Duration::from_secs(3);

/// Spread of the first call of entries that start together.
const START_SPREAD: Duration = Duration::from_millis(250);

/// Delays of watching entries, which the whole region depends on.
const WATCHER_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(250), longest: Duration::from_secs(4) };

/// Delays of the other entries. With 200 entries the store sees at most about 9
/// lists a second of theirs when it recovers.
const OTHER_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_secs(1), longest: Duration::from_secs(30) };

/// The store call that is under way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreCall {
    None,
    List,
    Watch,
}

/// Follows the store and the peers.
#[derive(Debug)]
pub(super) struct StoreFollower {
    place: EntryLocation,
    random: SmallRng,
    pub(super) confirmed: Option<Timestamp>,
    pub(super) complete: bool,
    last_contact: Timestamp,
    watches: bool,
    has_peers: bool,
    other_members: usize,
    call: StoreCall,
    failures: u32,
    /// Store version to watch from; none until a list succeeded.
    position: Option<u64>,
    /// Largest offset that the last list and the watches after it showed.
    pub(super) offset: u64,
    /// Whether the last list showed less than is held: a stale read, or a store
    /// that was restored to an older state.
    pub(super) shows_less: bool,
    /// Highest version that the store does not show yet, and since when.
    unseen: Option<(u64, Timestamp)>,
    synced_peers: HashSet<String>,
    first_complete_peer: Option<Timestamp>,
    reported_ready: Option<bool>,
}

impl StoreFollower {
    pub(super) fn new(place: EntryLocation, started: Timestamp, seed: u64) -> Self {
        Self {
            place,
            random: SmallRng::seed_from_u64(seed),
            confirmed: None,
            complete: false,
            last_contact: started,
            watches: false,
            has_peers: false,
            other_members: 0,
            call: StoreCall::None,
            failures: 0,
            position: None,
            offset: 0,
            shows_less: false,
            unseen: None,
            synced_peers: HashSet::new(),
            first_complete_peer: None,
            reported_ready: None,
        }
    }

    /// An entry without any peer cannot tell an outage from a partition and
    /// keeps serving.
    pub(super) fn ready(&self, now: Timestamp) -> bool {
        let isolated = self.has_peers && now.since(self.last_contact) > MAX_ISOLATION;
        self.complete && !isolated
    }

    pub(super) fn readiness_change(&mut self, now: Timestamp) -> Option<bool> {
        let ready = Some(self.ready(now));
        let changed = self.reported_ready != ready;
        self.reported_ready = ready;
        ready.filter(|_| changed)
    }

    pub(super) fn take_members(&mut self, members: &[EntryLocation]) {
        let others = members.iter().filter(|member| member.name != self.place.name).count();
        self.other_members = others;
        self.has_peers |= others > 0;
        let watchers = choose_watchers(members, &self.place.region);
        self.watches = watchers.contains(&self.place.name.as_str());
    }

    pub(super) fn take_list(
        &mut self,
        batch: &StoreBatch,
        highest: u64,
        now: Timestamp,
    ) -> Vec<SettingsEffect> {
        self.call = StoreCall::None;
        self.last_contact = now;
        self.offset = batch.offset;
        self.shows_less = self.shown_by(batch) < highest;
        if self.shows_less {
            // Held versions stay.
            return self.take_failure(now);
        }
        self.failures = 0;
        self.position = Some(batch.version);
        self.unseen = None;
        self.complete = true;
        self.confirm(batch, highest);
        Vec::new()
    }

    pub(super) fn take_watch(
        &mut self,
        batch: &StoreBatch,
        highest: u64,
        now: Timestamp,
    ) -> Vec<SettingsEffect> {
        self.call = StoreCall::None;
        self.last_contact = now;
        if self.position.is_none_or(|position| batch.version < position) {
            return self.take_failure(now);
        }
        self.offset = self.offset.max(batch.offset);
        let quick = now.since(batch.sent) < MIN_EMPTY_WATCH;
        let empty = self.position == Some(batch.version);
        self.position = Some(batch.version);
        self.failures = 0;
        self.note_highest(highest, now);
        self.confirm(batch, highest);
        if quick && empty && self.watches {
            self.call = StoreCall::Watch;
            return vec![SettingsEffect::Watch { version: batch.version, delay: MIN_EMPTY_WATCH }];
        }
        Vec::new()
    }

    /// Gives the version in force up to which a batch is complete.
    fn shown_by(&self, batch: &StoreBatch) -> u64 {
        self.offset.saturating_add(batch.version)
    }

    /// Takes a batch as proof of freshness if it is not behind what is known.
    fn confirm(&mut self, batch: &StoreBatch, highest: u64) {
        if batch.fully_decoded && self.shown_by(batch) >= highest {
            self.confirmed = self.confirmed.max(Some(batch.sent));
        }
    }

    /// Lists again after a delay.
    pub(super) fn take_failure(&mut self, _now: Timestamp) -> Vec<SettingsEffect> {
        self.position = None;
        self.failures = self.failures.saturating_add(1);
        self.call = StoreCall::List;
        let bounds = if self.watches { WATCHER_BACKOFF } else { OTHER_BACKOFF };
        vec![SettingsEffect::List { delay: bounds.delay(self.failures, &mut self.random) }]
    }

    /// Takes the answer of a peer, after its intents were applied. `digests` are
    /// the peer's and this entry's.
    pub(super) fn take_reply(
        &mut self,
        peer: String,
        sent: Timestamp,
        (theirs, digest): (ConfigSummary, u64),
        now: Timestamp,
    ) {
        self.has_peers = true;
        self.last_contact = now;
        if theirs.digest != digest {
            self.synced_peers.remove(&peer);
            return;
        }
        // The peer computed the age after the call was sent, so that this time
        // is not later than its confirmation.
        let confirmed = theirs.confirmed_age.map(|age| sent - age);
        self.confirmed = self.confirmed.max(confirmed);
        if theirs.complete && !self.complete {
            self.synced_peers.insert(peer);
            let first = *self.first_complete_peer.get_or_insert(now);
            let patient = now.since(first) < START_PATIENCE;
            let needed = if patient { START_PEERS.min(self.other_members).max(1) } else { 1 };
            self.complete = self.synced_peers.len() >= needed;
        }
    }

    /// Notes the highest version held, to recognise a watch that shows nothing.
    pub(super) fn note_highest(&mut self, highest: u64, now: Timestamp) {
        let Some(position) = self.position else { return };
        let position = self.offset.saturating_add(position);
        self.unseen = match self.unseen {
            _ if highest <= position => None,
            Some((version, since)) if version > position => Some((version, since)),
            _ => Some((highest, now)),
        };
    }

    /// Starts the next store call if none is under way and one is due.
    pub(super) fn resume(&mut self, now: Timestamp) -> Option<SettingsEffect> {
        if self.call != StoreCall::None {
            return None;
        }
        let overtaken = self.unseen.is_some_and(|(_, since)| now.since(since) > MAX_WATCH_LAG);
        if self.watches
            && !overtaken
            && let Some(version) = self.position
        {
            self.call = StoreCall::Watch;
            return Some(SettingsEffect::Watch { version, delay: Duration::ZERO });
        }
        let fresh = self.confirmed.is_some_and(|time| now.since(time) <= MAX_HEARSAY_AGE);
        if !self.watches && fresh {
            // Its position grows old while others watch.
            self.position = None;
            return None;
        }
        self.call = StoreCall::List;
        let spread = self.random.random_range(0.0..1.0);
        Some(SettingsEffect::List { delay: START_SPREAD.mul_f64(spread) })
    }
}

/// Picks the entries of a region that watch the store, by rendezvous hashing: all
/// entries pick the same ones from the same list, and one that leaves changes
/// only its own place.
pub fn choose_watchers<'a>(members: &'a [EntryLocation], region: &str) -> Vec<&'a str> {
    let local = members.iter().filter(|member| member.region == region);
    let mut names: Vec<_> = local.map(|member| member.name.as_str()).collect();
    names.sort_by_key(|name| ShortDigest::of(&[b"watcher", name.as_bytes()]));
    names.truncate(WATCHERS_PER_REGION);
    names
}
