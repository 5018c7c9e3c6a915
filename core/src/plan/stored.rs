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
        Self { intent, author: author.to_owned(), applied: VecDeque::new() }
    }

    /// Creates the successor of `present` that `plan` leads to.
    pub fn after(present: Option<&Self>, plan: &ChangePlan) -> Self {
        let mut applied = present.map(|present| present.applied.clone()).unwrap_or_default();
        applied.push_back(AppliedPlan(plan.identity, plan.base_version));
        while applied.len() > MAX_APPLIED_PLANS {
            applied.pop_front();
        }
        Self { intent: plan.intent.clone(), author: plan.author.clone(), applied }
    }

    /// Tells whether a plan was applied; none if the list no longer reaches back
    /// to the plan's base version.
    pub fn contains(&self, plan: &ChangePlan) -> Option<bool> {
        if self.applied.iter().any(|applied| applied.0 == plan.identity) {
            return Some(true);
        }
        let reaches_back = self.applied.len() < MAX_APPLIED_PLANS
            || self.applied.front().is_some_and(|oldest| oldest.1 <= plan.base_version);
        reaches_back.then_some(false)
    }
}
