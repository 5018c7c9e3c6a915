//! The shortest expected time to an answer over all targets, at the entry that places
//! the requests of all.

use std::sync::atomic::Ordering;

use rand::{Rng, RngCore};

use super::{
    AvailableTarget, RoutingPolicy, TargetChoice, TargetQuery, TwoChoices, failure_penalty,
};
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::fleet::{MAX_SLOWDOWN_AGE, NO_SLOWDOWN_PERCENT};
use crate::saturation::SAFE_UTILIZATION;

/// Mean pace of targets, as a factor on the usual time of work: a quarter of them is
/// slowed five-fold at any time.
pub const MEAN_SLOWDOWN: f32 = 2.0;

/// Targets of each data centre that an entry prefers, with the factor on the expected
/// time at them; the last factor holds for all others. At a few requests a second a
/// connection to each of four stays in use, and that all four are slowed is rare; the
/// next few are used again before their connections are closed.
const PREFERENCES: [(f32, f32); 2] = [(4.0, 1.0), (10.0, 1.2)];
const OTHER_TARGET_FACTOR: f32 = 1.4;

/// Pace that is assumed for a target that has not answered a probe in time: it may
/// be gone, so one that is slowed five-fold goes before it.
const UNANSWERED_PACE: f32 = 6.0;

/// Factor on the time of work of a target that is nearly full, where that slows it.
const KNEE_FACTOR: f32 = 1.7;

/// Factor on the time of work of a target that has just started.
const COLD_FACTOR: f32 = 2.0;

/// Factor on the expected time of a target that has answered no request yet. It gets
/// one soon, although it may be cold: until then nothing is known of it.
const UNTRIED_FACTOR: f32 = 0.7;

/// Time of work assumed before the first answers, in microseconds.
const FIRST_WORK_US: f32 = 100_000.0;

/// Latency of a target, as a multiple of the service's median, from which on it
/// counts as slow by itself. Neighbours move the average less than that.
const SLOW_FACTOR: f32 = 1.8;

/// Share by which expected times may differ and still count as equal, so that
/// entries with the same view do not all pick the same target.
const TIE_SHARE: f32 = 0.05;

/// Picks the target with the shortest expected time among all open ones.
///
/// It needs the requests of all entries and falls back to two choices without them. A pick walks the targets of one service, about 20 at the design
/// size.
#[derive(Debug, Default)]
pub struct ShortestWait;

/// What is known of a service when its targets are compared.
struct WaitBasis {
    now: Timestamp,
    work_us: f32,
    remote_cost: f32,
    assumed_pace: f32,
    slows_when_full: bool,
}

impl WaitBasis {
    fn new(query: &TargetQuery<'_>) -> Self {
        let median = query.service.table.median_latency_us.load(Ordering::Relaxed);
        let work_us = if median == 0 { FIRST_WORK_US } else { median as f32 };
        let TargetQuery { now, remote_cost, assumed_slowdown: assumed_pace, .. } = *query;
        let slows_when_full = query.service.counters.saturation.slows_when_full();
        Self { now, work_us, remote_cost, assumed_pace, slows_when_full }
    }

    /// Weighs a target for the entry that asks: the expected time, raised where the
    /// way there costs more.
    fn weigh(&self, target: &AvailableTarget, query: &TargetQuery<'_>) -> f32 {
        let local = *target.data_centre == *query.data_centre;
        let remote = if local { 1.0 } else { 1.0 + self.remote_cost };
        let preference = query.affinity.map_or(1.0, |affinity| preference_of(target, affinity));
        self.expect(target) * remote * preference
    }

    /// Estimates the time in microseconds until a request sent now is answered.
    fn expect(&self, target: &AvailableTarget) -> f32 {
        let counters = &target.counters;
        let slots = target.slots.max(1) as f32;
        let load = counters.estimated_requests(self.now) as f32 + failure_penalty(target);
        let running = (load + 1.0).min(slots);
        let mut work = self.work_us;
        if self.slows_when_full && running / slots > SAFE_UTILIZATION {
            work *= KNEE_FACTOR;
        }
        let untried = is_untried(target, load);
        if untried {
            work *= UNTRIED_FACTOR;
        } else if target.ramp_start.is_some() {
            work *= COLD_FACTOR;
        }
        let latency = counters.latency_us.load(Ordering::Relaxed) as f32;
        work *= (latency / self.work_us / SLOW_FACTOR).max(1.0);
        let queued = (load + 1.0 - slots).max(0.0);
        work * self.pace(target) * (1.0 + queued / slots)
    }

    /// Estimates the pace at which a target begins a request sent now. A report
    /// loses its weight with its age.
    fn pace(&self, target: &AvailableTarget) -> f32 {
        let counters = &target.counters;
        if counters.is_unresponsive(self.now) {
            return UNANSWERED_PACE;
        }
        let pace = counters.reported_slowdown.load(Ordering::Relaxed);
        if pace == 0 {
            return self.assumed_pace;
        }
        let age = self.now.since(Timestamp(counters.reported_at.load(Ordering::Relaxed)));
        let fresh = (1.0 - age.as_secs_f32() / MAX_SLOWDOWN_AGE.as_secs_f32()).max(0.0);
        let reported = pace as f32 / NO_SLOWDOWN_PERCENT as f32;
        fresh * reported + (1.0 - fresh) * self.assumed_pace
    }
}

/// Gives the factor by which an entry with this draw raises the expected time.
fn preference_of(target: &AvailableTarget, affinity: u64) -> f32 {
    let found = PREFERENCES.iter().find(|(count, _)| target.is_preferred(affinity, *count));
    found.map_or(OTHER_TARGET_FACTOR, |(_, factor)| *factor)
}

/// Tells whether no request to the target has been answered or is under way.
fn is_untried(target: &AvailableTarget, load: f32) -> bool {
    target.counters.latency_us.load(Ordering::Relaxed) == 0 && load < 1.0
}

impl RoutingPolicy for ShortestWait {
    fn name(&self) -> &'static str {
        "shortest-wait"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        let table = &query.service.table;
        if !table.is_coordinated {
            return TwoChoices.pick(query, random);
        }
        let basis = WaitBasis::new(query);
        let usable = |target: &&AvailableTarget| !query.excluded.contains(&target.key);
        let mut best: Option<(&AvailableTarget, f32)> = None;
        let mut ties = 0;
        for sheds in [false, true] {
            let targets = table.available.iter().filter(usable);
            for target in targets.filter(|target| target.counters.is_shedding(query.now) == sheds) {
                let time = basis.weigh(target, query);
                match best {
                    Some((_, least)) if time > least * (1.0 + TIE_SHARE) => {}
                    Some((_, least)) if time >= least * (1.0 - TIE_SHARE) => {
                        ties += 1;
                        if random.random_range(0..=ties) == 0 {
                            best = Some((target, time));
                        }
                    }
                    _ => (best, ties) = (Some((target, time)), 0),
                }
            }
            if best.is_some() {
                break;
            }
        }
        best.map(|(target, _)| TargetChoice {
            expected_us: basis.expect(target) as u32,
            ..query.choice(target, ReasonCode::ShortestWait)
        })
    }
}
