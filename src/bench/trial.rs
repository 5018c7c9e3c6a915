//! One benchmark run: the load of a deployment on its fleet, with the event of a scenario.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::Method;

use super::deployment::{Deployment, ServiceProfile};
use super::fleet::{BenchFleet, ServiceTargets};
use super::load::{LatencyOrigin, LoadGenerator, LoadPlan};
use super::report::RunResult;
use super::scenario::{BenchScenario, EVENT_DELAY, RUN_LENGTH};
use crate::pool::TargetTransport;

/// Deadline of every request of a trial.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);

/// Pause between the restarts of two targets in a rolling restart.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct BenchTrial {
    /// Deployment to start on loopback.
    pub deployment: Deployment,
    /// Scenario of the run.
    pub scenario: BenchScenario,
    /// Routing policy of the entries.
    pub policy: String,
    /// Utilisation of the slots by the base load, as a fraction.
    pub utilisation: f64,
    /// Seed of the load and of the service times.
    pub seed: u64,
}

/// Results of the requests of the first rank and of all others.
#[derive(Clone, Debug, Default)]
pub struct TrialResult {
    /// Requests of rank 0.
    pub rank_0: RunResult,
    /// All other requests.
    pub other_ranks: RunResult,
}

impl BenchTrial {
    /// Starts a fleet, runs the load and stops the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot start.
    pub async fn run(
        &self,
        transport: Arc<dyn TargetTransport>,
    ) -> Result<TrialResult, Box<dyn std::error::Error>> {
        let fleet = BenchFleet::start(self).await?;
        let load = LoadGenerator::new(&fleet.addresses(), transport);
        let events = join_all(fleet.services.iter().map(|service| self.trigger_event(service)));
        let plans: Vec<_> =
            fleet.services.iter().map(|service| self.plan(&service.profile)).collect();
        let runs = join_all(plans.iter().map(|plan| load.run(plan)));
        let (_, runs) = tokio::join!(events, runs);
        let mut result = TrialResult::default();
        for (service, run) in fleet.services.iter().zip(&runs) {
            let group = if service.profile.rank == 0 {
                &mut result.rank_0
            } else {
                &mut result.other_ranks
            };
            group.merge(run);
        }
        // The share covers the probes of all services, and is reported with rank 0 only.
        let Deployment { probe_cost_ms, slots, .. } = self.deployment;
        result.rank_0.measuring_percent = fleet.measuring_percent(probe_cost_ms, slots, RUN_LENGTH);
        fleet.stop().await;
        Ok(result)
    }

    fn plan(&self, profile: &ServiceProfile) -> LoadPlan {
        LoadPlan {
            service: profile.name,
            method: if profile.idempotent { Method::GET } else { Method::POST },
            rate: profile.request_rate(self.deployment.slots, self.utilisation),
            phases: self.scenario.phases(),
            deadline: DEADLINE,
            origin: LatencyOrigin::Planned,
            seed: self.seed,
        }
    }

    /// Triggers the event of the scenario at one service after [`EVENT_DELAY`].
    async fn trigger_event(&self, service: &ServiceTargets) {
        tokio::time::sleep(EVENT_DELAY).await;
        let Some(first) = service.targets.first() else { return };
        let mean_ms = service.profile.mean_service_time_ms;
        if let Some(changed) = self.scenario.changed_behaviour(&first.behaviour(), mean_ms) {
            first.set_behaviour(changed);
        }
        if self.scenario == BenchScenario::ColdStart {
            for target in &service.targets {
                if let Err(error) = target.restart().await {
                    log::warn!(
                        "a target did not restart: {error}; the results of this run are invalid"
                    );
                }
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        }
    }
}
