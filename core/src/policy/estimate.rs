//! Estimates of a target's load from reports that are already stale on arrival.

use std::sync::atomic::Ordering;

use crate::clock::Timestamp;
use crate::fleet::TargetCounters;

/// Age in microseconds at which a report and the estimate without it have equal weight.
/// Loads change within milliseconds, and a report is a few milliseconds old on arrival.
const HALF_WEIGHT_AGE_US: f32 = 20_000.0;

/// Estimate of a target's load that does not use its reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadPrior {
    /// Mean number of requests that the other entries have in flight per target, assuming
    /// that each sends as many as this entry.
    pub others_per_target: f32,
}

impl LoadPrior {
    /// Creates a prior from this entry's mean in-flight count per target, scaled to the
    /// other entries.
    pub fn new(own_in_flight: u32, targets: usize, entries: usize) -> Self {
        let per_target = own_in_flight as f32 / targets.max(1) as f32;
        Self { others_per_target: per_target * entries.saturating_sub(1) as f32 }
    }

    /// Estimates the requests running and queued at a target: its report plus the change of
    /// this entry's in-flight count since then, blended with the estimate without a report
    /// as the report ages.
    pub fn estimate_load(self, counters: &TargetCounters, now: Timestamp) -> f32 {
        let own = counters.in_flight.load(Ordering::Relaxed) as f32;
        let without_report = own + self.others_per_target;
        let reported_at = counters.reported_at.load(Ordering::Relaxed);
        if reported_at == 0 {
            return without_report;
        }
        let age = now.0.saturating_sub(reported_at) as f32;
        let weight = HALF_WEIGHT_AGE_US / (HALF_WEIGHT_AGE_US + age);
        let report = counters.reported_load.load(Ordering::Relaxed) as f32;
        let change = own - counters.in_flight_at_report.load(Ordering::Relaxed) as f32;
        weight * (report + change).max(own) + (1.0 - weight) * without_report
    }
}
