//! Behaviour of a target, which tests change while it runs.

use std::time::Duration;

use bon::Builder;
use serde::{Deserialize, Serialize};

/// How long a request holds its slot. The runtime's timers round up to whole
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "shape", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// Always the same time.
    Fixed {
        /// Milliseconds.
        ms: f64,
    },
    /// Exponentially distributed.
    Exponential {
        /// Mean, in milliseconds.
        mean_ms: f64,
    },
    /// Fast for the first half of each period and slow for the second, as on
    /// a machine shared with a noisy neighbour.
    TwoPhases {
        /// Milliseconds in the fast half.
        fast_ms: f64,
        /// Milliseconds in the slow half.
        slow_ms: f64,
        /// Length of a period, in milliseconds.
        period_ms: f64,
    },
}

impl ServiceTime {
    /// Gives the time for a request that starts `age` after the target did;
    /// `uniform` is a random number from 0 to below 1.
    pub fn sample(&self, age: Duration, uniform: f64) -> Duration {
        let ms = match *self {
            Self::Fixed { ms } => ms,
            Self::Exponential { mean_ms } => -mean_ms * (1.0 - uniform).ln(),
            Self::TwoPhases { fast_ms, slow_ms, period_ms } => {
                let position = millis(age) % period_ms;
                if position < period_ms / 2.0 { fast_ms } else { slow_ms }
            }
        };
        from_millis(ms)
    }
}

/// Slowness after a start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How many times longer the first request takes; falls to 1 linearly.
    pub factor: f64,
    /// Milliseconds until the target runs at full speed.
    pub ms: f64,
}

impl ColdStart {
    fn factor_at(&self, age: Duration) -> f64 {
        let remaining = (1.0 - millis(age) / self.ms).max(0.0);
        1.0 + (self.factor - 1.0) * remaining
    }
}

/// Behaviour of a target. The default serves each request in 5 ms; fields that
/// JSON leaves out have their default.
#[derive(Builder, Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// How long a request holds its slot.
    #[builder(default = ServiceTime::Fixed { ms: 5.0 })]
    pub service_time: ServiceTime,
    /// Requests that may wait for a slot; further ones are shed.
    #[builder(default = 64)]
    pub queue_length: u32,
    /// Slowness after each start.
    pub cold_start: Option<ColdStart>,
    /// Slot time of a probe, in milliseconds; 0 takes no slot.
    #[builder(default)]
    pub probe_ms: f64,
    /// Age of the load that a probe reports, in milliseconds.
    #[builder(default)]
    pub report_lag_ms: u64,
    /// Announces on each response that the target is about to leave.
    #[builder(default)]
    pub draining: bool,
    /// Answers 500 at once, without a slot.
    #[builder(default)]
    pub fail_fast: bool,
    /// Delay of each response after its slot is free, in milliseconds.
    #[builder(default)]
    pub late_ms: u64,
    /// Closes the connection in the middle of each response body.
    #[builder(default)]
    pub cut_responses: bool,
    /// Stops work once the deadline in the request has passed.
    #[builder(default = true)]
    pub honour_deadline: bool,
    /// Smallest length of a response body.
    #[builder(default)]
    pub response_bytes: usize,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl TargetBehaviour {
    /// Gives the slot time of a request, cold start included.
    pub fn slot_time(&self, age: Duration, uniform: f64) -> Duration {
        let factor = self.cold_start.map_or(1.0, |cold| cold.factor_at(age));
        from_millis(millis(self.service_time.sample(age, uniform)) * factor)
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts milliseconds, taking what is not a time as zero.
pub(super) fn from_millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}
