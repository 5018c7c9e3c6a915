//! Retries and hedges: when and how often a request may be sent again.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::call::{CallFacts, CallOutcome, ReasonCode};
use crate::clock::Timestamp;

/// Budget units per retry, so that the budget can hold fractions of a retry.
const UNITS_PER_RETRY: u64 = 1_000_000;

/// Maximum number of saved retries, which bounds a burst after a quiet period.
pub const MAX_SAVED_RETRIES: u64 = 10;

/// Maximum number of dispatches of a request if its intent states none, including those
/// that certainly did not run.
const MAX_DISPATCHES: usize = 4;

/// Minimum number of samples before a latency quantile is used.
const MIN_SAMPLES: u32 = 32;

/// Budget for the retries and hedges of this entry for one service. It starts empty and
/// grows with this entry's own first attempts only, so that the share holds for the sum
/// over all entries without messages between them.
#[derive(Debug, Default)]
pub struct RetryBudget {
    units: AtomicU64,
}

impl RetryBudget {
    /// Adds `percent` of one retry for a first attempt, up to `max_saved` retries in total.
    pub fn record_first_attempt(&self, percent: f64, max_saved: u64) {
        let earned = (percent.clamp(0.0, 100.0) / 100.0 * UNITS_PER_RETRY as f64) as u64;
        let add = |units: u64| Some((units + earned).min(max_saved * UNITS_PER_RETRY));
        let _ = self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry from the budget. Returns `true` if one was available.
    pub fn try_spend(&self) -> bool {
        let take = |units: u64| units.checked_sub(UNITS_PER_RETRY);
        self.units.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// Share of the retry tokens of all entries that is divided among entries which place requests
/// alone. The rest is for entries that have started but are not known yet.
const DISTRIBUTED_SHARE: f64 = 0.5;

/// Returns the retry tokens that an entry which places requests alone may accumulate, of
/// `saved_retries` of all entries. It hears `live_peers` others, of `entry_count` that may be
/// running with itself. An entry that should hear others and hears none accumulates a single
/// token, since it cannot know among how many the tokens are divided.
pub fn own_retry_tokens(saved_retries: f64, live_peers: usize, entry_count: usize) -> u64 {
    if live_peers == 0 && entry_count > 1 {
        return 1;
    }
    let tokens = saved_retries * DISTRIBUTED_SHARE / entry_count.max(1) as f64;
    (tokens as u64).max(1)
}

/// Estimate of a high quantile of recent latency, in constant space. Each sample moves it
/// up or down by steps whose ratio determines the quantile.
#[derive(Debug, Default)]
pub struct LatencyQuantile {
    estimate_us: AtomicU64,
    samples: AtomicU32,
}

impl LatencyQuantile {
    /// Records a latency. Concurrent updates may overwrite one another.
    pub fn record(&self, latency: Duration) {
        let sample = (latency.as_micros() as u64).max(1);
        let samples = self.samples.load(Ordering::Relaxed);
        if samples < MIN_SAMPLES {
            self.samples.store(samples + 1, Ordering::Relaxed);
            self.estimate_us.fetch_max(sample, Ordering::Relaxed);
            return;
        }
        // Up and down steps with a ratio of 19 to 1 converge to the 95th percentile.
        let estimate = self.estimate_us.load(Ordering::Relaxed);
        let step = estimate / 640 + 1;
        let updated =
            if sample > estimate { estimate + 19 * step } else { estimate - step.min(estimate) };
        self.estimate_us.store(updated, Ordering::Relaxed);
    }

    /// Returns the estimate once there are enough samples.
    pub fn get(&self) -> Option<Duration> {
        let enough = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        enough.then(|| Duration::from_micros(self.estimate_us.load(Ordering::Relaxed)))
    }
}

/// Numbers of dispatches and runs of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DispatchCount {
    /// All dispatches.
    pub dispatches: usize,
    /// Dispatches that ran or may have run.
    pub runs: u8,
}

impl DispatchCount {
    /// Counts a dispatch that may run.
    pub fn begin(&mut self) {
        self.dispatches += 1;
        self.runs = self.runs.saturating_add(1);
    }

    /// Ends a dispatch. Subtracts its run if it certainly did not run.
    pub fn end(&mut self, outcome: CallOutcome) {
        if outcome == CallOutcome::NotRun {
            self.runs = self.runs.saturating_sub(1);
        }
    }
}

/// Returns `true` if a request whose last dispatch failed may be sent to another target,
/// provided that the budget has a retry left. `resendable` states whether its body can be
/// sent again.
pub fn allows_retry(
    facts: &CallFacts,
    count: DispatchCount,
    failure: (ReasonCode, CallOutcome),
    resendable: bool,
    now: Timestamp,
) -> bool {
    let (reason, outcome) = failure;
    let caused_by_target = matches!(
        reason,
        ReasonCode::TargetRefused
            | ReasonCode::TargetUnreachable
            | ReasonCode::TargetLost
            | ReasonCode::SpoiledAnswer
            | ReasonCode::WrongInstance
    );
    let harmless = outcome == CallOutcome::NotRun || facts.idempotent;
    caused_by_target && harmless && resendable && may_dispatch_again(facts, count, now)
}

/// Returns `true` if a request without a response yet may also be sent to a second target,
/// provided that the budget has a retry left.
pub fn allows_hedge(facts: &CallFacts, count: DispatchCount, now: Timestamp) -> bool {
    facts.idempotent && may_dispatch_again(facts, count, now)
}

/// Returns `true` if the bounds on runs, dispatches and time allow another dispatch. A
/// request that is not idempotent runs at most once, whatever its intent states.
fn may_dispatch_again(facts: &CallFacts, count: DispatchCount, now: Timestamp) -> bool {
    let max_runs = if facts.idempotent { facts.max_runs } else { 1 };
    let max_dispatches = facts.max_dispatches.map_or(MAX_DISPATCHES, usize::from);
    count.runs < max_runs && count.dispatches < max_dispatches && now < facts.deadline
}
