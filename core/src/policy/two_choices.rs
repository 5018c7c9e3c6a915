//! Power of two choices on this entry's own in-flight counts.

use std::sync::atomic::Ordering;

use rand::RngCore;

use super::{AvailableTarget, RoutingPolicy, TargetChoice, TargetQuery, failure_penalty};
use crate::call::ReasonCode;

/// Samples two available targets and picks the one with fewer requests in flight. Recent
/// failures count as load.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        let table = &query.service.table;
        let (first, second) = table.sample_two(query.excluded, query.now, random)?;
        let load = |target: &AvailableTarget| {
            target.counters.in_flight.load(Ordering::Relaxed) as f32 + failure_penalty(target)
        };
        let target = if load(second) < load(first) { second } else { first };
        Some(query.choice(target, ReasonCode::FewestInFlight))
    }
}
