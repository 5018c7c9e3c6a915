//! Intents: what operators state about their services, as plain data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// What an operator states about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceIntent {
    /// Name of the service; first segment of the path of its requests.
    pub service: String,
    /// Team that may change the service.
    pub team: String,
    /// Kinds of request; the first that matches applies.
    pub kinds: Vec<KindIntent>,
    /// Targets of the service.
    pub targets: Vec<TargetIntent>,
    /// What measuring the targets may cost.
    #[serde(default)]
    pub measuring: MeasuringIntent,
    /// Greatest number of requests that wait at one entry.
    #[serde(default = "default_queue_length")]
    pub max_queue_length: u32,
    /// Retries and hedges allowed, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: f64,
    /// Greatest share of targets that ejection may remove, in percent.
    #[serde(default = "default_ejection_percent")]
    pub max_ejected_percent: f64,
    /// Targets that one request may crash before it is quarantined.
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

/// One kind of request within a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindIntent {
    /// Name of the kind.
    pub name: String,
    /// Methods that belong to it; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Prefix of the path after the service's segment.
    #[serde(default)]
    pub path_prefix: String,
    /// Order of service: a lower rank goes first.
    pub rank: u8,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Greatest number of dispatches for one request.
    #[serde(default = "default_max_runs")]
    pub max_runs: u8,
    /// Time limit in milliseconds from arrival at the entry.
    pub deadline_ms: u64,
    /// Whether a request must carry an `Idempotency-Key`.
    #[serde(default)]
    pub require_key: bool,
    /// Share of requests to serve within the deadline, in percent.
    #[serde(default = "default_objective")]
    pub objective_percent: f64,
    /// Time in milliseconds after which an answer is worth less to its caller,
    /// though it still counts until the deadline; none if only the deadline counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u64>,
    /// Greatest number of targets that one request is sent to, those that refuse
    /// it included; none for the bound of all kinds.
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
    /// Gives the time limit of a request.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Gives the time within which an answer has its full worth.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.target_latency_ms.unwrap_or(self.deadline_ms))
    }

    /// Tells whether a request with this method and path belongs to the kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path_prefix)
    }
}

/// One target of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetIntent {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data centre that the target is in.
    pub data_centre: String,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// What the operator wants of the target.
    #[serde(default)]
    pub state: DesiredState,
    /// The process that is meant, where an address may pass to another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<TargetInstance>,
}

/// Tells a process from others that had or will have its address.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetInstance {
    /// Identity that the target checks requests against.
    pub id: Arc<str>,
    /// Start of the process, in milliseconds since the Unix epoch; 0 if unknown.
    /// A process that starts again may keep its identity.
    #[serde(default)]
    pub started_ms: u64,
}

/// What the operator wants of a target.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DesiredState {
    /// Takes requests.
    #[default]
    Serving,
    /// Starts cold and takes a growing share.
    Joining,
    /// Takes no new requests.
    Leaving,
}

/// What measuring a service's targets may cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuringIntent {
    /// Share of each target's slot time that probes may take, in percent.
    pub budget_percent: f64,
    /// Slot time that one probe takes, in milliseconds.
    pub probe_cost_ms: f64,
    /// Greatest number of entries that run at the same time.
    pub max_entries: u32,
    /// Path that answers at once with the load of a target; targets are then probed
    /// just before they are used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probe_path: Option<String>,
}

impl Default for MeasuringIntent {
    fn default() -> Self {
        Self { budget_percent: 0.0, probe_cost_ms: 6.0, max_entries: 19, probe_path: None }
    }
}
