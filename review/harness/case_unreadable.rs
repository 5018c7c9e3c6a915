//! An entry of another writer, with bytes that cannot be read, among the servers in the store;
//! then all entries are killed at once and start again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::entries::{Entries, Machine};
use crate::json::Json;
use crate::requester::{Attempts, Request, generate};
use crate::server::{Arrivals, Server, ServerSettings};
use crate::store::{Route, Store, manifest};
use crate::world::{note, now, random, sleep, sleep_until};

const HOST: &str = "hulo84.example";

/// `Recover` of the site's bounds.
const RECOVER_S: f64 = 15.0;

/// Time for which requests are judged after it.
const JUDGED_S: f64 = 12.0;

/// Content of the other writer's entry: no UTF-8.
const UNREADABLE: &[u8] = b"\"\x80\xff\xfe bytes\"";

pub fn run(trouble: bool) -> Result<bool, String> {
    // `FINAL=1` with `TROUBLE=0` plays the final fault alone.
    let final_fault = trouble || std::env::var("FINAL").is_ok();
    let store = Store::start()?;
    let route = Route {
        name: "shift-signup",
        host: HOST,
        prefix: "/puka111/",
        kind: "non_idempotent",
        timeout_ms: 4000,
        target_ms: 500,
        priority: 1,
        service: "roster",
        attempts: 2,
    };
    store.put("config", "main", Some(manifest(7, &[route], &["roster"])), None);
    let arrivals = Arrivals::default();
    let settings = ServerSettings {
        service: "roster".into(),
        zone: "zone-a".into(),
        slots: 4,
        work_ms: 210,
        limit: None,
        crash_path: None,
    };
    let _servers: Vec<_> = (0..5)
        .map(|number| Server::start(number, settings.clone(), None, &store, &arrivals))
        .collect::<Result<_, _>>()?;
    let machines: Vec<_> = (0..3).map(|_| Machine { cpu_share: 0.2 }).collect();
    let entries = Entries::start(&machines, store.address)?;
    entries.wait_ready(15.0)?;
    let fronts: Vec<_> = entries.list.iter().map(|entry| entry.front).collect();
    let attempts: Attempts = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let start = now();
    let traffic = generate(30.0, &stop, &attempts, move |number| {
        let entry = random() as usize % fronts.len();
        let request = Request {
            label: "shift-signup",
            method: "POST",
            host: HOST,
            path: format!("/puka111/{number:x}"),
            budget_ms: 4000,
            body: format!("sign-up {number}").into_bytes(),
            chunked: false,
            leaves_after: None,
        };
        (entry, fronts[entry], request)
    });
    sleep_until(start + 5.0);
    if trouble {
        store.put("servers", "x-other-writer", Some(Json::Raw(UNREADABLE.to_vec())), None);
    }
    sleep_until(start + 10.0);
    if final_fault {
        for number in 0..entries.list.len() {
            entries.kill(number);
        }
        sleep(1.0);
        for number in 0..entries.list.len() {
            entries.spawn(number)?;
        }
    }
    let back = now();
    sleep_until(back + RECOVER_S + JUDGED_S);
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let attempts = attempts.lock().unwrap();
    let served = |from: f64, until: f64| {
        let sent = attempts.iter().filter(|attempt| (from..until).contains(&attempt.sent));
        let ok = sent.clone().filter(|attempt| (200..300).contains(&attempt.status)).count();
        (ok, sent.count())
    };
    let before = served(start, start + 10.0);
    let after = served(back + RECOVER_S, back + RECOVER_S + JUDGED_S);
    note(&format!("before the final fault: {} of {} served", before.0, before.1));
    note(&format!("later than Recover after it: {} of {} served", after.0, after.1));
    for (number, entry) in entries.list.iter().enumerate() {
        note(&format!("entry {} reports ready: {}", number + 1, entry.is_ready()));
        if let Some(line) = entries.log_lines(number, "cannot read the directory").last() {
            note(&format!("log of entry {}: {line}", number + 1));
        }
    }
    if before.0 * 4 < before.1 {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    Ok(after.0 * 4 < after.1)
}
