//! Benchmarks with real entries and stand-in targets on loopback.
//!
//! The comparing experiments alternate between a baseline and the candidates with the same
//! seeds, so that their results are ratios measured on one machine in one run.

mod capacity;
mod deployment;
mod fleet;
mod load;
mod overhead;
mod report;
mod scenario;
mod trial;

use std::sync::Arc;

pub use capacity::{
    CapacityReport, LineFit, SlopePoint, SlopeRow, SlopeSubject, measure_capacity,
    measure_placement, measure_quota,
};
pub use deployment::{CO_OPERATIVE, Deployment, POTECA, ServiceProfile};
pub use load::{LatencyOrigin, LoadGenerator, LoadPhase, LoadPlan};
pub use overhead::OverheadTrial;
pub use report::{ArmSummary, BenchReport, RunResult};
pub use scenario::BenchScenario;
pub use trial::{BenchTrial, TrialResult};

use crate::pool::{HttpTransport, SilenceLogger, TargetTransport};
use crate::settings::{MAX_CONNECTIONS_PER_TARGET, PoolSettings, StopSettings};

/// Creates the HTTP transport of a load generator.
pub fn load_transport() -> Arc<dyn TargetTransport> {
    let settings = PoolSettings {
        max_connections_per_target: MAX_CONNECTIONS_PER_TARGET,
        ..PoolSettings::default()
    };
    Arc::new(HttpTransport::new(settings, Arc::new(SilenceLogger)))
}

/// Returns settings for a stop without delays, because no balancer has to notice it.
fn immediate_stop() -> StopSettings {
    StopSettings { balancer_lag_ms: 0, idle_linger_ms: 0, ..StopSettings::default() }
}
