//! Tokens of one tenant that an entry holds.

use std::collections::VecDeque;
use std::time::Duration;

use super::HOLD_TIME;
use crate::clock::Timestamp;

/// Time over which the demand is averaged.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// Part of the demand within [`HOLD_TIME`] that is asked for in advance. The rest covers that
/// requests come unevenly, so that few tokens expire.
const PREFETCHED_PART: f64 = 0.5;

/// Maximum number of tokens that are asked for in advance.
const MAX_PREFETCHED: f64 = 32.0;

/// Time without requests after which a tenant is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct HeldTokens {
    count: u8,
    usable_from: Timestamp,
    expires: Timestamp,
}

/// Tokens of one tenant and the demand for them.
#[derive(Debug, Default)]
pub(super) struct TokenHand {
    tokens: VecDeque<HeldTokens>,
    /// Requests, averaged over [`DEMAND_PERIOD`], as of the last one.
    demand: f64,
    last_demand: Timestamp,
}

impl TokenHand {
    pub(super) fn add(&mut self, count: u8, usable_from: Timestamp, expires: Timestamp) {
        if count > 0 {
            self.tokens.push_back(HeldTokens { count, usable_from, expires });
        }
    }

    /// Takes a token that has not expired. Returns the delay after which it may be used.
    pub(super) fn take(&mut self, now: Timestamp) -> Option<Duration> {
        self.tokens.retain(|held| held.expires > now.max(held.usable_from) && held.count > 0);
        let held = self.tokens.front_mut()?;
        held.count -= 1;
        Some(held.usable_from.since(now))
    }

    fn decayed_demand(&self, now: Timestamp) -> f64 {
        let periods = now.since(self.last_demand).as_secs_f64() / DEMAND_PERIOD.as_secs_f64();
        self.demand * (-periods).exp()
    }

    pub(super) fn record_demand(&mut self, now: Timestamp) {
        self.demand = self.decayed_demand(now) + 1.0;
        self.last_demand = now;
    }

    /// Returns the number of tokens to ask for in advance.
    pub(super) fn expected_demand(&self, now: Timestamp) -> u8 {
        let per_second = self.decayed_demand(now) / DEMAND_PERIOD.as_secs_f64();
        (per_second * HOLD_TIME.as_secs_f64() * PREFETCHED_PART).min(MAX_PREFETCHED) as u8
    }

    pub(super) fn len(&self, now: Timestamp) -> usize {
        let valid = self.tokens.iter().filter(|held| held.expires > now);
        valid.map(|held| usize::from(held.count)).sum()
    }

    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        now.since(self.last_demand) >= IDLE_TIME
    }
}
