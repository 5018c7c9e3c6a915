//! Exponential backoff with jitter, so that clients that failed at the same time do not
//! retry at the same time.

use std::time::Duration;

use rand::{Rng, RngCore};

/// Bounds of a delay that doubles with each consecutive failure.
#[derive(Clone, Copy, Debug)]
pub struct BackoffBounds {
    /// Maximum delay after the first failure.
    pub first: Duration,
    /// Maximum delay after any number of failures.
    pub longest: Duration,
}

impl BackoffBounds {
    /// Returns a random delay after this number of consecutive failures, between half of the
    /// bound and the bound.
    pub fn delay(&self, failures: u32, random: &mut dyn RngCore) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = self.first.saturating_mul(1 << doublings).min(self.longest);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }
}
