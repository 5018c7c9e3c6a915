//! Settings of routing.

use std::sync::Arc;

use serde::Deserialize;
use zinniaport_core::policy::{RoutingPolicy, TwoChoices, policies};
use zinniaport_core::silence::SilenceRule;

use super::violation::{CheckSettings, ViolationList, field};

/// Greatest multiple of the typical time of a request. A longer time is that of a deadline.
const MAX_SILENCE_FACTOR: f32 = 20.0;

/// Settings of routing.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Name of the routing policy.
    pub policy: String,
    /// Time without a response after which a target counts as unresponsive, as a multiple of the
    /// typical time of a request; 0 for never.
    pub silence_factor: f32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self { policy: TwoChoices.name().to_owned(), silence_factor: 0.0 }
    }
}

impl RoutingSettings {
    /// Returns the routing policy. The settings must have been checked; an unknown name falls
    /// back to the default.
    pub fn policy(&self) -> Arc<dyn RoutingPolicy> {
        policies().swap_remove(self.policy.as_str()).unwrap_or_else(|| Arc::new(TwoChoices))
    }

    /// Returns the rule by which targets count as unresponsive.
    pub fn silence(&self) -> SilenceRule {
        SilenceRule::new(self.silence_factor)
    }
}

impl CheckSettings for RoutingSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let names: Vec<_> = policies().into_keys().collect();
        if !names.contains(&self.policy.as_str()) {
            let limit = format!("one of {}", names.join(", "));
            violations.add(field(path, "policy"), &self.policy, limit, "name a policy that exists");
        }
        let limit = format!("0 to {MAX_SILENCE_FACTOR}");
        if !(0.0..=MAX_SILENCE_FACTOR).contains(&self.silence_factor) {
            let remedy = "use 1.5, or 0 to turn it off";
            violations.add(field(path, "silence_factor"), self.silence_factor, limit, remedy);
        }
    }
}
