//! Faults that tests inject into the platform.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use zinniaport_core::clock::Timestamp;

use super::messages::CallKind;

/// Active faults. All are off by default and can be combined.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes connections without a response, including those of waiting watches.
    pub down: bool,
    /// Delays each response by this many milliseconds. The call itself takes effect at
    /// once.
    pub slow_ms: u64,
    /// Number of writes and deletes that take effect without a response.
    pub lost_answers: u64,
    /// Never responds to watches.
    pub silent_watches: bool,
    /// Responds with status 429 to calls beyond this number in a second.
    pub calls_per_second: Option<u64>,
}

/// Decision on how a call is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultDecision {
    /// The connection is closed and the call has no effect.
    Close,
    /// The call is refused by the rate limit.
    RateLimit,
    /// The call gets no response and has no effect.
    NoResponse,
    /// The call takes effect.
    Handle {
        /// Time until the response.
        delay: Duration,
        /// Whether the connection is closed instead of sending the response.
        drop_response: bool,
    },
}

/// Decides how each call is handled while faults are active.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: PlatformFaults,
    window_start: Timestamp,
    window_calls: u64,
}

impl FaultInjector {
    /// Returns the active faults. `lost_answers` decreases with each lost response.
    pub fn faults(&self) -> &PlatformFaults {
        &self.faults
    }

    /// Replaces the active faults.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
    }

    /// Decides how to handle a call that arrives at `now`.
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
        let drop_response = kind.changes_objects() && self.faults.lost_answers > 0;
        if drop_response {
            self.faults.lost_answers -= 1;
        }
        FaultDecision::Handle { delay: Duration::from_millis(self.faults.slow_ms), drop_response }
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
