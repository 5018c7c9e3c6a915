//! Content of `claims/SERVICE/SEGMENT` in the store.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{IdempotencyKey, KeyDigest};
use crate::clock::Timestamp;
use crate::controllers::StoreEra;

/// Number of segments of each service. A key must always map to the same segment, so this
/// number can only change together with a migration of all claims.
pub const CLAIM_SEGMENTS: u16 = 256;

/// Greatest number of claims in one segment. A claim takes about 120 bytes as JSON, so a
/// full segment stays below half of the store's limit of 1 MB.
pub const MAX_SEGMENT_CLAIMS: usize = 4000;

/// Greatest number of claims in one segment of keys that never expire. The rest is reserved
/// for `UUIDv7` keys.
pub const MAX_PERMANENT_CLAIMS: usize = 2000;

/// Time for which a claim is kept beyond the window of its key, so that entries whose
/// clocks differ by less than this decide alike. Safety does not depend on it.
pub const EXPIRY_MARGIN: Duration = Duration::from_secs(3600);

/// Time by which the clock of a caller may be ahead of those of the entries. Keys created up to
/// this time after a restore of the store may have been claimed before it.
const CALLER_CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// Time after a restore of the store for which keys without a time are rejected unless their
/// claims are known. Entries that still run write the claims that they know within this time.
pub const LOST_CLAIM_HOLD: Duration = Duration::from_secs(600);

/// State of the request behind a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed. The request runs, or its entry crashed.
    Running,
    /// A target responded with this HTTP status.
    Done(u16),
    /// The request may have run.
    Unknown,
    /// The request did not run and its owner will not run it. The key is free again.
    NotRun,
}

/// Owner of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// Name of the entry.
    #[serde(rename = "e")]
    pub entry: String,
    /// Incarnation of the entry.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Random number by which the owner recognises its claim.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// A claimed key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// State of the request.
    #[serde(rename = "s")]
    pub state: ClaimState,
    /// Owner of the claim.
    #[serde(flatten)]
    pub owner: ClaimOwner,
    /// Time in a `UUIDv7`, in milliseconds since the Unix epoch.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub created_ms: Option<u64>,
}

impl ClaimRecord {
    /// Returns `true` if the claims of keys created up to `until` milliseconds are dropped and
    /// this is one of them.
    fn is_dropped(&self, until: u64) -> bool {
        self.created_ms.is_some_and(|created| created <= until)
    }
}

/// Outcome of inserting a claim in a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InsertOutcome {
    /// The claim was added. It takes effect once the segment is written.
    Added,
    /// The segment already holds this claim, with the same owner.
    AlreadyHeld,
    /// The key was claimed before, by a request in this state.
    Repeated(ClaimState),
    /// Claims of keys as old as this one may have been dropped.
    Expired,
    /// The segment has no room for further keys that never expire.
    PermanentLimitReached,
    /// The segment has no room for further claims.
    SegmentFull,
}

/// Claims of the keys that map to one segment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimSegment {
    /// Keys created up to this time are rejected, since their claims may have been dropped.
    /// The value never falls, so an entry whose clock is behind does not accept a key whose
    /// claim was dropped.
    #[serde(default)]
    pub dropped_until_ms: u64,
    /// Era of the store that the segment was written in.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: StoreEra,
    /// Keys created up to this time are rejected unless their claims are known, since the store
    /// may have lost them when the era began; 0 if it has lost none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lost_until_ms: u64,
    /// Claims by key.
    pub claims: IndexMap<KeyDigest, ClaimRecord>,
}

fn is_first_era(era: &StoreEra) -> bool {
    *era == StoreEra::default()
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl ClaimSegment {
    /// Inserts a claim if the key is free.
    pub fn insert_claim(
        &mut self,
        key: IdempotencyKey,
        owner: &ClaimOwner,
        now: Timestamp,
    ) -> InsertOutcome {
        if let Some(record) = self.claims.get(&key.digest)
            && record.state != ClaimState::NotRun
        {
            let held = record.owner == *owner;
            return if held {
                InsertOutcome::AlreadyHeld
            } else {
                InsertOutcome::Repeated(record.state)
            };
        }
        let is_dropped = key.created_ms.is_some_and(|created| created <= self.dropped_until_ms);
        if is_dropped || self.may_have_lost(key, now) {
            return InsertOutcome::Expired;
        }
        let reused = self.claims.contains_key(&key.digest);
        if !reused && self.claims.len() >= MAX_SEGMENT_CLAIMS {
            return InsertOutcome::SegmentFull;
        }
        if !reused && key.created_ms.is_none() && self.permanent() >= MAX_PERMANENT_CLAIMS {
            return InsertOutcome::PermanentLimitReached;
        }
        let created_ms = key.created_ms;
        let record = ClaimRecord { state: ClaimState::Running, owner: owner.clone(), created_ms };
        self.claims.insert(key.digest, record);
        InsertOutcome::Added
    }

    /// Returns the state of the request that claimed a key, or `None` if the key is free.
    pub fn used_state(&self, key: KeyDigest) -> Option<ClaimState> {
        let state = self.claims.get(&key)?.state;
        (state != ClaimState::NotRun).then_some(state)
    }

    /// Sets the state of a claim. Returns `true` if the segment changed, which it does not
    /// if the key is no longer claimed by `owner`.
    pub fn set_state(&mut self, key: KeyDigest, owner: &ClaimOwner, state: ClaimState) -> bool {
        match self.claims.get_mut(&key) {
            Some(record) if record.owner == *owner && record.state != state => {
                record.state = state;
                true
            }
            _ => false,
        }
    }

    /// Drops claims of keys older than `window` plus [`EXPIRY_MARGIN`].
    pub fn drop_expired(&mut self, window: Duration, now: Timestamp) {
        let until = (now - window - EXPIRY_MARGIN).0 / 1000;
        self.dropped_until_ms = self.dropped_until_ms.max(until);
        let until = self.dropped_until_ms;
        self.claims.retain(|_, record| !record.is_dropped(until));
    }

    /// Returns `true` if the store may have lost the claim of a key.
    fn may_have_lost(&self, key: IdempotencyKey, now: Timestamp) -> bool {
        let held_until = Timestamp(self.lost_until_ms * 1000) + LOST_CLAIM_HOLD;
        let is_held = self.lost_until_ms > 0 && now < held_until;
        key.created_ms.map_or(is_held, |created| created <= self.lost_until_ms)
    }

    /// Marks the segment as one of `era`, which began before `since`. Unless it was written in
    /// this era, the store may have lost any claim made before.
    pub fn enter_era(&mut self, era: StoreEra, since: Timestamp) {
        if self.era < era {
            self.era = era;
            let until = (since + CALLER_CLOCK_MARGIN).0 / 1000;
            self.lost_until_ms = self.lost_until_ms.max(until);
        }
    }

    /// Adds what an earlier state of the segment holds and this one lacks: a store that came
    /// back from an older copy has lost it. Claims leave a segment only when they expire, and
    /// a settled request never runs again. If `is_behind`, this state is known to be the older
    /// one, and a claim goes before the release of another claim. Returns `true` if the segment
    /// changed.
    pub fn add_lost(&mut self, known: &Self, is_behind: bool) -> bool {
        self.dropped_until_ms = self.dropped_until_ms.max(known.dropped_until_ms);
        self.lost_until_ms = self.lost_until_ms.max(known.lost_until_ms);
        let until = self.dropped_until_ms;
        let kept = known.claims.iter().filter(|(_, record)| !record.is_dropped(until));
        let mut changed = false;
        for (key, record) in kept {
            let is_lost = match self.claims.get(key) {
                None => record.state != ClaimState::NotRun,
                Some(present) if present.owner == record.owner => {
                    present.state == ClaimState::Running && record.state != ClaimState::Running
                }
                Some(present) => {
                    let is_released = present.state == ClaimState::NotRun;
                    is_behind && is_released && record.state != ClaimState::NotRun
                }
            };
            if is_lost {
                self.claims.insert(*key, record.clone());
                changed = true;
            }
        }
        changed
    }

    fn permanent(&self) -> usize {
        self.claims.values().filter(|record| record.created_ms.is_none()).count()
    }
}
