//! An entry is stopped while equal requests wait in it for the first of them.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::entries::{Deployment, PLAIN_BOUNDS};
use crate::manifest::{HOST, Route, manifest};
use crate::record::Record;
use crate::requester::{Connection, next_id};
use crate::server::{ServerPlan, Servers};
use crate::store::Store;

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

/// Time from SIGTERM to the requests. They are sent no later than 3 s after it.
const SENT_AFTER: Duration = Duration::from_millis(2_300);

/// Time that a request works at a server, within the largest of the site's (7.9 s).
const WORK: Duration = Duration::from_millis(4_500);

/// `LossSlack`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Number of equal requests.
const COPIES: usize = 6;

/// How a request ended at its requester.
struct End {
    id: String,
    sent: Duration,
    ended: Duration,
    /// Status of the complete answer, if there was one.
    status: Option<u16>,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start(record)?;
    let servers = Servers::new(record);
    for (name, zone) in
        [("i-status-1", "bagmati-a"), ("i-status-2", "bagmati-b"), ("i-status-3", "bagmati-c")]
    {
        let work =
            |path: &str| if path.ends_with("/slow") { WORK } else { Duration::from_millis(20) };
        store.register(&servers.start(ServerPlan::new(name, "status", zone, work))?);
    }
    let routes = [Route {
        name: "status-poll",
        prefix: "/status/",
        kind: "safe",
        timeout_ms: 8000,
        target_latency_ms: 2000,
        service: "status",
    }];
    store.put("config", "main", &manifest(&routes, &[]), None);
    let mut deployment = Deployment::new(3, store.address, PLAIN_BOUNDS, record)?;
    deployment.start_all()?;
    // Connections that the requesters keep; an open connection stays with its node.
    let front = deployment.front(0);
    let mut connections = Vec::new();
    for number in 0..COPIES {
        let mut connection = Connection::open(front).map_err(|error| error.to_string())?;
        let request = format!(
            "GET /status/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Zinniaport-Request-Id: {}\r\n\
             X-Zinniaport-Deadline-Ms: 15000\r\n\r\n",
            next_id()
        );
        connection.send(request.as_bytes()).map_err(|error| error.to_string())?;
        let answer =
            connection.answer(Duration::from_secs(5)).map_err(|error| error.to_string())?;
        if answer.head.status() != 200 {
            return Err(format!("a request in calm got {}", answer.head.line));
        }
        connections.push(connection);
    }
    thread::sleep(Duration::from_secs(4));
    let terminated = record.now();
    if trouble {
        deployment.terminate(0);
    }
    thread::sleep(SENT_AFTER);
    let ends = Arc::new(Mutex::new(Vec::new()));
    let requesters = connections.into_iter().map(|mut connection| {
        let (record, ends) = (record.clone(), ends.clone());
        thread::spawn(move || {
            let id = next_id();
            let request = format!(
                "GET /status/submission-17/slow HTTP/1.1\r\nHost: {HOST}\r\nX-Zinniaport-Request-Id: {id}\r\n\
                 X-Zinniaport-Deadline-Ms: 15000\r\n\r\n"
            );
            let is_sent = connection.send(request.as_bytes()).is_ok();
            let sent = record.now();
            record.line(&format!("sent {id}: GET /status/submission-17/slow"));
            let answer = connection.answer(Duration::from_secs(20)).ok().filter(|_| is_sent);
            let status = answer.map(|answer| answer.head.status());
            record.line(&match status {
                Some(status) => format!("answered {id}: {status}"),
                None => format!("{id}: the connection ended without an answer"),
            });
            if let Ok(mut ends) = ends.lock() {
                ends.push(End { id, sent, ended: record.now(), status });
            }
        })
    });
    let requesters: Vec<_> = requesters.collect();
    if trouble {
        while record.now() < terminated + GRACE && !deployment.has_ended(0) {
            thread::sleep(Duration::from_millis(5));
        }
        deployment.kill(0);
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let runs = servers.runs();
    let ends = ends.lock().map_err(|error| error.to_string())?;
    // Counted is a request that the entry has read, that no server was at work on in the last sixth
    // of the time to stop, and whose connection ended without an answer.
    let is_lost = |end: &&End| {
        let at_work = runs.iter().any(|run| run.id == end.id && run.at < terminated + GRACE);
        end.status.is_none() && !at_work && end.ended > end.sent + LOSS_SLACK
    };
    let lost = ends.iter().filter(is_lost).count();
    let at_work = ends.iter().filter(|end| end.status.is_none()).count() - lost;
    let answered = ends.iter().filter_map(|end| end.status).map(|status| status.to_string());
    let text = format!(
        "of {COPIES} equal requests sent {} ms after SIGTERM, {lost} never reached a server and ended \
         with their connection at the end of the time to stop, {at_work} ended so while a server was at \
         work; answered: {:?}",
        SENT_AFTER.as_millis(),
        answered.collect::<Vec<_>>()
    );
    Ok((lost == 0, text))
}
