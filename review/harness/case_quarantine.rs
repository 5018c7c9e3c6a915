//! A path that callers share, and two of fifteen servers that crash; then all entries are killed at
//! once and start again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::entries::{Entries, Machine};
use crate::requester::{Attempt, Attempts, Request, generate};
use crate::server::{Arrivals, FORGET_IDLE_MS, Server, ServerSettings};
use crate::store::{Route, Store, manifest};
use crate::world::{note, now, random, sleep, sleep_until};

const HOST: &str = "hulo84.example";

/// `Recover` of the site's bounds.
const RECOVER_S: f64 = 15.0;

/// Time for which a crashed server is down. Its registration lapses after the same time, three
/// intervals of 1.5 s.
const DOWN_S: f64 = 4.5;

/// Crashes two servers at a moment at which both work on a request, and lets them come back with
/// new identities at their addresses.
fn crash_two(
    servers: &[Arc<Server>],
    store: &Arc<Store>,
    arrivals: &Arrivals,
) -> Result<(), String> {
    let end = now() + 3.0;
    let pair: Vec<Arc<Server>> = loop {
        let busy = servers.iter().filter(|server| server.running() > 0).take(2);
        let busy: Vec<_> = busy.cloned().collect();
        if busy.len() == 2 {
            break busy;
        }
        if now() > end {
            return Err("no two servers were at work".to_owned());
        }
        std::thread::sleep(std::time::Duration::from_micros(500));
    };
    for server in pair {
        server.crash();
        let (store, arrivals) = (store.clone(), arrivals.clone());
        std::thread::spawn(move || {
            sleep(DOWN_S);
            store.remove("servers", &server.id);
            let (number, settings) = (server.number + 100, server.settings.clone());
            let again = Server::start(number, settings, Some(server.address), &store, &arrivals);
            if let Err(error) = again {
                note(&format!("server {} cannot start again: {error}", server.number));
            }
        });
    }
    Ok(())
}

fn served(attempts: &[Attempt], from: f64, until: f64) -> (usize, usize) {
    let sent = attempts.iter().filter(|attempt| (from..until).contains(&attempt.sent));
    let ok = sent.clone().filter(|attempt| (200..300).contains(&attempt.status)).count();
    (ok, sent.count())
}

pub fn run(trouble: bool) -> Result<bool, String> {
    // `FINAL=1` with `TROUBLE=0` plays the final fault alone.
    let final_fault = trouble || std::env::var("FINAL").is_ok();
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
    let servers: Vec<_> = (0..15)
        .map(|number| Server::start(number, settings.clone(), None, &store, &arrivals))
        .collect::<Result<_, _>>()?;
    let machines: Vec<_> = (0..3).map(|_| Machine { cpu_share: 0.2 }).collect();
    let entries = Entries::start(&machines, store.address)?;
    entries.wait_ready(15.0)?;
    let fronts: Vec<_> = entries.list.iter().map(|entry| entry.front).collect();
    let attempts: Attempts = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let start = now();
    // All callers ask for the same page, the overview of the pumps.
    let traffic = generate(60.0, &stop, &attempts, move |_| {
        let entry = random() as usize % fronts.len();
        let request = Request {
            label: "pump-history",
            method: "GET",
            host: HOST,
            path: "/leny950/overview".to_owned(),
            budget_ms: 1200,
            body: Vec::new(),
            chunked: false,
            leaves_after: None,
        };
        (entry, fronts[entry], request)
    });
    sleep_until(start + 8.0);
    if trouble {
        if std::env::var("FORGET").is_ok() {
            // No server crashes; they forget idle connections for a while instead.
            note("servers forget connections that were idle for 300 ms");
            FORGET_IDLE_MS.store(300, Ordering::Relaxed);
            sleep(DOWN_S);
            FORGET_IDLE_MS.store(0, Ordering::Relaxed);
        } else {
            crash_two(&servers, &store, &arrivals)?;
        }
    }
    sleep_until(start + 14.0);
    if final_fault {
        for number in 0..entries.list.len() {
            entries.kill(number);
        }
        sleep(1.0);
        for number in 0..entries.list.len() {
            entries.spawn(number)?;
        }
    }
    let fault = now();
    entries.wait_ready(15.0)?;
    let back = now();
    sleep_until(back + RECOVER_S + 12.0);
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let attempts = attempts.lock().unwrap();
    for second in (0..(now() - start) as usize).step_by(2) {
        let from = start + second as f64;
        let (ok, sent) = served(&attempts, from, from + 2.0);
        note(&format!("from {second} s on: {ok} of {sent} served"));
    }
    let before = served(&attempts, start, fault);
    let after = served(&attempts, back + RECOVER_S, back + RECOVER_S + 12.0);
    note(&format!("before the final fault: {} of {} served", before.0, before.1));
    note(&format!("later than Recover after it: {} of {} served", after.0, after.1));
    if before.0 * 4 < before.1 {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    for number in 0..entries.list.len() {
        for line in entries.log_lines(number, "lost targets").iter().take(1) {
            note(&format!("log of entry {}: {line}", number + 1));
        }
        for line in entries.log_lines(number, "lost a target").iter().take(2) {
            note(&format!("log of entry {}: {line}", number + 1));
        }
    }
    Ok(after.0 * 4 < after.1)
}
