//! Experiments with real entries and stand-in targets on loopback.
//!
//! Each experiment runs a baseline beside the candidate, alternately and with
//! the same seeds, so that results are ratios measured on one machine in one run.

mod deployment;
mod load;
mod overhead;
mod report;
mod scenario;
mod trial;

pub use deployment::{CO_OPERATIVE, Deployment, POTECA, ServiceShape};
pub use load::{LatencyOrigin, LoadPhase, LoadPlan, OpenLoad};
pub use overhead::OverheadTrial;
pub use report::{ArmSummary, BenchReport, RunResult};
pub use scenario::BenchScenario;
pub use trial::{BenchTrial, TrialResult};
