//! Estimate of the time within which the response to most admitted requests arrives.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Quantile that is estimated. Under overload each request waits as long as its soft
/// deadline allows, so this is also the share that meets its soft deadline.
const QUANTILE: f64 = 0.8;

/// Step of the estimate, as a share of it, before weighting by the quantile. After a
/// change of load the estimate settles within about 50 requests.
const STEP_SHARE: f64 = 0.06;

/// Lower bound of the estimate, as a factor on the nominal service time.
const MIN_FACTOR: f32 = 1.15;

/// Upper bound of the estimate, as a factor on the nominal service time. A request that takes
/// twice the nominal time ran on a slowed target, and a shorter wait in the queue would not
/// help against that.
const MAX_FACTOR: f32 = 2.2;

/// Factor before the first sample: service times vary by about a third.
const INITIAL_FACTOR: f32 = 1.3;

/// Online estimate of a quantile of the time between admission and response, adjusted by one
/// step for each request.
#[derive(Debug, Default)]
pub struct RunQuantile {
    /// Estimate in microseconds; 0 before the first sample.
    estimate_us: AtomicU64,
}

impl RunQuantile {
    /// Records the time that an admitted request took. `nominal` is the nominal service
    /// time. Concurrent updates may overwrite one another.
    pub fn record(&self, sample: Duration, nominal: Duration) {
        let estimate = match self.estimate_us.load(Ordering::Relaxed) {
            0 => nominal.mul_f32(INITIAL_FACTOR).as_micros() as f64,
            known => known as f64,
        };
        let is_longer = sample.as_micros() as f64 > estimate;
        let step = if is_longer { QUANTILE } else { QUANTILE - 1.0 };
        let lower = nominal.mul_f32(MIN_FACTOR).as_micros() as f64;
        let upper = nominal.mul_f32(MAX_FACTOR).as_micros() as f64;
        let next = (estimate * (1.0 + STEP_SHARE * step)).clamp(lower, upper.max(lower));
        self.estimate_us.store(next.max(1.0) as u64, Ordering::Relaxed);
    }

    /// Returns the time within which most admitted requests get their response.
    pub fn estimate(&self, nominal: Duration) -> Duration {
        match self.estimate_us.load(Ordering::Relaxed) {
            0 => nominal.mul_f32(INITIAL_FACTOR),
            known => Duration::from_micros(known),
        }
    }
}
