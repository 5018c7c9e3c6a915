//! Routing policies, which pick the target that runs a request.

mod aged_reports;
mod estimate;
mod home_slots;
mod probe_pool;
mod random;
mod round_robin;
mod shortest_wait;
mod table;
mod two_choices;

use std::sync::Arc;
use std::sync::atomic::Ordering;

pub use aged_reports::AgedReports;
pub use estimate::LoadPrior;
pub use home_slots::HomeSlots;
use indexmap::IndexMap;
pub use probe_pool::{ProbePolicy, ProbePool};
use rand::RngCore;
pub use random::RandomPolicy;
pub use round_robin::RoundRobin;
pub use shortest_wait::{MEAN_SLOWDOWN, ShortestWait};
pub use table::{AvailableTarget, EntryView, RAMP_TIME, TargetTable, hash_bytes, ramp_share};
pub(crate) use table::{hash_address, mix};
pub use two_choices::TwoChoices;

use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::fleet::{FleetSnapshot, ServiceSnapshot};
use crate::keys::TargetKey;

/// Input of a routing policy.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Current services and targets.
    pub fleet: &'a FleetSnapshot,
    /// Service that the request is for.
    pub service: &'a ServiceSnapshot,
    /// Data centre of the entry that sends the request.
    pub data_centre: &'a str,
    /// Hash of that entry, by which it prefers few targets and so keeps few connections;
    /// `None` to prefer none.
    pub affinity: Option<u64>,
    /// Slowdown that is assumed for a target without a usable report, as a factor on the
    /// nominal service time.
    pub assumed_slowdown: f32,
    /// Names of the live entries; empty if this entry is alone. The target table of the
    /// service was computed from them.
    pub members: &'a [Arc<str>],
    /// Targets that the request has already been sent to.
    pub excluded: &'a [TargetKey],
    /// Penalty for sending the request to another data centre, as a share of the expected
    /// time.
    pub remote_cost: f32,
    /// Time of the decision.
    pub now: Timestamp,
}

impl TargetQuery<'_> {
    /// Returns the choice of a target, with [`ReasonCode::OnlyTarget`] if there was no other.
    fn choice(&self, target: &AvailableTarget, reason: ReasonCode) -> TargetChoice {
        let candidates = self.service.table.candidates(self.excluded);
        let reason = if candidates == 1 { ReasonCode::OnlyTarget } else { reason };
        TargetChoice { target: target.key, reason, candidates, expected_us: 0 }
    }

    fn prior(&self) -> LoadPrior {
        let own_in_flight = self.service.counters.in_flight.load(Ordering::Relaxed);
        LoadPrior::new(own_in_flight, self.service.table.available.len(), self.members.len().max(1))
    }
}

/// Target that a policy picked, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// Picked target.
    pub target: TargetKey,
    /// Rule that picked it.
    pub reason: ReasonCode,
    /// Number of targets that could have been picked.
    pub candidates: u16,
    /// Expected time until the response, in microseconds; 0 if the policy does not estimate
    /// it.
    pub expected_us: u32,
}

/// Picks a target for a request.
pub trait RoutingPolicy: Send + Sync {
    /// Returns the name used in settings and reports.
    fn name(&self) -> &'static str;

    /// Picks a target. Returns `None` if no target can take the request.
    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice>;

    /// Returns the targets that it would pick one after the other, `count` at most.
    fn pick_several(
        &self,
        query: &TargetQuery<'_>,
        count: usize,
        random: &mut dyn RngCore,
    ) -> Vec<TargetChoice> {
        let mut excluded = query.excluded.to_vec();
        let mut choices = Vec::with_capacity(count);
        for _ in 0..count {
            let query = TargetQuery { excluded: &excluded, ..*query };
            let Some(choice) = self.pick(&query, random) else { break };
            excluded.push(choice.target);
            choices.push(choice);
        }
        choices
    }
}

/// Returns all policies by the name used in settings.
pub fn policies() -> IndexMap<&'static str, Arc<dyn RoutingPolicy>> {
    let policies: [Arc<dyn RoutingPolicy>; 7] = [
        Arc::new(RandomPolicy),
        Arc::new(RoundRobin),
        Arc::new(TwoChoices),
        Arc::new(AgedReports),
        Arc::new(ProbePolicy::default()),
        Arc::new(HomeSlots::default()),
        Arc::new(ShortestWait),
    ];
    policies.into_iter().map(|policy| (policy.name(), policy)).collect()
}

/// Returns the load, in requests, that recent failures of a target count for. A target
/// that fails fast has few requests in flight and must not appear idle. At a failure
/// share of one half the penalty is twice its slots.
fn failure_penalty(target: &AvailableTarget) -> f32 {
    let share = target.counters.failure_share.load(Ordering::Relaxed) as f32 / 1024.0;
    share * 4.0 * target.slots as f32
}
