//! Delays between repeated calls, spread at random so that callers that failed
//! together do not return together.

use std::time::Duration;

use rand::{Rng, RngCore};

/// Bounds of a delay that doubles with each failure in a row.
#[derive(Clone, Copy, Debug)]
pub struct BackoffBounds {
    /// Longest delay after the first failure.
    pub first: Duration,
    /// Longest delay after many failures.
    pub longest: Duration,
}

impl BackoffBounds {
    /// Draws the delay after `failures` in a row, between half of the bound and
    /// the bound.
    pub fn delay(&self, failures: u32, random: &mut dyn RngCore) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = self.first.saturating_mul(1 << doublings).min(self.longest);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }
}
