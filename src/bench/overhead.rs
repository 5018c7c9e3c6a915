//! Latency that an entry adds to a request, measured by sending the same load directly to a
//! target and through an entry in alternating blocks.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use indexmap::IndexMap;
use zinniaport_core::intent::{
    DesiredState, KindIntent, MeasuringIntent, ServiceIntent, TargetIntent,
};
use zinniaport_standin::target::{ServiceTime, StandinTarget, TargetBehaviour, TargetSettings};

use super::immediate_stop;
use super::load::{LatencyOrigin, LoadGenerator, LoadPhase, LoadPlan};
use super::report::{BenchReport, RunResult};
use crate::pool::TargetTransport;
use crate::runtime::EntryRuntime;
use crate::settings::EntrySettings;

/// Length of a block.
const BLOCK_LENGTH: Duration = Duration::from_millis(500);

/// Number of blocks of each arm in a run.
const BLOCKS: u64 = 4;

/// Measurement of the overhead with one target that has many slots and responds immediately.
#[derive(Clone, Copy, Debug)]
pub struct OverheadTrial {
    /// Requests per second.
    pub rate: f64,
    /// Number of runs, each with its own seeds.
    pub runs: u64,
}

impl OverheadTrial {
    /// Runs the experiment and returns its report.
    ///
    /// # Errors
    ///
    /// Returns an error if the target or the entry cannot start.
    pub async fn run(
        &self,
        transport: Arc<dyn TargetTransport>,
    ) -> Result<BenchReport, Box<dyn std::error::Error>> {
        let behaviour =
            TargetBehaviour::builder().service_time(ServiceTime::Fixed { ms: 0.0 }).build();
        let settings = TargetSettings::builder().slots(1000).behaviour(behaviour).build();
        let target = StandinTarget::start_with(settings)?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = EntrySettings::builder()
            .name("entry-1".to_owned())
            .data_centre("dc-a".to_owned())
            .listen(any_port)
            .admin_listen(any_port)
            .stop(immediate_stop())
            .services(vec![overhead_intent(target.address())])
            .build();
        let entry = EntryRuntime::start(settings).await?;
        let mut arms: IndexMap<String, Vec<RunResult>> = IndexMap::new();
        let direct = LoadGenerator::new(&[target.address()], transport.clone());
        let through_entry = LoadGenerator::new(&[entry.caller_address()], transport);
        for run in 0..self.runs {
            let mut results = [RunResult::default(), RunResult::default()];
            for block in 0..BLOCKS {
                let plan = self.plan(run * BLOCKS + block);
                results[0].merge(&direct.run(&plan).await);
                results[1].merge(&through_entry.run(&plan).await);
            }
            for (arm, result) in ["direct", "through-entry"].into_iter().zip(results) {
                arms.entry(arm.to_owned()).or_default().push(result);
            }
        }
        entry.stop().await;
        let setting = format!("{} calls/s, one target that responds immediately", self.rate);
        Ok(BenchReport::new("overhead", setting, &arms))
    }

    fn plan(&self, seed: u64) -> LoadPlan {
        LoadPlan {
            service: "overhead",
            method: Method::GET,
            rate: self.rate,
            phases: vec![LoadPhase { length: BLOCK_LENGTH, factor: 1.0 }],
            deadline: Duration::from_secs(2),
            origin: LatencyOrigin::Sent,
            seed,
        }
    }
}

fn overhead_intent(address: SocketAddr) -> ServiceIntent {
    ServiceIntent {
        service: "overhead".to_owned(),
        team: "bench".to_owned(),
        kinds: vec![KindIntent {
            name: "request".to_owned(),
            methods: Vec::new(),
            path_prefix: String::new(),
            rank: 0,
            idempotent: true,
            max_runs: 1,
            deadline_ms: 2000,
            require_key: false,
            objective_percent: 99.0,
            target_latency_ms: None,
            max_dispatches: None,
        }],
        targets: vec![TargetIntent {
            address,
            data_centre: "dc-a".to_owned(),
            slots: 1000,
            state: DesiredState::Serving,
            instance: None,
        }],
        measuring: MeasuringIntent::default(),
        max_queue_length: 256,
        retry_percent: 0.0,
        max_ejected_percent: 0.0,
        max_crashed_targets: 1,
    }
}
