//! Content of `claims/SERVICE/SEGMENT` in the store.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{IdempotencyKey, KeyDigest};
use crate::clock::Timestamp;

/// Segments of each service. A key must always map to the same segment, so this
/// number can only change together with a migration of all claims.
pub const CLAIM_SEGMENTS: u16 = 256;

/// Claims in one segment. A claim takes about 120 bytes as JSON, so a full
/// segment stays below half of the store's limit of 1 MB.
pub const MAX_SEGMENT_CLAIMS: usize = 4000;

/// Claims of keys that never expire in one segment; the rest is kept for `UUIDv7`.
pub const MAX_PERMANENT_CLAIMS: usize = 2000;

/// Time that a claim is kept beyond the window of its key, so that entries whose
/// clocks differ by less give the same answers. Safety does not depend on it.
pub const EXPIRY_MARGIN: Duration = Duration::from_secs(3600);

/// What is known of the work behind a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed; it runs, or its entry died.
    Running,
    /// A target answered with this HTTP status.
    Done(u16),
    /// It may have run.
    Unknown,
    /// Its owner certainly did not and will not run it; the key is free again.
    NotRun,
}

/// Who claimed a key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// Name of the entry.
    #[serde(rename = "e")]
    pub entry: String,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Random number of the claim, by which its owner recognises it.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// A claimed key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// What is known of the work.
    #[serde(rename = "s")]
    pub state: ClaimState,
    /// Who claimed it.
    #[serde(flatten)]
    pub owner: ClaimOwner,
    /// Time in a `UUIDv7`, in milliseconds since the Unix epoch.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub created_ms: Option<u64>,
}

/// What a segment says to a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InsertOutcome {
    /// The claim was added and counts once the segment is written.
    Added,
    /// The segment already holds this very claim.
    AlreadyHeld,
    /// The key was claimed before.
    Repeated(ClaimState),
    /// The claims of keys as old as this one were dropped.
    Expired,
    /// No room is left for keys that never expire.
    PermanentLimitReached,
    /// No room is left.
    SegmentFull,
}

/// Claims of the keys that map to one segment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimSegment {
    /// Keys created up to this time are refused, since their claims may have been
    /// dropped. It only rises, so that no clock decides about a dropped claim.
    #[serde(default)]
    pub dropped_until_ms: u64,
    /// Claims by key.
    pub claims: IndexMap<KeyDigest, ClaimRecord>,
}

impl ClaimSegment {
    /// Adds a claim if the key is free.
    pub fn insert_claim(&mut self, key: IdempotencyKey, owner: &ClaimOwner) -> InsertOutcome {
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
        if key.created_ms.is_some_and(|created| created <= self.dropped_until_ms) {
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

    /// Marks what became of a claim. Returns whether the segment changed; it does
    /// not if the key is no longer claimed by `owner`.
    pub fn mark(&mut self, key: KeyDigest, owner: &ClaimOwner, state: ClaimState) -> bool {
        match self.claims.get_mut(&key) {
            Some(record) if record.owner == *owner && record.state != state => {
                record.state = state;
                true
            }
            _ => false,
        }
    }

    /// Drops claims of keys older than `window` and the margin.
    pub fn drop_expired(&mut self, window: Duration, now: Timestamp) {
        let until = (now - window - EXPIRY_MARGIN).0 / 1000;
        self.dropped_until_ms = self.dropped_until_ms.max(until);
        let until = self.dropped_until_ms;
        self.claims.retain(|_, record| record.created_ms.is_none_or(|created| created > until));
    }

    fn permanent(&self) -> usize {
        self.claims.values().filter(|record| record.created_ms.is_none()).count()
    }
}
