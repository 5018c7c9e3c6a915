//! A request that crashes the servers that run it shares its path with requests that don't.

use std::sync::atomic::{AtomicBool, Ordering};
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

/// Body that crashes a server.
const CRASHING: &[u8] = b"photo 4711, which no server can read";

/// Time for which a crashed server is away.
const AWAY: Duration = Duration::from_secs(2);

/// Time from a crash to the removal of the entry: three heartbeats of 1.5 s.
const REMOVED_AFTER: Duration = Duration::from_millis(4_500);

/// Time from an answer to the next attempt of the crashing request.
const AGAIN_AFTER: Duration = Duration::from_millis(2_500);

/// Time for which requests are sent.
const LASTS: Duration = Duration::from_secs(40);

/// `StableWindow`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

const SERVERS: [(&str, &str); 6] = [
    ("i-galeria-1", "vc-norte"),
    ("i-galeria-2", "vc-norte"),
    ("i-galeria-3", "vc-sur"),
    ("i-galeria-4", "vc-sur"),
    ("i-galeria-5", "vc-sur"),
    ("i-galeria-6", "vc-oriente"),
];

/// Uploads a second of all other requesters together.
const UPLOADS_PER_SECOND: u32 = 12;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let in_chunks = std::env::var("LENGTH").is_err();
    let store = Store::start(record)?;
    let servers = Servers::new(record);
    let work = |_: &str| Duration::from_millis(110);
    let plan = |name: &str, zone: &str| ServerPlan {
        slots: 3,
        crashed_by: Some(CRASHING),
        ..ServerPlan::new(name, "galeria", zone, work)
    };
    let mut running = Vec::new();
    for (name, zone) in SERVERS {
        let server = servers.start(plan(name, zone))?;
        store.register(&server);
        running.push(server);
    }
    let routes = [Route {
        name: "cellar-media",
        prefix: "/media/",
        kind: "upload",
        timeout_ms: 1500,
        target_latency_ms: 400,
        service: "galeria",
    }];
    store.put("config", "main", &manifest(&routes, &[]), None);
    let mut deployment = Deployment::new(3, store.address, PLAIN_BOUNDS, record)?;
    deployment.start_all()?;
    thread::sleep(Duration::from_secs(3));

    let fronts: Vec<_> = (0..3).map(|index| deployment.front(index)).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut requesters = Vec::new();
    for number in 0..UPLOADS_PER_SECOND {
        let (record, is_over, statuses) = (record.clone(), is_over.clone(), statuses.clone());
        let fronts = fronts.clone();
        requesters.push(thread::spawn(move || {
            thread::sleep(Duration::from_secs(1) * number / UPLOADS_PER_SECOND);
            let mut count = number as usize;
            while !is_over.load(Ordering::Relaxed) {
                let body = format!("photo {count} of requester {number}");
                let front = fronts[count % fronts.len()];
                let (_, status) = upload(front, body.as_bytes(), in_chunks, &record);
                if let Ok(mut statuses) = statuses.lock() {
                    statuses.push(status);
                }
                count += UPLOADS_PER_SECOND as usize;
                thread::sleep(Duration::from_millis(850));
            }
        }));
    }
    let crashing = Arc::new(Mutex::new(Vec::new()));
    if trouble {
        let (record, is_over, crashing) = (record.clone(), is_over.clone(), crashing.clone());
        requesters.push(thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                let sent = record.now();
                let (id, _) = upload(fronts[count % fronts.len()], CRASHING, in_chunks, &record);
                if let Ok(mut crashing) = crashing.lock() {
                    crashing.push((id, sent));
                }
                count += 1;
                thread::sleep(AGAIN_AFTER);
            }
        }));
    }

    // Brings crashed servers back, each as a new process with a new id at its address.
    let started = record.now();
    let mut away: Vec<(Duration, usize)> = Vec::new();
    let mut expired: Vec<(Duration, String)> = Vec::new();
    let mut boots = 0;
    while record.now() < started + LASTS {
        thread::sleep(Duration::from_millis(20));
        let now = record.now();
        for (index, server) in running.iter().enumerate() {
            if server.is_down() && away.iter().all(|(_, known)| *known != index) {
                away.push((now + AWAY, index));
                expired.push((now + REMOVED_AFTER, server.id.clone()));
            }
        }
        while let Some(position) = expired.iter().position(|(due, _)| *due <= now) {
            store.remove("servers", &expired.swap_remove(position).1);
        }
        while let Some(position) = away.iter().position(|(due, _)| *due <= now) {
            let (_, index) = away.swap_remove(position);
            boots += 1;
            let name = format!("{}-boot-{boots}", SERVERS[index].0);
            let address = Some(running[index].address);
            let plan = ServerPlan { address, ..plan(&name, SERVERS[index].1) };
            let server = servers.start(plan)?;
            record.line(&format!("{name} starts at {}", server.address));
            store.register(&server);
            running[index] = server;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for requester in requesters {
        let _ = requester.join();
    }

    let crashing = crashing.lock().map_err(|error| error.to_string())?;
    let runs = servers.runs();
    let sent_at = |id: &str| crashing.iter().find(|(known, _)| known == id).map(|(_, sent)| *sent);
    let crashes: Vec<_> = runs.iter().filter_map(|run| Some((run.at, sent_at(&run.id)?))).collect();
    let late = match crashes.get(2) {
        Some((third, _)) => {
            crashes.iter().filter(|(_, sent)| *sent > *third + STABLE_WINDOW).count()
        }
        None => 0,
    };
    let statuses = statuses.lock().map_err(|error| error.to_string())?;
    let count = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    if count(200) < 100 {
        return Err(format!("only {} uploads were answered with success", count(200)));
    }
    let text = format!(
        "{} crashes, {late} of runs sent later than StableWindow after the third, 3 allowed; other \
         uploads: {} answered with 200, {} with 502, {} with 503, {} otherwise",
        crashes.len(),
        count(200),
        count(502),
        count(503),
        statuses.len() - count(200) - count(502) - count(503)
    );
    Ok((late <= 3, text))
}

/// Sends one upload. Returns its identifier and the status of its answer; 0 if there is none.
fn upload(
    front: std::net::SocketAddr,
    body: &[u8],
    in_chunks: bool,
    record: &Record,
) -> (String, u16) {
    let id = next_id();
    let text = String::from_utf8_lossy(body);
    let (framing, content) = match in_chunks {
        true => (
            "Transfer-Encoding: chunked".to_owned(),
            format!("{:x}\r\n{text}\r\n0\r\n\r\n", body.len()),
        ),
        false => (format!("Content-Length: {}", body.len()), text.to_string()),
    };
    let bytes = format!(
        "POST /media/upload HTTP/1.1\r\nHost: {HOST}\r\nX-Zinniaport-Request-Id: {id}\r\n\
         X-Zinniaport-Deadline-Ms: 1500\r\n{framing}\r\n\r\n{content}"
    );
    record.line(&format!("sent {id}: POST /media/upload, {text:?}"));
    let answered = Connection::open(front).and_then(|mut connection| {
        connection.send(bytes.as_bytes())?;
        connection.answer(Duration::from_secs(3))
    });
    let status = answered.map_or(0, |answer| answer.head.status());
    record.line(&format!("answered {id}: {status}"));
    (id, status)
}
