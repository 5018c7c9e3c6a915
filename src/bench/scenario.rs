//! Scenarios: how the load and the targets behave during a run.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};
use zinniaport_standin::target::{ColdStart, ServiceTime, TargetBehaviour};

use super::deployment::ServiceProfile;
use super::load::LoadPhase;

/// Length of a run. The phases of [`BenchScenario::Storm`] add up to 550 ms more.
pub const RUN_LENGTH: Duration = Duration::from_secs(4);

/// Time from the start of a run to the event of the scenario.
pub const EVENT_DELAY: Duration = Duration::from_millis(1200);

/// What happens during a run.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum BenchScenario {
    /// Constant load on targets of equal speed.
    Steady,
    /// The load doubles for 50 ms, then triples for half a second.
    Storm,
    /// One target of each service becomes ten times slower.
    SlowTarget,
    /// A third of the targets alternates between normal and a third of its speed with a period
    /// of 20 ms.
    Phases,
    /// One target of each service fails every request immediately.
    FastFailure,
    /// All targets restart one after another. The first requests take five times longer, which
    /// declines to the normal time within a second.
    ColdStart,
    /// A third of the targets has half its speed for 400 ms of every 800 ms, as if other
    /// programs ran on the same machine.
    Neighbours,
}

impl BenchScenario {
    /// Returns the phases of the load.
    pub fn phases(self) -> Vec<LoadPhase> {
        match self {
            Self::Storm => vec![
                LoadPhase { length: EVENT_DELAY, factor: 1.0 },
                LoadPhase { length: Duration::from_millis(50), factor: 2.0 },
                LoadPhase { length: Duration::from_millis(500), factor: 3.0 },
                LoadPhase { length: RUN_LENGTH - EVENT_DELAY, factor: 1.0 },
            ],
            _ => vec![LoadPhase { length: RUN_LENGTH, factor: 1.0 }],
        }
    }

    /// Returns the initial behaviour of the target at `position` in its service.
    pub fn behaviour(
        self,
        profile: &ServiceProfile,
        position: usize,
        probe_ms: u64,
    ) -> TargetBehaviour {
        let mean_ms = profile.mean_service_time_ms as f64;
        let alternates = position.is_multiple_of(3);
        let service_time = match self {
            Self::Phases if alternates => two_phases(mean_ms, 20.0, 3.0),
            Self::Neighbours if alternates => two_phases(mean_ms, 800.0, 2.0),
            _ => ServiceTime::Exponential { mean_ms },
        };
        let cold_start = (self == Self::ColdStart).then_some(ColdStart { factor: 5.0, ms: 1000.0 });
        TargetBehaviour::builder()
            .service_time(service_time)
            .maybe_cold_start(cold_start)
            .probe_ms(probe_ms as f64)
            .build()
    }

    /// Returns the behaviour of the first target of a service after the event; `None` if the
    /// event does not change it.
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

/// Returns service times that alternate between the mean and `factor` times the mean.
fn two_phases(mean_ms: f64, period_ms: f64, factor: f64) -> ServiceTime {
    ServiceTime::TwoPhases { fast_ms: mean_ms, slow_ms: factor * mean_ms, period_ms }
}
