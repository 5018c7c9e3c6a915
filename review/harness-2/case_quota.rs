//! All machines lose power, and those that the others know as seeds come back last.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::entries::{Deployment, TENANT_BOUNDS};
use crate::manifest::{HOST, Route, manifest};
use crate::record::Record;
use crate::requester::{Connection, next_id};
use crate::server::{ServerPlan, Servers};
use crate::store::Store;

/// Number of machines.
const MACHINES: usize = 19;

/// Number of seeds.
const SEEDS: usize = 3;

/// `RatePerS` and `Burst` of the tenant.
const RATE: u32 = 40;
const BURST: u32 = 40;

/// Requests a second that the tenant sends: 7.5 times its usual, which is its limit by 1.6.
const SENT_PER_SECOND: f64 = 40.0 / 1.6 * 7.5;

/// `QuotaWindow`, `QuotaOverage` and `QuotaSlack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Time for which the seeds stay without power, and the others.
const SEEDS_DARK: Duration = Duration::from_millis(3_500);
const OTHERS_DARK: Duration = Duration::from_millis(500);

/// `SeedLag`: the settings name running seeds so long after the loss.
const SEED_LAG: Duration = Duration::from_secs(3);

const KEY: &str = "key-of-school-a";

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start(record)?;
    let servers = Servers::new(record);
    for number in 0..12 {
        let zone = ["tln-a", "tln-b", "mrd-c"][number % 3];
        let work = |_: &str| Duration::from_millis(25);
        let name = format!("i-portal-{number}");
        store.register(&servers.start(ServerPlan::new(&name, "portal", zone, work))?);
    }
    let routes = [Route {
        name: "status",
        prefix: "/status/",
        kind: "safe",
        timeout_ms: 2000,
        target_latency_ms: 500,
        service: "portal",
    }];
    store.put("config", "main", &manifest(&routes, &[("school-a", KEY, RATE, BURST)]), None);
    let mut deployment = Deployment::new(MACHINES, store.address, TENANT_BOUNDS, record)?;
    deployment.start_all()?;
    thread::sleep(Duration::from_secs(3));

    // The requesters of the tenant, one for each machine. The tenant sends evenly through those
    // machines that take connections.
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let others = (MACHINES - SEEDS) as f64;
    let requesters: Vec<_> = (SEEDS..MACHINES)
        .map(|index| {
            let (record, sent, is_over) = (record.clone(), sent.clone(), is_over.clone());
            let front = deployment.front(index);
            let pause = Duration::from_secs_f64(others / SENT_PER_SECOND);
            thread::spawn(move || {
                let mut connection = None;
                let mut due = record.now() + pause.mul_f64((index - SEEDS) as f64 / others);
                while !is_over.load(Ordering::Relaxed) {
                    thread::sleep(due.saturating_sub(record.now()));
                    due += pause;
                    let Some(open) = connection.take().or_else(|| Connection::open(front).ok())
                    else {
                        continue;
                    };
                    connection = request(open, &record, &sent);
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(6));
    if trouble {
        for index in 0..MACHINES {
            deployment.kill(index);
        }
        let lost = record.now();
        thread::sleep(OTHERS_DARK);
        for index in SEEDS..MACHINES {
            deployment.start(index)?;
        }
        thread::sleep((lost + SEED_LAG).saturating_sub(record.now()));
        let running: Vec<_> = (SEEDS..2 * SEEDS).collect();
        for index in 0..MACHINES {
            deployment.write_settings(index, &running)?;
        }
        thread::sleep((lost + SEEDS_DARK).saturating_sub(record.now()));
        for index in 0..SEEDS {
            deployment.start(index)?;
        }
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }

    let sent = sent.lock().map_err(|error| error.to_string())?.clone();
    let runs = servers.runs();
    let mut pairs: Vec<(Duration, Duration)> = Vec::new();
    for run in &runs {
        let at = sent.iter().find(|(id, _): &&(String, Duration)| *id == run.id).map(|(_, at)| *at);
        pairs.push((at.ok_or("a server ran a request that nobody sent")?, run.at));
    }
    let allowed =
        (f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(BURST)) * (1.0 + OVERAGE) + SLACK;
    let count = |start: Duration| {
        pairs.iter().filter(|(sent, ran)| *sent >= start && *ran <= start + WINDOW).count()
    };
    let (most, start) =
        pairs.iter().map(|(start, _)| (count(*start), *start)).max().unwrap_or_default();
    if pairs.len() < 200 {
        return Err(format!("only {} requests have run", pairs.len()));
    }
    let text = format!(
        "{most} requests of the tenant were sent and run in the 5 s from {:.3} s; allowed are {allowed:.0}",
        start.as_secs_f64()
    );
    Ok((most as f64 <= allowed, text))
}

/// Sends one request. Returns the connection if it may be used again.
fn request(
    mut connection: Connection,
    record: &Record,
    sent: &Mutex<Vec<(String, Duration)>>,
) -> Option<Connection> {
    let id = next_id();
    let bytes = format!(
        "GET /status/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Zinniaport-Request-Id: {id}\r\n\
         X-Zinniaport-Deadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\n\r\n"
    );
    sent.lock().ok()?.push((id.clone(), record.now()));
    record.line(&format!("sent {id}"));
    connection.send(bytes.as_bytes()).ok()?;
    let answer = connection.answer(Duration::from_secs(5));
    record.line(&match &answer {
        Ok(answer) => format!("answered {id}: {}", answer.head.status()),
        Err(_) => format!("{id}: no answer"),
    });
    answer.ok().filter(|answer| answer.head.get("connection") != Some("close")).map(|_| connection)
}
