//! Stand-in of the requesters and of the platform's balancer in front of the entries.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::world::{log, random, sleep};

/// One attempt of a request and its outcome.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub sent: f64,
    pub ended: f64,
    pub entry: usize,
    pub id: String,
    pub label: &'static str,
    /// Status of the answer; 0 if the connection failed or closed without one.
    pub status: u16,
    pub answer: Option<Message>,
}

/// All attempts of a run.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// A request to send.
#[derive(Clone)]
pub struct Request {
    pub label: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub budget_ms: u64,
    /// Body and whether it is sent in chunks.
    pub body: Vec<u8>,
    pub chunked: bool,
    /// Time after which the requester leaves, if it does not wait for its whole budget.
    pub leaves_after: Option<f64>,
}

impl Request {
    pub fn bytes(&self, id: &str) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Zinniaport-Request-Id: {id}\r\n\
             X-Zinniaport-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.budget_ms
        )
        .into_bytes();
        if self.chunked {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for part in self.body.chunks(8192) {
                bytes.extend(format!("{:x}\r\n", part.len()).bytes());
                bytes.extend(part);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        } else {
            if !self.body.is_empty() {
                bytes.extend(format!("Content-Length: {}\r\n", self.body.len()).bytes());
            }
            bytes.extend(b"\r\n");
            bytes.extend(&self.body);
        }
        bytes
    }

    /// Sends one attempt on a new connection and waits for the answer.
    pub fn attempt(&self, entry: usize, address: SocketAddr) -> Attempt {
        let id = format!("{entry}{:015x}", random() >> 4);
        let sent = crate::world::now();
        let limit = self.leaves_after.unwrap_or(self.budget_ms as f64 / 1e3);
        let answer = self.exchange(&id, address, limit);
        let status = answer.as_ref().map_or(0, Message::status);
        log(&format!(
            "requester: {} {} {} at entry {} sent {sent:.3} answered {status}",
            self.label,
            self.method,
            id,
            entry + 1
        ));
        let (label, ended) = (self.label, crate::world::now());
        Attempt { sent, ended, entry, id, label, status, answer }
    }

    fn exchange(&self, id: &str, address: SocketAddr, limit: f64) -> Option<Message> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs_f64(limit))).ok()?;
        let mut connection = Connection::new(stream);
        connection.stream.write_all(&self.bytes(id)).ok()?;
        connection.read()
    }
}

/// Sends requests at a rate until stopped. Each runs in its own thread; `choose` picks the
/// entry and the request.
pub fn generate(
    per_s: f64,
    stop: &Arc<AtomicBool>,
    attempts: &Attempts,
    choose: impl Fn(u64) -> (usize, SocketAddr, Request) + Send + 'static,
) -> std::thread::JoinHandle<()> {
    let (stop, attempts) = (stop.clone(), attempts.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        let mut next = crate::world::now();
        let mut running = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let (entry, address, request) = choose(number);
            number += 1;
            let attempts = attempts.clone();
            running.push(std::thread::spawn(move || {
                let attempt = request.attempt(entry, address);
                attempts.lock().unwrap().push(attempt);
            }));
            running.retain(|thread| !thread.is_finished());
            next += 1.0 / per_s;
            let left = next - crate::world::now();
            if left > 0.0 {
                sleep(left);
            }
        }
        for thread in running {
            let _ = thread.join();
        }
    })
}

/// Like [`generate`], but sends only while `active` is set.
pub fn generate_when(
    per_s: f64,
    active: &Arc<AtomicBool>,
    stop: &Arc<AtomicBool>,
    attempts: &Attempts,
    choose: impl Fn(u64) -> (usize, SocketAddr, Request) + Send + 'static,
) -> std::thread::JoinHandle<()> {
    let (active, stop, attempts) = (active.clone(), stop.clone(), attempts.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        let mut running = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            if active.load(Ordering::Relaxed) {
                let (entry, address, request) = choose(number);
                number += 1;
                let attempts = attempts.clone();
                running.push(std::thread::spawn(move || {
                    let attempt = request.attempt(entry, address);
                    attempts.lock().unwrap().push(attempt);
                }));
            }
            sleep(1.0 / per_s);
        }
        for thread in running {
            let _ = thread.join();
        }
    })
}
