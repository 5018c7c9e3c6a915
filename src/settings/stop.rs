//! Time limits of a planned stop.

use std::time::Duration;

use serde::Deserialize;
use zinniaport_core::controllers::DrainLimits;

use super::violation::{CheckSettings, ViolationList, field};

/// Time limits of a planned stop.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time until the platform's balancer opens no more connections to an entry that is not
    /// ready, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Time for which idle caller connections still accept a request after the listener has
    /// closed, in milliseconds. Each response in that time closes its HTTP/1.1 connection,
    /// so that no request is sent while its connection is being closed.
    pub idle_linger_ms: u64,
    /// Time after the request to stop from which on requests that no target has are refused, in
    /// milliseconds. They can be sent again to another entry.
    pub max_wait_ms: u64,
    /// Longest time to wait for requests in flight after the linger, in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_lag_ms: 3000,
            idle_linger_ms: 500,
            max_wait_ms: 30_000,
            drain_limit_ms: 60_000,
        }
    }
}

impl StopSettings {
    /// Returns the time for which idle connections still accept a request.
    pub fn idle_linger(&self) -> Duration {
        Duration::from_millis(self.idle_linger_ms)
    }

    /// Returns the limits for the drain controller.
    pub fn drain_limits(&self) -> DrainLimits {
        DrainLimits {
            balancer_lag: Duration::from_millis(self.balancer_lag_ms),
            max_wait: Duration::from_millis(self.max_wait_ms),
            in_flight: self.idle_linger() + Duration::from_millis(self.drain_limit_ms),
        }
    }
}

impl CheckSettings for StopSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let time = "give a time in milliseconds within the limit";
        let at = |name| field(path, name);
        violations.check_range(at("balancer_lag_ms"), self.balancer_lag_ms, 0..=600_000, time);
        violations.check_range(at("idle_linger_ms"), self.idle_linger_ms, 0..=60_000, time);
        violations.check_range(at("max_wait_ms"), self.max_wait_ms, 0..=3_600_000, time);
        violations.check_range(at("drain_limit_ms"), self.drain_limit_ms, 0..=3_600_000, time);
    }
}
