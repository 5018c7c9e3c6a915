//! Retries and hedges: when a request may be sent again, and how often.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::call::{CallFacts, CallOutcome, ReasonCode};
use crate::clock::Timestamp;

/// One retry in the unit of the budget, so that a fraction of a percent counts.
const TOKEN: u64 = 1_000_000;

/// Retries that may be saved up, which bounds a burst after a quiet period.
pub const MAX_SAVED_RETRIES: u64 = 10;

/// Greatest number of dispatches of a request whose intent states none, those that
/// certainly did not run included.
const MAX_DISPATCHES: usize = 4;

/// Samples before a latency quantile is used.
const MIN_SAMPLES: u32 = 32;

/// Retries and hedges that this entry may send for one service. Starts empty
/// and grows with this entry's own first attempts only, so that the share holds
/// for the sum over all entries without messages between them.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Adds `percent` of one retry for a first attempt, up to `max_saved` retries.
    pub fn record_first_attempt(&self, percent: f64, max_saved: u64) {
        let earned = (percent.clamp(0.0, 100.0) / 100.0 * TOKEN as f64) as u64;
        let add = |tokens: u64| Some((tokens + earned).min(max_saved * TOKEN));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry; returns whether one was left.
    pub fn try_spend(&self) -> bool {
        let take = |tokens: u64| tokens.checked_sub(TOKEN);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// Estimate of a high quantile of recent latency, in constant space: each sample
/// moves it up or down by steps whose ratio is the quantile's.
#[derive(Debug, Default)]
pub struct LatencyQuantile {
    estimate_us: AtomicU64,
    samples: AtomicU32,
}

impl LatencyQuantile {
    /// Records a latency. Concurrent updates may lose one another.
    pub fn record(&self, latency: Duration) {
        let sample = (latency.as_micros() as u64).max(1);
        let samples = self.samples.load(Ordering::Relaxed);
        if samples < MIN_SAMPLES {
            self.samples.store(samples + 1, Ordering::Relaxed);
            self.estimate_us.fetch_max(sample, Ordering::Relaxed);
            return;
        }
        // Steps of 19 to 1 settle at the 95th percentile.
        let estimate = self.estimate_us.load(Ordering::Relaxed);
        let step = estimate / 640 + 1;
        let moved =
            if sample > estimate { estimate + 19 * step } else { estimate - step.min(estimate) };
        self.estimate_us.store(moved, Ordering::Relaxed);
    }

    /// Gives the estimate once there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        let enough = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        enough.then(|| Duration::from_micros(self.estimate_us.load(Ordering::Relaxed)))
    }
}

/// What became of the dispatches of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DispatchCount {
    /// All dispatches.
    pub dispatches: usize,
    /// Those that ran or may have run.
    pub runs: u8,
}

impl DispatchCount {
    /// Counts a dispatch that may run.
    pub fn begin(&mut self) {
        self.dispatches += 1;
        self.runs = self.runs.saturating_add(1);
    }

    /// Takes back a run that certainly did not happen.
    pub fn end(&mut self, outcome: CallOutcome) {
        if outcome == CallOutcome::NotRun {
            self.runs = self.runs.saturating_sub(1);
        }
    }
}

/// Tells whether a request whose last dispatch failed may go to another target, if
/// the budget has a retry left; `resendable` tells whether the body can be sent
/// again.
pub fn allows_retry(
    facts: &CallFacts,
    count: DispatchCount,
    failure: (ReasonCode, CallOutcome),
    resendable: bool,
    now: Timestamp,
) -> bool {
    let (reason, outcome) = failure;
    let at_target = matches!(
        reason,
        ReasonCode::TargetRefused
            | ReasonCode::TargetUnreachable
            | ReasonCode::TargetLost
            | ReasonCode::SpoiledAnswer
            | ReasonCode::WrongInstance
    );
    let harmless = outcome == CallOutcome::NotRun || facts.idempotent;
    at_target && harmless && resendable && may_dispatch_again(facts, count, now)
}

/// Tells whether a request that has not been answered yet may also be sent to a
/// second target, if the budget has a retry left.
pub fn allows_hedge(facts: &CallFacts, count: DispatchCount, now: Timestamp) -> bool {
    facts.idempotent && may_dispatch_again(facts, count, now)
}

/// A request that is not idempotent has one run whatever its intent says.
fn may_dispatch_again(facts: &CallFacts, count: DispatchCount, now: Timestamp) -> bool {
    let max_runs = if facts.idempotent { facts.max_runs } else { 1 };
    let max_dispatches = facts.max_dispatches.map_or(MAX_DISPATCHES, usize::from);
    count.runs < max_runs && count.dispatches < max_dispatches && now < facts.deadline
}
