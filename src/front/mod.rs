//! HTTP front end: accepts caller connections and serves their requests.

mod caller_socket;
mod caller_stream;
mod connection;
mod head_inspector;
mod hop_headers;
mod limited_body;
mod problem;
mod request_log;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use connection::CallerConnection;
use futures::TryFutureExt;
pub use hop_headers::{KEEP_ALIVE, strip_hop_headers};
use http::request::Parts;
use http::{HeaderValue, Request, Version, header};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use limited_body::LimitedBody;
pub use problem::{KEY_STATE_HEADER, OUTCOME_HEADER, problem_response};
use request_log::RequestEntry;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use zinniaport_core::call::{CallOutcome, ReasonCode};

use crate::exchange::{BodyStatus, CallResponse, Exchange};
use crate::filters::{FilterChain, run_until_stop};
use crate::held::{
    CallerHolder, HeldBody, HolderGuard, MAX_HELD_WAIT, REQUEST_BYTES, UPLOAD_BYTES,
};
use crate::refusal::Refusal;
use crate::run_tracker::RunTracker;
use crate::settings::LimitSettings;
use crate::state::SharedState;

/// Maximum length of a request id that is taken from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Pause after a failed accept. The usual cause, the limit of open files, lasts until another
/// connection ends, so retrying without a pause would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Memory that a request head takes, as a multiple of its length. Its buffer doubles and is filled
/// ahead: 2,326 heads of 15,000 bytes took 47 KB each.
const HEAD_COST_FACTOR: u32 = 4;

/// Time after which an idle caller is disconnected to accept another one while as many are
/// connected as may be.
const ACCEPT_RELIEF_PERIOD: Duration = Duration::from_millis(100);

/// Serves HTTP requests of callers through the filter chain.
#[derive(Clone)]
pub struct HttpFrontend {
    state: Arc<SharedState>,
    chain: FilterChain,
    limits: Arc<LimitSettings>,
    closing: Arc<AtomicBool>,
}

impl HttpFrontend {
    /// Creates a front end.
    pub fn new(state: Arc<SharedState>, chain: FilterChain, limits: LimitSettings) -> Self {
        Self { state, chain, limits: Arc::new(limits), closing: Arc::default() }
    }

    /// Accepts connections until `close` is cancelled. Open connections may then send a last
    /// request within `linger`, and requests in flight run to their end.
    pub async fn serve(self, listener: TcpListener, close: CancellationToken, linger: Duration) {
        let drain = CancellationToken::new();
        let mut connections = JoinSet::new();
        self.accept(&listener, &close, &drain, &mut connections).await;
        self.closing.store(true, Ordering::Release);
        self.accept_backlog(&listener, &drain, &mut connections).await;
        drop(listener);
        let ended = async { while connections.join_next().await.is_some() {} };
        if tokio::time::timeout(linger, ended).await.is_err() {
            drain.cancel();
            while connections.join_next().await.is_some() {}
        }
    }

    async fn accept(
        &self,
        listener: &TcpListener,
        close: &CancellationToken,
        drain: &CancellationToken,
        connections: &mut JoinSet<()>,
    ) {
        let permits = Arc::new(Semaphore::new(self.limits.max_caller_connections));
        loop {
            let accepted = async {
                let permit = self.connection_permit(&permits).await;
                listener.accept().await.map(|(stream, _)| (stream, permit))
            };
            tokio::select! {
                () = close.cancelled() => return,
                Some(_) = connections.join_next() => {}
                accepted = accepted => match accepted {
                    Ok((stream, permit)) => {
                        let connection = self.connection(stream, drain);
                        connections.spawn(async move {
                            let _permit = permit;
                            connection.serve().await;
                        });
                    }
                    Err(error) => {
                        log::warn!("cannot accept a caller connection: {error}; check the limit of open files");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
    }

    /// Waits until one more caller may connect. If idle callers hold all connections, the one
    /// that is slowest for what is held for it is disconnected.
    async fn connection_permit(&self, permits: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let acquired = permits.clone().acquire_owned();
        tokio::pin!(acquired);
        loop {
            tokio::select! {
                permit = &mut acquired => return permit.ok(),
                () = sleep(ACCEPT_RELIEF_PERIOD) => self.state.held.drop_slowest(1),
            }
        }
    }

    /// Accepts the connections that the operating system has already established. Closing the
    /// listener would reset them.
    async fn accept_backlog(
        &self,
        listener: &TcpListener,
        drain: &CancellationToken,
        connections: &mut JoinSet<()>,
    ) {
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(Duration::ZERO, listener.accept()).await
        {
            connections.spawn(self.connection(stream, drain).serve());
        }
    }

    fn connection(&self, stream: TcpStream, drain: &CancellationToken) -> CallerConnection {
        CallerConnection::new(self.clone(), stream, drain.clone())
    }

    /// Returns the response to one request, which is a problem body if it is refused.
    ///
    /// `holder` is the caller for whom bytes are held, and `guard` its registration if it is that
    /// of the request alone.
    async fn respond(
        &self,
        request: Request<Incoming>,
        entry: &RequestEntry,
        holder: Arc<CallerHolder>,
        guard: Option<HolderGuard>,
    ) -> CallResponse {
        holder.begin_request();
        let mut held = holder.lease();
        let dialect = self.state.dialect.clone();
        let caller_request_id = request.headers().get(dialect.request_id_header()).cloned();
        let request_id = choose_request_id(caller_request_id.as_ref());
        let version = request.version();
        let (head, body) = request.into_parts();
        let body_status = BodyStatus::default();
        let checked = match self.check_head(&head, entry) {
            // The streams of a connection would wait by the hundred, each with its head, so they
            // are refused at once.
            Ok(()) if version == Version::HTTP_2 => held
                .try_grow(REQUEST_BYTES + head_size(&head) as u32 * HEAD_COST_FACTOR)
                .map_err(Refusal::from),
            // The heads of other requests are charged for as they are read.
            Ok(()) => {
                let upload_bytes = if body.is_end_stream() { 0 } else { UPLOAD_BYTES };
                let grow = held.grow(REQUEST_BYTES + upload_bytes, MAX_HELD_WAIT);
                let (stop, runs) = (&self.state.refuses_waiting, RunTracker::default());
                run_until_stop(stop, &runs, grow.map_err(Refusal::from)).await
            }
            Err(refusal) => Err(refusal),
        };
        let mut response = match checked {
            Err(refusal) => problem_response(&refusal, &request_id, dialect.as_ref()),
            Ok(()) => {
                let body =
                    LimitedBody::new(body, body_status.clone(), holder.clone(), &self.limits);
                let request = Request::from_parts(head, body.boxed());
                let fleet = self.state.fleet.load_full();
                let mut exchange = Exchange::new(request_id.clone(), fleet, request);
                exchange.body_status = body_status;
                exchange.holder = Some(holder.clone());
                exchange.held = Some(held);
                if let Some(arrived) = entry.arrived {
                    exchange.facts.arrived = arrived;
                    exchange.waited_behind = self.state.clock.now().since(arrived);
                }
                let response = self.run(&mut exchange).await;
                held = exchange.held.take().unwrap_or_else(|| holder.lease());
                response
            }
        };
        let response_id = caller_request_id.or_else(|| {
            dialect.adds_request_id().then(|| HeaderValue::from_str(&request_id).ok())?
        });
        if let Some(value) = response_id {
            response.headers_mut().insert(dialect.request_id_header(), value);
        }
        let closes = self.closing.load(Ordering::Acquire) || entry.is_ambiguous();
        if closes && version < Version::HTTP_2 {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|body| HeldBody::new(body, held, guard).boxed())
    }

    /// Runs the filter chain and adds the outcome to the response.
    async fn run(&self, exchange: &mut Exchange) -> CallResponse {
        match self.chain.run(exchange).await {
            Ok(mut response) => {
                let outcome = HeaderValue::from_static(CallOutcome::Ran.into());
                response.headers_mut().entry(OUTCOME_HEADER).or_insert(outcome);
                response
            }
            Err(refusal) => {
                problem_response(&refusal, &exchange.request_id, self.state.dialect.as_ref())
            }
        }
    }

    /// Refuses a request whose head is ambiguous or exceeds a limit.
    fn check_head(&self, head: &Parts, entry: &RequestEntry) -> Result<(), Refusal> {
        if entry.is_ambiguous() {
            let detail = "the length of the body is ambiguous, or a line does not end in CRLF";
            return Err(Refusal::not_run(ReasonCode::BadRequest, detail));
        }
        if head.headers.get_all(header::HOST).iter().nth(1).is_some() {
            let detail = "the request names two hosts";
            return Err(Refusal::not_run(ReasonCode::BadRequest, detail));
        }
        let count = head.headers.len();
        if count > self.limits.max_header_count {
            let limit = self.limits.max_header_count;
            let detail = format!("the request has {count} headers, the limit is {limit}");
            return Err(Refusal::not_run(ReasonCode::HeadTooLarge, detail));
        }
        let size = head_size(head);
        if size > self.limits.max_header_bytes as usize {
            let limit = self.limits.max_header_bytes;
            let detail = format!("the request head has {size} bytes, the limit is {limit}");
            return Err(Refusal::not_run(ReasonCode::HeadTooLarge, detail));
        }
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if let Some(length) = length.filter(|length| *length > self.limits.max_body_bytes) {
            let limit = self.limits.max_body_bytes;
            let detail = format!("the request body has {length} bytes, the limit is {limit}");
            return Err(Refusal::not_run(ReasonCode::BodyTooLarge, detail));
        }
        Ok(())
    }
}

/// Returns the size of a request head in HTTP/1.1 format, in bytes.
fn head_size(head: &Parts) -> usize {
    let target = head.uri.path_and_query().map_or(1, |path| path.as_str().len());
    let line = head.method.as_str().len() + target + " HTTP/1.1\r\n ".len();
    let headers = head.headers.iter();
    line + headers.map(|(name, value)| name.as_str().len() + value.len() + 4).sum::<usize>()
}

/// Returns the caller's request id if it is usable, else a new one.
fn choose_request_id(caller_request_id: Option<&HeaderValue>) -> String {
    caller_request_id
        .and_then(|value| value.to_str().ok())
        .filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()))
        .map_or_else(|| Uuid::now_v7().to_string(), ToOwned::to_owned)
}
