//! Machines that start with stale seeds, and servers that reject a part of their requests.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::entries::{Entries, Machine};
use crate::requester::{Attempts, Request, generate};
use crate::server::{Arrivals, SHED_PERCENT, Server, ServerSettings};
use crate::store::{Route, Store, manifest};
use crate::world::{note, now, random, sleep_until};

const HOST: &str = "hulo84.example";

/// `SeedLag`, `RetryBudgetRatio`, `BudgetWindow` and `BudgetExtraRetries` of the site's bounds.
const SEED_LAG_S: f64 = 3.0;
const RATIO: f64 = 0.2;
const WINDOW_S: f64 = 10.0;
const EXTRA: f64 = 58.0;

/// Share of the requests that the servers reject, in percent, and from when and for how long.
const SHED: u64 = 55;
const SHED_AT_S: f64 = 20.0;
const SHED_FOR_S: f64 = 8.5;

pub fn run(trouble: bool) -> Result<bool, String> {
    // `SHED=1` with `TROUBLE=0` plays the servers that reject requests alone.
    let sheds = trouble || std::env::var("SHED").is_ok();
    let store = Store::start()?;
    let route = Route {
        name: "pump-history",
        host: HOST,
        prefix: "/leny950/",
        kind: "safe",
        timeout_ms: 1200,
        target_ms: 250,
        priority: 2,
        service: "historial",
        attempts: 2,
    };
    store.put("config", "main", Some(manifest(7, &[route], &["historial"])), None);
    let arrivals = Arrivals::default();
    let settings = ServerSettings {
        service: "historial".into(),
        zone: "zone-a".into(),
        slots: 3,
        work_ms: 90,
        limit: None,
        crash_path: None,
    };
    let _servers: Vec<_> = (0..15)
        .map(|number| Server::start(number, settings.clone(), None, &store, &arrivals))
        .collect::<Result<_, _>>()?;
    let machines: Vec<_> = (0..8).map(|_| Machine { cpu_share: 0.2 }).collect();
    let entries = if trouble {
        // Nothing runs at the addresses that the seeds name.
        let stale: Vec<_> =
            (101..104).map(|number| SocketAddr::from(([127, 0, 1, number], 8649))).collect();
        Entries::start_with_seeds(&machines, store.address, Some(&stale))?
    } else {
        Entries::start(&machines, store.address)?
    };
    entries.wait_ready(15.0)?;
    let fronts: Vec<_> = entries.list.iter().map(|entry| entry.front).collect();
    let attempts: Attempts = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let start = now();
    let traffic = generate(120.0, &stop, &attempts, move |number| {
        let entry = random() as usize % fronts.len();
        let request = Request {
            label: "pump-history",
            method: "GET",
            host: HOST,
            path: format!("/leny950/{number:x}"),
            budget_ms: 1200,
            body: Vec::new(),
            chunked: false,
            leaves_after: None,
        };
        (entry, fronts[entry], request)
    });
    sleep_until(start + SEED_LAG_S);
    if trouble {
        // The platform has caught up: it renders the settings again and says so.
        entries.write_settings(&entries.seeds())?;
        for number in 0..entries.list.len() {
            entries.signal(number, "HUP");
        }
    }
    sleep_until(start + SHED_AT_S);
    if sheds {
        note(&format!("all servers reject {SHED} % of their requests"));
        SHED_PERCENT.store(SHED, Ordering::Relaxed);
    }
    sleep_until(start + SHED_AT_S + SHED_FOR_S);
    SHED_PERCENT.store(0, Ordering::Relaxed);
    sleep_until(start + SHED_AT_S + SHED_FOR_S + 3.0);
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    for number in 0..entries.list.len() {
        for text in ["live entries changed", "settings reloaded"] {
            if let Some(line) = entries.log_lines(number, text).last() {
                note(&format!("log of entry {}: {line}", number + 1));
            }
        }
    }
    let sent: Vec<f64> = attempts.lock().unwrap().iter().map(|attempt| attempt.sent).collect();
    let mut seen = HashSet::new();
    let again: Vec<f64> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.what == "head" && !seen.insert(arrival.request.clone()))
        .map(|arrival| arrival.at)
        .collect();
    let count = |times: &[f64], from: f64| {
        times.iter().filter(|at| (from..from + WINDOW_S).contains(*at)).count()
    };
    // The window in which the most is left over what is allowed.
    let mut worst = (f64::MIN, String::new());
    for at in &again {
        // The requests of that window, of the one before it or of the one half a window before.
        let before = [0.0, WINDOW_S, WINDOW_S / 2.0].map(|earlier| count(&sent, at - earlier));
        let requests = before.into_iter().max().unwrap_or(0);
        let allowed = RATIO * requests as f64 + EXTRA;
        let found = count(&again, *at);
        let text = format!(
            "in the 10 s from {at:.2} s on: {found} arrivals beyond the first of each request, \
             allowed {allowed:.1} ({RATIO} x {requests} + {EXTRA})"
        );
        if found as f64 - allowed > worst.0 {
            worst = (found as f64 - allowed, text);
        }
    }
    note(&worst.1);
    note(&format!("{} arrivals beyond the first in all, {} requests", again.len(), sent.len()));
    Ok(worst.0 > 0.0)
}
