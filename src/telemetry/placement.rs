//! Metrics of placement: how far an entry is behind as a coordinator, and what it decides.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::PrometheusRecorder;

/// Name of the histogram of the ages of placement events.
pub(super) const EVENT_AGE: &str = "zinniaport_placement_event_age_seconds";

/// Upper bounds of the histogram of ages, in seconds. Senders repeat a placement request after
/// 15 ms and turn to another coordinator after 45 ms.
pub(super) const AGE_BOUNDS: [f64; 7] = [0.001, 0.005, 0.01, 0.015, 0.03, 0.045, 0.2];

/// Metric handles of placement.
pub struct PlacementMetrics {
    /// Placement events that wait to be handled.
    pub waiting: Gauge,
    /// Age of placement events when they are handled.
    pub age: Histogram,
    /// Placement requests of other entries that were decided on.
    pub decisions: Counter,
    /// Placement requests that had been received before.
    pub repeats: Counter,
    /// Placement requests that had ended before they were decided on.
    pub wasted: Counter,
    /// Placement requests that were turned away because this entry was behind.
    pub turned_away: Counter,
    /// Messages of other entries that were dropped because too many waited.
    pub dropped: Counter,
    /// Targets that are cold and limited.
    pub cold_targets: Gauge,
    /// Times that a target began to count as unresponsive after a request without a response.
    pub silent_targets: Counter,
    /// Hedges that were sent because the first target had not responded for longer than a request
    /// takes.
    pub silence_hedges: Counter,
    /// Data centres that are evacuated.
    pub evacuated_data_centres: Gauge,
    /// Requests that were not sent because the data centre of their target was evacuated
    /// meanwhile.
    pub evacuated_dispatches: Counter,
    /// Picks of a cold target that another request had just used up.
    pub cold_conflicts: Counter,
    /// Requests of this entry that it placed by itself.
    pub local: Counter,
    /// Requests of this entry whose placement was first requested in another data centre.
    pub sent_elsewhere: Counter,
    /// Requests of this entry that left the part of a service in which they waited, or were
    /// refused, for another part.
    pub moved: Counter,
    /// 1 while services are divided by data centre, else 0.
    pub divided: Gauge,
    /// Targets compared so far.
    compared: AtomicU64,
}

impl PlacementMetrics {
    pub(super) fn new(recorder: &PrometheusRecorder) -> Self {
        with_local_recorder(recorder, || Self {
            waiting: gauge!("zinniaport_placement_events_waiting"),
            age: histogram!(EVENT_AGE),
            decisions: counter!("zinniaport_placement_decisions_total"),
            repeats: counter!("zinniaport_placement_repeats_total"),
            wasted: counter!("zinniaport_placement_wasted_total"),
            turned_away: counter!("zinniaport_placement_turned_away_total"),
            dropped: counter!("zinniaport_placement_messages_dropped_total"),
            cold_targets: gauge!("zinniaport_cold_targets"),
            silent_targets: counter!("zinniaport_silent_targets_total"),
            silence_hedges: counter!("zinniaport_silence_hedges_total"),
            evacuated_data_centres: gauge!("zinniaport_evacuated_data_centres"),
            evacuated_dispatches: counter!("zinniaport_evacuated_dispatches_total"),
            cold_conflicts: counter!("zinniaport_cold_target_conflicts_total"),
            local: counter!("zinniaport_local_placements_total"),
            sent_elsewhere: counter!("zinniaport_placements_sent_elsewhere_total"),
            moved: counter!("zinniaport_placements_moved_total"),
            divided: gauge!("zinniaport_data_centre_parts"),
            compared: AtomicU64::new(0),
        })
    }

    /// Records the age of an event and the number of events that wait behind it.
    pub fn record_event(&self, age: Duration, waiting: usize) {
        self.age.record(age.as_secs_f64());
        self.waiting.set(waiting as f64);
    }

    /// Counts targets that were compared to pick one.
    pub fn count_compared(&self, targets: usize) {
        self.compared.fetch_add(targets as u64, Ordering::Relaxed);
    }

    /// Returns the number of targets compared so far.
    pub fn compared(&self) -> u64 {
        self.compared.load(Ordering::Relaxed)
    }
}
