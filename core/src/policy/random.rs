//! Uniform random choice, a baseline.

use rand::{Rng, RngCore};

use super::{RouteChoice, RouteQuery, RoutingPolicy, candidates};
use crate::call::ReasonCode;

/// Picks any open target with equal probability.
#[derive(Debug, Default)]
pub struct RandomPolicy;

impl RoutingPolicy for RandomPolicy {
    fn name(&self) -> &'static str {
        "random"
    }

    fn pick(&self, query: &RouteQuery<'_>, random: &mut dyn RngCore) -> Option<RouteChoice> {
        let open = candidates(query);
        if open.is_empty() {
            return None;
        }
        let target = open[random.random_range(0..open.len())];
        Some(RouteChoice {
            target,
            reason: ReasonCode::RandomTarget,
            candidates: open.len() as u16,
        })
    }
}
