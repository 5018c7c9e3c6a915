//! Load generator: sends a mix of requests to the services of the demo over a few connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;
use uuid::Uuid;

use crate::dialect::REQUEST_ID_HEADER;

/// Number of connections that send requests concurrently, fewer than the 105 slots of the demo.
const SENDERS: u64 = 32;

/// Time after the deadline at which a request counts as lost. The entry responds by the
/// deadline, so the grace only matters on a slow machine.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);

/// A kind of generated requests.
pub struct LoadKind {
    /// Service of the requests.
    pub service: &'static str,
    /// Kind of the requests.
    pub kind: &'static str,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// Deadline of the kind.
    pub deadline: Duration,
    method: Method,
    path: &'static str,
    body_bytes: usize,
    /// Share of the load, in percent.
    share_percent: u32,
}

/// Kinds of the load, the most frequent first. Kinds and deadlines match
/// `examples/co-operative.yaml`.
pub static LOAD_MIX: [LoadKind; 5] = [
    LoadKind::new(("pump-history", "lookup"), Method::GET, "/pumps", 1_000, 45),
    LoadKind::new(("storm-status", "status-check"), Method::GET, "/crews", 1_000, 30),
    LoadKind::new(("visit-ledger", "visit-record"), Method::POST, "/visits", 2_000, 15),
    LoadKind::new(("media-intake", "photo"), Method::PUT, "/photos", 30_000, 8),
    LoadKind::new(("media-intake", "video"), Method::PUT, "/videos", 120_000, 2),
];

impl LoadKind {
    const fn new(
        (service, kind): (&'static str, &'static str),
        method: Method,
        path: &'static str,
        deadline_ms: u64,
        share_percent: u32,
    ) -> Self {
        let idempotent = !matches!(method, Method::POST);
        let body_bytes = match method {
            Method::PUT => 64 * 1024,
            Method::POST => 256,
            _ => 0,
        };
        let deadline = Duration::from_millis(deadline_ms);
        Self { service, kind, idempotent, deadline, method, path, body_bytes, share_percent }
    }
}

/// Result of one generated request.
pub struct LoadResult {
    /// Index of its kind in [`LOAD_MIX`].
    pub kind: usize,
    /// Request ID.
    pub request_id: String,
    /// First line that a target echoes: the method, and the path with the request ID.
    pub expected: String,
    /// Time until the complete response or the error.
    pub latency: Duration,
    /// The response, or the error as text.
    pub response: Result<Response<Bytes>, String>,
}

/// Sends `count` requests in the background and returns a channel with their results. Each
/// sender waits `pause` between two requests.
pub fn generate(address: SocketAddr, count: u64, pause: Duration) -> mpsc::Receiver<LoadResult> {
    let (results, receiver) = mpsc::channel(64);
    let remaining = Arc::new(AtomicU64::new(count));
    tokio::spawn(async move {
        let mut senders = JoinSet::new();
        for number in 0..SENDERS.min(count) {
            let sender = LoadSender {
                address,
                random: SmallRng::seed_from_u64(number),
                connection: None,
                results: results.clone(),
            };
            senders.spawn(sender.run(remaining.clone(), pause));
        }
        while senders.join_next().await.is_some() {}
    });
    receiver
}

struct LoadSender {
    address: SocketAddr,
    random: SmallRng,
    connection: Option<SendRequest<Full<Bytes>>>,
    results: mpsc::Sender<LoadResult>,
}

impl LoadSender {
    async fn run(mut self, remaining: Arc<AtomicU64>, pause: Duration) {
        let decrement = |remaining: u64| remaining.checked_sub(1);
        while remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok() {
            let result = self.send_request().await;
            if self.results.send(result).await.is_err() {
                return;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn send_request(&mut self) -> LoadResult {
        let kind = self.choose_kind();
        let load = &LOAD_MIX[kind];
        let request_id = Uuid::now_v7().to_string();
        let path = format!("/{}{}/{request_id}", load.service, load.path);
        let request = Request::builder()
            .method(&load.method)
            .uri(&path)
            .header(header::HOST, self.address.to_string())
            .header(&REQUEST_ID_HEADER, &request_id)
            .body(Full::from(vec![b'x'; load.body_bytes]));
        let started = Instant::now();
        let response = match request {
            Ok(request) => {
                match timeout(load.deadline + RESPONSE_GRACE, self.exchange(request)).await {
                    Ok(response) => response.map_err(|error| error.to_string()),
                    Err(_) => Err("no response within 10 s after the deadline".to_owned()),
                }
            }
            Err(error) => Err(error.to_string()),
        };
        let expected = format!("{} {path}", load.method);
        LoadResult { kind, request_id, expected, latency: started.elapsed(), response }
    }

    /// Returns the index of a random kind, weighted by the shares.
    fn choose_kind(&mut self) -> usize {
        let mut percent = self.random.random_range(0..100);
        LOAD_MIX
            .iter()
            .position(|kind| {
                let chosen = percent < kind.share_percent;
                percent = percent.saturating_sub(kind.share_percent);
                chosen
            })
            .unwrap_or_default()
    }

    /// Sends a request on the connection of this sender, or on a new one if that is closed.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
        let mut sender = match self.connection.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => {
                let stream = TcpStream::connect(self.address).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
                tokio::spawn(connection);
                sender
            }
        };
        sender.ready().await?;
        let (head, body) = sender.send_request(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        self.connection = Some(sender);
        Ok(Response::from_parts(head, body))
    }
}
