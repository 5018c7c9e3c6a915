//! Metrics of the limits of tenants.

use metrics::{Counter, Gauge, counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::PrometheusRecorder;

const DECISIONS: &str = "zinniaport_quota_decisions_total";

/// Metric handles of the limits of tenants.
pub struct QuotaMetrics {
    /// Dispatches that got a token.
    pub granted: Counter,
    /// Dispatches that got none because their tenant was over its limit.
    pub exceeded: Counter,
    /// Dispatches that got none because no owner could decide.
    pub unavailable: Counter,
    /// Messages to other entries.
    pub messages: Counter,
    /// Tokens that this entry holds for later requests.
    pub held: Gauge,
}

impl QuotaMetrics {
    pub(super) fn new(recorder: &PrometheusRecorder) -> Self {
        with_local_recorder(recorder, || Self {
            granted: counter!(DECISIONS, "decision" => "granted"),
            exceeded: counter!(DECISIONS, "decision" => "exceeded"),
            unavailable: counter!(DECISIONS, "decision" => "unavailable"),
            messages: counter!("zinniaport_quota_messages_total"),
            held: gauge!("zinniaport_quota_tokens_held"),
        })
    }
}
