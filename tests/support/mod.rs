//! Entries, and targets and callers on raw sockets, for tests of how messages are forwarded.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport_core::intent::{DesiredState, MeasuringIntent, ServiceIntent, TargetIntent};

/// Returns the YAML settings of an entry with one target; `extra` holds further top-level keys.
pub fn settings_text(target: SocketAddr, extra: &str) -> String {
    format!(
        "name: entry-1\n\
         data_centre: valle-a\n\
         listen: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\n\
         {extra}\n\
         services:\n\
         - service: pump-history\n\
         \x20 team: co-operative\n\
         \x20 kinds:\n\
         \x20 - {{ name: lookup, rank: 0, idempotent: false, deadline_ms: 20000 }}\n\
         \x20 targets:\n\
         \x20 - {{ address: \"{target}\", data_centre: valle-a, slots: 100 }}\n"
    )
}

/// Returns the intent of a service with targets that have three slots each.
pub fn service_intent(addresses: impl IntoIterator<Item = SocketAddr>) -> ServiceIntent {
    let target = |address| TargetIntent {
        address,
        data_centre: "valle-a".to_owned(),
        slots: 3,
        state: DesiredState::Serving,
        instance: None,
    };
    ServiceIntent {
        service: "pump-history".to_owned(),
        team: "co-operative".to_owned(),
        kinds: Vec::new(),
        targets: addresses.into_iter().map(target).collect(),
        measuring: MeasuringIntent::default(),
        max_queue_length: 100,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}

/// Starts an entry in this process with the settings of [`settings_text`].
pub async fn start_entry(target: SocketAddr, extra: &str) -> EntryRuntime {
    let settings: EntrySettings = serde_norway::from_str(&settings_text(target, extra)).unwrap();
    EntryRuntime::start(settings).await.unwrap()
}

/// A target whose connections are served by a function of the test; it stops when dropped.
pub struct FakeTarget {
    pub address: SocketAddr,
    /// Number of accepted connections.
    pub connections: Arc<AtomicUsize>,
    accept: JoinHandle<()>,
}

impl FakeTarget {
    /// Starts a target. `serve` gets each connection with its number, starting at 0.
    pub async fn start<F, S>(serve: S) -> Self
    where
        S: Fn(TcpStream, usize) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let counter = connections.clone();
        let accept = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, counter.fetch_add(1, Ordering::SeqCst)));
            }
        });
        Self { address, connections, accept }
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Reads a message head; returns `None` at the end of the connection.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Reads a complete request and returns its head; returns `None` at the end of the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream).await?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut remaining = length.map_or(0, |length| length.parse().unwrap());
    let mut body = Vec::new();
    let chunked = head.contains("transfer-encoding: chunked");
    while remaining > 0 || (chunked && !body.ends_with(b"0\r\n\r\n")) {
        body.push(stream.read_u8().await.ok()?);
        remaining = usize::saturating_sub(remaining, 1);
    }
    Some(head)
}

/// Responds to every request on a connection with the head of the request as the body.
pub async fn echo_heads(mut stream: TcpStream) {
    while let Some(head) = read_request(&mut stream).await {
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{head}", head.len());
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends raw bytes and reads until the entry closes the connection.
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}
