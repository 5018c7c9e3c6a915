//! Intents: the desired configuration of services as operators state it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Desired configuration of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Name of the service; the first path segment of its requests.
    pub service: String,
    /// Team that may change the service.
    pub team: String,
    /// Kinds of request; the first one that matches applies.
    pub kinds: Vec<KindIntent>,
    /// Targets of the service.
    pub targets: Vec<TargetIntent>,
    /// Budget for probes of the targets.
    #[serde(default)]
    pub measuring: MeasuringIntent,
    /// Maximum number of requests that wait at one entry.
    #[serde(default = "default_queue_length")]
    pub max_queue_length: u32,
    /// Maximum number of retries and hedges, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: f64,
    /// Maximum share of targets that may be ejected, in percent.
    #[serde(default = "default_ejection_percent")]
    pub max_ejected_percent: f64,
    /// Number of targets that one request may crash before it is quarantined.
    #[serde(default = "default_crash_bound")]
    pub max_crashed_targets: u8,
}

fn default_queue_length() -> u32 {
    256
}

fn default_retry_percent() -> f64 {
    10.0
}

fn default_ejection_percent() -> f64 {
    34.0
}

fn default_crash_bound() -> u8 {
    2
}

/// Kind of request within a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindIntent {
    /// Name of the kind.
    pub name: String,
    /// Methods that match; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Prefix that the path must have after the segment of the service.
    #[serde(default)]
    pub path_prefix: String,
    /// Priority; requests with a lower rank are served first.
    pub rank: u8,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Maximum number of runs of one request.
    #[serde(default = "default_max_runs")]
    pub max_runs: u8,
    /// Deadline in milliseconds after arrival at the entry.
    pub deadline_ms: u64,
    /// Whether a request must carry an `Idempotency-Key` header.
    #[serde(default)]
    pub require_key: bool,
    /// Objective: share of requests to serve within the deadline, in percent.
    #[serde(default = "default_objective")]
    pub objective_percent: f64,
    /// Soft deadline in milliseconds after arrival. A later response is worth less to the
    /// caller but still counts until the deadline. `None` if only the deadline counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u64>,
    /// Maximum number of targets that one request is sent to, including those that refuse
    /// it; `None` for the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_dispatches: Option<u8>,
}

fn default_max_runs() -> u8 {
    1
}

fn default_objective() -> f64 {
    99.0
}

impl KindIntent {
    /// Returns the time from the arrival of a request to its deadline.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the time from the arrival of a request to its soft deadline, or to its deadline
    /// if there is none.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms.unwrap_or(self.deadline_ms))
    }

    /// Returns `true` if a request with this method and path belongs to the kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path_prefix)
    }
}

/// Target of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetIntent {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data centre that the target runs in.
    pub data_centre: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Desired state.
    #[serde(default)]
    pub state: DesiredState,
    /// Process that requests are meant for, if another one may get its address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<TargetInstance>,
}

/// Identifies a process among those that have had or will have its address.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetInstance {
    /// Identity that the target compares with that in requests.
    pub id: Arc<str>,
    /// Start time of the process, in milliseconds since the Unix epoch; 0 if unknown. A
    /// process may keep its identity when it restarts.
    #[serde(default)]
    pub started_ms: u64,
}

/// State of a target that the operator wants.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DesiredState {
    /// Takes requests.
    #[default]
    Serving,
    /// Starts cold and takes a growing share of requests.
    Joining,
    /// Takes no new requests.
    Leaving,
}

/// Budget for probes of a service's targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuringIntent {
    /// Share of each target's slot time that probes may use, in percent.
    pub budget_percent: f64,
    /// Slot time that one probe uses, in milliseconds.
    pub probe_cost_ms: f64,
    /// Maximum number of entries that run concurrently.
    pub max_entries: u32,
    /// Path of a target that responds immediately with its load. If set, targets are probed
    /// just before they are used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe_path: Option<String>,
}

impl Default for MeasuringIntent {
    fn default() -> Self {
        Self { budget_percent: 0.0, probe_cost_ms: 6.0, max_entries: 19, probe_path: None }
    }
}
