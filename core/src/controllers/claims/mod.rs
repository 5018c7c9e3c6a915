//! Claims idempotency keys for this entry. Claims are batched by segment, written by one
//! conditional update and recognised by nonce if the response is lost.

mod batch;
mod messages;

use std::collections::HashMap;
use std::time::Duration;

pub use batch::CLAIM_BATCH_DELAY;
use batch::{BatchPhase, PendingClaim, SegmentBatch, UPDATE_BATCH_DELAY};
pub use messages::{ClaimResult, ClaimsEffect, ClaimsMessage, SegmentName};

use super::{ReadReply, StateController, StoreEra, WriteReply};
use crate::claims::{ClaimOwner, ClaimSegment, ClaimState, IdempotencyKey};
use crate::clock::Timestamp;

/// Delay before state updates are retried after the store failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Greatest number of store calls of one batch. A conflict takes two calls, and the delays
/// between calls after failures add up to about 150 ms.
const MAX_CALLS: u32 = 12;

/// Step by which the delay before a repeated call grows: one step for every two calls of
/// the batch.
const CALL_DELAY_STEP: Duration = Duration::from_millis(5);

/// Time between the segments that an entry reads after a restore of the store, to write the
/// claims that the store has lost. An entry of 256 segments with its own claims takes 26 s.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Greatest number of claims kept in memory over all segments, about 12 MB. A segment that
/// is not kept costs one more read.
const MAX_KEPT_CLAIMS: usize = 100_000;

/// Batches the claims of one entry. The condition of each write ensures that a key runs at
/// most once: a key is granted only when a segment with its claim is known to be stored.
#[derive(Debug)]
pub struct ClaimsController {
    entry: String,
    incarnation: u64,
    window: Duration,
    segments: HashMap<SegmentName, SegmentBatch>,
    /// Highest era of the store that a response named.
    era: StoreEra,
    /// When the first response of `era` arrived.
    era_since: Timestamp,
}

impl ClaimsController {
    /// Creates the controller of an entry. `window` is the time for which keys are kept.
    pub fn new(entry: String, incarnation: u64, window: Duration) -> Self {
        Self {
            entry,
            incarnation,
            window,
            segments: HashMap::new(),
            era: StoreEra::default(),
            era_since: Timestamp::default(),
        }
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
        batch.collect(name, true)
    }

    fn record_state(
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
        batch.add_update(key.digest, nonce, state);
        batch.collect(name, false)
    }

    /// Records the era of a response. The versions known of an earlier era say nothing, and the
    /// segments with claims of this entry are read again to write those that the store has lost.
    fn observe_era(&mut self, era: StoreEra, now: Timestamp) -> Vec<ClaimsEffect> {
        if era <= self.era {
            return Vec::new();
        }
        self.era = era;
        self.era_since = now;
        let mut effects = Vec::new();
        let mut delay = Duration::ZERO;
        for (name, batch) in &mut self.segments {
            batch.version = None;
            if batch.phase == BatchPhase::Idle && batch.has_claim_of(&self.entry) {
                delay += CHECK_PERIOD;
                effects.extend(batch.collect_after(name.clone(), delay));
            }
        }
        effects
    }

    fn handle_read(
        &mut self,
        name: &SegmentName,
        era: StoreEra,
        reply: ReadReply<ClaimSegment>,
        now: Timestamp,
    ) -> Vec<ClaimsEffect> {
        let mut effects = self.observe_era(era, now);
        let current = (self.era, self.era_since);
        let Some(batch) = self.segments.get_mut(name) else { return effects };
        let next = match reply {
            ReadReply::Found { content, version } if era == current.0 => {
                batch.accept_read(version, content, current);
                self.write(name, now)
            }
            ReadReply::Absent if era == current.0 => {
                batch.accept_read(0, ClaimSegment::default(), current);
                self.write(name, now)
            }
            _ => self.read_again(name),
        };
        effects.extend(next);
        effects
    }

    /// Applies claims and state updates to the known content and writes it. Reads the
    /// content first if it is not known, or not fresh enough to reject a claim.
    fn write(&mut self, name: &SegmentName, now: Timestamp) -> Vec<ClaimsEffect> {
        let window = self.window;
        let owner = self.owner(0);
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        let Some(version) = batch.version else { return self.read_again(name) };
        let mut content = batch.content.clone();
        content.drop_expired(window, now);
        let applied = batch.apply_claims(&mut content, &owner, now);
        let mut effects = applied.results;
        if applied.needs_fresh {
            effects.extend(self.read_again(name));
            return effects;
        }
        let updated = batch.apply_updates(&mut content, &owner);
        if !(applied.changed || updated || batch.has_lost) {
            batch.updates.clear();
            effects.extend(self.finish_batch(name, UPDATE_BATCH_DELAY));
            return effects;
        }
        batch.phase = BatchPhase::Writing;
        batch.calls += 1;
        batch.written_claims = batch.claims.len();
        batch.written_updates = batch.updates.len();
        batch.written = content.clone();
        effects.push(ClaimsEffect::Write(name.clone(), content, batch.era, version));
        effects
    }

    fn handle_write(
        &mut self,
        name: &SegmentName,
        era: StoreEra,
        reply: WriteReply,
        now: Timestamp,
    ) -> Vec<ClaimsEffect> {
        let mut effects = self.observe_era(era, now);
        let current = self.era;
        let Some(batch) = self.segments.get_mut(name) else { return effects };
        let is_current = era == current && era == batch.era;
        match reply {
            WriteReply::Written(version) if is_current => {
                batch.accept_write(version);
                batch.updates.drain(..batch.written_updates);
                let granted = batch.claims.drain(..batch.written_claims);
                effects.extend(
                    granted.map(|claim| ClaimsEffect::Resolve(claim.nonce, ClaimResult::Granted)),
                );
                effects.extend(self.finish_batch(name, UPDATE_BATCH_DELAY));
                return effects;
            }
            WriteReply::Conflict(version) if is_current => {
                batch.lowest_version = batch.lowest_version.max(version);
            }
            // The store may have lost a write of an earlier era.
            WriteReply::Written(_) | WriteReply::NoResponse => batch.response_lost = true,
            WriteReply::Conflict(_) | WriteReply::Refused => {}
        }
        batch.version = None;
        effects.extend(self.read_again(name));
        effects
    }

    fn read_again(&mut self, name: &SegmentName) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        if batch.calls >= MAX_CALLS {
            return self.reject_claims(name);
        }
        let delay = CALL_DELAY_STEP * (batch.calls / 2);
        batch.calls += 1;
        batch.version = None;
        batch.phase = BatchPhase::Reading;
        vec![ClaimsEffect::Read(name.clone(), delay)]
    }

    /// Rejects all claims of the batch, those of keys that are known to be used as repeated ones:
    /// if they were reported as not run, their callers would send the same work again under
    /// other keys. Claims that a write without a response may have
    /// stored are withdrawn later, so that their keys become free again.
    fn reject_claims(&mut self, name: &SegmentName) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        let claims = std::mem::take(&mut batch.claims);
        if batch.response_lost {
            for claim in &claims {
                batch.add_update(claim.key.digest, claim.nonce, ClaimState::NotRun);
            }
        }
        let mut effects: Vec<_> = claims
            .iter()
            .map(|claim| {
                let known = batch.content.used_state(claim.key.digest);
                let result = known.map_or(ClaimResult::Unavailable, ClaimResult::Repeated);
                ClaimsEffect::Resolve(claim.nonce, result)
            })
            .collect();
        effects.extend(self.finish_batch(name, RETRY_DELAY));
        effects
    }

    /// Ends a batch and starts the next one if claims or state updates wait.
    fn finish_batch(&mut self, name: &SegmentName, update_delay: Duration) -> Vec<ClaimsEffect> {
        let Some(batch) = self.segments.get_mut(name) else { return Vec::new() };
        batch.reset();
        let effects = batch.collect_waiting(name.clone(), update_delay);
        self.drop_idle_segments();
        effects
    }

    /// Drops idle segments if too many claims are kept in memory.
    fn drop_idle_segments(&mut self) {
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
            ClaimsMessage::RecordState { service, key, nonce, state } => {
                self.record_state(service, key, nonce, state)
            }
            ClaimsMessage::Read(name, era, reply) => self.handle_read(&name, era, reply, now),
            ClaimsMessage::Wrote(name, era, reply) => self.handle_write(&name, era, reply, now),
            ClaimsMessage::EraSeen(era) => self.observe_era(era, now),
            ClaimsMessage::Wake(name) => {
                let collecting = self
                    .segments
                    .get(&name)
                    .is_some_and(|batch| batch.phase == BatchPhase::Collecting);
                if collecting { self.write(&name, now) } else { Vec::new() }
            }
        }
    }
}
