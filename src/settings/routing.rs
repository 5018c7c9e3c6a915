//! Settings of routing.

use std::sync::Arc;

use serde::Deserialize;
use zinniaport_core::policy::{RoutingPolicy, TwoChoices, policies};

use super::violation::{CheckSettings, ViolationList, field};

/// Settings of routing.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Name of the routing policy.
    pub policy: String,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self { policy: TwoChoices.name().to_owned() }
    }
}

impl RoutingSettings {
    /// Returns the routing policy. The settings must have been checked; an unknown name falls
    /// back to the default.
    pub fn policy(&self) -> Arc<dyn RoutingPolicy> {
        policies().swap_remove(self.policy.as_str()).unwrap_or_else(|| Arc::new(TwoChoices))
    }
}

impl CheckSettings for RoutingSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let names: Vec<_> = policies().into_keys().collect();
        if !names.contains(&self.policy.as_str()) {
            let limit = format!("one of {}", names.join(", "));
            violations.add(field(path, "policy"), &self.policy, limit, "name a policy that exists");
        }
    }
}
