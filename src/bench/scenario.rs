//! Scenarios: how load and targets behave during a run.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};
use zinniaport_standin::target::{ColdStart, ServiceTime, TargetBehaviour};

use super::deployment::ServiceShape;
use super::load::LoadPhase;

/// Length of one run.
pub const RUN_LENGTH: Duration = Duration::from_secs(4);

/// Time from the start of a run to the event of its scenario.
pub const EVENT_AFTER: Duration = Duration::from_millis(1200);

/// What happens during a run.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum BenchScenario {
    /// Constant load on equal targets.
    Steady,
    /// Load triples within 50 ms for half a second.
    Storm,
    /// One target of each service turns ten times slower.
    SlowTarget,
    /// A third of the targets is in slow and fast phases, 20 ms a period.
    Phases,
    /// One target of each service fails every request at once.
    FastFailure,
    /// Every target restarts in turn and is cold for a second.
    ColdStart,
    /// A third of the targets is half as fast for 400 ms of every 800 ms.
    Neighbours,
}

impl BenchScenario {
    /// Gives the load over the run.
    pub fn phases(self) -> Vec<LoadPhase> {
        match self {
            Self::Storm => vec![
                LoadPhase { length: EVENT_AFTER, factor: 1.0 },
                LoadPhase { length: Duration::from_millis(50), factor: 2.0 },
                LoadPhase { length: Duration::from_millis(500), factor: 3.0 },
                LoadPhase { length: RUN_LENGTH - EVENT_AFTER, factor: 1.0 },
            ],
            _ => vec![LoadPhase { length: RUN_LENGTH, factor: 1.0 }],
        }
    }

    /// Gives the behaviour of the target at `position` at the start of a run.
    pub fn behaviour(
        self,
        shape: &ServiceShape,
        position: usize,
        probe_ms: u64,
    ) -> TargetBehaviour {
        let mean_ms = shape.mean_service_ms as f64;
        let disturbed = position.is_multiple_of(3);
        let service_time = match self {
            Self::Phases if disturbed => phases(mean_ms, 20.0, 3.0),
            Self::Neighbours if disturbed => phases(mean_ms, 800.0, 2.0),
            _ => ServiceTime::Exponential { mean_ms },
        };
        let cold_start = (self == Self::ColdStart).then_some(ColdStart { factor: 5.0, ms: 1000.0 });
        TargetBehaviour::builder()
            .service_time(service_time)
            .maybe_cold_start(cold_start)
            .probe_ms(probe_ms as f64)
            .build()
    }

    /// Gives the behaviour of the first target of a service after the event, if
    /// the event changes it.
    pub fn changed_behaviour(
        self,
        before: &TargetBehaviour,
        mean_ms: u64,
    ) -> Option<TargetBehaviour> {
        let mut behaviour = before.clone();
        match self {
            Self::SlowTarget => {
                let mean_ms = 10.0 * mean_ms as f64;
                behaviour.service_time = ServiceTime::Exponential { mean_ms };
            }
            Self::FastFailure => behaviour.fail_fast = true,
            _ => return None,
        }
        Some(behaviour)
    }
}

/// Alternates between the mean and `factor` times the mean.
fn phases(mean_ms: f64, period_ms: f64, factor: f64) -> ServiceTime {
    ServiceTime::TwoPhases { fast_ms: mean_ms, slow_ms: factor * mean_ms, period_ms }
}
