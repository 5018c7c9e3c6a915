//! Outlier ejection: which targets are set aside, for how long, and how many.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::fleet::TargetCounters;

/// Failures in a row that eject a target. One lost connection fails the few
/// requests on it, which must not eject a healthy target.
const MAX_FAILURES_IN_ROW: u32 = 5;

/// Latency, as a multiple of the service's median, that ejects a target. Noisy
/// neighbours double latency for a moment, which two choices already avoids.
const MAX_LATENCY_FACTOR: u64 = 4;

/// Targets with a known latency below which a median means nothing.
const MIN_COMPARED_TARGETS: usize = 3;

/// Duration of a first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Greatest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Time after which earlier ejections no longer count.
const EJECTION_MEMORY: Duration = Duration::from_secs(180);

/// Ejections of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EjectionHistory {
    count: u32,
    last: Timestamp,
    until: Option<Timestamp>,
}

impl EjectionHistory {
    /// Ejects the target. Each further ejection lasts twice as long.
    pub fn eject(&mut self, now: Timestamp) {
        if now.since(self.last) > EJECTION_MEMORY {
            self.count = 0;
        }
        let doubled = FIRST_EJECTION.saturating_mul(1 << self.count.min(10));
        self.count += 1;
        self.last = now;
        self.until = Some(now + doubled.min(MAX_EJECTION));
    }

    /// Ends the ejection.
    pub fn release(&mut self) {
        self.until = None;
    }

    /// Gives the end of the present ejection.
    pub fn ejected_until(&self) -> Option<Timestamp> {
        self.until
    }

    /// Tells whether the present ejection has run its time.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}

/// Gives the greatest number of targets that may be ejected of `eligible` ones
/// that would otherwise take requests: the share of the intent, never the last.
pub fn max_ejected(eligible: usize, percent: f64) -> usize {
    let share = (eligible as f64 * percent.clamp(0.0, 100.0) / 100.0) as usize;
    share.min(eligible.saturating_sub(1))
}

/// Gives the median latency of targets, in microseconds, if enough are known.
pub fn median_latency<'a>(counters: impl Iterator<Item = &'a TargetCounters>) -> Option<u64> {
    let mut known: Vec<u64> = counters
        .map(|counters| counters.latency_us.load(Ordering::Relaxed))
        .filter(|latency| *latency > 0)
        .collect();
    if known.len() < MIN_COMPARED_TARGETS {
        return None;
    }
    let middle = known.len() / 2;
    Some(*known.select_nth_unstable(middle).1)
}

/// Tells whether a target fails or is far slower than the others.
pub fn is_outlier(counters: &TargetCounters, median_us: Option<u64>) -> bool {
    let failures = counters.failures_in_row.load(Ordering::Relaxed);
    let latency = counters.latency_us.load(Ordering::Relaxed);
    failures >= MAX_FAILURES_IN_ROW
        || median_us.is_some_and(|median| latency > median.saturating_mul(MAX_LATENCY_FACTOR))
}

/// Forgets what led to an ejection, so that a returning target is judged anew.
pub fn reset(counters: &TargetCounters) {
    counters.failures_in_row.store(0, Ordering::Relaxed);
    counters.failure_share.store(0, Ordering::Relaxed);
    counters.latency_us.store(0, Ordering::Relaxed);
}

/// Lets the memory of failures fade, so that a target without requests gets
/// some again. Called every 100 ms, halves the share in about 1 s.
pub fn decay_failures(counters: &TargetCounters) {
    let share = counters.failure_share.load(Ordering::Relaxed);
    counters.failure_share.store(share - share.div_ceil(16), Ordering::Relaxed);
}
