//! Metrics of the directory: how far this entry has followed it.

use metrics::{Counter, Gauge, counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::PrometheusRecorder;
use strum::IntoEnumIterator;
use zinniaport_core::directory::{DirectoryPart, StoreRevision};

/// Metric handles of the directory.
pub struct DirectoryMetrics {
    /// Revision of the newest known change, by part.
    revisions: [Gauge; DirectoryPart::COUNT],
    /// Era of the newest known change, by part.
    eras: [Gauge; DirectoryPart::COUNT],
    /// Times that a part was listed from a store that had come back from an older copy.
    restores: Counter,
}

impl DirectoryMetrics {
    pub(super) fn new(recorder: &PrometheusRecorder) -> Self {
        let gauges = |name: &'static str| {
            let mut parts = DirectoryPart::iter().map(<&str>::from);
            std::array::from_fn(|_| {
                let part = parts.next().unwrap_or_default();
                with_local_recorder(recorder, || gauge!(name, "part" => part))
            })
        };
        let counter = || counter!("zinniaport_directory_restores_total");
        Self {
            revisions: gauges("zinniaport_directory_revision"),
            eras: gauges("zinniaport_directory_era"),
            restores: with_local_recorder(recorder, counter),
        }
    }

    /// Sets the revision of the newest known change of a part.
    pub fn set_revision(&self, part: DirectoryPart, revision: StoreRevision) {
        self.revisions[part as usize].set(revision.number as f64);
        self.eras[part as usize].set(revision.era as f64);
    }

    /// Counts a part that was listed from a store that had come back from an older copy.
    pub fn count_restore(&self) {
        self.restores.increment(1);
    }
}
