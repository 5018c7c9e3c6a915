//! The state of one claim segment, with the claims and state updates that wait to be
//! written to it.

use std::time::Duration;

use super::{ClaimResult, ClaimsEffect, SegmentName};
use crate::claims::{
    ClaimOwner, ClaimSegment, ClaimState, IdempotencyKey, InsertOutcome, KeyDigest,
};
use crate::clock::Timestamp;
use crate::controllers::StoreEra;

/// Time for which claims are collected before a write. The runtime's timer adds up to 1 ms,
/// so that a claim waits up to 2 ms.
pub const CLAIM_BATCH_DELAY: Duration = Duration::from_millis(1);

/// Time for which state updates are collected if no claim waits with them; no request waits
/// for them.
pub(super) const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Greatest number of state updates that wait for a segment. Further ones are dropped, with
/// the only effect that a repeated key is reported as running.
const MAX_WAITING_UPDATES: usize = 1000;

#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) key: IdempotencyKey,
    pub(super) nonce: u64,
}

#[derive(Debug)]
pub(super) struct PendingUpdate {
    pub(super) key: KeyDigest,
    pub(super) nonce: u64,
    pub(super) state: ClaimState,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum BatchPhase {
    #[default]
    Idle,
    Collecting,
    Reading,
    Writing,
}

/// The state of one claim segment, with the claims and state updates that wait to be
/// written to it.
#[derive(Debug, Default)]
pub(super) struct SegmentBatch {
    pub(super) phase: BatchPhase,
    /// Whether claims, not only state updates, are being collected.
    pub(super) urgent: bool,
    pub(super) calls: u32,
    pub(super) response_lost: bool,
    /// Content that the store is known to have held, with the claims that it has lost since.
    pub(super) content: ClaimSegment,
    /// Content of the write in progress. It is not known to be stored.
    pub(super) written: ClaimSegment,
    /// Whether `content` holds claims that the store has lost.
    pub(super) has_lost: bool,
    /// Era of the store in which `content` was read or written.
    pub(super) era: StoreEra,
    /// Version of `content`; `None` if it is not known.
    pub(super) version: Option<u64>,
    /// Whether `content` was read or written during this batch.
    pub(super) fresh: bool,
    /// Lowest version of a current read of the same era. A lower one is stale, or the store came back from an
    /// older copy.
    pub(super) lowest_version: u64,
    pub(super) claims: Vec<PendingClaim>,
    pub(super) updates: Vec<PendingUpdate>,
    /// Number of claims that the write in progress contains.
    pub(super) written_claims: usize,
    /// Number of state updates that the write in progress contains.
    pub(super) written_updates: usize,
}

impl SegmentBatch {
    /// Starts to collect a batch, or shortens the delay of one that collects only state
    /// updates.
    pub(super) fn collect(&mut self, name: SegmentName, urgent: bool) -> Vec<ClaimsEffect> {
        self.collect_for(name, urgent, if urgent { CLAIM_BATCH_DELAY } else { UPDATE_BATCH_DELAY })
    }

    /// Starts to collect a batch if anything waits. State updates without a claim wait for
    /// `update_delay`.
    pub(super) fn collect_waiting(
        &mut self,
        name: SegmentName,
        update_delay: Duration,
    ) -> Vec<ClaimsEffect> {
        if self.claims.is_empty() && self.updates.is_empty() {
            return Vec::new();
        }
        let urgent = !self.claims.is_empty();
        self.collect_for(name, urgent, if urgent { CLAIM_BATCH_DELAY } else { update_delay })
    }

    /// Starts a batch after `delay`, even if nothing waits.
    pub(super) fn collect_after(
        &mut self,
        name: SegmentName,
        delay: Duration,
    ) -> Vec<ClaimsEffect> {
        self.collect_for(name, false, delay)
    }

    fn collect_for(
        &mut self,
        name: SegmentName,
        urgent: bool,
        delay: Duration,
    ) -> Vec<ClaimsEffect> {
        let shortens = self.phase == BatchPhase::Collecting && urgent && !self.urgent;
        if self.phase != BatchPhase::Idle && !shortens {
            return Vec::new();
        }
        self.phase = BatchPhase::Collecting;
        self.urgent = urgent;
        vec![ClaimsEffect::Wake(name, delay)]
    }

    /// Removes a claim unless a write may have contained it. Returns `true` if it was
    /// removed.
    pub(super) fn withdraw(&mut self, nonce: u64) -> bool {
        let position = self.claims.iter().position(|claim| claim.nonce == nonce);
        let unwritten = position.filter(|position| *position >= self.written_claims);
        let Some(position) = unwritten.filter(|_| !self.response_lost) else { return false };
        self.claims.remove(position);
        true
    }

    /// Adds a state update unless too many wait.
    pub(super) fn add_update(&mut self, key: KeyDigest, nonce: u64, state: ClaimState) {
        if self.updates.len() < MAX_WAITING_UPDATES {
            self.updates.push(PendingUpdate { key, nonce, state });
        }
    }

    /// Adds the waiting claims to `content`, and resolves those that it already holds or
    /// rejects. Content that is not fresh never rejects a claim.
    pub(super) fn apply_claims(
        &mut self,
        content: &mut ClaimSegment,
        owner: &ClaimOwner,
        now: Timestamp,
    ) -> AppliedClaims {
        let mut applied = AppliedClaims::default();
        for claim in std::mem::take(&mut self.claims) {
            let owner = ClaimOwner { nonce: claim.nonce, ..owner.clone() };
            let result = match content.insert_claim(claim.key, &owner, now) {
                InsertOutcome::Added => {
                    applied.changed = true;
                    self.claims.push(claim);
                    continue;
                }
                // A write whose response was lost took effect.
                InsertOutcome::AlreadyHeld => ClaimResult::Granted,
                _ if !self.fresh => {
                    applied.needs_fresh = true;
                    self.claims.push(claim);
                    continue;
                }
                InsertOutcome::Repeated(state) => ClaimResult::Repeated(state),
                InsertOutcome::Expired => ClaimResult::Expired,
                InsertOutcome::PermanentLimitReached => ClaimResult::PermanentLimitReached,
                InsertOutcome::SegmentFull => ClaimResult::Unavailable,
            };
            applied.results.push(ClaimsEffect::Resolve(claim.nonce, result));
        }
        applied
    }

    /// Applies the waiting state updates. Returns `true` if a write is needed.
    pub(super) fn apply_updates(&self, content: &mut ClaimSegment, owner: &ClaimOwner) -> bool {
        let mut changed = false;
        for update in &self.updates {
            let owner = ClaimOwner { nonce: update.nonce, ..owner.clone() };
            changed |= content.set_state(update.key, &owner, update.state);
            // A write is needed in any case: it changes the version, so that a delayed
            // write of the claim no longer takes effect.
            changed |= update.state == ClaimState::NotRun;
        }
        changed
    }

    /// Takes the content that a read returned in an era that began before `since`. What the
    /// store held before and lacks now is kept. A write on top of a stale read conflicts, so it
    /// needs no other precaution.
    pub(super) fn accept_read(
        &mut self,
        version: u64,
        mut content: ClaimSegment,
        (era, since): (StoreEra, Timestamp),
    ) {
        if self.era < era {
            self.lowest_version = 0;
        }
        let is_behind = self.era < era || version < self.lowest_version;
        self.era = era;
        content.enter_era(era, since);
        self.has_lost = content.add_lost(&self.content, is_behind);
        self.content = content;
        self.version = Some(version);
        self.lowest_version = self.lowest_version.max(version);
        self.fresh = true;
    }

    /// Returns `true` if the segment holds a claim of this entry.
    pub(super) fn has_claim_of(&self, entry: &str) -> bool {
        self.content.claims.values().any(|record| record.owner.entry == entry)
    }

    /// Takes the result of a write that took effect at `version`.
    pub(super) fn accept_write(&mut self, version: u64) {
        self.content = std::mem::take(&mut self.written);
        self.has_lost = false;
        self.version = Some(version);
        self.lowest_version = version;
        self.fresh = true;
    }

    /// Ends the batch. Claims and updates added in the meantime belong to the next one.
    pub(super) fn reset(&mut self) {
        self.phase = BatchPhase::Idle;
        self.calls = 0;
        self.response_lost = false;
        self.fresh = false;
        self.written_claims = 0;
        self.written_updates = 0;
    }
}

/// Results of applying the waiting claims.
#[derive(Debug, Default)]
pub(super) struct AppliedClaims {
    pub(super) results: Vec<ClaimsEffect>,
    /// Whether a claim was added.
    pub(super) changed: bool,
    /// Whether content that is not fresh would reject a claim.
    pub(super) needs_fresh: bool,
}
