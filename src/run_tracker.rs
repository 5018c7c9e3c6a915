//! Whether a target may be running a request, over all of its attempts and hedges.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use zinniaport_core::call::CallOutcome;

/// Tracks whether targets have a request. Copies of the request share it.
///
/// A request counts as waiting unless an attempt says otherwise, so that a new step of the request
/// path in which a request may wait needs no code of its own.
#[derive(Clone, Debug, Default)]
pub struct RunTracker(Arc<TrackedRuns>);

#[derive(Debug, Default)]
struct TrackedRuns {
    /// Attempts that were passed on to a target and have not ended.
    open: AtomicUsize,
    /// Whether an attempt has ended and may have run.
    may_have_run: AtomicBool,
}

impl RunTracker {
    /// Returns `true` while a target has the request.
    pub fn is_at_target(&self) -> bool {
        self.0.open.load(Ordering::Acquire) > 0
    }

    /// Returns `true` if a target may have run the request or may run it now.
    pub fn may_have_run(&self) -> bool {
        self.is_at_target() || self.0.may_have_run.load(Ordering::Acquire)
    }

    /// Starts an attempt, which counts as waiting until it is recorded as sent.
    pub fn start_attempt(&self) -> AttemptRun {
        AttemptRun { runs: self.clone(), is_sent: AtomicBool::new(false) }
    }
}

/// One attempt of a request. Unless its outcome was recorded, it counts as unknown when dropped.
#[derive(Debug, Default)]
pub struct AttemptRun {
    runs: RunTracker,
    is_sent: AtomicBool,
}

impl AttemptRun {
    /// Records that the request is about to be written to a target.
    pub fn record_sent(&self) {
        if !self.is_sent.swap(true, Ordering::AcqRel) {
            self.runs.0.open.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Records whether the request ran. Does nothing if it was not sent.
    pub fn record_outcome(&self, outcome: CallOutcome) {
        if !self.is_sent.swap(false, Ordering::AcqRel) {
            return;
        }
        if outcome != CallOutcome::NotRun {
            self.runs.0.may_have_run.store(true, Ordering::Release);
        }
        self.runs.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for AttemptRun {
    fn drop(&mut self) {
        self.record_outcome(CallOutcome::Unknown);
    }
}
