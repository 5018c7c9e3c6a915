//! Routing policies: which target runs a request.

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
pub use two_choices::TwoChoices;

use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::fleet::{FleetSnapshot, ServiceSnapshot};
use crate::keys::TargetKey;

/// What a policy may look at.
#[derive(Clone, Copy, Debug)]
pub struct TargetQuery<'a> {
    /// Services and targets as of now.
    pub fleet: &'a FleetSnapshot,
    /// The service that the request is for.
    pub service: &'a ServiceSnapshot,
    /// Data centre of the entry that sends the request.
    pub data_centre: &'a str,
    /// Draw of that entry, by which it keeps to few targets and so to few
    /// connections; none if it does not matter which targets it uses.
    pub affinity: Option<u64>,
    /// Factor on the time of work that is assumed for a target without a usable
    /// report.
    pub assumed_slowdown: f32,
    /// Names of the live entries; empty if this entry is alone. The routing
    /// table of the service was computed from them.
    pub members: &'a [Arc<str>],
    /// Targets that the request has already been sent to.
    pub excluded: &'a [TargetKey],
    /// What sending the request to another data centre costs, as a share of the
    /// time of work that avoiding it is worth.
    pub remote_cost: f32,
    /// Clock reading of the decision.
    pub now: Timestamp,
}

impl TargetQuery<'_> {
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

/// The target that a policy picked, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetChoice {
    /// The picked target.
    pub target: TargetKey,
    /// The rule that picked it.
    pub reason: ReasonCode,
    /// How many targets could have been picked.
    pub candidates: u16,
    /// Time until the answer that the policy expects, in microseconds; 0 if it expects
    /// none.
    pub expected_us: u32,
}

/// Picks a target for a request.
pub trait RoutingPolicy: Send + Sync {
    /// Gives the name used in settings and reports.
    fn name(&self) -> &'static str;

    /// Picks a target, or none if no target can take the request.
    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice>;
}

/// Gives every policy by the name used in settings.
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

/// Load that recent failures count for: a target that fails fast has few
/// requests in flight because it fails, and must not look idle. At a failure
/// share of a half it appears full twice over.
fn failure_penalty(target: &AvailableTarget) -> f32 {
    let share = target.counters.failure_share.load(Ordering::Relaxed) as f32 / 1024.0;
    share * 4.0 * target.slots as f32
}
