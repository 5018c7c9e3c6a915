//! Experiments with real entries and stand-in targets on loopback.
//!
//! Each experiment runs a baseline beside the candidate, alternately and with
//! the same seeds, so that results are ratios measured on one machine in one run.

mod deployment;
mod load;
mod report;

pub use deployment::{CO_OPERATIVE, Deployment, POTECA, ServiceShape};
pub use load::{LoadPhase, LoadPlan, OpenLoad};
pub use report::{ArmSummary, BenchReport, RunResult};
