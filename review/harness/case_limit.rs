//! Servers that name a `Server-Limit`, while the machine that coordinates turns slow.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::entries::{Entries, Machine};
use crate::requester::{Attempts, Request, generate};
use crate::server::{Arrivals, Server, ServerSettings};
use crate::store::{Route, Store, manifest};
use crate::world::{note, now, random, sleep, sleep_until};

const HOST: &str = "hulo84.example";

/// `StableWindow` of the site's bounds.
const STABLE_S: f64 = 3.0;

/// Requests a second that each server takes.
const LIMIT: f64 = 10.0;

/// Length of the window of the rule.
const WINDOW_S: f64 = 4.0;

/// Machines that are restarted, in the order of their share of a core.
const ROLLED: usize = 1;

/// Time for which the machine is slow.
const SLOW_S: f64 = 5.5;

/// Returns the entry that a request was sent to, which stands in its id.
fn entry_of(request: &str) -> usize {
    request[..1].parse().unwrap_or(0)
}

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::start()?;
    let route = Route {
        name: "schedule-read",
        host: HOST,
        prefix: "/leny950/",
        kind: "safe",
        timeout_ms: 3000,
        target_ms: 400,
        priority: 2,
        service: "calendar",
        attempts: 2,
    };
    store.put("config", "main", Some(manifest(7, &[route], &["calendar"])), None);
    let arrivals = Arrivals::default();
    let settings = ServerSettings {
        service: "calendar".into(),
        zone: "zone-a".into(),
        slots: 4,
        work_ms: 60,
        limit: Some(LIMIT),
        crash_path: None,
    };
    let servers: Vec<_> = (0..4)
        .map(|number| Server::start(number, settings.clone(), None, &store, &arrivals))
        .collect::<Result<_, _>>()?;
    // The machine with the largest share of a core coordinates; the next one takes over.
    let shares = [0.5, 0.3, 0.2, 0.2, 0.2, 0.2, 0.2];
    let machines: Vec<_> = shares.iter().map(|share| Machine { cpu_share: *share }).collect();
    let entries = Entries::start(&machines, store.address)?;
    entries.wait_ready(15.0)?;
    let fronts: Vec<_> = entries.list.iter().map(|entry| entry.front).collect();
    let attempts: Attempts = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let start = now();
    let rate: f64 = std::env::var("RATE").ok().and_then(|t| t.parse().ok()).unwrap_or(120.0);
    let traffic = generate(rate, &stop, &attempts, move |number| {
        // No requester is led to the machines that are restarted: what they send is excused.
        let entry = ROLLED + random() as usize % (fronts.len() - ROLLED);
        let request = Request {
            label: "schedule-read",
            method: "GET",
            host: HOST,
            path: format!("/leny950/{number:x}"),
            budget_ms: 3000,
            body: Vec::new(),
            chunked: false,
            leaves_after: None,
        };
        (entry, fronts[entry], request)
    });
    sleep_until(start + 8.0);
    // The machine that coordinates turns slow: it runs a fifth of the time.
    let stopped: f64 = std::env::var("STOPPED").ok().and_then(|t| t.parse().ok()).unwrap_or(0.05);
    let running: f64 = std::env::var("RUNNING").ok().and_then(|t| t.parse().ok()).unwrap_or(0.0125);
    if trouble {
        note("entry 1 turns slow");
    }
    while now() < start + 8.0 + SLOW_S {
        if trouble {
            entries.signal(0, "STOP");
        }
        sleep(stopped);
        if trouble {
            entries.signal(0, "CONT");
        }
        sleep(running);
    }
    note("entry 1 runs as before");
    sleep_until(start + 20.0);
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let arrivals = arrivals.lock().unwrap();
    let allowed = 1.5 * LIMIT * WINDOW_S + 5.0;
    let mut broken = false;
    for server in &servers {
        // Requests that came through a restarted machine are excused.
        let times: Vec<f64> = arrivals
            .iter()
            .filter(|arrival| arrival.server == server.number && arrival.what == "head")
            .filter(|arrival| entry_of(&arrival.request) >= ROLLED)
            .map(|arrival| arrival.at)
            .filter(|at| *at > start + STABLE_S + 2.0)
            .collect();
        let mut most = (0, 0.0);
        for (position, at) in times.iter().enumerate() {
            let count = times[position..].iter().take_while(|t| **t < at + WINDOW_S).count();
            if count > most.0 {
                most = (count, *at);
            }
        }
        let all = times.len() as f64 / (20.0 - STABLE_S - 2.0);
        note(&format!(
            "server {}: at most {} requests in 4 s (from {:.2} s on), allowed {allowed}; \
             {all:.1} a second on average",
            server.number, most.0, most.1
        ));
        broken |= most.0 as f64 > allowed;
    }
    let ok = attempts.lock().unwrap().iter().filter(|a| a.status == 200).count();
    note(&format!("{ok} of {} served", attempts.lock().unwrap().len()));
    Ok(broken)
}
