//! Behaviour of a target, which tests can change while it runs.

use std::time::Duration;

use bon::Builder;
use serde::{Deserialize, Serialize};

/// Time for which a request holds its slot. The runtime's timers round up to whole
/// milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "shape", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ServiceTime {
    /// The same time for each request.
    Fixed {
        /// Milliseconds.
        ms: f64,
    },
    /// Exponentially distributed.
    Exponential {
        /// Mean, in milliseconds.
        mean_ms: f64,
    },
    /// Fast in the first half of each period and slow in the second, as on a machine that
    /// is shared with a noisy neighbour.
    TwoPhases {
        /// Time in the fast half, in milliseconds.
        fast_ms: f64,
        /// Time in the slow half, in milliseconds.
        slow_ms: f64,
        /// Length of a period, in milliseconds.
        period_ms: f64,
    },
}

impl ServiceTime {
    /// Returns the service time of a request that starts `age` after the target started.
    /// `uniform` is a random number in `0.0..1.0`.
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

/// Slowdown after the start of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Factor by which the first request takes longer. Falls to 1 linearly.
    pub factor: f64,
    /// Time until the target runs at full speed, in milliseconds.
    pub ms: f64,
}

impl ColdStart {
    fn factor_at(&self, age: Duration) -> f64 {
        let remaining = (1.0 - millis(age) / self.ms).max(0.0);
        1.0 + (self.factor - 1.0) * remaining
    }
}

/// Behaviour of a target. The default serves each request in 5 ms. Fields that are
/// missing in JSON have their default.
#[derive(Builder, Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Time for which a request holds its slot.
    #[builder(default = ServiceTime::Fixed { ms: 5.0 })]
    pub service_time: ServiceTime,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    #[builder(default = 64)]
    pub queue_length: u32,
    /// Slowdown after each start.
    pub cold_start: Option<ColdStart>,
    /// Time for which a probe holds a slot, in milliseconds. With 0 it takes no slot.
    #[builder(default)]
    pub probe_ms: f64,
    /// Age of the load that probes report, in milliseconds.
    #[builder(default)]
    pub report_lag_ms: u64,
    /// Announces in each response that the target is about to leave.
    #[builder(default)]
    pub draining: bool,
    /// States in each response that the target takes this many requests per second.
    pub request_limit: Option<f64>,
    /// Responds with status 500 at once, without a slot.
    #[builder(default)]
    pub fail_fast: bool,
    /// Delay of each response after its slot is freed, in milliseconds.
    #[builder(default)]
    pub late_ms: u64,
    /// Closes the connection in the middle of each response body.
    #[builder(default)]
    pub cut_responses: bool,
    /// Stops a request once its deadline has passed.
    #[builder(default = true)]
    pub honour_deadline: bool,
    /// Minimum length of a response body, in bytes.
    #[builder(default)]
    pub response_bytes: usize,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl TargetBehaviour {
    /// Returns the time for which a request holds its slot, including the effect of a cold
    /// start. The parameters are those of [`ServiceTime::sample`].
    pub fn slot_time(&self, age: Duration, uniform: f64) -> Duration {
        let factor = self.cold_start.map_or(1.0, |cold| cold.factor_at(age));
        from_millis(millis(self.service_time.sample(age, uniform)) * factor)
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts milliseconds to a duration. Negative, too large and non-finite values become
/// zero.
pub(super) fn from_millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}
