//! Claims of this entry: batched by segment, written by one conditional update and
//! recognised by nonce when its answer is lost.

use std::collections::HashMap;
use std::time::Duration;

use super::{ReadReply, StateController, WriteReply};
use crate::claims::{
    ClaimOwner, ClaimSegment, ClaimState, ClaimVerdict, IdempotencyKey, KeyDigest,
};
use crate::clock::Timestamp;

/// Time for which claims are gathered before a write.
pub const CLAIM_BATCH: Duration = Duration::from_millis(2);

/// Time for which marks alone are gathered; nobody waits for them.
const MARK_BATCH: Duration = Duration::from_millis(50);

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

/// Marks that wait for a segment; further ones are lost, which only makes a
/// repeated key answer "running".
const MAX_WAITING_MARKS: usize = 1000;

/// A segment of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SegmentName {
    /// The service.
    pub service: String,
    /// The segment.
    pub segment: u16,
}

/// What the claims controller is told.
#[derive(Clone, Debug)]
pub enum ClaimsMessage {
    /// A request needs its key claimed.
    Claim {
        /// The service.
        service: String,
        /// The key.
        key: IdempotencyKey,
        /// Random number of this claim.
        nonce: u64,
    },
    /// What became of a request whose key was claimed. [`ClaimState::NotRun`] also
    /// withdraws a claim that is still under way.
    Settle {
        /// The service.
        service: String,
        /// The key.
        key: IdempotencyKey,
        /// Random number of the claim.
        nonce: u64,
        /// What is known.
        state: ClaimState,
    },
    /// A read of a segment ended.
    Read(SegmentName, ReadReply<ClaimSegment>),
    /// A write of a segment ended.
    Wrote(SegmentName, WriteReply),
    /// The time of a [`ClaimsEffect::Wake`] came.
    Wake(SegmentName),
}

/// What the claims controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimsEffect {
    /// Send [`ClaimsMessage::Wake`] after a delay.
    Wake(SegmentName, Duration),
    /// Read a segment after a delay.
    Read(SegmentName, Duration),
    /// Write a segment if it is at this version, 0 for absent.
    Write(SegmentName, ClaimSegment, u64),
    /// Answer the claim with this nonce.
    Answer(u64, ClaimAnswer),
}

/// Answer to a claim. All but `Granted` mean that the request must not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The request may run, once.
    Granted,
    /// The key was used before.
    Repeated(ClaimState),
    /// The key is too old.
    Expired,
    /// Only `UUIDv7` keys can still be claimed.
    FullOfPermanent,
    /// The claim could not be made.
    Unavailable,
}

#[derive(Debug)]
struct PendingClaim {
    key: IdempotencyKey,
    nonce: u64,
}

#[derive(Debug)]
struct PendingMark {
    key: KeyDigest,
    nonce: u64,
    state: ClaimState,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum BatchPhase {
    #[default]
    Idle,
    Gathering,
    Reading,
    Writing,
}

/// One segment with the claims and marks on their way into it.
#[derive(Debug, Default)]
struct SegmentBatch {
    phase: BatchPhase,
    /// Whether claims, and not marks alone, are being gathered.
    urgent: bool,
    calls: u32,
    answer_lost: bool,
    content: ClaimSegment,
    /// Version of `content`; none if it is not known.
    version: Option<u64>,
    /// Whether `content` was read or written during this batch.
    fresh: bool,
    /// Lowest version that a read may show; lower ones are stale.
    lowest_version: u64,
    claims: Vec<PendingClaim>,
    marks: Vec<PendingMark>,
    /// Claims and marks that the write under way holds.
    written_claims: usize,
    written_marks: usize,
}

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
        if key.expired(self.window, now) {
            return vec![ClaimsEffect::Answer(nonce, ClaimAnswer::Expired)];
        }
        let name = SegmentName { service, segment: key.segment() };
        let batch = self.segments.entry(name.clone()).or_default();
        batch.claims.push(PendingClaim { key, nonce });
        gather(batch, name, true, CLAIM_BATCH)
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
        let position = batch.claims.iter().position(|claim| claim.nonce == nonce);
        if let Some(position) = position.filter(|position| *position >= batch.written_claims)
            && !batch.answer_lost
        {
            // No write has held the claim yet.
            batch.claims.remove(position);
            return Vec::new();
        }
        if batch.marks.len() < MAX_WAITING_MARKS {
            batch.marks.push(PendingMark { key: key.digest, nonce, state });
        }
        gather(batch, name, false, MARK_BATCH)
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
        let mut effects = Vec::new();
        let mut added = Vec::new();
        let mut changed = false;
        for claim in batch.claims.drain(..) {
            let owner = ClaimOwner { nonce: claim.nonce, ..owner.clone() };
            let answer = match content.claim(claim.key, &owner) {
                ClaimVerdict::Added => {
                    changed = true;
                    added.push(claim);
                    continue;
                }
                // A write whose answer was lost took effect.
                ClaimVerdict::Held => ClaimAnswer::Granted,
                _ if !batch.fresh => {
                    added.push(claim);
                    continue;
                }
                ClaimVerdict::Repeated(state) => ClaimAnswer::Repeated(state),
                ClaimVerdict::Expired => ClaimAnswer::Expired,
                ClaimVerdict::FullOfPermanent => ClaimAnswer::FullOfPermanent,
                ClaimVerdict::Full => ClaimAnswer::Unavailable,
            };
            effects.push(ClaimsEffect::Answer(claim.nonce, answer));
        }
        batch.claims = added;
        let refused = batch.claims.iter().any(|claim| {
            let record = content.claims.get(&claim.key.digest);
            record.is_none_or(|record| record.owner.nonce != claim.nonce)
        });
        if refused && !batch.fresh {
            effects.extend(self.read_again(name));
            return effects;
        }
        for mark in &batch.marks {
            let owner = ClaimOwner { nonce: mark.nonce, ..owner.clone() };
            changed |= content.mark(mark.key, &owner, mark.state);
            // The write also keeps a delayed write of the claim from taking effect.
            changed |= mark.state == ClaimState::NotRun;
        }
        if !changed {
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
                    .map(|claim| ClaimsEffect::Answer(claim.nonce, ClaimAnswer::Granted))
                    .collect();
                effects.extend(self.finish(name, MARK_BATCH));
                return effects;
            }
            WriteReply::Conflict(version) => {
                batch.lowest_version = batch.lowest_version.max(version);
            }
            WriteReply::NoAnswer => batch.answer_lost = true,
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
            let room = MAX_WAITING_MARKS.saturating_sub(batch.marks.len());
            batch.marks.extend(claims.iter().take(room).map(|claim| PendingMark {
                key: claim.key.digest,
                nonce: claim.nonce,
                state: ClaimState::NotRun,
            }));
        }
        let mut effects: Vec<_> = claims
            .iter()
            .map(|claim| ClaimsEffect::Answer(claim.nonce, ClaimAnswer::Unavailable))
            .collect();
        effects.extend(self.finish(name, AFTER_FAILURE));
        effects
    }

    /// Ends a batch and starts the next one if claims or marks wait.
    fn finish(&mut self, name: &SegmentName, mark_delay: Duration) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        batch.phase = BatchPhase::Idle;
        batch.calls = 0;
        batch.answer_lost = false;
        batch.fresh = false;
        batch.written_claims = 0;
        batch.written_marks = 0;
        let waits = !batch.claims.is_empty() || !batch.marks.is_empty();
        let urgent = !batch.claims.is_empty();
        let delay = if urgent { CLAIM_BATCH } else { mark_delay };
        let effects = if waits { gather(batch, name.clone(), urgent, delay) } else { Vec::new() };
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

/// Starts to gather a batch, or hurries one that gathers marks alone.
fn gather(
    batch: &mut SegmentBatch,
    name: SegmentName,
    urgent: bool,
    delay: Duration,
) -> Vec<ClaimsEffect> {
    let hurry = batch.phase == BatchPhase::Gathering && urgent && !batch.urgent;
    if batch.phase != BatchPhase::Idle && !hurry {
        return Vec::new();
    }
    batch.phase = BatchPhase::Gathering;
    batch.urgent = urgent;
    vec![ClaimsEffect::Wake(name, delay)]
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
