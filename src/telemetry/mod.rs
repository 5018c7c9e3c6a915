//! Logs and metrics of an entry.

mod burn;
mod logs;
mod metrics;

pub use burn::drive_burn;
pub use logs::{LineAllowance, flush_logs, start_logs};
pub use metrics::EntryMetrics;
