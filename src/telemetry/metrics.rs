//! Metrics in the Prometheus text format. Each entry has its own recorder, so that the
//! metrics of several entries in one process stay separate.

use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusRecorder};
use slotmap::SecondaryMap;
use strum::IntoEnumIterator;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::decision::DecisionRecord;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::keys::{KindKey, ServiceKey};
use zinniaport_core::probe::MeasuringAccount;

use super::admission::AdmissionMetrics;
use super::directory::DirectoryMetrics;
use super::placement::{AGE_BOUNDS, EVENT_AGE, PlacementMetrics};
use super::quota::QuotaMetrics;
use super::traffic::TrafficMetrics;
use crate::held::HeldFigures;

const REQUESTS: &str = "zinniaport_requests_total";
const REFUSALS: &str = "zinniaport_refusals_total";
const RETRIES: &str = "zinniaport_retries_total";
const HEDGES: &str = "zinniaport_hedges_total";
const LATENCY: &str = "zinniaport_latency_seconds";
const RECORDS_COPIED: &str = "zinniaport_records_copied_total";
const RECORDS_NOT_COPIED: &str = "zinniaport_records_not_copied_total";
const RECORD_COPY_BYTES: &str = "zinniaport_record_copy_bytes_total";
const REPEATED_IDENTITIES: &str = "zinniaport_repeated_identities_total";
const UNUSED_ITEMS: &str = "zinniaport_unused_configuration_items";
const HELD_BYTES: &str = "zinniaport_held_bytes";
const HELD_BYTES_LIMIT: &str = "zinniaport_held_bytes_limit";
const DROPPED_CALLERS: &str = "zinniaport_dropped_callers_total";
const HELD_REFUSALS: &str = "zinniaport_held_bytes_refusals_total";
const IN_FLIGHT: &str = "zinniaport_in_flight";
/// Exported as a gauge that only rises, like the next one, because counters of the
/// library cannot hold fractions of a second.
const MEASURING_SPENT: &str = "zinniaport_measuring_spent_seconds_total";
const MEASURING_ALLOWED: &str = "zinniaport_measuring_allowed_seconds_total";

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Number of values of [`CallOutcome`].
const OUTCOMES: usize = 3;

/// Metric handles for the requests of one kind.
struct KindMetrics {
    service: String,
    kind: String,
    /// Requests by reason and outcome, each registered on first use.
    requests: Box<[OnceLock<Counter>]>,
    /// Refusals by reason, each registered on first use.
    refusals: Box<[OnceLock<Counter>]>,
    retries: Counter,
    hedges: Counter,
    latency: Histogram,
}

/// Metric handles for one version of a service's intent.
struct ServiceMetrics {
    version: u64,
    kinds: SecondaryMap<KindKey, KindMetrics>,
}

/// Metrics of one entry.
pub struct EntryMetrics {
    recorder: PrometheusRecorder,
    in_flight: Gauge,
    unclassified: KindMetrics,
    /// Requests that were sent on another connection because one had carried their identity.
    pub repeated_identities: Counter,
    /// Items of the configuration in force that this version does not use.
    pub unused_items: Gauge,
    /// Metrics of admission.
    pub admission: AdmissionMetrics,
    /// Metrics of placement.
    pub placement: PlacementMetrics,
    /// Bytes exchanged with other data centres.
    pub traffic: TrafficMetrics,
    /// Metrics of the limits of tenants.
    pub quota: QuotaMetrics,
    /// Metrics of the directory.
    pub directory: DirectoryMetrics,
    services: ArcSwap<SecondaryMap<ServiceKey, Arc<ServiceMetrics>>>,
}

impl EntryMetrics {
    /// Creates metrics without requests.
    ///
    /// # Panics
    ///
    /// Panics if the constant lists of histogram bounds are empty, which they are not.
    pub fn new() -> Self {
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(Matcher::Full(LATENCY.to_owned()), &LATENCY_BOUNDS)
            .and_then(|builder| {
                builder.set_buckets_for_metric(Matcher::Full(EVENT_AGE.to_owned()), &AGE_BOUNDS)
            })
            .expect("the histograms have bounds")
            .build_recorder();
        let in_flight = with_local_recorder(&recorder, || gauge!(IN_FLIGHT));
        let repeated_identities = with_local_recorder(&recorder, || counter!(REPEATED_IDENTITIES));
        let unused_items = with_local_recorder(&recorder, || gauge!(UNUSED_ITEMS));
        let unclassified = KindMetrics::new(&recorder, "unknown", "unknown");
        let admission = AdmissionMetrics::new(&recorder);
        let placement = PlacementMetrics::new(&recorder);
        let traffic = TrafficMetrics::new(&recorder);
        let quota = QuotaMetrics::new(&recorder);
        let directory = DirectoryMetrics::new(&recorder);
        Self {
            recorder,
            in_flight,
            unclassified,
            repeated_identities,
            unused_items,
            admission,
            placement,
            traffic,
            quota,
            directory,
            services: ArcSwap::default(),
        }
    }

    /// Counts a request that was not admitted.
    pub fn count_refused(&self, rank: u8, reason: ReasonCode) {
        self.admission.count_refused(&self.recorder, rank, reason);
    }

    /// Counts a request that was admitted after waiting.
    pub fn count_delayed(&self, rank: u8, reason: ReasonCode) {
        self.admission.count_delayed(&self.recorder, rank, reason);
    }

    /// Counts a new request as in flight.
    pub fn begin(&self) {
        self.in_flight.increment(1.0);
    }

    /// Counts the end of a request.
    pub fn end(&self, record: &DecisionRecord, fleet: &FleetSnapshot) {
        self.in_flight.decrement(1.0);
        let service = record.facts.service;
        match fleet.services.get(service).filter(|_| record.is_classified()) {
            Some(snapshot) => {
                let metrics = self.service(service, snapshot);
                let kind = metrics.kinds.get(record.facts.kind).unwrap_or(&self.unclassified);
                kind.count(&self.recorder, record);
            }
            None => self.unclassified.count(&self.recorder, record),
        }
    }

    /// Sets the slot time that measuring the targets of a service has used so far, and what
    /// its budget has allowed.
    pub fn set_measuring(&self, service: &str, account: &MeasuringAccount) {
        with_local_recorder(&self.recorder, || {
            let service = service.to_owned();
            gauge!(MEASURING_SPENT, "service" => service.clone()).set(account.spent.as_secs_f64());
            gauge!(MEASURING_ALLOWED, "service" => service).set(account.allowed.as_secs_f64());
        });
    }

    /// Counts records that were copied to a backup entry, records that were not, and the
    /// bytes sent.
    pub fn count_copies(&self, records: u64, not_copied: u64, bytes: u64) {
        with_local_recorder(&self.recorder, || {
            counter!(RECORDS_COPIED).increment(records);
            counter!(RECORDS_NOT_COPIED).increment(not_copied);
            counter!(RECORD_COPY_BYTES).increment(bytes);
        });
    }

    /// Sets what the entry holds for callers.
    pub fn set_held(&self, figures: &HeldFigures) {
        with_local_recorder(&self.recorder, || {
            gauge!(HELD_BYTES).set(figures.held as f64);
            gauge!(HELD_BYTES_LIMIT).set(figures.limit as f64);
            counter!(DROPPED_CALLERS).absolute(figures.dropped);
            counter!(HELD_REFUSALS).absolute(figures.refused);
        });
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.recorder.handle().render()
    }

    /// Adds observed latencies to their buckets. Without regular calls they accumulate in
    /// memory until the metrics are rendered.
    pub fn fold_latencies(&self) {
        self.recorder.handle().run_upkeep();
    }

    /// Returns the handles of a service, and registers them for a new version. Requests in
    /// flight during a change of version are unclassified if the new one has removed their kind.
    fn service(&self, key: ServiceKey, snapshot: &ServiceSnapshot) -> Arc<ServiceMetrics> {
        if let Some(known) = self.services.load().get(key)
            && known.version >= snapshot.version
        {
            return known.clone();
        }
        let name = &snapshot.intent.service;
        let kinds = snapshot.kinds.iter();
        let kinds = kinds
            .map(|(key, kind)| (key, KindMetrics::new(&self.recorder, name, &kind.name)))
            .collect();
        let created = Arc::new(ServiceMetrics { version: snapshot.version, kinds });
        self.services.rcu(|services| {
            let mut services = SecondaryMap::clone(services);
            services.insert(key, created.clone());
            services
        });
        created
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl KindMetrics {
    fn new(recorder: &PrometheusRecorder, service: &str, kind: &str) -> Self {
        let (service, kind) = (service.to_owned(), kind.to_owned());
        let reasons = ReasonCode::iter().count();
        with_local_recorder(recorder, || Self {
            requests: (0..reasons * OUTCOMES).map(|_| OnceLock::new()).collect(),
            refusals: (0..reasons).map(|_| OnceLock::new()).collect(),
            retries: counter!(RETRIES, "service" => service.clone(), "kind" => kind.clone()),
            hedges: counter!(HEDGES, "service" => service.clone(), "kind" => kind.clone()),
            latency: histogram!(LATENCY, "service" => service.clone(), "kind" => kind.clone()),
            service,
            kind,
        })
    }

    fn count(&self, recorder: &PrometheusRecorder, record: &DecisionRecord) {
        let (reason, outcome) = (record.end.reason, record.end.outcome);
        let position = reason as usize * OUTCOMES + outcome as usize;
        let requests = self.requests[position].get_or_init(|| {
            let (service, kind) = (self.service.clone(), self.kind.clone());
            let (reason, outcome) = (<&str>::from(reason), <&str>::from(outcome));
            with_local_recorder(recorder, || {
                counter!(REQUESTS, "service" => service, "kind" => kind, "outcome" => outcome, "reason" => reason)
            })
        });
        requests.increment(1);
        if outcome == CallOutcome::NotRun {
            let refusals = self.refusals[reason as usize].get_or_init(|| {
                let (service, kind) = (self.service.clone(), self.kind.clone());
                let reason: &str = reason.into();
                with_local_recorder(
                    recorder,
                    || counter!(REFUSALS, "service" => service, "kind" => kind, "reason" => reason),
                )
            });
            refusals.increment(1);
        }
        for dispatch in record.dispatches() {
            match dispatch.rule {
                ReasonCode::Retried => self.retries.increment(1),
                ReasonCode::Hedged => self.hedges.increment(1),
                _ => {}
            }
        }
        self.latency.record(record.end.answered.since(record.facts.arrived).as_secs_f64());
    }
}
