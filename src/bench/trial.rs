//! One run: targets, entries and load of a deployment on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::Method;
use zinniaport_core::intent::{
    KindIntent, MeasuringIntent, ServiceIntent, TargetIntent, TargetWish,
};
use zinniaport_standin::target::{StandinTarget, TargetSettings};

use super::deployment::{Deployment, ServiceShape};
use super::immediate_stop;
use super::load::{LatencyOrigin, LoadPlan, OpenLoad};
use super::report::RunResult;
use super::scenario::{BenchScenario, EVENT_AFTER};
use crate::pool::TargetTransport;
use crate::runtime::EntryRuntime;
use crate::settings::{EntrySettings, RoutingSettings};

/// Names of the data centres, over which targets and entries are spread in turn.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Deadline of every request of the bench.
const DEADLINE: Duration = Duration::from_secs(2);

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

/// Targets of one service.
struct ServiceTargets {
    shape: ServiceShape,
    targets: Vec<Arc<StandinTarget>>,
}

impl BenchTrial {
    /// Starts targets and entries, runs the load and stops everything.
    ///
    /// # Errors
    ///
    /// Returns an error when a target or an entry cannot start.
    pub async fn run(
        &self,
        transport: Arc<dyn TargetTransport>,
    ) -> Result<TrialResult, Box<dyn std::error::Error>> {
        let services = self.start_targets()?;
        let entries = self.start_entries(&services).await?;
        let addresses: Vec<_> = entries.iter().map(EntryRuntime::caller_address).collect();
        let load = OpenLoad::new(&addresses, transport);
        let events = join_all(services.iter().map(|service| self.disturb(service)));
        let plans: Vec<_> = services.iter().map(|service| self.plan(&service.shape)).collect();
        let runs = join_all(plans.iter().map(|plan| load.run(plan)));
        let (_, runs) = tokio::join!(events, runs);
        let mut result = TrialResult::default();
        for (service, run) in services.iter().zip(&runs) {
            let part = if service.shape.rank == 0 { &mut result.first } else { &mut result.others };
            part.merge(run);
        }
        join_all(entries.into_iter().map(EntryRuntime::stop)).await;
        Ok(result)
    }

    fn start_targets(&self) -> std::io::Result<Vec<ServiceTargets>> {
        let start = |shape: &ServiceShape| -> std::io::Result<ServiceTargets> {
            let targets = (0..shape.targets).map(|position| {
                let probe_ms = self.deployment.probe_cost_ms;
                let settings = TargetSettings::builder()
                    .slots(self.deployment.slots as usize)
                    .behaviour(self.scenario.behaviour(shape, position, probe_ms))
                    .seed(self.seed.wrapping_mul(1000) + position as u64)
                    .build();
                StandinTarget::start_with(settings).map(Arc::new)
            });
            Ok(ServiceTargets { shape: *shape, targets: targets.collect::<Result<_, _>>()? })
        };
        self.deployment.services.iter().map(start).collect()
    }

    async fn start_entries(
        &self,
        services: &[ServiceTargets],
    ) -> Result<Vec<EntryRuntime>, Box<dyn std::error::Error>> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let intents: Vec<_> =
            services.iter().map(|service| service.intent(&self.deployment)).collect();
        let mut entries = Vec::new();
        for position in 0..self.deployment.entries {
            let settings = EntrySettings::builder()
                .name(format!("entry-{position}"))
                .data_centre(DATA_CENTRES[position % DATA_CENTRES.len()].to_owned())
                .listen(any_port)
                .admin_listen(any_port)
                .routing(RoutingSettings { policy: self.policy.clone() })
                .stop(immediate_stop())
                .services(intents.clone())
                .build();
            entries.push(EntryRuntime::start(settings).await?);
        }
        Ok(entries)
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
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

impl ServiceTargets {
    fn intent(&self, deployment: &Deployment) -> ServiceIntent {
        let shape = &self.shape;
        let targets = self.targets.iter().enumerate().map(|(position, target)| TargetIntent {
            address: target.address(),
            data_centre: DATA_CENTRES[position % DATA_CENTRES.len()].to_owned(),
            slots: deployment.slots,
            state: TargetWish::Serving,
        });
        ServiceIntent {
            service: shape.name.to_owned(),
            team: deployment.name.to_owned(),
            kinds: vec![KindIntent {
                name: "request".to_owned(),
                methods: Vec::new(),
                path_prefix: String::new(),
                rank: shape.rank,
                idempotent: shape.idempotent,
                max_runs: if shape.idempotent { 2 } else { 1 },
                deadline_ms: DEADLINE.as_millis() as u64,
                require_key: false,
                objective_percent: 99.0,
            }],
            targets: targets.collect(),
            measuring: MeasuringIntent {
                budget_percent: 1.0,
                probe_cost_ms: deployment.probe_cost_ms as f64,
                max_entries: deployment.entries as u32,
            },
            max_queue_length: 256,
            retry_percent: 10.0,
            max_ejected_percent: 34.0,
            max_crashed_targets: 2,
        }
    }
}
