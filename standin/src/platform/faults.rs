//! Faults of the platform, switched on and off by tests.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use zinniaport_core::clock::Timestamp;

use super::messages::CallKind;

/// Faults in force. All are off by default and any can be combined.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes connections without an answer, waiting watches included.
    pub down: bool,
    /// Delays each answer by this many milliseconds; the call itself takes
    /// effect at once.
    pub slow_ms: u64,
    /// Lets this number of writes and deletes take effect without an answer.
    pub lost_answers: u64,
    /// Never answers watches.
    pub silent_watches: bool,
    /// Answers 429 to calls beyond this number in a second.
    pub calls_per_second: Option<u64>,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultDecision {
    /// The connection is closed; the call has no effect.
    Close,
    /// The call is refused by the rate limit.
    RateLimit,
    /// The call gets no answer and has no effect.
    NoResponse,
    /// The call takes effect.
    Handle {
        /// Time until the answer.
        delay: Duration,
        /// Whether the connection is closed instead of an answer.
        drop_response: bool,
    },
}

/// Decides what happens to each call.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: PlatformFaults,
    window_start: Timestamp,
    window_calls: u64,
}

impl FaultInjector {
    /// Gives the faults in force; `lost_answers` counts down.
    pub fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Replaces the faults in force.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
    }

    /// Decides about a call that arrives now.
    pub fn decide(&mut self, kind: CallKind, now: Timestamp) -> FaultDecision {
        if self.faults.down {
            return FaultDecision::Close;
        }
        if self.exceeds_limit(now) {
            return FaultDecision::RateLimit;
        }
        if self.faults.silent_watches && kind == CallKind::Watch {
            return FaultDecision::NoResponse;
        }
        let lose_answer = kind.changes_objects() && self.faults.lost_answers > 0;
        if lose_answer {
            self.faults.lost_answers -= 1;
        }
        FaultDecision::Handle {
            delay: Duration::from_millis(self.faults.slow_ms),
            drop_response: lose_answer,
        }
    }

    fn exceeds_limit(&mut self, now: Timestamp) -> bool {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_calls = 0;
        }
        self.window_calls += 1;
        self.faults.calls_per_second.is_some_and(|limit| self.window_calls > limit)
    }
}
