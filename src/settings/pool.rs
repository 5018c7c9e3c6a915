//! Limits on the connections to targets.

use std::time::Duration;

use serde::Deserialize;

use super::violation::{CheckSettings, ViolationList, field};

/// Limits on the connections to targets.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// Largest number of connections to one target, at most
    /// [`MAX_CONNECTIONS_PER_TARGET`].
    ///
    /// A target accepts about 200 connections and up to 19 entries share it, so 10 per
    /// entry make 190.
    pub max_connections_per_target: usize,
    /// Time after which an unused connection is closed, in milliseconds.
    pub idle_limit_ms: u64,
    /// Longest time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without progress before the response head after which a target is reported as silent,
    /// in milliseconds. The request goes on.
    pub head_silence_ms: u64,
    /// The same within the response body.
    pub body_silence_ms: u64,
    /// Largest response that is buffered before it is forwarded, so that a request with a
    /// broken response can be repeated, in bytes; 0 forwards all responses as they arrive.
    pub whole_answer_bytes: usize,
}

/// Upper bound of `max_connections_per_target`: the connection slots of a target are the
/// bits of one 64-bit word.
pub const MAX_CONNECTIONS_PER_TARGET: usize = 64;

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_connections_per_target: 10,
            idle_limit_ms: 15_000,
            connect_timeout_ms: 1000,
            head_silence_ms: 5000,
            body_silence_ms: 5000,
            whole_answer_bytes: 0,
        }
    }
}

impl PoolSettings {
    /// Returns the time after which an unused connection is closed.
    pub fn idle_limit(&self) -> Duration {
        Duration::from_millis(self.idle_limit_ms)
    }

    /// Returns the longest time to open a connection.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the time without progress before the response head that is reported.
    pub fn head_silence(&self) -> Duration {
        Duration::from_millis(self.head_silence_ms)
    }

    /// Returns the time without progress within the response body that is reported.
    pub fn body_silence(&self) -> Duration {
        Duration::from_millis(self.body_silence_ms)
    }
}

impl CheckSettings for PoolSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let count = "give a number within the limit; entries share a target's connections";
        let time = "give a time in milliseconds within the limit";
        let at = |name| field(path, name);
        let range = 1..=MAX_CONNECTIONS_PER_TARGET;
        let connections = self.max_connections_per_target;
        violations.check_range(at("max_connections_per_target"), connections, range, count);
        violations.check_range(at("idle_limit_ms"), self.idle_limit_ms, 100..=600_000, time);
        violations.check_range(at("connect_timeout_ms"), self.connect_timeout_ms, 1..=60_000, time);
        violations.check_range(at("head_silence_ms"), self.head_silence_ms, 10..=3_600_000, time);
        violations.check_range(at("body_silence_ms"), self.body_silence_ms, 10..=3_600_000, time);
    }
}
