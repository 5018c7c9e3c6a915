//! Shortest expected time until the response over all targets. Used by the coordinator of
//! a service, which places the requests of all entries.

use std::sync::atomic::Ordering;

use rand::{Rng, RngCore};

use super::{
    AvailableTarget, RoutingPolicy, TargetChoice, TargetQuery, TwoChoices, failure_penalty,
};
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::fleet::{MAX_SLOWDOWN_AGE, NO_SLOWDOWN_PERCENT};
use crate::saturation::SAFE_UTILIZATION;

/// Mean slowdown of targets, as a factor on the nominal service time: at any time a quarter
/// of them is slowed five-fold.
pub const MEAN_SLOWDOWN: f32 = 2.0;

/// Numbers of targets of each data centre that an entry prefers, each with the factor on their
/// expected time. The second number includes the targets of the first.
/// [`OTHER_TARGET_FACTOR`] applies to all others. At a few requests per second the
/// connections to four targets stay in use, and it is rare that all four are slowed; the next
/// few are used again before their connections are closed.
const PREFERENCES: [(f32, f32); 2] = [(4.0, 1.0), (10.0, 1.2)];

/// Factor on the expected time of targets that an entry does not prefer.
const OTHER_TARGET_FACTOR: f32 = 1.4;

/// Slowdown that is assumed for an unresponsive target. The target may be gone, so one that
/// is slowed five-fold is preferred to it.
const UNRESPONSIVE_SLOWDOWN: f32 = 6.0;

/// Factor on the service time of a nearly full target if full targets are slower.
const SATURATION_FACTOR: f32 = 1.7;

/// Factor on the service time of a target that has just started.
const COLD_FACTOR: f32 = 2.0;

/// Factor on the service time of a target that has completed no request yet. It is below 1
/// so that the target soon gets a request although it may be cold, because nothing is known
/// about it until then.
const UNTRIED_FACTOR: f32 = 0.7;

/// Service time that is assumed before the first responses, in microseconds.
const INITIAL_SERVICE_TIME_US: f32 = 100_000.0;

/// Latency, as a multiple of the service's median, above which a target itself counts as
/// slow. Noisy neighbours raise the average latency by less.
const SLOW_FACTOR: f32 = 1.8;

/// Share by which expected times may differ and still count as equal, so that entries that
/// see the same state do not all pick the same target.
const TIE_SHARE: f32 = 0.05;

/// Picks the available target with the shortest expected time.
///
/// It needs to know the requests of all entries and falls back to two choices otherwise. A
/// pick iterates over all targets of the service, about 20 at the design size.
#[derive(Debug, Default)]
pub struct ShortestWait;

/// Values of a service that are shared by the estimates for its targets.
struct WaitEstimator {
    now: Timestamp,
    /// Median latency of the targets, taken as the nominal service time.
    service_time_us: f32,
    remote_cost: f32,
    assumed_slowdown: f32,
    slows_when_full: bool,
}

impl WaitEstimator {
    fn new(query: &TargetQuery<'_>) -> Self {
        let median = query.service.table.median_latency_us.load(Ordering::Relaxed);
        let service_time_us = if median == 0 { INITIAL_SERVICE_TIME_US } else { median as f32 };
        let TargetQuery { now, remote_cost, assumed_slowdown, .. } = *query;
        let slows_when_full = query.service.counters.saturation.slows_when_full();
        Self { now, service_time_us, remote_cost, assumed_slowdown, slows_when_full }
    }

    /// Returns the expected time at a target for the entry that sends the request, with the
    /// penalties for another data centre and for a target that the entry does not prefer.
    fn weighted_time(&self, target: &AvailableTarget, query: &TargetQuery<'_>) -> f32 {
        let local = *target.data_centre == *query.data_centre;
        let remote = if local { 1.0 } else { 1.0 + self.remote_cost };
        let preference = query.affinity.map_or(1.0, |affinity| preference_factor(target, affinity));
        self.expected_time(target) * remote * preference
    }

    /// Estimates the time in microseconds until the response to a request sent now.
    fn expected_time(&self, target: &AvailableTarget) -> f32 {
        let counters = &target.counters;
        let slots = target.slots.max(1) as f32;
        let load = counters.estimated_requests(self.now) as f32 + failure_penalty(target);
        let running = (load + 1.0).min(slots);
        let mut service_time = self.service_time_us;
        if self.slows_when_full && running / slots > SAFE_UTILIZATION {
            service_time *= SATURATION_FACTOR;
        }
        let untried = is_untried(target, load);
        if untried {
            service_time *= UNTRIED_FACTOR;
        } else if target.ramp_start.is_some() {
            service_time *= COLD_FACTOR;
        }
        let latency = counters.latency_us.load(Ordering::Relaxed) as f32;
        service_time *= (latency / self.service_time_us / SLOW_FACTOR).max(1.0);
        let queued = (load + 1.0 - slots).max(0.0);
        service_time * self.slowdown(target) * (1.0 + queued / slots)
    }

    /// Estimates the slowdown of a target for a request sent now. The weight of a report
    /// decreases with its age.
    fn slowdown(&self, target: &AvailableTarget) -> f32 {
        let counters = &target.counters;
        if counters.is_unresponsive(self.now) {
            return UNRESPONSIVE_SLOWDOWN;
        }
        let slowdown = counters.reported_slowdown.load(Ordering::Relaxed);
        if slowdown == 0 {
            return self.assumed_slowdown;
        }
        let age = self.now.since(Timestamp(counters.reported_at.load(Ordering::Relaxed)));
        let weight = (1.0 - age.as_secs_f32() / MAX_SLOWDOWN_AGE.as_secs_f32()).max(0.0);
        let reported = slowdown as f32 / NO_SLOWDOWN_PERCENT as f32;
        weight * reported + (1.0 - weight) * self.assumed_slowdown
    }
}

/// Returns the factor on the expected time by which an entry with this affinity prefers a
/// target.
fn preference_factor(target: &AvailableTarget, affinity: u64) -> f32 {
    let found = PREFERENCES.iter().find(|(count, _)| target.is_preferred(affinity, *count));
    found.map_or(OTHER_TARGET_FACTOR, |(_, factor)| *factor)
}

/// Returns `true` if no request to the target has completed or is in flight.
fn is_untried(target: &AvailableTarget, load: f32) -> bool {
    target.counters.latency_us.load(Ordering::Relaxed) == 0 && load < 1.0
}

impl RoutingPolicy for ShortestWait {
    fn name(&self) -> &'static str {
        "shortest-wait"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        self.pick_several(query, 1, random).first().copied()
    }

    /// Compares each target once, whatever the number of choices is.
    fn pick_several(
        &self,
        query: &TargetQuery<'_>,
        count: usize,
        random: &mut dyn RngCore,
    ) -> Vec<TargetChoice> {
        if !query.service.table.is_coordinated {
            return TwoChoices.pick_several(query, count, random);
        }
        let estimator = WaitEstimator::new(query);
        let usable = |target: &&AvailableTarget| {
            !query.excluded.contains(&target.key) && !target.counters.limit.is_exhausted(query.now)
        };
        let mut best: Vec<RankedTarget<'_>> = Vec::with_capacity(count + 1);
        for target in query.service.table.available.iter().filter(usable) {
            // Targets that shed load come after all others.
            let sheds = target.counters.is_shedding(query.now);
            let time = estimator.weighted_time(target, query);
            if best.len() == count && best.last().is_some_and(|last| last.rank <= (sheds, time)) {
                continue;
            }
            // Expected times that differ by less than the tie share come in random order.
            let tie_break = 1.0 + TIE_SHARE * random.random::<f32>();
            let ranked = RankedTarget { target, rank: (sheds, time * tie_break) };
            let position = best.partition_point(|other| other.rank <= ranked.rank);
            best.insert(position, ranked);
            best.truncate(count);
        }
        let choice = |ranked: &RankedTarget<'_>| TargetChoice {
            expected_us: estimator.expected_time(ranked.target) as u32,
            ..query.choice(ranked.target, ReasonCode::ShortestWait)
        };
        best.iter().map(choice).collect()
    }
}

/// A target with the rank by which it is picked, lowest first.
struct RankedTarget<'a> {
    target: &'a AvailableTarget,
    /// Whether it sheds load, and its expected time.
    rank: (bool, f32),
}
