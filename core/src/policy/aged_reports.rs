//! Power of two choices on load reports, weighted by their age.

use std::sync::atomic::Ordering;

use rand::RngCore;

use super::{AvailableTarget, RoutingPolicy, TargetChoice, TargetQuery, failure_penalty};
use crate::call::ReasonCode;

/// Samples two available targets and picks the one with the lower estimated load per slot.
#[derive(Debug, Default)]
pub struct AgedReports;

impl AgedReports {
    /// Estimates the load of a target per slot. Recent failures count as load.
    pub fn load_per_slot(query: &TargetQuery<'_>, target: &AvailableTarget) -> f32 {
        let load =
            query.prior().estimate_load(&target.counters, query.now) + failure_penalty(target);
        load / target.slots.max(1) as f32
    }

    /// Estimates the time that a new request waits for a slot, in microseconds.
    pub fn wait_us(query: &TargetQuery<'_>, target: &AvailableTarget) -> f32 {
        let with_request = Self::load_per_slot(query, target) + 1.0 / target.slots.max(1) as f32;
        let queued = (with_request - 1.0).max(0.0);
        queued * target.counters.latency_us.load(Ordering::Relaxed).max(1_000) as f32
    }
}

impl RoutingPolicy for AgedReports {
    fn name(&self) -> &'static str {
        "aged-reports"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        let table = &query.service.table;
        let (first, second) = table.sample_two(query.excluded, query.now, random)?;
        let second_shorter = Self::load_per_slot(query, second) < Self::load_per_slot(query, first);
        let target = if second_shorter { second } else { first };
        Some(query.choice(target, ReasonCode::LowestReport))
    }
}
