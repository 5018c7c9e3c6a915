//! Outlier ejection: which targets are ejected, how many and for how long.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::fleet::TargetCounters;

/// Number of consecutive failures at which a target is ejected. A lost connection fails the
/// few requests on it, which must not eject a healthy target.
const EJECTION_FAILURES: u32 = 5;

/// Latency, as a multiple of the service's median, above which a target is ejected. Noisy
/// neighbours double the latency for short times, and the two-choices policy already avoids
/// such targets.
const MAX_LATENCY_FACTOR: u64 = 4;

/// Minimum number of targets with a known latency for a meaningful median.
const MIN_COMPARED_TARGETS: usize = 3;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Time after the last ejection after which earlier ejections no longer count.
const EJECTION_RESET_TIME: Duration = Duration::from_secs(180);

/// Ejections of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EjectionHistory {
    count: u32,
    last: Timestamp,
    ejected_until: Option<Timestamp>,
}

impl EjectionHistory {
    /// Ejects the target. Each further ejection lasts twice as long, up to a
    /// maximum.
    pub fn eject(&mut self, now: Timestamp) {
        if now.since(self.last) > EJECTION_RESET_TIME {
            self.count = 0;
        }
        let duration = FIRST_EJECTION.saturating_mul(1 << self.count.min(10));
        self.count += 1;
        self.last = now;
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
    }

    /// Ends the ejection.
    pub fn release(&mut self) {
        self.ejected_until = None;
    }

    /// Returns the end of the current ejection.
    pub fn ejected_until(&self) -> Option<Timestamp> {
        self.ejected_until
    }

    /// Returns `true` if the current ejection has reached its end.
    pub fn has_ended(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|ejected_until| ejected_until <= now)
    }
}

/// Returns the maximum number of targets that may be ejected, given that `eligible` ones
/// would otherwise take requests: `percent` of them, but never the last one.
pub fn max_ejected(eligible: usize, percent: f64) -> usize {
    let share = (eligible as f64 * percent.clamp(0.0, 100.0) / 100.0) as usize;
    share.min(eligible.saturating_sub(1))
}

/// Returns the median latency of targets in microseconds, with which each of them can be
/// compared, if that of half of them is known. The first responses are the fastest, and compared
/// with the median of a few of them every target would be slow.
pub fn comparable_latency<'a>(
    counters: impl Iterator<Item = &'a TargetCounters> + Clone,
) -> Option<u64> {
    let latencies = counters.clone().map(|counters| counters.latency_us.load(Ordering::Relaxed));
    let known = latencies.filter(|latency| *latency > 0).count();
    (known * 2 >= counters.clone().count()).then(|| median_latency(counters))?
}

/// Returns the median latency of targets in microseconds, if enough of them have a known
/// latency.
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

/// Returns `true` if a target keeps failing or is much slower than the others.
pub fn is_outlier(counters: &TargetCounters, median_us: Option<u64>) -> bool {
    let failures = counters.consecutive_failures.load(Ordering::Relaxed);
    let latency = counters.latency_us.load(Ordering::Relaxed);
    failures >= EJECTION_FAILURES
        || median_us.is_some_and(|median| latency > median.saturating_mul(MAX_LATENCY_FACTOR))
}

/// Resets the counters that led to an ejection, so that a returning target is not ejected
/// for earlier failures.
pub fn reset(counters: &TargetCounters) {
    counters.consecutive_failures.store(0, Ordering::Relaxed);
    counters.failure_share.store(0, Ordering::Relaxed);
    counters.latency_us.store(0, Ordering::Relaxed);
}

/// Reduces the failure share of a target, so that one that is avoided because of earlier
/// failures gets requests again. If called every 100 ms, halves the share in about 1 s.
pub fn decay_failures(counters: &TargetCounters) {
    let share = counters.failure_share.load(Ordering::Relaxed);
    counters.failure_share.store(share - share.div_ceil(16), Ordering::Relaxed);
}
