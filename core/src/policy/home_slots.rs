//! Home slots: each slot of a target is assigned to one entry by rendezvous
//! hashing, so that entries seldom meet at the same slot and send no messages.

use std::sync::atomic::Ordering;

use rand::{Rng, RngCore};

use super::{
    AgedReports, AvailableTarget, RoutingPolicy, TargetChoice, TargetQuery, failure_penalty,
};
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::policy::ramp_share;

/// Home slots looked at in one pick, which bounds its cost.
const MAX_LOOKS: usize = 8;

/// One-way time between data centres of a region, in microseconds.
const HOP_US: f32 = 1_000.0;

/// Fills this entry's own slots first, in its own data centre unless the queue
/// there costs more than the hop, and then uses two choices on aged reports.
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
        if let Some(target) = free_home(query, &table.local_homes, random) {
            return Some(query.choice(target, ReasonCode::HomeSlot));
        }
        if let Some(target) = local_choice(query, random)
            && AgedReports::wait_us(query, target) <= HOP_US
        {
            return Some(query.choice(target, ReasonCode::LowestReport));
        }
        if let Some(target) = free_home(query, &table.remote_homes, random) {
            return Some(query.choice(target, ReasonCode::HomeSlot));
        }
        self.fallback.pick(query, random)
    }
}

/// Finds a target on which this entry uses fewer slots than it owns and which
/// does not appear to be full.
fn free_home<'a>(
    query: &TargetQuery<'a>,
    homes: &[u32],
    random: &mut dyn RngCore,
) -> Option<&'a AvailableTarget> {
    let table = &query.service.table;
    let start = if homes.is_empty() { return None } else { table.advance_cursor() };
    (0..homes.len().min(MAX_LOOKS))
        .map(|look| &table.available[homes[(start + look) % homes.len()] as usize])
        .find(|target| is_free_home(query, target, random))
}

fn is_free_home(
    query: &TargetQuery<'_>,
    target: &AvailableTarget,
    random: &mut dyn RngCore,
) -> bool {
    let counters = &target.counters;
    let own = counters.in_flight.load(Ordering::Relaxed);
    own < target.home_slots
        && !query.excluded.contains(&target.key)
        && !counters.is_shedding(query.now)
        && AgedReports::load_per_slot(query, target) < 1.0
        && passes_ramp(target, query.now, random)
}

fn passes_ramp(target: &AvailableTarget, now: Timestamp, random: &mut dyn RngCore) -> bool {
    target.ramp_start.is_none_or(|start| random.random::<f32>() < ramp_share(start, now))
}

/// Uses two choices on aged reports among the targets of this data centre.
fn local_choice<'a>(
    query: &TargetQuery<'a>,
    random: &mut dyn RngCore,
) -> Option<&'a AvailableTarget> {
    let table = &query.service.table;
    if table.local.is_empty() {
        return None;
    }
    let mut draw =
        || &table.available[table.local[random.random_range(0..table.local.len())] as usize];
    let (first, second) = (draw(), draw());
    let usable = |target: &&AvailableTarget| {
        !query.excluded.contains(&target.key)
            && !target.counters.is_shedding(query.now)
            && failure_penalty(target) == 0.0
            && target.ramp_start.is_none()
    };
    [first, second].into_iter().filter(usable).min_by(|left, right| {
        let load = |target| AgedReports::load_per_slot(query, target);
        load(left).total_cmp(&load(right))
    })
}
