//! GET requests with a body, in chunks or, without the disruption, with a length.

use std::time::Duration;

use crate::Verdict;
use crate::entries::Deployment;
use crate::manifest::{HOST, Route, manifest};
use crate::record::Record;
use crate::requester::{Connection, next_id};
use crate::server::{ServerPlan, Servers};
use crate::store::Store;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start(record)?;
    let servers = Servers::new(record);
    for (name, zone) in [("i-status-1", "tln-a"), ("i-status-2", "tln-b")] {
        let work = |_: &str| Duration::from_millis(20);
        store.register(&servers.start(ServerPlan::new(name, "status", zone, work))?);
    }
    let routes = [Route {
        name: "search",
        prefix: "/search/",
        kind: "safe",
        timeout_ms: 2000,
        target_latency_ms: 500,
        service: "status",
    }];
    store.put("config", "main", &manifest(&routes, &[]), None);
    let mut deployment = Deployment::new(3, store.address, record)?;
    deployment.start_all()?;
    let mut sent = Vec::new();
    for number in 0..30 {
        let id = next_id();
        let body = format!("{{\"submissions\":[{number},{}]}}", number + 1);
        let (framing, content) = match trouble {
            true => (
                "Transfer-Encoding: chunked".to_owned(),
                format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
            ),
            false => (format!("Content-Length: {}", body.len()), body.clone()),
        };
        let request = format!(
            "GET /search/recent HTTP/1.1\r\nHost: {HOST}\r\nX-Zinniaport-Request-Id: {id}\r\n\
             X-Zinniaport-Deadline-Ms: 4000\r\nContent-Type: application/json\r\n{framing}\r\n\r\n{content}"
        );
        record.line(&format!("sent {id}: GET /search/recent, {framing}, body {body:?}"));
        let answered = Connection::open(deployment.front(number % 3)).and_then(|mut connection| {
            connection.send(request.as_bytes())?;
            connection.answer(Duration::from_secs(5))
        });
        let answer = answered.map_err(|error| format!("request {id}: {error}"))?;
        let text = String::from_utf8_lossy(&answer.body);
        record.line(&format!("answered {id}: {}, {text:?}", answer.head.line));
        sent.push((id, body));
    }
    let runs = servers.runs();
    if runs.len() < 15 {
        return Err(format!("only {} of 30 requests have run", runs.len()));
    }
    let body_of =
        |id: &str| sent.iter().find(|(known, _)| known == id).map(|(_, body)| body.as_bytes());
    let changed = runs.iter().filter(|run| body_of(&run.id) != Some(&*run.body)).count();
    let text = format!("{} runs, {changed} of them with another body than was sent", runs.len());
    Ok((changed == 0, text))
}
