//! Quarantine of requests that crash targets.
//!
//! A request that crashes every target that runs it never succeeds, so copies
//! of a fingerprint that has not succeeded yet are held to as many in flight as
//! may crash, and to one once the first target was lost. This bounds the lost
//! targets also when many copies arrive together.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::CallFingerprint;
use crate::clock::Timestamp;

/// Time after its last crash for which a fingerprint is remembered.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Fingerprints with crashes that one table keeps; the oldest makes room. An entry
/// has 16 tables, so 256 take at most about 2.5 MB.
pub const MAX_CRASH_RECORDS: usize = 256;

/// Fingerprints that one table remembers as harmless.
const MAX_PROVEN: usize = 1024;

/// Targets that are listed for one fingerprint, the lowest addresses first, so
/// that a union does not depend on its order.
const MAX_LISTED: usize = 16;

/// Copies of one fingerprint that wait.
const MAX_WAITING: usize = 256;

/// Greatest lead of another entry's clock.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// What entries tell each other about a fingerprint that crashed targets.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The fingerprint.
    pub fingerprint: CallFingerprint,
    /// Targets that it crashed.
    pub targets: BTreeSet<SocketAddr>,
    /// When it last crashed one.
    pub last_crash: Timestamp,
}

impl CrashRecord {
    /// Joins what another entry knows. The join is idempotent and does not
    /// depend on order.
    pub fn join(&mut self, other: &Self) {
        self.targets.extend(&other.targets);
        while self.targets.len() > MAX_LISTED {
            self.targets.pop_last();
        }
        self.last_crash = self.last_crash.max(other.last_crash);
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.last_crash) >= QUARANTINE_TIME
    }
}

/// Whether a copy of a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// It may run now, and is counted until it ends.
    Run,
    /// Another copy must end first.
    Wait,
    /// It has crashed as many targets as allowed.
    Quarantined,
}

/// How a copy of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// A target answered it.
    Answered,
    /// The connection to this target died.
    Crashed(SocketAddr),
    /// Anything else, such as a refusal or a caller that left.
    Other,
}

/// Copies of one fingerprint that run or wait.
#[derive(Debug)]
struct CopySet<W> {
    running: usize,
    waiting: VecDeque<W>,
}

/// Fingerprints that run, that crashed targets and that proved harmless.
#[derive(Debug)]
pub struct QuarantineTable<W> {
    copies: HashMap<CallFingerprint, CopySet<W>>,
    crashed: HashMap<CallFingerprint, CrashRecord>,
    proven: HashSet<CallFingerprint>,
    proven_order: VecDeque<CallFingerprint>,
}

impl<W> Default for QuarantineTable<W> {
    fn default() -> Self {
        Self {
            copies: HashMap::new(),
            crashed: HashMap::new(),
            proven: HashSet::new(),
            proven_order: VecDeque::new(),
        }
    }
}

impl<W> QuarantineTable<W> {
    /// Asks whether a copy may run, given how many targets it may crash.
    pub fn begin(
        &mut self,
        fingerprint: CallFingerprint,
        max_crashed: u8,
        now: Timestamp,
    ) -> RunDecision {
        let verdict = self.verdict(fingerprint, max_crashed, now);
        if verdict == RunDecision::Run {
            self.copies_of(fingerprint).running += 1;
        }
        verdict
    }

    /// Lets a copy wait; returns it if too many do.
    pub fn enqueue(&mut self, fingerprint: CallFingerprint, waiter: W) -> Option<W> {
        let copies = self.copies_of(fingerprint);
        if copies.waiting.len() >= MAX_WAITING {
            return Some(waiter);
        }
        copies.waiting.push_back(waiter);
        None
    }

    /// Ends a copy and returns the waiting ones that may now run, or never may.
    /// Those that are not `live` any more are dropped.
    pub fn end(
        &mut self,
        fingerprint: CallFingerprint,
        end: RunEnd,
        context: (u8, Timestamp),
        live: impl Fn(&W) -> bool,
    ) -> Vec<(W, RunDecision)> {
        let (max_crashed, now) = context;
        match end {
            RunEnd::Answered => self.prove(fingerprint),
            RunEnd::Crashed(target) => self.record_crash(fingerprint, target, now),
            RunEnd::Other => {}
        }
        let copies = self.copies_of(fingerprint);
        copies.running = copies.running.saturating_sub(1);
        copies.waiting.retain(live);
        let mut released = Vec::new();
        while !self.copies_of(fingerprint).waiting.is_empty() {
            let verdict = self.begin(fingerprint, max_crashed, now);
            if verdict == RunDecision::Wait {
                break;
            }
            released.extend(
                self.copies_of(fingerprint).waiting.pop_front().map(|waiter| (waiter, verdict)),
            );
        }
        if self.copies_of(fingerprint).running == 0 {
            self.copies.remove(&fingerprint);
        }
        released
    }

    /// Lists what other entries should know.
    pub fn crash_records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.crashed.values()
    }

    /// Joins an entry of another table. One from too far ahead is ignored, as
    /// it would never expire.
    pub fn merge(&mut self, entry: &CrashRecord, now: Timestamp) {
        if entry.is_expired(now) || entry.last_crash > now + MAX_CLOCK_LEAD {
            return;
        }
        self.proven.remove(&entry.fingerprint);
        let fingerprint = entry.fingerprint;
        let empty = || CrashRecord { fingerprint, ..CrashRecord::default() };
        self.crashed.entry(fingerprint).or_insert_with(empty).join(entry);
        self.bound_crashed();
    }

    fn verdict(
        &mut self,
        fingerprint: CallFingerprint,
        max_crashed: u8,
        now: Timestamp,
    ) -> RunDecision {
        if self.crashed.get(&fingerprint).is_some_and(|entry| entry.is_expired(now)) {
            self.crashed.remove(&fingerprint);
        }
        let crashed = self.crashed.get(&fingerprint).map_or(0, |entry| entry.targets.len());
        let allowed = usize::from(max_crashed.max(1)).min(MAX_LISTED);
        let max_running = match crashed {
            _ if crashed >= allowed => return RunDecision::Quarantined,
            0 if self.proven.contains(&fingerprint) => usize::MAX,
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

    fn prove(&mut self, fingerprint: CallFingerprint) {
        if self.crashed.contains_key(&fingerprint) || !self.proven.insert(fingerprint) {
            return;
        }
        self.proven_order.push_back(fingerprint);
        if self.proven_order.len() > MAX_PROVEN
            && let Some(oldest) = self.proven_order.pop_front()
        {
            self.proven.remove(&oldest);
        }
    }

    fn record_crash(&mut self, fingerprint: CallFingerprint, target: SocketAddr, now: Timestamp) {
        let targets = BTreeSet::from([target]);
        self.merge(&CrashRecord { fingerprint, targets, last_crash: now }, now);
    }

    fn bound_crashed(&mut self) {
        if self.crashed.len() <= MAX_CRASH_RECORDS {
            return;
        }
        let oldest =
            self.crashed.values().min_by_key(|entry| (entry.last_crash, entry.fingerprint));
        if let Some(fingerprint) = oldest.map(|entry| entry.fingerprint) {
            self.crashed.remove(&fingerprint);
        }
    }
}
