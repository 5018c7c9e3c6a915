//! Experiments with real entries and stand-in targets on loopback.
//!
//! Each experiment runs a baseline beside the candidate, alternately and with
//! the same seeds, so that results are ratios measured on one machine in one run.

mod capacity;
mod deployment;
mod fleet;
mod load;
mod overhead;
mod report;
mod scenario;
mod trial;

use std::sync::Arc;

pub use capacity::{CapacityReport, LineFit, SlopePoint, SlopeRow, SlopeSubject, measure_capacity};
pub use deployment::{CO_OPERATIVE, Deployment, POTECA, ServiceShape};
pub use load::{LatencyOrigin, LoadPhase, LoadPlan, OpenLoad};
pub use overhead::OverheadTrial;
pub use report::{ArmSummary, BenchReport, RunResult};
pub use scenario::BenchScenario;
pub use trial::{BenchTrial, TrialResult};

use crate::pool::{HttpTransport, SilenceLogger, TargetTransport};
use crate::settings::{MAX_CONNECTIONS_PER_TARGET, PoolSettings, StopSettings};

/// Makes the transport of a load generator.
pub fn load_transport() -> Arc<dyn TargetTransport> {
    let settings = PoolSettings {
        max_connections_per_target: MAX_CONNECTIONS_PER_TARGET,
        ..PoolSettings::default()
    };
    Arc::new(HttpTransport::new(settings, Arc::new(SilenceLogger)))
}

/// Makes the settings of a stop that no balancer has to learn of.
fn immediate_stop() -> StopSettings {
    StopSettings { balancer_lag_ms: 0, idle_linger_ms: 0, ..StopSettings::default() }
}
