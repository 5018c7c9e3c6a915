//! Time limits of a planned stop.

use std::time::Duration;

use serde::Deserialize;
use zinniaport_core::controllers::DrainLimits;

use super::violation::{CheckSettings, ViolationList, field};

/// Time limits of a planned stop.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time from readiness turning false until the platform's balancer sends no
    /// new connection, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Time in which idle caller connections still take a request after the
    /// listener has closed, in milliseconds. Each answer in that time closes its
    /// HTTP/1.1 connection, so that no request crosses the end of one.
    pub idle_linger_ms: u64,
    /// Longest wait for requests in flight after that, in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { balancer_lag_ms: 3000, idle_linger_ms: 500, drain_limit_ms: 60_000 }
    }
}

impl StopSettings {
    /// Gives the time in which idle connections still take a request.
    pub fn idle_linger(&self) -> Duration {
        Duration::from_millis(self.idle_linger_ms)
    }

    /// Gives the limits in the form that the drain controller takes.
    pub fn drain_limits(&self) -> DrainLimits {
        DrainLimits {
            balancer_lag: Duration::from_millis(self.balancer_lag_ms),
            in_flight: self.idle_linger() + Duration::from_millis(self.drain_limit_ms),
        }
    }
}

impl CheckSettings for StopSettings {
    fn check(&self, path: &str, faults: &mut ViolationList) {
        let time = "give a time in milliseconds within the limit";
        let at = |name| field(path, name);
        faults.check_range(at("balancer_lag_ms"), self.balancer_lag_ms, 0..=600_000, time);
        faults.check_range(at("idle_linger_ms"), self.idle_linger_ms, 0..=60_000, time);
        faults.check_range(at("drain_limit_ms"), self.drain_limit_ms, 0..=3_600_000, time);
    }
}
