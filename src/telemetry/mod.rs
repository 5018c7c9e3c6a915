//! Logs and metrics of an entry.

mod burn;
mod logs;
mod metrics;

pub use burn::run_burn_controller;
pub use logs::{LineLimiter, flush_logs, start_logs};
pub use metrics::EntryMetrics;
