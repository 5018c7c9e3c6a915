//! Content of `intents/SERVICE` in the store.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{ChangePlan, PlanIdentity};
use crate::intent::ServiceIntent;

/// Applied plans that an intent remembers. A plan can be confirmed for an hour
/// after its draft, and 5,400 changes a day over 200 services are about one an
/// hour for each. Each takes 45 bytes of every list and watch: 256 made the intent
/// of 20 targets 13,961 bytes, 64 make it 5,321.
pub const MAX_APPLIED_PLANS: usize = 64;

/// A plan that was applied, and the version that it replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AppliedPlan(pub PlanIdentity, pub u64);

/// An accepted intent with its author and the plans that led to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredIntent {
    /// The intent.
    pub intent: ServiceIntent,
    /// Author of the last change.
    pub author: String,
    /// The last plans applied, oldest first.
    pub applied: VecDeque<AppliedPlan>,
    /// What is added to versions of the store. A platform that is restored from a
    /// backup counts from an earlier version, while entries hold later ones.
    #[serde(default)]
    pub version_offset: u64,
}

/// What an entry holds when a plan is confirmed there. It shows whether the store
/// was restored to an older state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionFloor {
    /// Lowest version in force that a present read of the service may show.
    pub service: u64,
    /// Highest version in force of any service.
    pub highest: u64,
    /// Largest offset of an intent in the store.
    pub offset: u64,
}

impl VersionFloor {
    /// Gives the offset for the intent that follows one with `offset` at `version`
    /// of the store. A stale read raises it without need, which keeps the order.
    pub fn offset_after(&self, offset: u64, version: u64) -> u64 {
        let known = self.offset.max(offset);
        let lost = offset.saturating_add(version) < self.service;
        if lost { known.max(self.highest) } else { known }
    }
}

/// Prefix of the names of stored intents.
pub const INTENT_PREFIX: &str = "intents/";

/// Gives the name of the object that holds the intent of a service.
pub fn intent_name(service: &str) -> String {
    format!("{INTENT_PREFIX}{service}")
}

impl StoredIntent {
    /// Creates an intent that no plan led to.
    pub fn without_plans(intent: ServiceIntent, author: &str) -> Self {
        Self { intent, author: author.to_owned(), applied: VecDeque::new(), version_offset: 0 }
    }

    /// Gives the version in force of an intent at `version` of the store.
    pub fn version_in_force(&self, version: u64) -> u64 {
        self.version_offset.saturating_add(version)
    }

    /// Creates the successor of `present`, with its version in the store, that
    /// `plan` leads to.
    pub fn successor(
        present: Option<(&Self, u64)>,
        plan: &ChangePlan,
        floor: VersionFloor,
    ) -> Self {
        let (present, version) = present.unzip();
        let offset = present.map_or(0, |present| present.version_offset);
        let version_offset = floor.offset_after(offset, version.unwrap_or_default());
        let mut applied = present.map(|present| present.applied.clone()).unwrap_or_default();
        applied.push_back(AppliedPlan(plan.identity, plan.base_version));
        while applied.len() > MAX_APPLIED_PLANS {
            applied.pop_front();
        }
        let (intent, author) = (plan.intent.clone(), plan.author.clone());
        Self { intent, author, applied, version_offset }
    }

    /// Tells whether a plan was applied; none if the list no longer reaches back
    /// to the plan's base version.
    pub fn has_applied(&self, plan: &ChangePlan) -> Option<bool> {
        if self.applied.iter().any(|applied| applied.0 == plan.identity) {
            return Some(true);
        }
        let reaches_back = self.applied.len() < MAX_APPLIED_PLANS
            || self.applied.front().is_some_and(|oldest| oldest.1 <= plan.base_version);
        reaches_back.then_some(false)
    }
}
