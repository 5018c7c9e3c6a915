//! Home slots: each slot of a target is assigned to one entry by rendezvous hashing, so
//! that entries rarely use the same slot and need no messages to agree.

use std::sync::atomic::Ordering;

use rand::{Rng, RngCore};

use super::{
    AgedReports, AvailableTarget, RoutingPolicy, TargetChoice, TargetQuery, failure_penalty,
};
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::policy::ramp_share;

/// Maximum number of targets with home slots examined in one pick, which bounds its cost.
const MAX_EXAMINED: usize = 8;

/// One-way network latency between data centres of a region, in microseconds.
const REMOTE_LATENCY_US: f32 = 1_000.0;

/// Fills this entry's home slots first, then uses two choices on aged reports. Stays in
/// this entry's data centre unless the wait for a slot there is longer than the network
/// latency to another one.
#[derive(Debug, Default)]
pub struct HomeSlots {
    fallback: AgedReports,
}

impl RoutingPolicy for HomeSlots {
    fn name(&self) -> &'static str {
        "home-slots"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        let table = &query.service.table;
        if let Some(target) = find_free_home(query, &table.local_home_targets, random) {
            return Some(query.choice(target, ReasonCode::HomeSlot));
        }
        if let Some(target) = sample_local(query, random)
            && AgedReports::wait_us(query, target) <= REMOTE_LATENCY_US
        {
            return Some(query.choice(target, ReasonCode::LowestReport));
        }
        if let Some(target) = find_free_home(query, &table.remote_home_targets, random) {
            return Some(query.choice(target, ReasonCode::HomeSlot));
        }
        self.fallback.pick(query, random)
    }
}

/// Returns a target with a free home slot, if one is found in [`MAX_EXAMINED`] targets.
fn find_free_home<'a>(
    query: &TargetQuery<'a>,
    home_targets: &[u32],
    random: &mut dyn RngCore,
) -> Option<&'a AvailableTarget> {
    let table = &query.service.table;
    let start = if home_targets.is_empty() { return None } else { table.advance_cursor() };
    (0..home_targets.len().min(MAX_EXAMINED))
        .map(|offset| {
            &table.available[home_targets[(start + offset) % home_targets.len()] as usize]
        })
        .find(|target| has_free_home(query, target, random))
}

/// Returns `true` if this entry has fewer requests at the target than home slots and the
/// target can take another request without appearing full.
fn has_free_home(
    query: &TargetQuery<'_>,
    target: &AvailableTarget,
    random: &mut dyn RngCore,
) -> bool {
    let counters = &target.counters;
    let own = counters.in_flight.load(Ordering::Relaxed);
    own < target.home_slots
        && !query.excluded.contains(&target.key)
        && !counters.is_closed(query.now)
        && AgedReports::load_per_slot(query, target) < 1.0
        && passes_ramp(target, query.now, random)
}

/// Returns `true` with the probability of the target's share while it ramps up.
fn passes_ramp(target: &AvailableTarget, now: Timestamp, random: &mut dyn RngCore) -> bool {
    target.ramp_start.is_none_or(|start| random.random::<f32>() < ramp_share(start, now))
}

/// Picks among the targets of this data centre by two choices on aged reports.
fn sample_local<'a>(
    query: &TargetQuery<'a>,
    random: &mut dyn RngCore,
) -> Option<&'a AvailableTarget> {
    let table = &query.service.table;
    if table.local.is_empty() {
        return None;
    }
    let mut sample =
        || &table.available[table.local[random.random_range(0..table.local.len())] as usize];
    let (first, second) = (sample(), sample());
    let usable = |target: &&AvailableTarget| {
        !query.excluded.contains(&target.key)
            && !target.counters.is_closed(query.now)
            && failure_penalty(target) == 0.0
            && target.ramp_start.is_none()
    };
    [first, second].into_iter().filter(usable).min_by(|left, right| {
        let load = |target| AgedReports::load_per_slot(query, target);
        load(left).total_cmp(&load(right))
    })
}
