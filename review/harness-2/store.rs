//! The platform's store: objects by kind and name, lists, watches and changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::server::Server;

/// Objects on one page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    kind: String,
    removed: bool,
    object: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
    record: Record,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\
             \"Deleting\":false}},\"Spec\":{},\"Status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> String {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.entry(key).or_insert_with(|| Object {
            revision,
            created: revision,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        if let Some(spec) = spec {
            object.spec = spec.to_owned();
        }
        if let Some(status) = status {
            object.status = status.to_owned();
        }
        let object = object.json(name);
        let event =
            Event { revision, kind: kind.to_owned(), removed: false, object: object.clone() };
        self.events.push(event);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        object.revision = self.revision;
        let object = object.json(name);
        let event = Event { revision: self.revision, kind: kind.to_owned(), removed: true, object };
        self.events.push(event);
        true
    }

    fn events_after(&self, kind: &str, revision: u64) -> Vec<String> {
        let events =
            self.events.iter().filter(|event| event.kind == kind && event.revision > revision);
        let json = |event: &Event| {
            format!("{{\"Removed\":{},\"Object\":{}}}", event.removed, event.object)
        };
        events.map(json).collect()
    }
}

impl Store {
    /// Starts a store with revisions from 100 on.
    pub fn start(record: &Record) -> Result<Self, String> {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let content = Content { revision: 100, ..Content::default() };
        let store = Self {
            address,
            content: Arc::new((Mutex::new(content), Condvar::new())),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: Option<&str>) {
        let (content, changed) = &*self.content;
        if let Ok(mut content) = content.lock() {
            content.put(kind, name, Some(spec), status);
            self.record.line(&format!(
                "the store acknowledges {kind}/{name}, revision {}",
                content.revision
            ));
        }
        changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let (content, changed) = &*self.content;
        if let Ok(mut content) = content.lock() {
            content.remove(kind, name);
            self.record
                .line(&format!("the store removes {kind}/{name}, revision {}", content.revision));
        }
        changed.notify_all();
    }

    /// Registers a server that is ready.
    pub fn register(&self, server: &Server) {
        let spec = format!(
            "{{\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\
             \"Slots\":{}}},\"born\":{}}}",
            server.address, server.service, server.zone, server.slots, server.born_ms
        );
        let status = "{\"State\":\"ready\",\"Sequence\":1,\"WarmupLeft\":\"0ms\"}";
        self.put("servers", &server.id, &spec, Some(status));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let (status, body) = self.handle(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next_back()
        };
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let (content, changed) = &*self.content;
        let Ok(mut content) = content.lock() else { return (503, "{}".to_owned()) };
        match (head.word(0), name) {
            ("GET", None) => match parameter("Watch").and_then(|revision| revision.parse().ok()) {
                Some(revision) => {
                    let wait = parameter("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    let end = Instant::now() + Duration::from_millis(wait);
                    loop {
                        let events = content.events_after(kind, revision);
                        let left = end.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let (events, revision) = (events.join(","), content.revision);
                            return (
                                200,
                                format!("{{\"events\":[{events}],\"CurrentRev\":{revision}}}"),
                            );
                        }
                        match changed.wait_timeout(content, left) {
                            Ok((woken, _)) => content = woken,
                            Err(_) => return (503, "{}".to_owned()),
                        }
                    }
                }
                None => {
                    let after = parameter("after").unwrap_or_default();
                    let listed = content
                        .objects
                        .iter()
                        .filter(|((known, name), _)| known == kind && &**name > after);
                    let listed: Vec<_> =
                        listed.map(|((_, name), object)| object.json(name)).collect();
                    let has_more = listed.len() > PAGE;
                    let items = listed[..listed.len().min(PAGE)].join(",");
                    let revision = content.revision;
                    (
                        200,
                        format!(
                            "{{\"items\":[{items}],\"HasMore\":{has_more},\"CurrentRev\":{revision}}}"
                        ),
                    )
                }
            },
            ("GET", Some(name)) => match content.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => (200, object.json(name)),
                None => (404, "{}".to_owned()),
            },
            ("POST", None) => {
                let name = field(body, "Name").unwrap_or_default().trim_matches('"').to_owned();
                if content.objects.contains_key(&(kind.to_owned(), name.clone())) {
                    return (409, "{}".to_owned());
                }
                let object = content.put(kind, &name, field(body, "Spec"), None);
                changed.notify_all();
                (200, object)
            }
            ("PUT", Some(name)) => {
                if !content.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
                    return (404, "{}".to_owned());
                }
                let object = content.put(kind, name, field(body, "Spec"), None);
                changed.notify_all();
                (200, object)
            }
            ("DELETE", Some(name)) => {
                let removed = content.remove(kind, name);
                changed.notify_all();
                (if removed { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

/// Returns the value of the first field with this name, as it is written.
fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let value = &json[json.find(&key)? + key.len()..];
    let mut depth = 0_i32;
    let mut quoted = false;
    for (position, letter) in value.char_indices() {
        match letter {
            '"' => quoted = !quoted,
            '{' | '[' if !quoted => depth += 1,
            '}' | ']' if !quoted && depth > 0 => depth -= 1,
            ',' | '}' | ']' if !quoted && depth == 0 => return Some(&value[..position]),
            _ => {}
        }
        if depth == 0 && !quoted && matches!(letter, '}' | ']') {
            return Some(&value[..=position]);
        }
    }
    Some(value)
}
