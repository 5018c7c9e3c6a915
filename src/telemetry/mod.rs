//! Logs and metrics of an entry.

mod admission;
mod burn;
mod directory;
mod logs;
mod metrics;
mod placement;
mod quota;
mod traffic;

pub use admission::AdmissionMetrics;
pub use burn::run_burn_controller;
pub use directory::DirectoryMetrics;
pub use logs::{LineLimiter, flush_logs, start_logs};
pub use metrics::EntryMetrics;
pub use placement::PlacementMetrics;
pub use quota::QuotaMetrics;
pub use traffic::{MeteredBody, TrafficKind, TrafficMetrics, head_bytes};
