//! Stand-in of the platform's store: objects by kind and name, conditional changes, lists in
//! pages and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::Json;
use crate::world::{log, note};

/// Objects on one page of a list.
const PAGE: usize = 50;

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

impl Object {
    fn to_json(&self, name: &str) -> Json {
        let metadata = Json::table([
            ("Name", Json::text(name)),
            ("Revision", Json::number(self.revision)),
            ("Created", Json::number(self.created)),
            ("Finalizers", Json::List(Vec::new())),
            ("Deleting", Json::Bool(false)),
        ]);
        Json::table([
            ("Metadata", metadata),
            ("Spec", self.spec.clone()),
            ("Status", self.status.clone()),
        ])
    }
}

struct Event {
    at: Instant,
    revision: u64,
    kind: String,
    content: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// Oldest revision from which a watch can continue.
    oldest: u64,
}

impl State {
    fn record(&mut self, kind: &str, name: &str, object: &Object, removed: bool) {
        let content =
            Json::table([("Removed", Json::Bool(removed)), ("Object", object.to_json(name))]);
        let (at, revision, kind) = (Instant::now(), self.revision, kind.to_owned());
        self.events.push(Event { at, revision, kind, content });
        while self.events.first().is_some_and(|event| event.at.elapsed() > HISTORY) {
            self.oldest = self.events.remove(0).revision;
        }
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision: 0,
            created: self.revision + 1,
            spec: Json::Null,
            status: Json::Null,
        });
        if let Some(spec) = spec {
            object.spec = spec;
        }
        if let Some(status) = status {
            object.status = status;
        }
        if known
            .as_ref()
            .is_some_and(|known| known.spec == object.spec && known.status == object.status)
        {
            return object;
        }
        self.revision += 1;
        object.revision = self.revision;
        self.objects.insert(key, object.clone());
        self.record(kind, name, &object, false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Object> {
        let mut object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        object.revision = self.revision;
        self.record(kind, name, &object, true);
        Some(object)
    }
}

/// The store. The servers and the operator of the stand-ins change it directly; entries call
/// it over HTTP.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store on a free loopback port.
    pub fn start() -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = State { revision: 100, oldest: 100, ..State::default() };
        let store = Arc::new(Self { address, state: Mutex::new(state), changed: Condvar::new() });
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if connection.respond(status, &headers, &body).is_none() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
        };
        let parts: Vec<&str> = path.trim_matches('/').split('/').skip(1).collect();
        match (method, &parts[..]) {
            ("GET", [kind]) => match value("Watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = value("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.list(kind, &value("after").unwrap_or_default()),
            },
            ("GET", [kind, name]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                match self.state.lock().unwrap().objects.get(&key) {
                    Some(object) => (200, object.to_json(name).bytes()),
                    None => (404, b"null".to_vec()),
                }
            }
            ("POST", [kind]) => {
                let Some(body) = Json::parse(&request.body) else { return (400, Vec::new()) };
                let name = body.get("Metadata").and_then(|metadata| metadata.get("Name"));
                let Some(name) = name.and_then(Json::as_text) else { return (400, Vec::new()) };
                let mut state = self.state.lock().unwrap();
                let key = ((*kind).to_owned(), name.to_owned());
                if let Some(object) = state.objects.get(&key) {
                    return (409, object.to_json(name).bytes());
                }
                let object = state.put(kind, name, body.get("Spec").cloned(), None);
                drop(state);
                log(&format!("store: an entry created {kind}/{name}"));
                self.changed.notify_all();
                (200, object.to_json(name).bytes())
            }
            ("DELETE", [kind, name]) => {
                let removed = self.state.lock().unwrap().remove(kind, name);
                self.changed.notify_all();
                match removed {
                    Some(object) => (200, object.to_json(name).bytes()),
                    None => (404, b"null".to_vec()),
                }
            }
            _ => (404, b"null".to_vec()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let mut found = state
            .objects
            .iter()
            .filter(|((known, name), _)| known == kind && name.as_str() > after);
        let items: Vec<Json> =
            found.by_ref().take(PAGE).map(|((_, name), object)| object.to_json(name)).collect();
        let has_more = found.next().is_some();
        let body = Json::table([
            ("items", Json::List(items)),
            ("HasMore", Json::Bool(has_more)),
            ("CurrentRev", Json::number(state.revision)),
        ]);
        (200, body.bytes())
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Vec<u8>) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.oldest {
                return (410, b"null".to_vec());
            }
            let events = state.events.iter();
            let events = events.filter(|event| event.kind == kind && event.revision > after);
            let events: Vec<Json> = events.map(|event| event.content.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = Json::table([
                    ("events", Json::List(events)),
                    ("CurrentRev", Json::number(state.revision)),
                ]);
                return (200, body.bytes());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Writes an object, as a server, the operator or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> u64 {
        let object = self.state.lock().unwrap().put(kind, name, spec, status);
        self.changed.notify_all();
        note(&format!(
            "store: acknowledged a write of {kind}/{name}, revision {}",
            object.revision
        ));
        object.revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
        note(&format!("store: removed {kind}/{name}"));
    }
}

/// A route of a manifest.
pub struct Route<'a> {
    pub name: &'a str,
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u8,
    pub service: &'a str,
    pub attempts: u8,
}

/// Builds a manifest as `PROTOCOL.md` and `fleetbench wire` show it.
pub fn manifest(version: u64, routes: &[Route<'_>], services: &[&str]) -> Json {
    let columns = |names: &[&str]| Json::List(names.iter().map(|name| Json::text(name)).collect());
    let ms = |time: u64| Json::text(&format!("{time}ms"));
    let rows = routes.iter().map(|route| {
        Json::List(vec![
            Json::text(route.name),
            Json::text(route.host),
            Json::text(route.prefix),
            Json::text(route.kind),
            ms(route.timeout_ms),
            ms(route.target_ms),
            Json::number(route.priority),
            Json::text(route.service),
            Json::number(route.attempts),
            Json::Null,
        ])
    });
    let route_columns = [
        "Name",
        "Host",
        "PathPrefix",
        "Kind",
        "Timeout",
        "TargetLatency",
        "Priority",
        "Service",
        "MaxAttempts",
        "Split",
    ];
    let service_rows = services
        .iter()
        .map(|name| Json::List(vec![Json::text(name), Json::text("/health"), Json::number(220)]));
    Json::table([
        ("Version", Json::number(version)),
        (
            "Routes",
            Json::table([
                ("Columns", columns(&route_columns)),
                ("Rows", Json::List(rows.collect())),
            ]),
        ),
        (
            "Services",
            Json::table([
                ("Columns", columns(&["Name", "HealthPath", "MaxConnections"])),
                ("Rows", Json::List(service_rows.collect())),
            ]),
        ),
        (
            "Limits",
            Json::table([
                ("MaxHeaderBytes", Json::number(16384)),
                ("MaxBodyBytes", Json::number(67_108_864)),
                ("HeaderTimeout", Json::text("3000ms")),
                ("IdleTimeout", Json::text("15000ms")),
            ]),
        ),
    ])
}
