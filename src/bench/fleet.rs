//! Targets, platform and entries of a deployment, in this process on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use zinniaport_core::intent::{
    DesiredState, KindIntent, MeasuringIntent, ServiceIntent, TargetIntent,
};
use zinniaport_core::plan::{StoredIntent, intent_name};
use zinniaport_standin::platform::{PlatformSettings as StandinSettings, StandinPlatform};
use zinniaport_standin::target::{StandinTarget, TargetSettings};

use super::deployment::{Deployment, ServiceProfile};
use super::immediate_stop;
use super::trial::{BenchTrial, DEADLINE};
use crate::runtime::EntryRuntime;
use crate::settings::{EntrySettings, PeerSettings, PlatformSettings, RoutingSettings};

/// Data centres; targets and entries are assigned to them round-robin.
const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Time limit for the entries to find each other; a run that exceeds it fails.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The running targets of one service.
pub(super) struct ServiceTargets {
    pub(super) profile: ServiceProfile,
    pub(super) targets: Vec<Arc<StandinTarget>>,
}

/// All components that serve the load of one run.
pub(super) struct BenchFleet {
    pub(super) services: Vec<ServiceTargets>,
    entries: Vec<EntryRuntime>,
    _platform: StandinPlatform,
}

type StartResult<T> = Result<T, Box<dyn std::error::Error>>;

impl BenchFleet {
    /// Starts a fleet and waits until every entry knows all intents and all other entries.
    pub(super) async fn start(trial: &BenchTrial) -> StartResult<Self> {
        let services = start_targets(trial)?;
        let platform = StandinPlatform::start(&StandinSettings::builder().build())?;
        for service in &services {
            let intent = service.intent(&trial.deployment);
            let name = intent_name(&intent.service);
            let stored = StoredIntent::without_plans(intent, "bench");
            platform.seed(&name, &serde_json::to_string(&stored)?);
        }
        let entries = start_entries(trial, platform.address()).await?;
        let fleet = Self { services, entries, _platform: platform };
        tokio::time::timeout(START_TIMEOUT, fleet.wait_for_convergence()).await.map_err(
            |_| "the entries did not find each other in 60 s; reduce the load on the machine",
        )?;
        Ok(fleet)
    }

    /// Returns the addresses of the entries for callers.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryRuntime::caller_address).collect()
    }

    /// Returns the time of all probes since the targets started, in percent of the targets' slot
    /// time during a run of `length`.
    pub(super) fn measuring_percent(&self, probe_ms: u64, slots: u32, length: Duration) -> f64 {
        let targets = self.services.iter().flat_map(|service| &service.targets);
        let (mut probes, mut count) = (0, 0);
        for target in targets {
            probes += target.counts().probes;
            count += 1;
        }
        let slot_time_ms = f64::from(slots) * f64::from(count) * length.as_millis() as f64;
        100.0 * (probes * probe_ms) as f64 / slot_time_ms
    }

    /// Stops all entries.
    pub(super) async fn stop(self) {
        join_all(self.entries.into_iter().map(EntryRuntime::stop)).await;
    }

    /// Waits until every entry sees all entries and services.
    async fn wait_for_convergence(&self) {
        let expected = self.entries.len();
        let converged = |entry: &EntryRuntime| {
            entry.control().is_some_and(|control| {
                let members = control.peers().map_or(0, |peers| peers.members().len());
                let fleet = control.state().fleet.load();
                let viewed = fleet.view.members.len();
                let services = fleet.services.len();
                members == expected && viewed == expected && services == self.services.len()
            })
        };
        while !self.entries.iter().all(converged) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn start_targets(trial: &BenchTrial) -> std::io::Result<Vec<ServiceTargets>> {
    let deployment = &trial.deployment;
    let start = |profile: &ServiceProfile| -> std::io::Result<ServiceTargets> {
        let targets = (0..profile.targets).map(|position| {
            let probe_ms = deployment.probe_cost_ms;
            let settings = TargetSettings::builder()
                .slots(deployment.slots as usize)
                .behaviour(trial.scenario.behaviour(profile, position, probe_ms))
                .seed(trial.seed.wrapping_mul(1000) + position as u64)
                .build();
            StandinTarget::start_with(settings).map(Arc::new)
        });
        Ok(ServiceTargets { profile: *profile, targets: targets.collect::<Result<_, _>>()? })
    };
    deployment.services.iter().map(start).collect()
}

async fn start_entries(trial: &BenchTrial, platform: SocketAddr) -> StartResult<Vec<EntryRuntime>> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut entries: Vec<EntryRuntime> = Vec::new();
    let mut seeds = Vec::new();
    for position in 0..trial.deployment.entries {
        let data_centre = DATA_CENTRES[position % DATA_CENTRES.len()];
        let peers = PeerSettings::builder().listen(any_port).seeds(seeds.clone()).build();
        let settings = EntrySettings::builder()
            .name(format!("entry-{position}"))
            .data_centre(data_centre)
            .listen(any_port)
            .admin_listen(any_port)
            .stop(immediate_stop())
            .routing(RoutingSettings { policy: trial.policy.clone(), ..RoutingSettings::default() })
            .platform(PlatformSettings::builder().address(platform).build())
            .peers(peers)
            .build();
        let entry = EntryRuntime::start(settings).await?;
        if seeds.is_empty() {
            seeds.push(first_peer_address(&entry).await?);
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Waits until the first entry lists itself as a member and returns its gossip address.
async fn first_peer_address(entry: &EntryRuntime) -> StartResult<SocketAddr> {
    let peers = entry
        .control()
        .and_then(|control| control.peers())
        .ok_or("the entry has no peer settings")?;
    let first_member = async {
        loop {
            if let Some(member) = peers.members().first() {
                return member.address;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    Ok(tokio::time::timeout(START_TIMEOUT, first_member).await?)
}

impl ServiceTargets {
    fn intent(&self, deployment: &Deployment) -> ServiceIntent {
        let profile = &self.profile;
        let targets = self.targets.iter().enumerate().map(|(position, target)| TargetIntent {
            address: target.address(),
            data_centre: DATA_CENTRES[position % DATA_CENTRES.len()].to_owned(),
            slots: deployment.slots,
            state: DesiredState::Serving,
            instance: None,
        });
        ServiceIntent {
            service: profile.name.to_owned(),
            team: deployment.name.to_owned(),
            kinds: vec![KindIntent {
                name: "request".to_owned(),
                methods: Vec::new(),
                path_prefix: String::new(),
                rank: profile.rank,
                idempotent: profile.idempotent,
                max_runs: if profile.idempotent { 2 } else { 1 },
                deadline_ms: DEADLINE.as_millis() as u64,
                require_key: false,
                objective_percent: 99.0,
                target_latency_ms: None,
                max_dispatches: None,
            }],
            targets: targets.collect(),
            measuring: MeasuringIntent {
                budget_percent: 1.0,
                probe_cost_ms: deployment.probe_cost_ms as f64,
                max_entries: deployment.entries as u32,
                ..MeasuringIntent::default()
            },
            max_queue_length: 256,
            retry_percent: 10.0,
            max_ejected_percent: 34.0,
            max_crashed_targets: 2,
        }
    }
}
