//! `zinniaport try`: an entry with stand-in targets for the services of
//! `examples/co-operative.yaml`.

mod demo;
mod load;
mod tally;

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use demo::{DEMO_TOKEN, DemoFleet};
use tally::LoadTally;
use zinniaport_core::burn::BurnReport;
use zinniaport_core::decision::{NamedRecord, explain};

use super::client::{AdminError, fetch};
use super::explain::explanation_text;
use super::{StopSignals, cannot_handle_signals};
use crate::admin::{EntryStatus, RecordBatch};
use crate::state::KEPT_RECORDS;

/// Number of background requests that the demo sends without `--requests`: about 10 minutes
/// at 32 requests per second.
const BACKGROUND_REQUESTS: u64 = 20_000;

/// Maximum number of records fetched in one call.
const RECORDS_PER_READ: usize = 1_000;

/// Arguments of `zinniaport try`.
#[derive(Debug, Args)]
#[command(after_help = "Example: zinniaport try --requests 2000\n\n\
                        Exit codes: 0 all invariants held, 1 one was violated or the demo \
                        cannot start, 2 usage error")]
pub struct TryArguments {
    /// Serve this number of generated requests, print the outcomes and exit.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    requests: Option<u64>,
}

impl TryArguments {
    /// Runs the demo until Ctrl-C, or until all generated requests are served.
    pub async fn run(self) -> ExitCode {
        let demo = match DemoFleet::start().await {
            Ok(demo) => demo,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        let (callers, admin) = (demo.entry.caller_address(), demo.entry.admin_address());
        println!("callers: {callers}");
        println!("admin: {admin}");
        println!("targets: {}", demo.targets.len());
        println!("try: curl -i http://{callers}/pump-history/pumps/17");
        println!("ask: zinniaport status --admin {admin}");
        println!("token of team co-operative: {DEMO_TOKEN}");
        let invariants_held = match self.requests {
            Some(requests) => serve_requests(&demo, requests).await,
            None => {
                let mut signals = match StopSignals::install() {
                    Ok(signals) => signals,
                    Err(error) => return cannot_handle_signals(&error),
                };
                show_summary(callers, admin, &mut signals).await;
                true
            }
        };
        demo.entry.stop().await;
        if invariants_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

/// Serves generated requests and prints the outcomes. Returns `true` if every request was
/// counted and all invariants held.
async fn serve_requests(demo: &DemoFleet, requests: u64) -> bool {
    let mut results = load::generate(demo.entry.caller_address(), requests, Duration::ZERO);
    let mut tally = LoadTally::new();
    let mut records = RecordReader::new(demo.entry.admin_address());
    loop {
        // Reads records during the load, before the ring buffer of the entry overwrites them.
        if tally.requests.is_multiple_of(KEPT_RECORDS as u64 / 8) {
            records.read().await;
        }
        match results.recv().await {
            Some(result) => tally.add(&result),
            None => break,
        }
    }
    records.read().await;
    tally.check_runs(&demo.run_counts());
    println!("\n{}\n{}", tally.table(), tally.invariant_report());
    if let Some(record) = &records.slowest {
        println!("$ zinniaport explain {}", record.request_id);
        println!("{}", explanation_text(&explain(record)));
    }
    tally.violations.is_empty() && tally.requests == requests
}

/// Reads the decision records of the entry.
struct RecordReader {
    admin: SocketAddr,
    /// Number of the last record read.
    last: u64,
    /// Record of the request that took longest at the entry.
    slowest: Option<NamedRecord>,
}

impl RecordReader {
    fn new(admin: SocketAddr) -> Self {
        Self { admin, last: 0, slowest: None }
    }

    /// Reads all new records and keeps the slowest one.
    async fn read(&mut self) {
        loop {
            let path = format!("/v1/records?after={}&limit={RECORDS_PER_READ}", self.last);
            let Ok(batch) = fetch::<RecordBatch>(self.admin, &path).await else { return };
            if batch.last == self.last {
                return;
            }
            self.last = batch.last;
            for record in batch.records {
                if self
                    .slowest
                    .as_ref()
                    .is_none_or(|slowest| record.duration() > slowest.duration())
                {
                    self.slowest = Some(record);
                }
            }
        }
    }
}

/// Sends a light background load and prints a summary periodically until Ctrl-C.
async fn show_summary(callers: SocketAddr, admin: SocketAddr, signals: &mut StopSignals) {
    let mut results = load::generate(callers, BACKGROUND_REQUESTS, Duration::from_secs(1));
    let terminal = std::io::stdout().is_terminal();
    let period = Duration::from_secs(if terminal { 1 } else { 5 });
    let mut interval = tokio::time::interval(period);
    let stop = signals.wait(|_| {});
    tokio::pin!(stop);
    println!("press Ctrl-C to stop\n");
    loop {
        tokio::select! {
            () = &mut stop => break,
            Some(_) = results.recv() => {}
            _ = interval.tick() => match summary(admin).await {
                Ok(line) if terminal => {
                    print!("\r{line:<79}");
                    let _ = std::io::stdout().flush();
                }
                Ok(line) => println!("{line}"),
                Err(error) => println!("{error}"),
            },
        }
    }
    println!();
}

/// Returns a one-line summary of the last 5 minutes with the kind of the highest burn rate.
async fn summary(admin: SocketAddr) -> Result<String, AdminError> {
    let status: EntryStatus = fetch(admin, "/v1/status").await?;
    let burn: BurnReport = fetch(admin, "/v1/burn").await?;
    let in_flight: u32 = status.services.iter().map(|service| service.in_flight).sum();
    let windows = burn.kinds.iter().filter_map(|kind| Some((kind, kind.windows.first()?)));
    let (mut requests, mut missed, mut highest) = (0, 0, (0.0, String::new()));
    for (kind, window) in windows {
        requests += window.requests;
        missed += window.failed;
        if window.burn_rate > highest.0 {
            highest = (window.burn_rate, format!(" ({}/{})", kind.service, kind.kind));
        }
    }
    let (rate, name) = highest;
    Ok(format!(
        "{requests} requests in 5 min, {missed} missed, {in_flight} in flight, burn {rate:.1}{name}"
    ))
}
