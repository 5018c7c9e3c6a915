//! Generated load: a mix of the co-operative's requests over a few connections.

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

/// Connections that send requests at the same time. The demo has 105 slots.
const SENDERS: u64 = 32;

/// Time after the deadline at which a request counts as lost. The entry answers
/// at the deadline, so this covers a slow machine only.
const ANSWER_GRACE: Duration = Duration::from_secs(10);

/// One kind of generated request.
pub struct LoadKind {
    /// Service of the requests.
    pub service: &'static str,
    /// Kind of the requests.
    pub kind: &'static str,
    /// Whether running one twice does no harm.
    pub idempotent: bool,
    /// Deadline of the kind.
    pub deadline: Duration,
    method: Method,
    path: &'static str,
    body_bytes: usize,
    /// Share of the mix, in percent.
    share: u32,
}

/// The mix, most frequent first; kinds and deadlines as in
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
        share: u32,
    ) -> Self {
        let idempotent = !matches!(method, Method::POST);
        let body_bytes = match method {
            Method::PUT => 64 * 1024,
            Method::POST => 256,
            _ => 0,
        };
        let deadline = Duration::from_millis(deadline_ms);
        Self { service, kind, idempotent, deadline, method, path, body_bytes, share }
    }
}

/// A request and what came back.
pub struct LoadAnswer {
    /// Position of its kind in [`LOAD_MIX`].
    pub kind: usize,
    /// Identity of the request.
    pub request_id: String,
    /// What a target echoes: method and path with the identity.
    pub expected: String,
    /// Time until the whole answer was there.
    pub taken: Duration,
    /// The answer, or what failed.
    pub result: Result<Response<Bytes>, String>,
}

/// Sends `count` requests and passes on each answer. `pause` is the time that a
/// sender waits between two requests.
pub fn generate(address: SocketAddr, count: u64, pause: Duration) -> mpsc::Receiver<LoadAnswer> {
    let (answers, receiver) = mpsc::channel(64);
    let left = Arc::new(AtomicU64::new(count));
    tokio::spawn(async move {
        let mut senders = JoinSet::new();
        for number in 0..SENDERS.min(count) {
            let sender = LoadSender {
                address,
                random: SmallRng::seed_from_u64(number),
                connection: None,
                answers: answers.clone(),
            };
            senders.spawn(sender.run(left.clone(), pause));
        }
        while senders.join_next().await.is_some() {}
    });
    receiver
}

struct LoadSender {
    address: SocketAddr,
    random: SmallRng,
    connection: Option<SendRequest<Full<Bytes>>>,
    answers: mpsc::Sender<LoadAnswer>,
}

impl LoadSender {
    async fn run(mut self, left: Arc<AtomicU64>, pause: Duration) {
        let take = |left: u64| left.checked_sub(1);
        while left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
            let answer = self.send_one().await;
            if self.answers.send(answer).await.is_err() {
                return;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn send_one(&mut self) -> LoadAnswer {
        let kind = self.draw_kind();
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
        let result = match request {
            Ok(request) => {
                match timeout(load.deadline + ANSWER_GRACE, self.exchange(request)).await {
                    Ok(answered) => answered.map_err(|error| error.to_string()),
                    Err(_) => Err("no answer long after the deadline".to_owned()),
                }
            }
            Err(error) => Err(error.to_string()),
        };
        let expected = format!("{} {path}", load.method);
        LoadAnswer { kind, request_id, expected, taken: started.elapsed(), result }
    }

    fn draw_kind(&mut self) -> usize {
        let mut draw = self.random.random_range(0..100);
        LOAD_MIX
            .iter()
            .position(|kind| {
                let drawn = draw < kind.share;
                draw = draw.saturating_sub(kind.share);
                drawn
            })
            .unwrap_or_default()
    }

    /// Sends a request on the connection of this sender, opening it if needed.
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
