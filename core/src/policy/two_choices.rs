//! The power of two choices on this entry's own in-flight counts.

use std::sync::atomic::Ordering;

use rand::RngCore;
use rand::seq::index;

use super::{RouteChoice, RouteQuery, RoutingPolicy, candidates};
use crate::call::ReasonCode;

/// Samples two open targets and picks the one with fewer requests in flight.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn pick(&self, query: &RouteQuery<'_>, mut random: &mut dyn RngCore) -> Option<RouteChoice> {
        let open = candidates(query);
        let in_flight = |key| query.fleet.targets[key].counters.in_flight.load(Ordering::Relaxed);
        let sample = index::sample(&mut random, open.len(), open.len().min(2));
        let target =
            sample.iter().map(|position| open[position]).min_by_key(|key| in_flight(*key))?;
        Some(RouteChoice {
            target,
            reason: ReasonCode::FewestInFlight,
            candidates: open.len() as u16,
        })
    }
}
