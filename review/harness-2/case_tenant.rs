//! Requests whose `Connection` header names the header of the tenant.

use std::time::Duration;

use crate::Verdict;
use crate::entries::{Deployment, TENANT_BOUNDS};
use crate::manifest::{HOST, Route, manifest};
use crate::record::Record;
use crate::requester::{Connection, next_id};
use crate::server::{ServerPlan, Servers};
use crate::store::Store;

const TENANTS: [(&str, &str, u32, u32); 2] =
    [("school-a", "key-of-school-a", 200, 200), ("school-b", "key-of-school-b", 200, 200)];

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::start(record)?;
    let servers = Servers::new(record);
    for (name, zone) in [("i-portal-1", "tln-a"), ("i-portal-2", "tln-b")] {
        let work = |_: &str| Duration::from_millis(20);
        store.register(&servers.start(ServerPlan::new(name, "portal", zone, work))?);
    }
    let routes = [
        Route {
            name: "status",
            prefix: "/status/",
            kind: "safe",
            timeout_ms: 2000,
            target_latency_ms: 500,
            service: "portal",
        },
        Route {
            name: "choice",
            prefix: "/choice/",
            kind: "non_idempotent",
            timeout_ms: 2500,
            target_latency_ms: 800,
            service: "portal",
        },
    ];
    store.put("config", "main", &manifest(&routes, &TENANTS), None);
    let mut deployment = Deployment::new(3, store.address, TENANT_BOUNDS, record)?;
    deployment.start_all()?;
    let mut sent = Vec::new();
    for number in 0..60 {
        let (tenant, key, ..) = TENANTS[number % 2];
        let id = next_id();
        let line = match number % 3 {
            0 => format!("POST /choice/{number} HTTP/1.1\r\nContent-Length: 0"),
            _ => format!("GET /status/{number} HTTP/1.1"),
        };
        let options = match trouble {
            true => "Connection: keep-alive, X-Zinniaport-Tenant-Id\r\n",
            false => "Connection: keep-alive\r\n",
        };
        let request = format!(
            "{line}\r\nHost: {HOST}\r\nX-Zinniaport-Request-Id: {id}\r\nX-Zinniaport-Deadline-Ms: 4000\r\n\
             X-Api-Key: {key}\r\n{options}\r\n"
        );
        record.line(&format!("sent {id} of {tenant}: {line:?}, {options:?}"));
        let answered = Connection::open(deployment.front(number % 3)).and_then(|mut connection| {
            connection.send(request.as_bytes())?;
            connection.answer(Duration::from_secs(5))
        });
        let answer = answered.map_err(|error| format!("request {id}: {error}"))?;
        let text = String::from_utf8_lossy(&answer.body);
        record.line(&format!("answered {id}: {}, {text:?}", answer.head.line));
        sent.push((id, tenant));
    }
    let runs = servers.runs();
    if runs.len() < 30 {
        return Err(format!("only {} of 60 requests have run", runs.len()));
    }
    let holder = |id: &str| sent.iter().find(|(known, _)| known == id).map(|(_, tenant)| *tenant);
    let wrong = runs.iter().filter(|run| run.tenant.as_deref() != holder(&run.id)).count();
    let keys = runs.iter().filter(|run| run.api_key.is_some()).count();
    let text = format!(
        "{} runs, {wrong} of them with another X-Zinniaport-Tenant-Id than that of the tenant that \
         holds the key, {keys} with the key",
        runs.len()
    );
    Ok((wrong + keys == 0, text))
}
