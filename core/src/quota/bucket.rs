//! Token bucket of the part of a limit that an owner may grant.

use std::time::Duration;

use rand::Rng;

use super::{EXTRA_BURST, RESERVE_TIME};
use crate::tenants::TenantLimit;

/// The part of a limit that an owner may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
}

impl BucketLimit {
    /// Returns the part of a limit for a share from 0.0 to 1.0.
    pub fn of(limit: TenantLimit, share: f64) -> Self {
        let capacity = (limit.burst + EXTRA_BURST) * share;
        Self { rate: limit.requests_per_second * share, capacity }
    }
}

/// Bucket of tokens of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenBucket {
    /// Tokens; negative while tokens are granted in advance.
    level: f64,
}

impl TokenBucket {
    /// Adds tokens up to the capacity.
    pub fn fill(&mut self, tokens: f64, limit: BucketLimit) {
        self.level = (self.level + tokens).min(limit.capacity);
    }

    /// Takes up to `needed` tokens, and up to `wanted` more if the bucket is more than half full.
    /// Returns their number and the delay after which they may be used or, if there are none, the
    /// time until the next one is due.
    ///
    /// A bucket whose capacity is below one token would never grant any, so that it grants one
    /// with a probability of its level. Many entries that are on their own thereby grant as much
    /// together as their shares allow.
    pub fn take(
        &mut self,
        needed: u8,
        wanted: u8,
        limit: BucketLimit,
        random: &mut impl Rng,
    ) -> (u8, Duration) {
        if limit.rate <= 0.0 {
            return (0, Duration::MAX);
        }
        if limit.capacity < 1.0 {
            let chance = self.level.clamp(0.0, 1.0);
            self.level = self.level.min(0.0);
            let tokens = u8::from(needed > 0 && random.random_bool(chance));
            return (tokens, Duration::ZERO);
        }
        let reserve = limit.rate * RESERVE_TIME.as_secs_f64();
        let prefetched = (self.level - limit.capacity / 2.0).max(0.0);
        let asked = f64::from(needed) + f64::from(wanted).min(prefetched.floor());
        let tokens = (self.level + reserve).floor().clamp(0.0, asked);
        let missing = if tokens > 0.0 { tokens - self.level } else { 1.0 - reserve - self.level };
        self.level -= tokens;
        let delay = (missing / limit.rate).clamp(0.0, 1e6);
        (tokens as u8, Duration::from_secs_f64(delay))
    }
}
