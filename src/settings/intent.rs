//! Rules for intents.

use std::hash::Hash;

use indexmap::IndexMap;
use zinniaport_core::intent::{KindIntent, MeasuringIntent, ServiceIntent, TargetIntent};

use super::violation::{CheckSettings, ViolationList, check_each, element, field};

const PERCENT_REMEDY: &str = "give a share of 100";

impl CheckSettings for ServiceIntent {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        violations.check_name(field(path, "service"), &self.service);
        violations.check_name(field(path, "team"), &self.team);
        if self.kinds.is_empty() {
            let remedy = "add a kind; requests without one are refused";
            violations.add(field(path, "kinds"), "empty list", "at least 1 kind", remedy);
        }
        check_each(path, "kinds", &self.kinds, violations);
        let names = self.kinds.iter().map(|kind| kind.name.as_str());
        check_unique(names, violations, "give each kind a name of its own", |position| {
            field(&element(path, "kinds", position), "name")
        });
        check_each(path, "targets", &self.targets, violations);
        let addresses = self.targets.iter().map(|target| target.address);
        check_unique(addresses, violations, "list each target once", |position| {
            field(&element(path, "targets", position), "address")
        });
        self.measuring.check(&field(path, "measuring"), violations);
        let queue = field(path, "max_queue_length");
        violations.check_range(queue, self.max_queue_length, 1..=100_000, "keep queues short");
        let retry = field(path, "retry_percent");
        violations.check_range(retry, self.retry_percent, 0.0..=100.0, PERCENT_REMEDY);
        let ejected = field(path, "max_ejected_percent");
        violations.check_range(ejected, self.max_ejected_percent, 0.0..=100.0, PERCENT_REMEDY);
        let crashed = field(path, "max_crashed_targets");
        violations.check_range(crashed, self.max_crashed_targets, 1..=100, "1 quarantines soonest");
    }
}

impl CheckSettings for KindIntent {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        violations.check_name(field(path, "name"), &self.name);
        for (position, method) in self.methods.iter().enumerate() {
            if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
                let path = element(path, "methods", position);
                violations.add(
                    path,
                    format!("{method:?}"),
                    "upper-case letters",
                    "write GET or POST",
                );
            }
        }
        if !self.path_prefix.is_empty() && !self.path_prefix.starts_with('/') {
            let prefix = field(path, "path_prefix");
            let value = format!("{:?}", self.path_prefix);
            violations.add(prefix, value, "starts with /", "put a / in front, or leave it out");
        }
        violations.check_range(field(path, "rank"), self.rank, 0..=9, "0 is served first");
        violations.check_range(field(path, "max_runs"), self.max_runs, 1..=4, "1 means no retry");
        if !self.idempotent && self.max_runs > 1 {
            let remedy = "set max_runs to 1, or idempotent to true if running twice does no harm";
            violations.add(field(path, "max_runs"), self.max_runs, "1 unless idempotent", remedy);
        }
        if self.idempotent && self.require_key {
            let remedy = "remove require_key; only non-idempotent requests are claimed";
            violations.add(field(path, "require_key"), true, "false if idempotent", remedy);
        }
        let deadline = field(path, "deadline_ms");
        violations.check_range(
            deadline,
            self.deadline_ms,
            1..=3_600_000,
            "give it in milliseconds",
        );
        if let Some(latency) = self.target_latency_ms {
            let remedy = "give a time within the deadline";
            violations.check_range(
                field(path, "target_latency_ms"),
                latency,
                1..=self.deadline_ms,
                remedy,
            );
        }
        if let Some(dispatches) = self.max_dispatches {
            violations.check_range(
                field(path, "max_dispatches"),
                dispatches,
                1..=4,
                "1 means no retry",
            );
        }
        let objective = field(path, "objective_percent");
        violations.check_range(objective, self.objective_percent, 0.0..=100.0, PERCENT_REMEDY);
    }
}

impl CheckSettings for TargetIntent {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        if self.address.port() == 0 {
            let remedy = "give the port that the target listens on";
            violations.add(field(path, "address"), self.address, "port 1 to 65535", remedy);
        }
        violations.check_name(field(path, "data_centre"), &self.data_centre);
        let slots = field(path, "slots");
        violations.check_range(slots, self.slots, 1..=10_000, "give what it runs at the same time");
    }
}

impl CheckSettings for MeasuringIntent {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let budget = field(path, "budget_percent");
        violations.check_range(budget, self.budget_percent, 0.0..=100.0, "0 switches probes off");
        let cost = field(path, "probe_cost_ms");
        violations.check_range(cost, self.probe_cost_ms, 0.001..=60_000.0, "measure one probe");
        let entries = field(path, "max_entries");
        violations.check_range(entries, self.max_entries, 1..=10_000, "count replacements too");
    }
}

/// Adds a violation for each value that an earlier element already has.
pub(super) fn check_unique<T: Eq + Hash + std::fmt::Display>(
    values: impl Iterator<Item = T>,
    violations: &mut ViolationList,
    remedy: &str,
    path: impl Fn(usize) -> String,
) {
    let mut seen = IndexMap::new();
    for (position, value) in values.enumerate() {
        if let Some(first) = seen.get(&value) {
            let limit = format!("unlike {}", path(*first));
            violations.add(path(position), &value, limit, remedy);
        } else {
            seen.insert(value, position);
        }
    }
}
