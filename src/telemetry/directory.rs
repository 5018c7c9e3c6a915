//! Metrics of the directory: how far this entry has followed it.

use metrics::{Gauge, gauge, with_local_recorder};
use metrics_exporter_prometheus::PrometheusRecorder;
use strum::IntoEnumIterator;
use zinniaport_core::directory::DirectoryPart;

/// Metric handles of the directory.
pub struct DirectoryMetrics {
    /// Revision of the newest known change, by part.
    revisions: [Gauge; DirectoryPart::COUNT],
}

impl DirectoryMetrics {
    pub(super) fn new(recorder: &PrometheusRecorder) -> Self {
        let mut parts = DirectoryPart::iter().map(<&str>::from);
        let revisions = std::array::from_fn(|_| {
            let part = parts.next().unwrap_or_default();
            with_local_recorder(
                recorder,
                || gauge!("zinniaport_directory_revision", "part" => part),
            )
        });
        Self { revisions }
    }

    /// Sets the revision of the newest known change of a part.
    pub fn set_revision(&self, part: DirectoryPart, revision: u64) {
        self.revisions[part as usize].set(revision as f64);
    }
}
