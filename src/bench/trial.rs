//! One run: the load of a deployment on its fleet, with the event of a scenario.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::Method;

use super::deployment::{Deployment, ServiceShape};
use super::fleet::{BenchFleet, ServiceTargets};
use super::load::{LatencyOrigin, LoadPlan, OpenLoad};
use super::report::RunResult;
use super::scenario::{BenchScenario, EVENT_AFTER, RUN_LENGTH};
use crate::pool::TargetTransport;

/// Deadline of every request of the bench.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);

/// Time between the restarts of two targets in a rolling restart.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// What one run is made of.
#[derive(Clone, Debug)]
pub struct BenchTrial {
    /// Servers and entries.
    pub deployment: Deployment,
    /// What happens during the run.
    pub scenario: BenchScenario,
    /// Routing policy of the entries.
    pub policy: String,
    /// Share of the time that the slots are busy.
    pub utilisation: f64,
    /// Seed of load and service times.
    pub seed: u64,
}

/// Results of the requests that matter most and of the others.
#[derive(Clone, Debug, Default)]
pub struct TrialResult {
    /// Requests of rank 0.
    pub first: RunResult,
    /// All other requests.
    pub others: RunResult,
}

impl BenchTrial {
    /// Starts a fleet, runs the load and stops everything.
    ///
    /// # Errors
    ///
    /// Returns an error when the fleet cannot start.
    pub async fn run(
        &self,
        transport: Arc<dyn TargetTransport>,
    ) -> Result<TrialResult, Box<dyn std::error::Error>> {
        let fleet = BenchFleet::start(self).await?;
        let load = OpenLoad::new(&fleet.addresses(), transport);
        let events = join_all(fleet.services.iter().map(|service| self.disturb(service)));
        let plans: Vec<_> =
            fleet.services.iter().map(|service| self.plan(&service.shape)).collect();
        let runs = join_all(plans.iter().map(|plan| load.run(plan)));
        let (_, runs) = tokio::join!(events, runs);
        let mut result = TrialResult::default();
        for (service, run) in fleet.services.iter().zip(&runs) {
            let part = if service.shape.rank == 0 { &mut result.first } else { &mut result.others };
            part.merge(run);
        }
        let Deployment { probe_cost_ms, slots, .. } = self.deployment;
        result.first.measuring_percent = fleet.measuring_percent(probe_cost_ms, slots, RUN_LENGTH);
        fleet.stop().await;
        Ok(result)
    }

    fn plan(&self, shape: &ServiceShape) -> LoadPlan {
        LoadPlan {
            service: shape.name,
            method: if shape.idempotent { Method::GET } else { Method::POST },
            rate: shape.rate(self.deployment.slots, self.utilisation),
            phases: self.scenario.phases(),
            deadline: DEADLINE,
            origin: LatencyOrigin::Planned,
            seed: self.seed,
        }
    }

    /// Brings about the event of the scenario at one service.
    async fn disturb(&self, service: &ServiceTargets) {
        tokio::time::sleep(EVENT_AFTER).await;
        let Some(first) = service.targets.first() else { return };
        let mean_ms = service.shape.mean_service_ms;
        if let Some(changed) = self.scenario.changed_behaviour(&first.behaviour(), mean_ms) {
            first.set_behaviour(changed);
        }
        if self.scenario == BenchScenario::ColdStart {
            for target in &service.targets {
                if let Err(error) = target.restart().await {
                    log::warn!("a target did not restart: {error}; its part of the run is void");
                }
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        }
    }
}
