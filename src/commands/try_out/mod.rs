//! `zinniaport try`: an entry with demo targets of the co-operative.

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
use super::wait_for_stop;
use crate::admin::{EntryStatus, RecordBatch};
use crate::state::KEPT_RECORDS;

/// Requests that the demo sends by itself without `--requests`; about 10 minutes
/// at 32 requests per second.
const BACKGROUND_REQUESTS: u64 = 20_000;

/// Records read in one call.
const RECORDS_PER_READ: usize = 1_000;

/// Arguments of `zinniaport try`.
#[derive(Debug, Args)]
#[command(after_help = "Example: zinniaport try --requests 2000\n\n\
                        Exit codes: 0 all promises held, 1 one was broken or the demo cannot \
                        start, 2 wrong usage")]
pub struct TryArguments {
    /// Serve this number of generated requests, print the outcomes and end.
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
        let held = match self.requests {
            Some(requests) => serve_requests(&demo, requests).await,
            None => {
                show_summary(callers, admin).await;
                true
            }
        };
        demo.entry.stop().await;
        if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

/// Serves generated requests and prints the outcomes. Returns whether all
/// promises held.
async fn serve_requests(demo: &DemoFleet, requests: u64) -> bool {
    let mut answers = load::generate(demo.entry.caller_address(), requests, Duration::ZERO);
    let mut tally = LoadTally::new();
    let mut records = RecordReader::new(demo.entry.admin_address());
    loop {
        // Records are read while the load runs, before the ring overwrites them.
        if tally.requests.is_multiple_of(KEPT_RECORDS as u64 / 8) {
            records.read().await;
        }
        match answers.recv().await {
            Some(answer) => tally.add(&answer),
            None => break,
        }
    }
    records.read().await;
    tally.check_runs(&demo.runs());
    println!("\n{}\n{}", tally.table(), tally.promises());
    if let Some(record) = &records.slowest {
        println!("$ zinniaport explain {}", record.request_id);
        println!("{}", explanation_text(&explain(record)));
    }
    tally.broken.is_empty() && tally.requests == requests
}

/// Reads the records of the entry.
struct RecordReader {
    admin: SocketAddr,
    last: u64,
    /// The request that took longest at the entry.
    slowest: Option<NamedRecord>,
}

impl RecordReader {
    fn new(admin: SocketAddr) -> Self {
        Self { admin, last: 0, slowest: None }
    }

    async fn read(&mut self) {
        loop {
            let path = format!("/v1/records?after={}&limit={RECORDS_PER_READ}", self.last);
            let Ok(batch) = fetch::<RecordBatch>(self.admin, &path).await else { return };
            if batch.last == self.last {
                return;
            }
            self.last = batch.last;
            for record in batch.records {
                if self.slowest.as_ref().is_none_or(|slowest| record.taken() > slowest.taken()) {
                    self.slowest = Some(record);
                }
            }
        }
    }
}

/// Sends light load and prints a summary until Ctrl-C.
async fn show_summary(callers: SocketAddr, admin: SocketAddr) {
    let mut answers = load::generate(callers, BACKGROUND_REQUESTS, Duration::from_secs(1));
    let terminal = std::io::stdout().is_terminal();
    let period = Duration::from_secs(if terminal { 1 } else { 5 });
    let mut interval = tokio::time::interval(period);
    let stop = wait_for_stop(|| {});
    tokio::pin!(stop);
    println!("Ctrl-C ends it\n");
    loop {
        tokio::select! {
            () = &mut stop => break,
            Some(_) = answers.recv() => {}
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

/// Gives one line about the last 5 minutes, with the kind that burns fastest.
async fn summary(admin: SocketAddr) -> Result<String, AdminError> {
    let status: EntryStatus = fetch(admin, "/v1/status").await?;
    let burn: BurnReport = fetch(admin, "/v1/burn").await?;
    let in_flight: u32 = status.services.iter().map(|service| service.in_flight).sum();
    let windows = burn.kinds.iter().filter_map(|kind| Some((kind, kind.windows.first()?)));
    let (mut requests, mut missed, mut worst) = (0, 0, (0.0, String::new()));
    for (kind, window) in windows {
        requests += window.requests;
        missed += window.failed;
        if window.burn_rate > worst.0 {
            worst = (window.burn_rate, format!(" ({}/{})", kind.service, kind.kind));
        }
    }
    let (rate, name) = worst;
    Ok(format!(
        "{requests} requests in 5 min, {missed} missed, {in_flight} in flight, burn {rate:.1}{name}"
    ))
}
