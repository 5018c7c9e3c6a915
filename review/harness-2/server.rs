//! Servers. A server processes as many requests at once as it has slots and queues twice as many.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head};
use crate::record::Record;

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub tenant: Option<String>,
    /// API key that the server received.
    pub api_key: Option<String>,
    pub body: Vec<u8>,
}

/// How a server is started.
pub struct ServerPlan {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Time that a request takes, by its path.
    pub work: fn(&str) -> Duration,
    /// Address, or any free one.
    pub address: Option<SocketAddr>,
    /// Body of a request that crashes the server as soon as it works on it.
    pub crashed_by: Option<&'static [u8]>,
}

impl ServerPlan {
    /// Plans a server with six slots, as in the sites of `demands/`.
    pub fn new(name: &str, service: &str, zone: &str, work: fn(&str) -> Duration) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 6,
            work,
            address: None,
            crashed_by: None,
        }
    }
}

/// A server.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// Unix time of its start, in milliseconds.
    pub born_ms: u128,
    process: Arc<Process>,
}

impl Server {
    /// Returns `true` if the server has crashed.
    pub fn is_down(&self) -> bool {
        self.process.is_down.load(Ordering::Acquire)
    }
}

/// All servers of a case and what they have run.
#[derive(Clone)]
pub struct Servers {
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// Process of a server.
pub struct Process {
    id: String,
    pub slots: usize,
    pub work: fn(&str) -> Duration,
    address: SocketAddr,
    crashed_by: Option<&'static [u8]>,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    busy: Mutex<(usize, usize)>,
    freed: Condvar,
    servers: Servers,
}

impl Servers {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), runs: Arc::default() }
    }

    /// Starts a server.
    pub fn start(&self, plan: ServerPlan) -> Result<Server, String> {
        let ServerPlan { name, service, zone, slots, work, address, crashed_by } = plan;
        let address = address.unwrap_or((Ipv4Addr::LOCALHOST, 0).into());
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let process = Arc::new(Process {
            id: name.clone(),
            slots,
            work,
            address,
            crashed_by,
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
            busy: Mutex::new((0, 0)),
            freed: Condvar::new(),
            servers: self.clone(),
        });
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let accepting = process.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_down.load(Ordering::Acquire) {
                    return;
                }
                if let (Ok(copy), Ok(mut streams)) = (stream.try_clone(), accepting.streams.lock())
                {
                    streams.push(copy);
                }
                let process = accepting.clone();
                thread::spawn(move || process.serve(stream));
            }
        });
        Ok(Server { id: name, service, zone, address, slots, born_ms, process })
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().map(|runs| runs.clone()).unwrap_or_default()
    }
}

impl Process {
    /// Ends the server: it takes no connections any more, and the open ones end.
    fn crash(&self) {
        self.is_down.store(true, Ordering::Release);
        // Wakes the thread that accepts connections, which drops its listener.
        drop(TcpStream::connect(self.address));
        if let Ok(mut streams) = self.streams.lock() {
            streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let answer = self.handle(&head, body);
            if reader.get_mut().write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, body: Vec<u8>) -> Vec<u8> {
        let id = head.get("x-zinniaport-request-id").unwrap_or_default().to_owned();
        let path = head.word(1).to_owned();
        if path == "/health" {
            return self.plain(200, &id, &format!("X-Zinniaport-Instance-Id: {}\r\n", self.id));
        }
        if id.is_empty() {
            return self.plain(400, &id, "X-Zinniaport-Not-Executed: 1\r\n");
        }
        if head.get("x-zinniaport-expect-instance").is_some_and(|expected| expected != self.id) {
            return self.plain(421, &id, &format!("X-Zinniaport-Instance-Id: {}\r\n", self.id));
        }
        if !self.enter() {
            self.servers.record.line(&format!("{} rejects {id}", self.id));
            return self.plain(503, &id, "X-Zinniaport-Not-Executed: 1\r\n");
        }
        let text = |name: &str| head.get(name).map(ToOwned::to_owned);
        let run = Run {
            at: self.servers.record.now(),
            id: id.clone(),
            tenant: text("x-zinniaport-tenant-id"),
            api_key: text("x-api-key"),
            body,
        };
        self.servers.record.line(&format!(
            "{} runs {id} {} {path}, tenant {:?}, body of {} bytes",
            self.id,
            head.word(0),
            run.tenant,
            run.body.len()
        ));
        let crashes = self.crashed_by.is_some_and(|body| run.body == body);
        if let Ok(mut runs) = self.servers.runs.lock() {
            runs.push(run);
        }
        if crashes {
            self.servers.record.line(&format!("{} crashes", self.id));
            self.crash();
            return Vec::new();
        }
        thread::sleep((self.work)(&path));
        let answer = sound_answer(head, &self.load());
        self.leave();
        answer
    }

    /// Waits for a slot. Returns `false` if the queue is full.
    fn enter(&self) -> bool {
        let Ok(mut busy) = self.busy.lock() else { return false };
        if busy.1 >= self.slots * 2 {
            return false;
        }
        busy.1 += 1;
        while busy.0 >= self.slots {
            let Ok(woken) = self.freed.wait(busy) else { return false };
            busy = woken;
        }
        busy.0 += 1;
        busy.1 -= 1;
        true
    }

    fn leave(&self) {
        if let Ok(mut busy) = self.busy.lock() {
            busy.0 -= 1;
        }
        self.freed.notify_one();
    }

    fn load(&self) -> String {
        let (running, waiting) = self.busy.lock().map_or((0, 0), |busy| *busy);
        format!("{running},{waiting},{},100", self.slots)
    }

    fn plain(&self, status: u16, id: &str, headers: &str) -> Vec<u8> {
        let id = if id.is_empty() {
            String::new()
        } else {
            format!("X-Zinniaport-Request-Id: {id}\r\n")
        };
        format!(
            "HTTP/1.1 {status} Status\r\n{id}{headers}X-Zinniaport-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.load()
        )
        .into_bytes()
    }
}

/// The bytes of a server that names the request in its body.
fn sound_answer(head: &Head, load: &str) -> Vec<u8> {
    let id = head.get("x-zinniaport-request-id").unwrap_or_default();
    let body = format!("answer to {id}");
    format!(
        "HTTP/1.1 200 OK\r\nX-Zinniaport-Request-Id: {id}\r\nX-Zinniaport-Response-Signature: sound.{id}\r\n\
         X-Zinniaport-Server-Load: {load}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
