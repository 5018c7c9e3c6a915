//! Logs and metrics of an entry.

mod burn;
mod logs;
mod metrics;
mod placement;
mod quota;

pub use burn::run_burn_controller;
pub use logs::{LineLimiter, flush_logs, start_logs};
pub use metrics::EntryMetrics;
pub use placement::PlacementMetrics;
pub use quota::QuotaMetrics;
