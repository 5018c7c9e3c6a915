//! Uploads in chunks whose requesters leave while the upload waits for a server.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::entries::{Entries, Machine};
use crate::requester::{Attempts, Request, generate, generate_when};
use crate::server::{Arrivals, Server, ServerSettings};
use crate::store::{Route, Store, manifest};
use crate::world::{log, note, now, random};

const HOST: &str = "hulo84.example";

/// Factor and duration of a burst.
const BURST_FACTOR: f64 = 1.6;
const BURST_S: f64 = 5.0;

/// Share of the requesters that leave, in tenths, and the time after which they do.
const LEAVING_TENTHS: u64 = 2;
const LEAVES_AFTER_S: f64 = 0.3;

/// Size of an upload. It is above the 16 KiB that an entry reads ahead, and fits the receive
/// window of a new connection, so that the requester's close reaches the entry's machine.
const BODY_BYTES: usize = 40_000;

pub fn run(trouble: bool) -> Result<bool, String> {
    let store = Store::start()?;
    let route = Route {
        name: "photo-upload",
        host: HOST,
        prefix: "/cufi502/",
        kind: "upload",
        timeout_ms: 6000,
        target_ms: 2000,
        priority: 1,
        service: "gallery",
        attempts: 2,
    };
    store.put("config", "main", Some(manifest(7, &[route], &["gallery"])), None);
    let arrivals = Arrivals::default();
    let settings = ServerSettings {
        service: "gallery".into(),
        zone: "zone-a".into(),
        slots: 3,
        work_ms: 250,
        limit: None,
        crash_path: None,
    };
    let _servers: Vec<_> = (0..2)
        .map(|number| Server::start(number, settings.clone(), None, &store, &arrivals))
        .collect::<Result<_, _>>()?;
    let machines: Vec<_> = (0..3).map(|_| Machine { cpu_share: 0.2 }).collect();
    let entries = Entries::start(&machines, store.address)?;
    entries.wait_ready(15.0)?;
    let fronts: Vec<_> = entries.list.iter().map(|entry| entry.front).collect();
    let attempts: Attempts = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let start = now();
    let usual: f64 = std::env::var("RATE").ok().and_then(|t| t.parse().ok()).unwrap_or(22.0);
    // Two bursts; during each, some requesters leave before their time budget.
    let in_trouble = move || {
        let at = now() - start;
        trouble && ((6.0..6.0 + BURST_S).contains(&at) || (15.0..15.0 + BURST_S).contains(&at))
    };
    let request = move |number: u64, leaves: bool| Request {
        label: if leaves { "leaves" } else { "stays" },
        method: "POST",
        host: HOST,
        path: format!("/cufi502/{number:x}"),
        budget_ms: 6000,
        body: vec![b'p'; BODY_BYTES],
        chunked: true,
        leaves_after: leaves.then_some(LEAVES_AFTER_S),
    };
    let chosen = fronts.clone();
    let traffic = generate(usual, &stop, &attempts, move |number| {
        let entry = random() as usize % chosen.len();
        let leaves = in_trouble() && random() % 10 < LEAVING_TENTHS;
        (entry, chosen[entry], request(number, leaves))
    });
    // The additional requests of the bursts.
    let more = Arc::new(AtomicBool::new(false));
    let burst =
        generate_when(usual * (BURST_FACTOR - 1.0), &more, &stop, &attempts, move |number| {
            let entry = random() as usize % fronts.len();
            let leaves = in_trouble() && random() % 10 < LEAVING_TENTHS;
            (entry, fronts[entry], request(1_000_000 + number, leaves))
        });
    while now() < start + 25.0 {
        more.store(in_trouble(), Ordering::Relaxed);
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let _ = burst.join();
    let attempts = attempts.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let mut late = 0;
    let mut ran = 0;
    for attempt in
        attempts.iter().filter(|attempt| attempt.label == "leaves" && attempt.status == 0)
    {
        for arrival in arrivals.iter().filter(|arrival| arrival.request == attempt.id) {
            if arrival.at > attempt.ended + 0.5 {
                match arrival.what {
                    "head" => late += 1,
                    "run" => ran += 1,
                    _ => {}
                }
                log(&format!(
                    "{} left at {:.3}, {} at a server at {:.3}",
                    attempt.id, attempt.ended, arrival.what, arrival.at
                ));
            }
        }
    }
    let left = attempts.iter().filter(|attempt| attempt.label == "leaves" && attempt.status == 0);
    let ok = attempts.iter().filter(|attempt| attempt.status == 200).count();
    note(&format!(
        "{} of {} requesters left; {late} of their requests reached a server over half a second \
         later, {ran} were run by one; {ok} served",
        left.count(),
        attempts.len()
    ));
    Ok(late > 5)
}
