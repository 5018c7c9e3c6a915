//! Targets that do not respond to a request that they cannot queue.
//!
//! Designed for bursts that fill the queues of slowed targets: such a target swallows each further
//! request, which would otherwise count as running there until its deadline.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Timestamp;
use crate::fleet::{MAX_SLOWDOWN_AGE, NO_SLOWDOWN_PERCENT};

/// Factor on the typical time of a request on a target that is nearly full, from the deployments'
/// description of their targets.
const FULL_TARGET_FACTOR: f32 = 1.7;

/// Longest time for which a target counts as unresponsive after a request that it did not respond
/// to has ended. By then a full queue has moved, and only a further request shows it.
pub const MAX_SILENT_TIME: Duration = Duration::from_secs(1);

/// Decides after which time without a response a target counts as unresponsive.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SilenceRule {
    /// Multiple of the typical time of a request; 0 if targets never count as silent.
    factor: f32,
}

impl SilenceRule {
    /// Creates a rule by which a target counts as unresponsive after this multiple of the typical
    /// time of a request; 0 for never.
    pub fn new(factor: f32) -> Self {
        Self { factor: factor.max(0.0) }
    }

    /// Returns the time without a response after which a target counts as unresponsive, if the
    /// rule is in use and the typical time is known. `slowdown` is what the target last reported,
    /// in percent, with the age of that report.
    pub fn time_limit(
        self,
        typical: Option<Duration>,
        slowdown: (u32, Duration),
        slows_when_full: bool,
    ) -> Option<Duration> {
        let typical = typical.filter(|_| self.factor > 0.0)?;
        let (percent, age) = slowdown;
        let percent = if age <= MAX_SLOWDOWN_AGE { percent } else { 0 }.max(NO_SLOWDOWN_PERCENT);
        let full = if slows_when_full { FULL_TARGET_FACTOR } else { 1.0 };
        Some(typical.mul_f32(self.factor * full * percent as f32 / NO_SLOWDOWN_PERCENT as f32))
    }
}

/// Whether a target responds to the requests that an entry placed there. The request path updates
/// it without locks.
#[derive(Debug, Default)]
pub struct SilenceMonitor {
    /// Time without a response after which the target counts as unresponsive, in microseconds;
    /// 0 if it never does.
    limit_us: AtomicU64,
    /// Since when requests have been placed there without a pause, in microseconds.
    waiting_since: AtomicU64,
    /// When a response to one of them last arrived, in microseconds.
    answered_at: AtomicU64,
    /// Until when the target counts as unresponsive although no request waits, in microseconds.
    silent_until: AtomicU64,
}

impl SilenceMonitor {
    /// Records that a request is placed at the target, with the time limit for its response.
    /// `is_first` states that no other one is placed there.
    pub fn record_placement(&self, limit: Option<Duration>, is_first: bool, now: Timestamp) {
        let limit_us = limit.map_or(0, |limit| (limit.as_micros() as u64).max(1));
        self.limit_us.store(limit_us, Ordering::Relaxed);
        if is_first {
            self.waiting_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Records that the target responded to a request, or that its connection failed.
    pub fn record_answer(&self, now: Timestamp) {
        self.answered_at.fetch_max(now.0, Ordering::Relaxed);
        self.silent_until.store(0, Ordering::Relaxed);
    }

    /// Records that one of `placed` requests ended. Returns `true` if the target counts as
    /// unresponsive from now on because of it.
    pub fn record_end(&self, placed: u32, now: Timestamp) -> bool {
        if !self.is_overdue(placed, now) {
            return false;
        }
        let limit = Duration::from_micros(self.limit_us.load(Ordering::Relaxed));
        let until = now + limit.min(MAX_SILENT_TIME);
        self.silent_until.swap(until.0, Ordering::Relaxed) <= now.0
    }

    /// Returns `true` if the target does not respond, with `placed` requests there.
    pub fn is_silent(&self, placed: u32, now: Timestamp) -> bool {
        // Each pick compares all targets, and without a rule none has a limit.
        if self.limit_us.load(Ordering::Relaxed) == 0 {
            return false;
        }
        now.0 < self.silent_until.load(Ordering::Relaxed) || self.is_overdue(placed, now)
    }

    fn is_overdue(&self, placed: u32, now: Timestamp) -> bool {
        let limit = Duration::from_micros(self.limit_us.load(Ordering::Relaxed));
        let waiting_since = self.waiting_since.load(Ordering::Relaxed);
        let since = waiting_since.max(self.answered_at.load(Ordering::Relaxed));
        placed > 0 && !limit.is_zero() && now.since(Timestamp(since)) >= limit
    }
}
