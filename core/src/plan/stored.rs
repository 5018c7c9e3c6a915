//! Content of `intents/SERVICE` in the store.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{ChangePlan, PlanIdentity};
use crate::controllers::StoreEra;
use crate::intent::ServiceIntent;

/// Greatest number of applied plans that an intent records. A plan can be confirmed for an
/// hour after its draft, and 5,400 changes a day over 200 services are about one an hour
/// for each. Each record takes 45 bytes of every list and watch: with 256 of them the
/// intent of 20 targets took 13,961 bytes, with 64 it takes 5,321.
pub const MAX_APPLIED_PLANS: usize = 64;

/// An applied plan and the version that it replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AppliedPlan(pub PlanIdentity, pub u64);

/// An accepted intent with its author and the plans that led to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredIntent {
    /// The intent.
    pub intent: ServiceIntent,
    /// Author of the last change.
    pub author: String,
    /// The last applied plans, oldest first.
    pub applied: VecDeque<AppliedPlan>,
    /// Offset that is added to versions of the store. A platform that is restored from a
    /// backup continues from an earlier version, while entries hold later ones.
    #[serde(default)]
    pub version_offset: u64,
}

/// Versions that an entry holds when a plan is confirmed there. They show whether the store
/// was restored to an older state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionFloor {
    /// Lowest version in force that a current read of the service may return.
    pub service: u64,
    /// Highest version in force of any service.
    pub highest: u64,
    /// Largest offset of an intent in the store.
    pub offset: u64,
    /// Era of the store in which the plan is written.
    pub era: StoreEra,
}

impl VersionFloor {
    /// Sets the era in which the plan is written.
    #[must_use]
    pub fn in_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// Returns the offset for the intent that follows one with `offset` at `version` of the
    /// store. In an era after the first it exceeds the versions of all eras before, which this
    /// entry may not know. It also rises if the store is behind the versions held. A stale read
    /// may raise it unnecessarily, which keeps the order of versions.
    pub fn offset_after(&self, offset: u64, version: u64) -> u64 {
        let known = self.offset.max(offset).max(self.era.first_version());
        let behind = offset.saturating_add(version) < self.service;
        if behind { known.max(self.highest) } else { known }
    }
}

/// Prefix of the names of stored intents.
pub const INTENT_PREFIX: &str = "intents/";

/// Returns the name of the object that holds the intent of a service.
pub fn intent_name(service: &str) -> String {
    format!("{INTENT_PREFIX}{service}")
}

impl StoredIntent {
    /// Creates a stored intent without applied plans.
    pub fn without_plans(intent: ServiceIntent, author: &str) -> Self {
        Self { intent, author: author.to_owned(), applied: VecDeque::new(), version_offset: 0 }
    }

    /// Returns the version in force of an intent that is at `version` of the store.
    pub fn version_in_force(&self, version: u64) -> u64 {
        self.version_offset.saturating_add(version)
    }

    /// Creates the intent that `plan` puts in place of `present`, which is given with its
    /// version in the store.
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

    /// Returns the plan that led to this intent, or `None` if none did.
    pub fn last_plan(&self) -> Option<PlanIdentity> {
        self.applied.back().map(|applied| applied.0)
    }

    /// Returns whether a plan was applied, or `None` if the list no longer reaches back to
    /// the plan's base version.
    pub fn has_applied(&self, plan: &ChangePlan) -> Option<bool> {
        if self.applied.iter().any(|applied| applied.0 == plan.identity) {
            return Some(true);
        }
        let covers_base = self.applied.len() < MAX_APPLIED_PLANS
            || self.applied.front().is_some_and(|oldest| oldest.1 <= plan.base_version);
        covers_base.then_some(false)
    }
}
