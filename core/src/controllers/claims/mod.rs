//! Claims of this entry: batched by segment, written by one conditional update and
//! recognised by nonce when its answer is lost.

mod batch;
mod messages;

use std::collections::HashMap;
use std::time::Duration;

pub use batch::CLAIM_BATCH;
use batch::{BatchPhase, MARK_BATCH, PendingClaim, SegmentBatch};
pub use messages::{ClaimResult, ClaimsEffect, ClaimsMessage, SegmentName};

use super::{ReadReply, StateController, WriteReply};
use crate::claims::{ClaimOwner, ClaimSegment, ClaimState, IdempotencyKey};
use crate::clock::Timestamp;

/// Time after which marks are tried again when the store failed.
const AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Store calls for one batch. Conflicts take two each, and the delays between
/// calls after a failure add up to about 150 ms.
const MAX_CALLS: u32 = 12;

/// Longest delay before a failed call is repeated; it grows with each call.
const CALL_DELAY: Duration = Duration::from_millis(5);

/// Claims kept in memory over all segments, about 12 MB. A segment that is not
/// kept costs one more read.
const MAX_KEPT_CLAIMS: usize = 100_000;

/// Batches the claims of one entry. Safety rests on the condition of each write:
/// a key is granted only when a segment with its claim is known to be stored.
#[derive(Debug)]
pub struct ClaimsController {
    entry: String,
    incarnation: u64,
    window: Duration,
    segments: HashMap<SegmentName, SegmentBatch>,
}

impl ClaimsController {
    /// Creates the controller of an entry. `window` is how long keys are kept.
    pub fn new(entry: String, incarnation: u64, window: Duration) -> Self {
        Self { entry, incarnation, window, segments: HashMap::new() }
    }

    fn owner(&self, nonce: u64) -> ClaimOwner {
        ClaimOwner { entry: self.entry.clone(), incarnation: self.incarnation, nonce }
    }

    fn add_claim(
        &mut self,
        service: String,
        key: IdempotencyKey,
        nonce: u64,
        now: Timestamp,
    ) -> Vec<ClaimsEffect> {
        if key.is_expired(self.window, now) {
            return vec![ClaimsEffect::Resolve(nonce, ClaimResult::Expired)];
        }
        let name = SegmentName { service, segment: key.segment() };
        let batch = self.segments.entry(name.clone()).or_default();
        batch.claims.push(PendingClaim { key, nonce });
        batch.gather(name, true)
    }

    fn settle(
        &mut self,
        service: String,
        key: IdempotencyKey,
        nonce: u64,
        state: ClaimState,
    ) -> Vec<ClaimsEffect> {
        let name = SegmentName { service, segment: key.segment() };
        let batch = self.segments.entry(name.clone()).or_default();
        if batch.withdraw(nonce) {
            return Vec::new();
        }
        batch.add_mark(key.digest, nonce, state);
        batch.gather(name, false)
    }

    fn take_read(
        &mut self,
        name: &SegmentName,
        reply: ReadReply<ClaimSegment>,
        now: Timestamp,
    ) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        match (reply.version(), reply) {
            (Some(version), reply) if version >= batch.lowest_version => {
                batch.content = match reply {
                    ReadReply::Found { content, .. } => content,
                    _ => ClaimSegment::default(),
                };
                batch.version = Some(version);
                batch.lowest_version = version;
                batch.fresh = true;
                self.write(name, now)
            }
            _ => self.read_again(name),
        }
    }

    /// Applies claims and marks to the known content and writes it, or reads it
    /// first if it is not known or too old to refuse a claim.
    fn write(&mut self, name: &SegmentName, now: Timestamp) -> Vec<ClaimsEffect> {
        let window = self.window;
        let owner = self.owner(0);
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        let Some(version) = batch.version else { return self.read_again(name) };
        let mut content = batch.content.clone();
        content.drop_expired(window, now);
        let applied = batch.apply_claims(&mut content, &owner);
        let mut effects = applied.answers;
        if applied.doubtful {
            effects.extend(self.read_again(name));
            return effects;
        }
        let marked = batch.apply_marks(&mut content, &owner);
        if !(applied.changed || marked) {
            batch.marks.clear();
            effects.extend(self.finish(name, MARK_BATCH));
            return effects;
        }
        batch.phase = BatchPhase::Writing;
        batch.calls += 1;
        batch.written_claims = batch.claims.len();
        batch.written_marks = batch.marks.len();
        batch.content = content.clone();
        effects.push(ClaimsEffect::Write(name.clone(), content, version));
        effects
    }

    fn take_write(&mut self, name: &SegmentName, reply: WriteReply) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        match reply {
            WriteReply::Written(version) => {
                batch.version = Some(version);
                batch.lowest_version = version;
                batch.fresh = true;
                batch.marks.drain(..batch.written_marks);
                let granted = batch.claims.drain(..batch.written_claims);
                let mut effects: Vec<_> = granted
                    .map(|claim| ClaimsEffect::Resolve(claim.nonce, ClaimResult::Granted))
                    .collect();
                effects.extend(self.finish(name, MARK_BATCH));
                return effects;
            }
            WriteReply::Conflict(version) => {
                batch.lowest_version = batch.lowest_version.max(version);
            }
            WriteReply::NoResponse => batch.answer_lost = true,
            WriteReply::Refused => {}
        }
        batch.version = None;
        self.read_again(name)
    }

    fn read_again(&mut self, name: &SegmentName) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        if batch.calls >= MAX_CALLS {
            return self.give_up(name);
        }
        let delay = CALL_DELAY * (batch.calls / 2);
        batch.calls += 1;
        batch.version = None;
        batch.phase = BatchPhase::Reading;
        vec![ClaimsEffect::Read(name.clone(), delay)]
    }

    /// Refuses all claims of the batch. Those that a lost write may hold are
    /// withdrawn later, so that their keys become free again.
    fn give_up(&mut self, name: &SegmentName) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        let claims = std::mem::take(&mut batch.claims);
        if batch.answer_lost {
            for claim in &claims {
                batch.add_mark(claim.key.digest, claim.nonce, ClaimState::NotRun);
            }
        }
        let mut effects: Vec<_> = claims
            .iter()
            .map(|claim| ClaimsEffect::Resolve(claim.nonce, ClaimResult::Unavailable))
            .collect();
        effects.extend(self.finish(name, AFTER_FAILURE));
        effects
    }

    /// Ends a batch and starts the next one if claims or marks wait.
    fn finish(&mut self, name: &SegmentName, mark_delay: Duration) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        batch.end();
        let effects = batch.gather_waiting(name.clone(), mark_delay);
        self.forget_content();
        effects
    }

    /// Keeps the memory of idle segments within its bound.
    fn forget_content(&mut self) {
        let kept: usize = self.segments.values().map(|batch| batch.content.claims.len()).sum();
        if kept > MAX_KEPT_CLAIMS {
            self.segments.retain(|_, batch| batch.phase != BatchPhase::Idle);
        }
    }
}

impl StateController for ClaimsController {
    type Message = ClaimsMessage;
    type Effect = ClaimsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            ClaimsMessage::Claim { service, key, nonce } => {
                self.add_claim(service, key, nonce, now)
            }
            ClaimsMessage::Settle { service, key, nonce, state } => {
                self.settle(service, key, nonce, state)
            }
            ClaimsMessage::Read(name, reply) => self.take_read(&name, reply, now),
            ClaimsMessage::Wrote(name, reply) => self.take_write(&name, reply),
            ClaimsMessage::Wake(name) => {
                let gathering = self
                    .segments
                    .get(&name)
                    .is_some_and(|batch| batch.phase == BatchPhase::Gathering);
                if gathering { self.write(&name, now) } else { Vec::new() }
            }
        }
    }
}
