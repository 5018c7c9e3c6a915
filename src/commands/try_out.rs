//! `zinniaport try`: an entry with demo targets of the co-operative.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use clap::Args;
use zinniaport_core::intent::{
    KindIntent, MeasuringIntent, ServiceIntent, TargetIntent, TargetWish,
};
use zinniaport_standin::target::StandinTarget;

use super::wait_for_stop;
use crate::runtime::EntryRuntime;
use crate::settings::EntrySettings;

/// Slots of a server of the co-operative.
const DEMO_SLOTS: usize = 3;

/// Arguments of `zinniaport try`.
#[derive(Debug, Args)]
#[command(after_help = "Example: zinniaport try --requests 2000")]
pub struct TryArguments {
    /// Serve this number of generated requests, print the outcomes and end.
    #[arg(long, value_name = "N")]
    requests: Option<u64>,
}

impl TryArguments {
    /// Runs the demo until Ctrl-C, or until all generated requests are served.
    pub async fn run(self) -> ExitCode {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut targets = Vec::new();
        for _ in 0..3 {
            match StandinTarget::start(any_port, DEMO_SLOTS).await {
                Ok(target) => targets.push(target),
                Err(error) => {
                    eprintln!("cannot start a demo target: {error}; check the limit of open files");
                    return ExitCode::FAILURE;
                }
            }
        }
        let addresses: Vec<_> = targets.iter().map(StandinTarget::address).collect();
        let settings = EntrySettings::builder()
            .name("entry-1")
            .data_centre("valle-a")
            .listen(any_port)
            .admin_listen(any_port)
            .services(vec![demo_intent(&addresses)])
            .build();
        let entry = match EntryRuntime::start(settings).await {
            Ok(entry) => entry,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        println!("callers: {}", entry.caller_address());
        println!("admin: {}", entry.admin_address());
        println!("try: curl -i http://{}/pump-history/pumps/17", entry.caller_address());
        wait_for_stop().await;
        entry.stop().await;
        ExitCode::SUCCESS
    }
}

fn demo_intent(addresses: &[SocketAddr]) -> ServiceIntent {
    ServiceIntent {
        service: "pump-history".to_owned(),
        team: "co-operative".to_owned(),
        kinds: vec![KindIntent {
            name: "lookup".to_owned(),
            methods: vec!["GET".to_owned()],
            path_prefix: "/".to_owned(),
            rank: 0,
            idempotent: true,
            max_runs: 2,
            deadline_ms: 1000,
            require_key: false,
            objective_percent: 99.0,
        }],
        targets: addresses
            .iter()
            .map(|address| TargetIntent {
                address: *address,
                data_centre: "valle-a".to_owned(),
                slots: DEMO_SLOTS as u32,
                state: TargetWish::Serving,
            })
            .collect(),
        measuring: MeasuringIntent::default(),
        max_queue_length: 256,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}
