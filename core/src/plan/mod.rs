//! Plans: the changes that confirming a stated intent would make, computed from the base
//! version of the intent and the current fleet.

mod changes;
mod stored;

use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use changes::{ChangeAction, PlannedChange, changes_between};
pub use stored::{
    AppliedPlan, INTENT_PREFIX, MAX_APPLIED_PLANS, StoredIntent, VersionFloor, intent_name,
};

use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::fleet::FleetSnapshot;
use crate::intent::{DesiredState, ServiceIntent, TargetIntent};

/// Identity of a plan.
pub type PlanIdentity = ShortDigest;

/// What an operator states: the intent, and whether it may reduce capacity below the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IntentStatement {
    /// The intent.
    pub intent: ServiceIntent,
    /// Allows fewer slots than the current load. Not stored with the intent.
    #[serde(default)]
    pub allow_below_load: bool,
}

/// The state that a plan is computed from.
#[derive(Clone, Copy, Debug)]
pub struct PlanBasis<'a> {
    /// The intent in the store; `None` for a new service.
    pub base: Option<&'a ServiceIntent>,
    /// Its version, 0 for a new service.
    pub base_version: u64,
    /// The plan that led to it; `None` if none did.
    pub base_plan: Option<PlanIdentity>,
    /// Services and targets with their current load.
    pub fleet: &'a FleetSnapshot,
}

/// Author and time of a plan.
#[derive(Clone, Debug)]
pub struct PlanStamp {
    /// The author.
    pub author: String,
    /// Random number that distinguishes plans with the same changes.
    pub nonce: u64,
    /// When the plan was drafted.
    pub created: Timestamp,
}

/// Slots in one data centre before and after a plan.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CapacityEffect {
    /// The data centre.
    pub data_centre: String,
    /// Slots of available targets before the plan.
    pub slots_before: u32,
    /// Slots of available targets after the plan.
    pub slots_after: u32,
}

/// Risk of confirming a plan.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlanRisk {
    /// The load exceeds the slots that stay.
    #[display("{slots} slots stay for a load of {load} requests; requests will wait or be refused")]
    BelowLoad {
        /// Requests running and queued at the targets.
        load: u32,
        /// Slots after the plan.
        slots: u32,
    },
    /// A data centre has no available target left.
    #[display("no target stays in {data_centre}; its requests cross to other data centres")]
    DataCentreEmptied {
        /// The data centre.
        data_centre: String,
    },
    /// New targets start cold.
    #[display("{targets} targets start cold and take a growing share at first")]
    ColdTargets {
        /// Number of new targets.
        targets: usize,
    },
    /// No target has reported its load.
    #[display("no target has reported its load to this entry; the load may be underestimated")]
    LoadUnknown,
}

/// Reason why a statement yields no plan.
#[derive(Debug, Display, Error, Eq, PartialEq)]
pub enum PlanError {
    /// The load exceeds the slots that would stay.
    #[display(
        "{slots} slots would stay for a load of {load} requests; keep more targets or state allow_below_load"
    )]
    BelowLoad {
        /// Requests running and queued at the targets.
        load: u32,
        /// Slots after the plan.
        slots: u32,
    },
    /// The intent is already in force.
    #[display("the intent equals version {base_version}; nothing needs to be confirmed")]
    NoChange {
        /// Version in the store.
        base_version: u64,
    },
    /// A target appears twice.
    #[display("target {address} appears more than once; name each address once")]
    RepeatedTarget {
        /// Its address.
        address: std::net::SocketAddr,
    },
}

/// The changes that confirming a statement makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangePlan {
    /// Digest of the base version, the changes, the intent and the nonce.
    pub identity: PlanIdentity,
    /// Author of the statement.
    pub author: String,
    /// When the plan was drafted.
    pub created: Timestamp,
    /// Version of the intent that the plan was computed from, 0 if there was none.
    pub base_version: u64,
    /// The plan that led to that intent; `None` if none did. A store that came back from an
    /// older copy gives versions out again, but no identity.
    #[serde(default)]
    pub base_plan: Option<PlanIdentity>,
    /// The changes, in an order in which capacity is added before it is removed.
    pub changes: Vec<PlannedChange>,
    /// Effect on the slots of each data centre.
    pub capacity: Vec<CapacityEffect>,
    /// Risks of confirming the plan.
    pub risks: Vec<PlanRisk>,
    /// The intent that the plan was computed from.
    pub base: Option<ServiceIntent>,
    /// The intent in force after the plan.
    pub intent: ServiceIntent,
}

impl ChangePlan {
    /// Drafts the plan that puts a statement in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the statement changes nothing, names a target twice, or leaves
    /// fewer slots than the current load without allowing it.
    pub fn draft(
        statement: IntentStatement,
        basis: &PlanBasis<'_>,
        stamp: PlanStamp,
    ) -> Result<Self, PlanError> {
        let IntentStatement { intent, allow_below_load } = statement;
        check_addresses(&intent.targets)?;
        let changes = changes_between(basis.base, &intent);
        if changes.is_empty() {
            return Err(PlanError::NoChange { base_version: basis.base_version });
        }
        let before = basis.base.map_or(&[][..], |base| &base.targets);
        let capacity = capacity_effects(before, &intent.targets);
        let mut risks = capacity_risks(&capacity, &changes);
        let slots_before: u32 = capacity.iter().map(|effect| effect.slots_before).sum();
        let slots: u32 = capacity.iter().map(|effect| effect.slots_after).sum();
        let load = current_load(basis.fleet, &intent.service);
        if slots < load.unwrap_or(0) && slots < slots_before {
            let load = load.unwrap_or(0);
            if !allow_below_load {
                return Err(PlanError::BelowLoad { load, slots });
            }
            risks.push(PlanRisk::BelowLoad { load, slots });
        }
        if load.is_none() && slots < slots_before {
            risks.push(PlanRisk::LoadUnknown);
        }
        let identity = identity_of(basis.base_version, &changes, &intent, stamp.nonce);
        Ok(Self {
            identity,
            author: stamp.author,
            created: stamp.created,
            base_version: basis.base_version,
            base_plan: basis.base_plan,
            changes,
            capacity,
            risks,
            base: basis.base.cloned(),
            intent,
        })
    }
}

fn check_addresses(targets: &[TargetIntent]) -> Result<(), PlanError> {
    let mut seen = std::collections::HashSet::new();
    match targets.iter().find(|target| !seen.insert(target.address)) {
        Some(target) => Err(PlanError::RepeatedTarget { address: target.address }),
        None => Ok(()),
    }
}

/// Returns the identity of a plan. It covers the intent too, because the changes are
/// descriptions for people.
fn identity_of(
    base_version: u64,
    changes: &[PlannedChange],
    intent: &ServiceIntent,
    nonce: u64,
) -> PlanIdentity {
    let changes = serde_json::to_vec(changes).unwrap_or_default();
    let intent = serde_json::to_vec(intent).unwrap_or_default();
    let parts = [&base_version.to_be_bytes()[..], &changes, &intent, &nonce.to_be_bytes()];
    ShortDigest::of(&parts)
}

/// Returns the slots of a target that are available; a leaving target has none.
fn available_slots(target: &TargetIntent) -> u32 {
    if target.state == DesiredState::Leaving { 0 } else { target.slots }
}

fn capacity_effects(before: &[TargetIntent], after: &[TargetIntent]) -> Vec<CapacityEffect> {
    let mut totals: IndexMap<&str, (u32, u32)> = IndexMap::new();
    for target in before {
        totals.entry(&target.data_centre).or_default().0 += available_slots(target);
    }
    for target in after {
        totals.entry(&target.data_centre).or_default().1 += available_slots(target);
    }
    totals
        .into_iter()
        .map(|(data_centre, (slots_before, slots_after))| CapacityEffect {
            data_centre: data_centre.to_owned(),
            slots_before,
            slots_after,
        })
        .collect()
}

fn capacity_risks(capacity: &[CapacityEffect], changes: &[PlannedChange]) -> Vec<PlanRisk> {
    let emptied =
        capacity.iter().filter(|effect| effect.slots_before > 0 && effect.slots_after == 0);
    let mut risks: Vec<_> = emptied
        .map(|effect| PlanRisk::DataCentreEmptied { data_centre: effect.data_centre.clone() })
        .collect();
    let cold = changes.iter().filter(|change| change.action == ChangeAction::AddTarget).count();
    if cold > 0 {
        risks.push(PlanRisk::ColdTargets { targets: cold });
    }
    risks
}

/// Returns the load of a service's targets: what each last reported, but at least the
/// requests of this entry in flight there. Returns `None` if no target has reported.
fn current_load(fleet: &FleetSnapshot, service: &str) -> Option<u32> {
    use std::sync::atomic::Ordering::Relaxed;
    let (_, snapshot) = fleet.find(service)?;
    let counters =
        || snapshot.targets.iter().filter_map(|key| Some(&fleet.targets.get(*key)?.counters));
    let reported = counters().any(|counters| counters.reported_at.load(Relaxed) > 0);
    let load = counters()
        .map(|counters| counters.reported_load.load(Relaxed).max(counters.in_flight.load(Relaxed)))
        .sum();
    (reported || load > 0).then_some(load)
}
