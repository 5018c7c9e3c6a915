//! Routing policies: which target runs a request.

mod random;
mod two_choices;

use rand::RngCore;

pub use random::RandomPolicy;
pub use two_choices::TwoChoices;

use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::fleet::{FleetSnapshot, ServiceEntry};
use crate::keys::TargetKey;

/// What a policy may look at.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Services and targets as of now.
    pub fleet: &'a FleetSnapshot,
    /// The service that the request is for.
    pub service: &'a ServiceEntry,
    /// Data centre of this entry.
    pub data_centre: &'a str,
    /// Targets that the request has already been sent to.
    pub excluded: &'a [TargetKey],
    /// Clock reading of the decision.
    pub now: Timestamp,
}

/// The target that a policy picked, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteChoice {
    /// The picked target.
    pub target: TargetKey,
    /// The rule that picked it.
    pub reason: ReasonCode,
    /// How many targets could have been picked.
    pub candidates: u16,
}

/// Picks a target for a request.
pub trait RoutingPolicy: Send + Sync {
    /// Gives the name used in settings and reports.
    fn name(&self) -> &'static str;

    /// Picks a target, or none if no target can take the request.
    fn pick(&self, query: &RouteQuery<'_>, random: &mut dyn RngCore) -> Option<RouteChoice>;
}

/// Lists the targets that may be picked.
fn candidates(query: &RouteQuery<'_>) -> Vec<TargetKey> {
    query
        .fleet
        .open_targets(query.service)
        .map(|(key, _)| key)
        .filter(|key| !query.excluded.contains(key))
        .collect()
}
