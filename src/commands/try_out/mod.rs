//! `zinniaport try`: an entry with demo targets of the co-operative.

mod demo;
mod load;
mod tally;

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use demo::DemoFleet;
use indexmap::IndexMap;
use tally::{BrokenPromise, CallerPromise, LoadTally};
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
        let held = match self.requests {
            Some(requests) => serve_requests(callers, admin, requests).await,
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
async fn serve_requests(callers: SocketAddr, admin: SocketAddr, requests: u64) -> bool {
    let mut answers = load::generate(callers, requests, Duration::ZERO);
    let mut tally = LoadTally::new();
    let mut records = RecordReader::new(admin);
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
    records.check(&mut tally);
    println!("\n{}\n{}", tally.table(), tally.promises());
    if let Some(record) = &records.slowest {
        println!("$ zinniaport explain {}", record.request_id);
        println!("{}", explanation_text(&explain(record)));
    }
    tally.broken.is_empty() && tally.requests == requests
}

/// Copies the number of dispatches of each request from the entry's records.
struct RecordReader {
    admin: SocketAddr,
    last: u64,
    lost: u64,
    dispatches: IndexMap<String, usize>,
    /// The request that took longest at the entry.
    slowest: Option<NamedRecord>,
    fault: Option<AdminError>,
}

impl RecordReader {
    fn new(admin: SocketAddr) -> Self {
        Self { admin, last: 0, lost: 0, dispatches: IndexMap::new(), slowest: None, fault: None }
    }

    async fn read(&mut self) {
        loop {
            let path = format!("/v1/records?after={}&limit={RECORDS_PER_READ}", self.last);
            let batch = match fetch::<RecordBatch>(self.admin, &path).await {
                Ok(batch) => batch,
                Err(fault) => {
                    self.fault = Some(fault);
                    return;
                }
            };
            self.lost += batch.lost;
            if batch.last == self.last {
                return;
            }
            self.last = batch.last;
            for record in batch.records {
                let dispatches = self.dispatches.entry(record.request_id.clone()).or_default();
                *dispatches += record.dispatches.len();
                if self.slowest.as_ref().is_none_or(|slowest| record.taken() > slowest.taken()) {
                    self.slowest = Some(record);
                }
            }
        }
    }

    /// Adds what the records show to the promises.
    fn check(&self, tally: &mut LoadTally) {
        let mut broken = Vec::new();
        for request_id in &tally.once {
            let detail = match self.dispatches.get(request_id) {
                Some(0 | 1) => continue,
                Some(dispatches) => format!("{dispatches} dispatches"),
                None => match &self.fault {
                    Some(fault) => format!("its record could not be read: {fault}"),
                    None => format!("no record of it; {} records were lost", self.lost),
                },
            };
            let promise = CallerPromise::DispatchedOnce;
            broken.push(BrokenPromise { promise, request_id: request_id.clone(), detail });
        }
        tally.broken.extend(broken);
    }
}

/// Sends light load and prints a summary until Ctrl-C.
async fn show_summary(callers: SocketAddr, admin: SocketAddr) {
    let mut answers = load::generate(callers, BACKGROUND_REQUESTS, Duration::from_secs(1));
    let terminal = std::io::stdout().is_terminal();
    let period = Duration::from_secs(if terminal { 1 } else { 5 });
    let mut interval = tokio::time::interval(period);
    let stop = wait_for_stop();
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
