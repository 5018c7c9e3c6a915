//! A request that crashes each server that begins to run it, and comes again.

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

pub fn run(trouble: bool) -> Result<bool, String> {
    let env = |name: &str, default: f64| {
        std::env::var(name).ok().and_then(|t| t.parse().ok()).unwrap_or(default)
    };
    let (count, down) = (env("SERVERS", 1.0) as usize, env("DOWN", 2.0));
    crate::server::DARK.store(std::env::var("DARK").is_ok(), Ordering::Relaxed);
    let store = Store::start()?;
    let route = Route {
        name: "shift-signup",
        host: HOST,
        prefix: "/puka111/",
        kind: "non_idempotent",
        timeout_ms: env("TIMEOUT", 4000.0) as u64,
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
        work_ms: 100,
        limit: None,
        crash_path: Some("/puka111/poison".to_owned()),
    };
    let servers: Vec<_> = (0..count)
        .map(|number| Server::start(number, settings.clone(), None, &store, &arrivals))
        .collect::<Result<_, _>>()?;
    let machines: Vec<_> = (0..3).map(|_| Machine { cpu_share: 0.2 }).collect();
    let entries = Entries::start(&machines, store.address)?;
    entries.wait_ready(15.0)?;
    // Servers that crashed are back after two seconds, with a new identity.
    let supervised = Arc::new(Mutex::new(servers));
    let stop = Arc::new(AtomicBool::new(false));
    let supervisor = {
        let (supervised, stop, store, arrivals) =
            (supervised.clone(), stop.clone(), store.clone(), arrivals.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                sleep(0.05);
                for server in supervised.lock().unwrap().iter_mut() {
                    if !server.is_alive() {
                        let crashed = server.clone();
                        sleep(down);
                        crashed.end_dark();
                        let settings = crashed.settings.clone();
                        let address = Some(crashed.address);
                        match Server::start(crashed.number, settings, address, &store, &arrivals) {
                            Ok(again) => *server = again,
                            Err(error) => note(&format!("cannot start again: {error}")),
                        }
                        store.remove("servers", &crashed.id);
                    }
                }
            }
        })
    };
    let attempts: Attempts = Arc::new(Mutex::new(Vec::new()));
    let fronts: Vec<_> = entries.list.iter().map(|entry| entry.front).collect();
    let start = now();
    let request = |path: String, body: Vec<u8>, label| Request {
        label,
        method: "POST",
        host: HOST,
        path,
        budget_ms: 4000,
        body,
        chunked: false,
        leaves_after: None,
    };
    let chosen = fronts.clone();
    let traffic = generate(env("RATE", 8.0), &stop, &attempts, move |number| {
        let entry = random() as usize % chosen.len();
        let body = format!("sign-up {number}").into_bytes();
        (entry, chosen[entry], request(format!("/puka111/{number:x}"), body, "shift-signup"))
    });
    sleep_until(start + 3.0);
    while now() < start + 40.0 {
        if trouble {
            let entry = random() as usize % fronts.len();
            let poison = request("/puka111/poison".to_owned(), b"the same".to_vec(), "poison");
            let attempt = poison.attempt(entry, fronts[entry]);
            note(&format!("the request that crashes servers was answered {}", attempt.status));
            attempts.lock().unwrap().push(attempt);
        }
        sleep(env("AGAIN", 2.5));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    let _ = supervisor.join();
    let attempts = attempts.lock().unwrap();
    let poisons: Vec<_> = attempts.iter().filter(|attempt| attempt.label == "poison").collect();
    let crashes: Vec<f64> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.what == "run")
        .filter(|arrival| poisons.iter().any(|attempt| attempt.id == arrival.request))
        .map(|arrival| arrival.at)
        .collect();
    let third = crashes.get(2).copied().unwrap_or(f64::MAX);
    let late = crashes.iter().filter(|at| **at > third + STABLE_S).count();
    let unserved = attempts.iter().filter(|attempt| attempt.label != "poison");
    let unserved = unserved.filter(|attempt| !(200..300).contains(&attempt.status)).count();
    let lost = attempts.iter().filter(|attempt| attempt.label != "poison" && attempt.status == 502);
    note(&format!(
        "{} crashes; {late} runs later than StableWindow after the third; {unserved} other \
         requests were not served, {} of them were lost in a crash",
        crashes.len(),
        lost.count()
    ));
    Ok(late > 3)
}
