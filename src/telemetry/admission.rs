//! Metrics of admission: which requests the coordinator delays and refuses.

use std::array::from_fn;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};

use metrics::{Counter, Gauge, counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::PrometheusRecorder;
use strum::EnumCount;
use zinniaport_core::admission::WaitingTenants;
use zinniaport_core::call::ReasonCode;

const REFUSED: &str = "zinniaport_admission_refused_total";
const DELAYED: &str = "zinniaport_admission_delayed_total";

/// Number of ranks that are counted separately; intents state ranks from 0 to 9.
const MAX_RANKS: usize = 10;

/// Counters by rank and reason, each registered on first use.
type RankCounters = [[OnceLock<Counter>; ReasonCode::COUNT]; MAX_RANKS];

/// Metric handles of admission. The waiting requests of tenants are shown by two values for all
/// tenants, since there may be thousands of them.
pub struct AdmissionMetrics {
    refused: Box<RankCounters>,
    delayed: Box<RankCounters>,
    /// Refusals and delays since the last report.
    unreported: [AtomicU32; 2],
    waiting_tenants: Gauge,
    largest_tenant: Gauge,
}

impl AdmissionMetrics {
    pub(super) fn new(recorder: &PrometheusRecorder) -> Self {
        let counters = || Box::new(from_fn(|_| from_fn(|_| OnceLock::new())));
        with_local_recorder(recorder, || Self {
            refused: counters(),
            delayed: counters(),
            unreported: Default::default(),
            waiting_tenants: gauge!("zinniaport_admission_waiting_tenants"),
            largest_tenant: gauge!("zinniaport_admission_largest_tenant_waiting"),
        })
    }

    /// Counts a request that was not admitted.
    pub(super) fn count_refused(
        &self,
        recorder: &PrometheusRecorder,
        rank: u8,
        reason: ReasonCode,
    ) {
        self.unreported[0].fetch_add(1, Ordering::Relaxed);
        count(recorder, &self.refused, REFUSED, rank, reason);
    }

    /// Counts a request that was admitted after waiting.
    pub(super) fn count_delayed(
        &self,
        recorder: &PrometheusRecorder,
        rank: u8,
        reason: ReasonCode,
    ) {
        self.unreported[1].fetch_add(1, Ordering::Relaxed);
        count(recorder, &self.delayed, DELAYED, rank, reason);
    }

    /// Sets the tenants with waiting requests.
    pub fn set_waiting(&self, waiting: WaitingTenants) {
        self.waiting_tenants.set(f64::from(waiting.count));
        self.largest_tenant.set(f64::from(waiting.largest));
    }

    /// Returns the numbers of refused and delayed requests since the last call.
    pub fn take_unreported(&self) -> (u32, u32) {
        let [refused, delayed] = &self.unreported;
        (refused.swap(0, Ordering::Relaxed), delayed.swap(0, Ordering::Relaxed))
    }
}

fn count(
    recorder: &PrometheusRecorder,
    counters: &RankCounters,
    name: &'static str,
    rank: u8,
    reason: ReasonCode,
) {
    let rank = usize::from(rank).min(MAX_RANKS - 1);
    let counter = counters[rank][reason as usize].get_or_init(|| {
        let reason: &'static str = reason.into();
        let register = || counter!(name, "rank" => rank.to_string(), "reason" => reason);
        with_local_recorder(recorder, register)
    });
    counter.increment(1);
}
