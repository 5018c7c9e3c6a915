//! Quarantine of requests that crash targets.
//!
//! A request that crashes every target that runs it never succeeds. Until a request with a
//! fingerprint has succeeded, its copies in flight are therefore limited to the number of
//! targets that it may crash, and to one after the first crash. This bounds the crashed
//! targets even if many copies arrive at the same time.
//!
//! A target may also be lost for another reason while it runs a request, so a response after
//! the last crash lifts the suspicion, and a quarantined request is tried again from time to
//! time, as one copy in the whole fleet.

mod record;
mod report;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::call::CallFingerprint;
use crate::clock::Timestamp;
use record::crash_limit;
pub use record::{CrashRecord, QUARANTINE_TIME, TargetCrash, TargetProcess};
pub use report::CrashReport;

/// Maximum number of crash records in one table; beyond it the oldest is dropped. An entry
/// has 16 tables, so 256 records in each take at most about 2.5 MB.
pub const MAX_CRASH_RECORDS: usize = 256;

/// Maximum number of harmless fingerprints in one table.
const MAX_HARMLESS: usize = 1024;

/// Maximum number of copies of one fingerprint that wait.
const MAX_WAITING: usize = 256;

/// Maximum time by which another entry's clock may be ahead.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Whether a copy of a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// The copy may run now and is counted until it ends.
    Run,
    /// The copy must wait until another one ends.
    Wait,
    /// The request has crashed as many targets as allowed.
    Quarantined,
}

/// How a copy of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// A target responded to it.
    Answered,
    /// The connection to this target was lost, so the target counts as crashed.
    Crashed(TargetProcess),
    /// Anything else, such as a refusal or a caller that disconnected.
    Other,
}

/// Running and waiting copies of one fingerprint.
#[derive(Debug)]
struct CopySet<W> {
    /// Number of running copies.
    running: usize,
    waiting: VecDeque<W>,
}

/// When a target last responded to a request at this entry.
#[derive(Clone, Copy, Debug)]
struct HarmlessMark {
    last_success: Timestamp,
    /// Whether it succeeded again since it was last considered for removal.
    is_used: bool,
}

/// Fingerprints in flight, fingerprints that crashed targets and harmless fingerprints.
#[derive(Debug)]
pub struct QuarantineTable<W> {
    copies: HashMap<CallFingerprint, CopySet<W>>,
    crash_records: HashMap<CallFingerprint, CrashRecord>,
    /// Fingerprints to which a target has responded.
    harmless: HashMap<CallFingerprint, HarmlessMark>,
    /// Harmless fingerprints in the order in which they are considered for removal.
    harmless_order: VecDeque<CallFingerprint>,
}

impl<W> Default for QuarantineTable<W> {
    fn default() -> Self {
        Self {
            copies: HashMap::new(),
            crash_records: HashMap::new(),
            harmless: HashMap::new(),
            harmless_order: VecDeque::new(),
        }
    }
}

impl<W> QuarantineTable<W> {
    /// Decides whether a copy may run and counts it if so. `max_crashed_targets` is the number
    /// of targets that the request may crash.
    pub fn begin(
        &mut self,
        fingerprint: CallFingerprint,
        max_crashed_targets: u8,
        now: Timestamp,
    ) -> RunDecision {
        let decision = self.decide(fingerprint, max_crashed_targets, now);
        if decision == RunDecision::Run {
            self.copies_of(fingerprint).running += 1;
        }
        decision
    }

    /// Begins a trial of a quarantined request if one is due. Returns `true` if the copy may
    /// run; it is then counted, and other entries must be told.
    pub fn begin_trial(
        &mut self,
        fingerprint: CallFingerprint,
        max_crashed_targets: u8,
        now: Timestamp,
    ) -> bool {
        let is_harmless = self.is_harmless(fingerprint, now);
        let limit = crash_limit(max_crashed_targets, is_harmless);
        let is_running = self.copies.get(&fingerprint).is_some_and(|copies| copies.running > 0);
        let Some(record) = self.crash_records.get_mut(&fingerprint) else { return false };
        let Some(excess) = record.crash_count().checked_sub(limit) else { return false };
        if is_running || now < record.next_trial(excess, is_harmless) {
            return false;
        }
        record.last_trial = now;
        self.copies_of(fingerprint).running += 1;
        true
    }

    /// Adds a waiting copy. Returns it if too many copies wait already.
    pub fn enqueue(&mut self, fingerprint: CallFingerprint, waiter: W) -> Option<W> {
        let copies = self.copies_of(fingerprint);
        if copies.waiting.len() >= MAX_WAITING {
            return Some(waiter);
        }
        copies.waiting.push_back(waiter);
        None
    }

    /// Ends a copy and returns the waiting copies that may now run or are now quarantined.
    /// Drops the waiting copies for which `is_live` returns `false`. `context` holds the number
    /// of targets that the request may crash and the current time.
    pub fn end(
        &mut self,
        fingerprint: CallFingerprint,
        end: RunEnd,
        context: (u8, Timestamp),
        is_live: impl Fn(&W) -> bool,
    ) -> Vec<(W, RunDecision)> {
        let (max_crashed_targets, now) = context;
        match end {
            RunEnd::Answered => self.record_success(fingerprint, now),
            RunEnd::Crashed(target) => self.record_crash(fingerprint, target, now),
            RunEnd::Other => {}
        }
        let copies = self.copies_of(fingerprint);
        copies.running = copies.running.saturating_sub(1);
        copies.waiting.retain(is_live);
        let mut released = Vec::new();
        while !self.copies_of(fingerprint).waiting.is_empty() {
            let decision = self.begin(fingerprint, max_crashed_targets, now);
            if decision == RunDecision::Wait {
                break;
            }
            released.extend(
                self.copies_of(fingerprint).waiting.pop_front().map(|waiter| (waiter, decision)),
            );
        }
        if self.copies_of(fingerprint).running == 0 {
            self.copies.remove(&fingerprint);
        }
        released
    }

    /// Returns the crash records to send to other entries.
    pub fn crash_records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crash_records.values()
    }

    /// Returns the number of processes that a request has crashed since the last response.
    pub fn crash_count(&self, fingerprint: CallFingerprint) -> usize {
        self.crash_records.get(&fingerprint).map_or(0, CrashRecord::crash_count)
    }

    /// Merges a crash record of another table. Ignores a record whose time is too far ahead,
    /// because it would never expire. Returns `true` if it changed the number of crashes.
    pub fn merge(&mut self, record: &CrashRecord, now: Timestamp) -> bool {
        if record.is_expired(now) || record.last_event() > now + MAX_CLOCK_LEAD {
            return false;
        }
        let crash_count = self.crash_count(record.fingerprint);
        let own_success = self.harmless.get(&record.fingerprint).map(|mark| mark.last_success);
        let known = self.record_of(record.fingerprint);
        known.last_success = known.last_success.max(own_success.unwrap_or_default());
        known.merge(record);
        self.drop_oldest_record();
        crash_count != self.crash_count(record.fingerprint)
    }

    /// Decides whether a copy may run now. Removes its crash record if it has expired.
    fn decide(
        &mut self,
        fingerprint: CallFingerprint,
        max_crashed_targets: u8,
        now: Timestamp,
    ) -> RunDecision {
        if self.crash_records.get(&fingerprint).is_some_and(|record| record.is_expired(now)) {
            self.crash_records.remove(&fingerprint);
        }
        let is_harmless = self.is_harmless(fingerprint, now);
        let limit = crash_limit(max_crashed_targets, is_harmless);
        let max_running = match self.crash_count(fingerprint) {
            crashed if crashed >= limit => return RunDecision::Quarantined,
            0 if is_harmless => usize::MAX,
            0 => limit,
            crashed if is_harmless => limit - crashed,
            _ => 1,
        };
        let running = self.copies.get(&fingerprint).map_or(0, |copies| copies.running);
        if running < max_running { RunDecision::Run } else { RunDecision::Wait }
    }

    /// Returns `true` if a target has responded to the request lately, here or at another entry.
    fn is_harmless(&self, fingerprint: CallFingerprint, now: Timestamp) -> bool {
        let here = self.harmless.get(&fingerprint).map(|mark| mark.last_success);
        let elsewhere = self.crash_records.get(&fingerprint).map(|record| record.last_success);
        let last_success = here.max(elsewhere).unwrap_or_default();
        last_success != Timestamp::default() && now.since(last_success) < QUARANTINE_TIME
    }

    fn copies_of(&mut self, fingerprint: CallFingerprint) -> &mut CopySet<W> {
        let empty = || CopySet { running: 0, waiting: VecDeque::new() };
        self.copies.entry(fingerprint).or_insert_with(empty)
    }

    fn record_of(&mut self, fingerprint: CallFingerprint) -> &mut CrashRecord {
        let empty = || CrashRecord::new(fingerprint, []);
        self.crash_records.entry(fingerprint).or_insert_with(empty)
    }

    /// Records that a target responded, which refutes the crashes before.
    fn record_success(&mut self, fingerprint: CallFingerprint, now: Timestamp) {
        if self.crash_count(fingerprint) > 0 {
            let success = CrashRecord { last_success: now, ..CrashRecord::default() };
            self.record_of(fingerprint).merge(&success);
        }
        if let Some(mark) = self.harmless.get_mut(&fingerprint) {
            *mark = HarmlessMark { last_success: now, is_used: true };
            return;
        }
        let mark = HarmlessMark { last_success: now, is_used: false };
        self.harmless.insert(fingerprint, mark);
        self.harmless_order.push_back(fingerprint);
        if self.harmless.len() > MAX_HARMLESS {
            self.drop_unused_mark();
        }
    }

    /// Drops the first mark that was not used since it was last considered.
    fn drop_unused_mark(&mut self) {
        while let Some(first) = self.harmless_order.pop_front() {
            match self.harmless.get_mut(&first) {
                Some(mark) if mark.is_used => {
                    mark.is_used = false;
                    self.harmless_order.push_back(first);
                }
                _ => {
                    self.harmless.remove(&first);
                    return;
                }
            }
        }
    }

    fn record_crash(
        &mut self,
        fingerprint: CallFingerprint,
        process: TargetProcess,
        now: Timestamp,
    ) {
        let crash = TargetCrash { at: now, process };
        self.merge(&CrashRecord::new(fingerprint, [crash]), now);
    }

    /// Drops the oldest crash record if there are too many, one of a single target first: a
    /// target that loses many responses causes many of these.
    fn drop_oldest_record(&mut self) {
        if self.crash_records.len() <= MAX_CRASH_RECORDS {
            return;
        }
        let oldest = self
            .crash_records
            .values()
            .min_by_key(|record| (record.is_repeated(), record.last_event(), record.fingerprint));
        if let Some(fingerprint) = oldest.map(|record| record.fingerprint) {
            self.crash_records.remove(&fingerprint);
        }
    }
}
