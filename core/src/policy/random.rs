//! Uniform random choice, a baseline.

use rand::RngCore;

use super::{RoutingPolicy, TargetChoice, TargetQuery};
use crate::call::ReasonCode;

/// Picks any available target with equal probability.
#[derive(Debug, Default)]
pub struct RandomPolicy;

impl RoutingPolicy for RandomPolicy {
    fn name(&self) -> &'static str {
        "random"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        let target = query.service.table.sample(query.excluded, query.now, random)?;
        Some(query.choice(target, ReasonCode::RandomTarget))
    }
}
