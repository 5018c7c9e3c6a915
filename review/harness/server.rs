//! Stand-in of a server, as `PROTOCOL.md` describes it.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::json::Json;
use crate::store::Store;
use crate::world::{digest, log, note, now, unix_ms};

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub server: usize,
    pub request: String,
    /// `run`, `refused` or `foreign`.
    pub what: &'static str,
}

/// What all servers of a run have seen.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Settings of a server.
#[derive(Clone)]
pub struct ServerSettings {
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work_ms: u64,
    /// Requests a second that the server names in its answers.
    pub limit: Option<f64>,
    /// Path of requests that crash the server.
    pub crash_path: Option<String>,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

/// A server.
pub struct Server {
    pub number: usize,
    pub settings: ServerSettings,
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    load: Mutex<Load>,
    freed: Condvar,
    alive: AtomicBool,
    gone: AtomicBool,
    streams: Mutex<HashMap<u64, TcpStream>>,
    accepted: AtomicU64,
    arrivals: Arrivals,
    sequence: AtomicU64,
}

/// Requests that wait for a slot.
const QUEUE: u32 = 16;

/// Idle time after which servers have forgotten a connection, in milliseconds; 0 for never. What is
/// sent next on it is reset.
pub static FORGET_IDLE_MS: AtomicU64 = AtomicU64::new(0);

/// Whether a crash is silent: the server neither answers nor closes its connections.
pub static DARK: AtomicBool = AtomicBool::new(false);

/// Share of the requests that all servers reject without running them, in percent.
pub static SHED_PERCENT: AtomicU64 = AtomicU64::new(0);

impl Server {
    /// Starts a server at a free loopback port, or at `address`, and registers it.
    pub fn start(
        number: usize,
        settings: ServerSettings,
        address: Option<SocketAddr>,
        store: &Store,
        arrivals: &Arrivals,
    ) -> Result<Arc<Self>, String> {
        let wanted = address.unwrap_or(SocketAddr::from(([127, 0, 2, 1], 0)));
        let listener = TcpListener::bind(wanted).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let server = Arc::new(Self {
            number,
            settings,
            id: format!("i-{:08x}", crate::world::random() as u32),
            address,
            born: unix_ms(),
            load: Mutex::default(),
            freed: Condvar::new(),
            alive: AtomicBool::new(true),
            gone: AtomicBool::new(false),
            streams: Mutex::default(),
            accepted: AtomicU64::new(0),
            arrivals: arrivals.clone(),
            sequence: AtomicU64::new(1),
        });
        let serving = server.clone();
        std::thread::spawn(move || serving.accept(&listener));
        server.register(store, "ready");
        Ok(server)
    }

    /// Writes the registration to the store.
    pub fn register(&self, store: &Store, state: &str) {
        let status = Json::table([
            ("State", Json::text(state)),
            ("Sequence", Json::number(self.sequence.fetch_add(1, Ordering::Relaxed))),
            ("WarmupLeft", Json::text("0ms")),
        ]);
        let info = Json::table([
            ("Service", Json::text(&self.settings.service)),
            ("Version", Json::text("v1")),
            ("Zone", Json::text(&self.settings.zone)),
            ("Slots", Json::number(self.settings.slots)),
        ]);
        let spec = Json::table([
            ("Address", Json::text(&self.address.to_string())),
            ("Info", info),
            ("Status", status.clone()),
            ("born", Json::number(self.born)),
        ]);
        store.put("servers", &self.id, Some(spec), Some(status));
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if !self.alive.load(Ordering::SeqCst) && !self.is_dark() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let Ok(copy) = stream.try_clone() else { continue };
            let key = self.accepted.fetch_add(1, Ordering::Relaxed);
            self.streams.lock().unwrap().insert(key, copy);
            let server = self.clone();
            std::thread::spawn(move || server.serve(key, Connection::new(stream)));
        }
    }

    /// Ends the server at once, as a crash does: its connections close and its port refuses.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let running = self.load.lock().unwrap().running;
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
        note(&format!(
            "server {} ({} {}) crashes with {running} requests at work",
            self.number, self.settings.service, self.address
        ));
    }

    /// Returns `true` while the server is silent after a crash.
    fn is_dark(&self) -> bool {
        DARK.load(Ordering::Relaxed)
            && !self.alive.load(Ordering::SeqCst)
            && !self.gone.load(Ordering::SeqCst)
    }

    /// Ends the server silently, until it comes back: it answers nothing and closes nothing.
    fn go_dark(&self) {
        self.alive.store(false, Ordering::SeqCst);
        note(&format!("server {} ({}) goes dark", self.number, self.address));
        while !self.gone.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Closes all connections of a server that went dark, as the start of its machine does.
    pub fn end_dark(&self) {
        self.gone.store(true, Ordering::SeqCst);
        for (_, stream) in self.streams.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
        std::thread::sleep(Duration::from_millis(100));
    }

    /// Returns `true` until the server has crashed.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Returns the number of requests at work.
    pub fn running(&self) -> u32 {
        self.load.lock().unwrap().running
    }

    fn record(&self, request: &str, what: &'static str) {
        let arrival = Arrival { at: now(), server: self.number, request: request.to_owned(), what };
        self.arrivals.lock().unwrap().push(arrival);
        log(&format!("server {} {}: {what} {request}", self.number, self.settings.service));
    }

    fn serve(&self, key: u64, mut connection: Connection) {
        let mut is_new = true;
        loop {
            let idle_since = now();
            let mut byte = [0; 1];
            if !matches!(connection.stream.peek(&mut byte), Ok(1..)) {
                break;
            }
            let limit = FORGET_IDLE_MS.load(Ordering::Relaxed) as f64 / 1e3;
            if !is_new && limit > 0.0 && now() - idle_since > limit {
                // Closing a socket with unread input resets the connection.
                log(&format!("server {} has forgotten an idle connection", self.number));
                self.streams.lock().unwrap().remove(&key);
                return;
            }
            is_new = false;
            let Some(request) = connection.read_head() else { break };
            while self.is_dark() {
                std::thread::sleep(Duration::from_millis(20));
            }
            if self.handle(&mut connection, request).is_none() {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
        self.streams.lock().unwrap().remove(&key);
    }

    fn handle(&self, connection: &mut Connection, mut request: Message) -> Option<()> {
        let load_header = {
            let load = self.load.lock().unwrap();
            format!("{},{},{},100", load.running, load.waiting, self.settings.slots)
        };
        let mut headers: Vec<(&str, String)> = vec![
            ("X-Zinniaport-Server-Load", load_header),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        if let Some(limit) = self.settings.limit {
            headers.push(("Server-Limit", limit.to_string()));
        }
        let (method, path) = request.target();
        let (method, path) = (method.to_owned(), path.to_owned());
        if path == "/health" {
            connection.read_body(&mut request)?;
            headers.push(("X-Zinniaport-Instance-Id", self.id.clone()));
            return respond(connection, 200, &headers, b"");
        }
        let Some(id) = request.header("x-zinniaport-request-id").map(str::to_owned) else {
            connection.read_body(&mut request)?;
            headers.push(("X-Zinniaport-Not-Executed", "1".to_owned()));
            return respond(connection, 400, &headers, b"");
        };
        headers.push(("X-Zinniaport-Request-Id", id.clone()));
        if request
            .header("x-zinniaport-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            connection.read_body(&mut request)?;
            self.record(&id, "foreign");
            headers.push(("X-Zinniaport-Not-Executed", "1".to_owned()));
            return respond(connection, 421, &headers, b"");
        }
        self.record(&id, "head");
        connection.read_body(&mut request)?;
        let sheds = crate::world::random() % 100 < SHED_PERCENT.load(Ordering::Relaxed);
        let slot = !sheds && self.take_slot();
        if !slot {
            self.record(&id, "refused");
            headers.push(("X-Zinniaport-Not-Executed", "1".to_owned()));
            return respond(connection, 503, &headers, b"");
        }
        self.record(&id, "run");
        log(&format!(
            "server {} runs {id}: {method} {path}, {} bytes",
            self.number,
            request.body.len()
        ));
        if self.settings.crash_path.as_ref().is_some_and(|crash| path.starts_with(crash)) {
            if DARK.load(Ordering::Relaxed) {
                self.go_dark();
            } else {
                self.crash();
            }
            return None;
        }
        let whole = self.work(connection);
        {
            let mut load = self.load.lock().unwrap();
            load.running -= 1;
        }
        self.freed.notify_one();
        if !whole {
            self.record(&id, "dropped");
            return None;
        }
        let body = format!("{} {method} {path} {id}\n", self.id).into_bytes();
        let signature = format!("{:016x}", digest(&body));
        headers.push(("X-Zinniaport-Response-Signature", signature));
        respond(connection, 200, &headers, &body)
    }

    /// Works on a request. Returns `false` if its connection was closed meanwhile.
    fn work(&self, connection: &Connection) -> bool {
        let end = now() + self.settings.work_ms as f64 / 1e3;
        while now() < end {
            std::thread::sleep(Duration::from_secs_f64((end - now()).clamp(0.0, 0.01)));
            while self.is_dark() {
                std::thread::sleep(Duration::from_millis(20));
            }
            if connection.is_closed() || !self.alive.load(Ordering::SeqCst) {
                return false;
            }
        }
        true
    }

    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= self.settings.slots && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.settings.slots {
            load = self.freed.wait(load).unwrap();
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }
}

fn respond(
    connection: &mut Connection,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> Option<()> {
    let headers: Vec<(&str, &str)> =
        headers.iter().map(|(name, value)| (*name, value.as_str())).collect();
    connection.respond(status, &headers, body)
}
