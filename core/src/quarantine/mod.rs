//! Quarantine of requests that crash targets.
//!
//! A request that crashes every target that runs it never succeeds. Until a request with a
//! fingerprint has succeeded, its copies in flight are therefore limited to the number of
//! targets that it may crash, and to one after the first crash. This bounds the crashed
//! targets even if many copies arrive at the same time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::CallFingerprint;
use crate::clock::Timestamp;

/// Time after its last crash for which a fingerprint is kept.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of crash records in one table; beyond it the oldest is dropped. An entry
/// has 16 tables, so 256 records in each take at most about 2.5 MB.
pub const MAX_CRASH_RECORDS: usize = 256;

/// Maximum number of harmless fingerprints in one table.
const MAX_HARMLESS: usize = 1024;

/// Maximum number of targets in one crash record. The lowest addresses are kept, so that a
/// merge does not depend on the order of its operands.
const MAX_RECORD_TARGETS: usize = 16;

/// Maximum number of copies of one fingerprint that wait.
const MAX_WAITING: usize = 256;

/// Age up to which a crash is news, which a message reports before older ones.
const NEWS_AGE: Duration = Duration::from_secs(2);

/// Maximum number of new crash records in one message, of about 30 bytes each.
const MAX_NEWS: usize = 8;

/// Number of targets from which on a crash record stays in the messages until it expires.
const REPEATED_CRASHES: usize = 2;

/// Number of older records in one message, which take turns. With a message of each peer in
/// every period, an entry that missed a record gets it in one of the next periods.
const OLDER_RECORDS: usize = 2;

/// Maximum number of records in a message to an entry that has just started.
const MAX_FIRST_RECORDS: usize = 32;

/// Maximum time by which another entry's clock may be ahead.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Crashes of targets caused by one fingerprint, as exchanged between entries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: CallFingerprint,
    /// Targets that it crashed.
    pub targets: BTreeSet<SocketAddr>,
    /// When it last crashed one.
    pub last_crash: Timestamp,
}

impl CrashRecord {
    /// Merges the record of another entry. Merging is idempotent, commutative and
    /// associative.
    pub fn merge(&mut self, other: &Self) {
        self.targets.extend(&other.targets);
        while self.targets.len() > MAX_RECORD_TARGETS {
            self.targets.pop_last();
        }
        self.last_crash = self.last_crash.max(other.last_crash);
    }

    /// Returns `true` if the request crashed several targets. Losing one target may have had
    /// another cause.
    pub fn is_repeated(&self) -> bool {
        self.targets.len() >= REPEATED_CRASHES
    }

    /// Returns `true` if the record is no longer kept.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.last_crash) >= QUARANTINE_TIME
    }
}

/// Crash records that messages to other entries carry.
#[derive(Debug, Default)]
pub struct CrashReport {
    /// New records: first those with the most targets, then the latest.
    news: Vec<CrashRecord>,
    /// Older records with several targets.
    older: Vec<CrashRecord>,
}

impl CrashReport {
    /// Creates a report of `records`.
    pub fn new(records: Vec<CrashRecord>, now: Timestamp) -> Self {
        let is_news = |record: &CrashRecord| now.since(record.last_crash) < NEWS_AGE;
        let (mut news, mut older): (Vec<_>, Vec<_>) = records.into_iter().partition(is_news);
        news.sort_by_key(|record| Reverse((record.targets.len(), record.last_crash)));
        older.extend(news.split_off(news.len().min(MAX_NEWS)));
        older.retain(CrashRecord::is_repeated);
        older.sort_by_key(|record| record.fingerprint);
        Self { news, older }
    }

    /// Returns the records of message number `sequence`: the new ones and, in turn, some of the
    /// older ones.
    pub fn records(self, sequence: u64) -> Vec<CrashRecord> {
        let Self { mut news, older } = self;
        let start = (sequence as usize).wrapping_mul(OLDER_RECORDS);
        let count = OLDER_RECORDS.min(older.len());
        news.extend((0..count).map(|step| older[start.wrapping_add(step) % older.len()].clone()));
        news
    }

    /// Returns the records for an entry that has just started and knows none.
    pub fn first_records(self) -> Vec<CrashRecord> {
        let Self { mut news, mut older } = self;
        older.sort_by_key(|record| Reverse((record.targets.len(), record.last_crash)));
        older.truncate(MAX_FIRST_RECORDS.saturating_sub(news.len()));
        news.append(&mut older);
        news
    }
}

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
    Crashed(SocketAddr),
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

/// Fingerprints in flight, fingerprints that crashed targets and harmless fingerprints.
#[derive(Debug)]
pub struct QuarantineTable<W> {
    copies: HashMap<CallFingerprint, CopySet<W>>,
    crash_records: HashMap<CallFingerprint, CrashRecord>,
    /// Fingerprints to which a target has responded and that have not crashed any.
    harmless: HashSet<CallFingerprint>,
    /// Harmless fingerprints in the order in which they were added.
    harmless_order: VecDeque<CallFingerprint>,
}

impl<W> Default for QuarantineTable<W> {
    fn default() -> Self {
        Self {
            copies: HashMap::new(),
            crash_records: HashMap::new(),
            harmless: HashSet::new(),
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
            RunEnd::Answered => self.record_success(fingerprint),
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

    /// Returns the crash record of a fingerprint, if it has crashed a target.
    pub fn crash_record(&self, fingerprint: CallFingerprint) -> Option<&CrashRecord> {
        self.crash_records.get(&fingerprint)
    }

    /// Merges a crash record of another table. Ignores a record whose time is too far ahead,
    /// because it would never expire. Returns `true` if it names targets that were not known.
    pub fn merge(&mut self, record: &CrashRecord, now: Timestamp) -> bool {
        if record.is_expired(now) || record.last_crash > now + MAX_CLOCK_LEAD {
            return false;
        }
        self.harmless.remove(&record.fingerprint);
        let fingerprint = record.fingerprint;
        let empty = || CrashRecord { fingerprint, ..CrashRecord::default() };
        let known = self.crash_records.entry(fingerprint).or_insert_with(empty);
        let known_targets = known.targets.clone();
        known.merge(record);
        let has_news = known.targets != known_targets;
        self.drop_oldest_record();
        has_news
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
        let crashed = self.crash_records.get(&fingerprint).map_or(0, |record| record.targets.len());
        let allowed = usize::from(max_crashed_targets.max(1)).min(MAX_RECORD_TARGETS);
        let max_running = match crashed {
            _ if crashed >= allowed => return RunDecision::Quarantined,
            0 if self.harmless.contains(&fingerprint) => usize::MAX,
            0 => allowed,
            _ => 1,
        };
        let running = self.copies.get(&fingerprint).map_or(0, |copies| copies.running);
        if running < max_running { RunDecision::Run } else { RunDecision::Wait }
    }

    fn copies_of(&mut self, fingerprint: CallFingerprint) -> &mut CopySet<W> {
        let empty = || CopySet { running: 0, waiting: VecDeque::new() };
        self.copies.entry(fingerprint).or_insert_with(empty)
    }

    /// Records that a target responded. The fingerprint is harmless unless it has crashed a
    /// target.
    fn record_success(&mut self, fingerprint: CallFingerprint) {
        if self.crash_records.contains_key(&fingerprint) || !self.harmless.insert(fingerprint) {
            return;
        }
        self.harmless_order.push_back(fingerprint);
        if self.harmless_order.len() > MAX_HARMLESS
            && let Some(oldest) = self.harmless_order.pop_front()
        {
            self.harmless.remove(&oldest);
        }
    }

    fn record_crash(&mut self, fingerprint: CallFingerprint, target: SocketAddr, now: Timestamp) {
        let targets = BTreeSet::from([target]);
        self.merge(&CrashRecord { fingerprint, targets, last_crash: now }, now);
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
            .min_by_key(|record| (record.is_repeated(), record.last_crash, record.fingerprint));
        if let Some(fingerprint) = oldest.map(|record| record.fingerprint) {
            self.crash_records.remove(&fingerprint);
        }
    }
}
