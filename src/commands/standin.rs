//! Command lines of the stand-in processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use serde::de::DeserializeOwned;
use zinniaport_standin::platform::{PlatformFaults, PlatformSettings, StandinPlatform};
use zinniaport_standin::target::{ServiceTime, StandinTarget, TargetBehaviour, TargetSettings};

use super::{StopSignals, cannot_handle_signals};

/// Runs a stand-in for a target.
///
/// A request with the header `x-crash: 1` crashes the target: it exits with code 1,
/// or listens again after `--restart-after-ms`. `PUT /standin/behaviour` changes
/// its behaviour, `POST /standin/silence` makes open connections silent, and
/// `GET /standin/runs` returns the counts of requests that it ran.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example: zinniaport-target --listen 127.0.0.1:7101 --slots 4 \
        --behaviour '{\"probe_ms\": 6, \"service_time\": {\"shape\": \"exponential\", \"mean_ms\": 8}}'"
)]
pub struct TargetArguments {
    /// Address to listen on.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of requests that run concurrently.
    #[arg(long, value_name = "N", default_value_t = 3)]
    slots: usize,
    /// Service time of each request, in milliseconds.
    #[arg(long, value_name = "MS", conflicts_with = "behaviour")]
    service_ms: Option<f64>,
    /// Initial behaviour, as JSON; omitted fields keep their defaults.
    #[arg(long, value_name = "JSON", value_parser = parse_json::<TargetBehaviour>)]
    behaviour: Option<TargetBehaviour>,
    /// Restart this many milliseconds after a crash instead of exiting.
    #[arg(long, value_name = "MS")]
    restart_after_ms: Option<u64>,
    /// Seed of the random service times.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
}

impl TargetArguments {
    /// Runs the target until SIGTERM, Ctrl-C or a crash, and returns the exit code.
    pub async fn run(self) -> ExitCode {
        let mut behaviour = self.behaviour.unwrap_or_default();
        if let Some(ms) = self.service_ms {
            behaviour.service_time = ServiceTime::Fixed { ms };
        }
        let settings = TargetSettings::builder()
            .listen(self.listen)
            .slots(self.slots)
            .behaviour(behaviour)
            .maybe_restart_after(self.restart_after_ms.map(Duration::from_millis))
            .seed(self.seed)
            .build();
        let target = match StandinTarget::start_with(settings) {
            Ok(target) => target,
            Err(error) => return cannot_listen(self.listen, &error),
        };
        let mut signals = match StopSignals::install() {
            Ok(signals) => signals,
            Err(error) => return cannot_handle_signals(&error),
        };
        println!("listening: {}", target.address());
        tokio::select! {
            () = signals.wait(|_| {}) => ExitCode::SUCCESS,
            () = target.wait_until_stopped(), if self.restart_after_ms.is_none() => {
                eprintln!("the target crashed on a request with the header x-crash; start it again");
                ExitCode::FAILURE
            }
        }
    }
}

/// Runs a stand-in for the platform.
///
/// The platform serves `/objects`, `/watch` and `/vms`; `PUT /faults`, `PUT /vms`
/// and `GET /counts` are for tests.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example: zinniaport-platform --listen 127.0.0.1:7001 --faults '{\"slow_ms\": 50}'"
)]
pub struct PlatformArguments {
    /// Address to listen on.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of past changes kept for watches.
    #[arg(long, value_name = "N", default_value_t = 4096)]
    history: usize,
    /// Delay until the list of VMs shows a change, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 2000)]
    vm_lag_ms: u64,
    /// Initial faults, as JSON.
    #[arg(long, value_name = "JSON", value_parser = parse_json::<PlatformFaults>)]
    faults: Option<PlatformFaults>,
}

impl PlatformArguments {
    /// Runs the platform until SIGTERM or Ctrl-C, and returns the exit code.
    pub async fn run(self) -> ExitCode {
        let settings = PlatformSettings::builder()
            .listen(self.listen)
            .history_limit(self.history)
            .vm_lag(Duration::from_millis(self.vm_lag_ms))
            .build();
        let platform = match StandinPlatform::start(&settings) {
            Ok(platform) => platform,
            Err(error) => return cannot_listen(self.listen, &error),
        };
        platform.set_faults(self.faults.unwrap_or_default());
        let mut signals = match StopSignals::install() {
            Ok(signals) => signals,
            Err(error) => return cannot_handle_signals(&error),
        };
        println!("listening: {}", platform.address());
        signals.wait(|_| {}).await;
        ExitCode::SUCCESS
    }
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_str(text)
        .map_err(|error| format!("{error}; give a JSON object with known fields"))
}

fn cannot_listen(address: SocketAddr, error: &std::io::Error) -> ExitCode {
    eprintln!("cannot listen on {address}: {error}; choose another address");
    ExitCode::FAILURE
}
