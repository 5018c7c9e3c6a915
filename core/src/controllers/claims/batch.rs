//! One segment with the claims and marks on their way into it.

use std::time::Duration;

use super::{ClaimResult, ClaimsEffect, SegmentName};
use crate::claims::{
    ClaimOwner, ClaimSegment, ClaimState, IdempotencyKey, InsertOutcome, KeyDigest,
};

/// Time for which claims are gathered before a write. The runtime's timer adds up
/// to 1 ms, so that a claim waits up to 2 ms.
pub const CLAIM_BATCH: Duration = Duration::from_millis(1);

/// Time for which marks alone are gathered; nobody waits for them.
pub(super) const MARK_BATCH: Duration = Duration::from_millis(50);

/// Marks that wait for a segment; further ones are lost, which only makes a
/// repeated key answer "running".
const MAX_WAITING_MARKS: usize = 1000;

#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) key: IdempotencyKey,
    pub(super) nonce: u64,
}

#[derive(Debug)]
pub(super) struct PendingMark {
    pub(super) key: KeyDigest,
    pub(super) nonce: u64,
    pub(super) state: ClaimState,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum BatchPhase {
    #[default]
    Idle,
    Gathering,
    Reading,
    Writing,
}

/// One segment with the claims and marks on their way into it.
#[derive(Debug, Default)]
pub(super) struct SegmentBatch {
    pub(super) phase: BatchPhase,
    /// Whether claims, and not marks alone, are being gathered.
    pub(super) urgent: bool,
    pub(super) calls: u32,
    pub(super) answer_lost: bool,
    pub(super) content: ClaimSegment,
    /// Version of `content`; none if it is not known.
    pub(super) version: Option<u64>,
    /// Whether `content` was read or written during this batch.
    pub(super) fresh: bool,
    /// Lowest version that a read may show; lower ones are stale.
    pub(super) lowest_version: u64,
    pub(super) claims: Vec<PendingClaim>,
    pub(super) marks: Vec<PendingMark>,
    /// Claims and marks that the write under way holds.
    pub(super) written_claims: usize,
    pub(super) written_marks: usize,
}

impl SegmentBatch {
    /// Starts to gather a batch, or hurries one that gathers marks alone.
    pub(super) fn gather(&mut self, name: SegmentName, urgent: bool) -> Vec<ClaimsEffect> {
        self.gather_for(name, urgent, if urgent { CLAIM_BATCH } else { MARK_BATCH })
    }

    /// Starts to gather what waits, marks alone for `mark_delay`.
    pub(super) fn gather_waiting(
        &mut self,
        name: SegmentName,
        mark_delay: Duration,
    ) -> Vec<ClaimsEffect> {
        if self.claims.is_empty() && self.marks.is_empty() {
            return Vec::new();
        }
        let urgent = !self.claims.is_empty();
        self.gather_for(name, urgent, if urgent { CLAIM_BATCH } else { mark_delay })
    }

    fn gather_for(
        &mut self,
        name: SegmentName,
        urgent: bool,
        delay: Duration,
    ) -> Vec<ClaimsEffect> {
        let hurry = self.phase == BatchPhase::Gathering && urgent && !self.urgent;
        if self.phase != BatchPhase::Idle && !hurry {
            return Vec::new();
        }
        self.phase = BatchPhase::Gathering;
        self.urgent = urgent;
        vec![ClaimsEffect::Wake(name, delay)]
    }

    /// Removes a claim that no write can have held; returns whether it did.
    pub(super) fn withdraw(&mut self, nonce: u64) -> bool {
        let position = self.claims.iter().position(|claim| claim.nonce == nonce);
        let unwritten = position.filter(|position| *position >= self.written_claims);
        let Some(position) = unwritten.filter(|_| !self.answer_lost) else { return false };
        self.claims.remove(position);
        true
    }

    /// Adds a mark unless too many wait.
    pub(super) fn add_mark(&mut self, key: KeyDigest, nonce: u64, state: ClaimState) {
        if self.marks.len() < MAX_WAITING_MARKS {
            self.marks.push(PendingMark { key, nonce, state });
        }
    }

    /// Adds the waiting claims to `content` and answers those that it decides.
    /// Content that is not fresh decides nothing against a claim.
    pub(super) fn apply_claims(
        &mut self,
        content: &mut ClaimSegment,
        owner: &ClaimOwner,
    ) -> AppliedClaims {
        let mut applied = AppliedClaims::default();
        for claim in std::mem::take(&mut self.claims) {
            let owner = ClaimOwner { nonce: claim.nonce, ..owner.clone() };
            let answer = match content.insert_claim(claim.key, &owner) {
                InsertOutcome::Added => {
                    applied.changed = true;
                    self.claims.push(claim);
                    continue;
                }
                // A write whose answer was lost took effect.
                InsertOutcome::AlreadyHeld => ClaimResult::Granted,
                _ if !self.fresh => {
                    applied.doubtful = true;
                    self.claims.push(claim);
                    continue;
                }
                InsertOutcome::Repeated(state) => ClaimResult::Repeated(state),
                InsertOutcome::Expired => ClaimResult::Expired,
                InsertOutcome::PermanentLimitReached => ClaimResult::PermanentLimitReached,
                InsertOutcome::SegmentFull => ClaimResult::Unavailable,
            };
            applied.answers.push(ClaimsEffect::Resolve(claim.nonce, answer));
        }
        applied
    }

    /// Applies the waiting marks; returns whether a write is needed.
    pub(super) fn apply_marks(&self, content: &mut ClaimSegment, owner: &ClaimOwner) -> bool {
        let mut changed = false;
        for mark in &self.marks {
            let owner = ClaimOwner { nonce: mark.nonce, ..owner.clone() };
            changed |= content.mark(mark.key, &owner, mark.state);
            // The write also keeps a delayed write of the claim from taking effect.
            changed |= mark.state == ClaimState::NotRun;
        }
        changed
    }

    /// Ends the batch; what was added meanwhile belongs to the next one.
    pub(super) fn end(&mut self) {
        self.phase = BatchPhase::Idle;
        self.calls = 0;
        self.answer_lost = false;
        self.fresh = false;
        self.written_claims = 0;
        self.written_marks = 0;
    }
}

/// What became of the waiting claims.
#[derive(Debug, Default)]
pub(super) struct AppliedClaims {
    pub(super) answers: Vec<ClaimsEffect>,
    /// Whether a claim was added.
    pub(super) changed: bool,
    /// Whether content that is not fresh speaks against a claim.
    pub(super) doubtful: bool,
}
