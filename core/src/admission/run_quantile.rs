//! Within which time most requests are answered once they are admitted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Share of the requests that are answered within the learnt time. While more arrive
/// than can be served, each waits as long as it may, so that this is also the share that
/// is answered in useful time.
const SURE_SHARE: f64 = 0.8;

/// Largest step of the estimate, as a share of it. About 50 requests move it from one
/// load to another.
const STEP_SHARE: f64 = 0.06;

/// Bounds of the learnt time, as factors on the usual time of work. A request that takes
/// twice the usual time meets a target that was slowed, which waiting less does not mend.
const LEAST_FACTOR: f32 = 1.15;
const MOST_FACTOR: f32 = 2.2;

/// Factor before anything is learnt: times of work spread by a third.
const FIRST_FACTOR: f32 = 1.3;

/// Learns a quantile of the time between admission and answer, one step for each request.
#[derive(Debug, Default)]
pub struct RunQuantile {
    /// In microseconds; zero before the first request.
    estimate_us: AtomicU64,
}

impl RunQuantile {
    /// Records how long an admitted request took; `usual` is the usual time of work.
    /// Concurrent records may lose one another.
    pub fn record(&self, sample: Duration, usual: Duration) {
        let estimate = match self.estimate_us.load(Ordering::Relaxed) {
            0 => usual.mul_f32(FIRST_FACTOR).as_micros() as f64,
            known => known as f64,
        };
        let is_longer = sample.as_micros() as f64 > estimate;
        let step = if is_longer { SURE_SHARE } else { SURE_SHARE - 1.0 };
        let least = usual.mul_f32(LEAST_FACTOR).as_micros() as f64;
        let most = usual.mul_f32(MOST_FACTOR).as_micros() as f64;
        let next = (estimate * (1.0 + STEP_SHARE * step)).clamp(least, most.max(least));
        self.estimate_us.store(next.max(1.0) as u64, Ordering::Relaxed);
    }

    /// Gives the time within which most requests are answered.
    pub fn estimate(&self, usual: Duration) -> Duration {
        match self.estimate_us.load(Ordering::Relaxed) {
            0 => usual.mul_f32(FIRST_FACTOR),
            known => Duration::from_micros(known),
        }
    }
}
