//! Serves requests, probes, and the requests with which tests control the target.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};

use super::behaviour::{TargetBehaviour, from_millis};
use super::runs::{RunCounter, RunGuard};
use super::slots::TargetSlots;
use crate::http1::{
    ResponseBody, ResponseResult, connection_closed, header_text, json_response, text_response,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Response header of a target that refused a request before running it.
pub const REFUSED_HEADER: &str = "x-zinniaport-refused";

/// Header with the identity of a request, which responses repeat.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Server of a running target.
pub(super) struct TargetServer {
    pub(super) behaviour: ArcSwap<TargetBehaviour>,
    pub(super) runs: RunCounter,
    /// Whether a request with the header `x-crash` has crashed the target.
    pub(super) crashed: watch::Sender<bool>,
    slots: TargetSlots,
    clock: SystemClock,
    /// Time of the last start, as a [`Timestamp`].
    started: AtomicU64,
    /// Connections opened in an earlier epoch get no responses.
    silence_epoch: AtomicU64,
    random: Mutex<SmallRng>,
}

impl TargetServer {
    pub(super) fn new(slots: usize, behaviour: TargetBehaviour, seed: u64) -> Self {
        let clock = SystemClock::new();
        Self {
            behaviour: ArcSwap::from_pointee(behaviour),
            runs: RunCounter::default(),
            crashed: watch::Sender::new(false),
            slots: TargetSlots::new(slots),
            started: AtomicU64::new(clock.now().0),
            clock,
            silence_epoch: AtomicU64::new(0),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Resets the age of the target, so that a cold start begins.
    pub(super) fn reset_age(&self) {
        self.started.store(self.clock.now().0, Ordering::Relaxed);
    }

    pub(super) fn load(&self) -> u32 {
        self.slots.load()
    }

    pub(super) fn silence_epoch(&self) -> u64 {
        self.silence_epoch.load(Ordering::Relaxed)
    }

    pub(super) fn silence_connections(&self) {
        self.silence_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Handles a request on a connection that was opened in `epoch`.
    pub(super) async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        epoch: u64,
    ) -> ResponseResult {
        let arrived = Instant::now();
        if self.silence_epoch() != epoch {
            return std::future::pending().await;
        }
        let (head, body) = request.into_parts();
        let body =
            Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| connection_closed())?;
        let request = Request::from_parts(head, body.to_bytes());
        let behaviour = self.behaviour.load_full();
        let mut response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/probe") => self.probe(&behaviour).await,
            (&Method::GET, "/standin/runs") => json_response(&self.runs.counts()),
            (&Method::GET, "/standin/behaviour") => json_response(&*behaviour),
            (&Method::PUT, "/standin/behaviour") => return Ok(self.set_behaviour(request.body())),
            (&Method::POST, "/standin/silence") => {
                self.silence_connections();
                return Ok(text_response(StatusCode::OK, ""));
            }
            _ => self.run(&request, &behaviour, arrived).await?,
        };
        if let Some(id) = request.headers().get(REQUEST_ID_HEADER) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
        }
        if self.silence_epoch() != epoch {
            return std::future::pending().await;
        }
        Ok(response)
    }

    fn set_behaviour(&self, body: &Bytes) -> Response<ResponseBody> {
        match serde_json::from_slice(body) {
            Ok(behaviour) => {
                self.behaviour.store(Arc::new(behaviour));
                text_response(StatusCode::OK, "")
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn probe(&self, behaviour: &TargetBehaviour) -> Response<ResponseBody> {
        if behaviour.probe_ms > 0.0 {
            let Some(_slot) = self.slots.acquire(behaviour.queue_length).await else {
                return self.shed();
            };
            tokio::time::sleep(from_millis(behaviour.probe_ms)).await;
        }
        self.runs.count(|counts| &mut counts.probes);
        let lag = Duration::from_millis(behaviour.report_lag_ms);
        let load = self.slots.load_before(lag);
        let mut response = text_response(StatusCode::OK, format!("{load}\n"));
        self.add_load_headers(&mut response, behaviour, load);
        response
    }

    async fn run(
        &self,
        request: &Request<Bytes>,
        behaviour: &TargetBehaviour,
        arrived: Instant,
    ) -> ResponseResult {
        if behaviour.fail_fast {
            self.runs.count(|counts| &mut counts.failed);
            let mut response = text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n");
            self.add_load_headers(&mut response, behaviour, self.load());
            return Ok(response);
        }
        let deadline = deadline(request, behaviour, arrived);
        let mut guard = RunGuard::new(&self.runs);
        let mut response = self.run_in_slot(request, behaviour, deadline).await?;
        guard.end();
        tokio::time::sleep(Duration::from_millis(behaviour.late_ms)).await;
        self.add_load_headers(&mut response, behaviour, self.load());
        Ok(response)
    }

    async fn run_in_slot(
        &self,
        request: &Request<Bytes>,
        behaviour: &TargetBehaviour,
        deadline: Instant,
    ) -> ResponseResult {
        let Ok(slot) = timeout_at(deadline, self.slots.acquire(behaviour.queue_length)).await
        else {
            self.runs.count(|counts| &mut counts.expired_waiting);
            return Ok(refusal(StatusCode::GATEWAY_TIMEOUT, "deadline"));
        };
        let Some(_slot) = slot else { return Ok(self.shed()) };
        self.runs.start(
            header_text(request, REQUEST_ID_HEADER),
            header_text(request, "idempotency-key"),
        );
        if request.headers().contains_key("x-crash") {
            self.runs.count(|counts| &mut counts.crashes);
            self.crashed.send_replace(true);
            return std::future::pending().await;
        }
        let time = behaviour.slot_time(self.age(), self.uniform());
        // Skips the timer for a time of zero, which it would round up to 1 ms.
        let expired =
            !time.is_zero() && timeout_at(deadline, tokio::time::sleep(time)).await.is_err();
        if expired {
            self.runs.count(|counts| &mut counts.expired_running);
            return Ok(text_response(StatusCode::GATEWAY_TIMEOUT, "the deadline passed\n"));
        }
        self.runs.count(|counts| &mut counts.completed);
        Ok(run_response(request, behaviour))
    }

    fn shed(&self) -> Response<ResponseBody> {
        self.runs.count(|counts| &mut counts.shed);
        refusal(StatusCode::SERVICE_UNAVAILABLE, "shed")
    }

    fn add_load_headers(
        &self,
        response: &mut Response<ResponseBody>,
        behaviour: &TargetBehaviour,
        load: u32,
    ) {
        let headers = response.headers_mut();
        headers.insert("x-load", HeaderValue::from(load));
        if behaviour.draining {
            headers.insert("x-drain", HeaderValue::from(1));
        }
        let limit = behaviour.request_limit.map(|limit| HeaderValue::try_from(limit.to_string()));
        if let Some(Ok(limit)) = limit {
            headers.insert("x-request-limit", limit);
        }
    }

    fn age(&self) -> Duration {
        self.clock.now().since(Timestamp(self.started.load(Ordering::Relaxed)))
    }

    fn uniform(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random()
    }
}

fn deadline(request: &Request<Bytes>, behaviour: &TargetBehaviour, arrived: Instant) -> Instant {
    /// Time limit of a request without a deadline.
    const NO_DEADLINE: Duration = Duration::from_secs(3600);
    let limit = header_text(request, "x-deadline-ms").and_then(|text| text.parse().ok());
    let limit = limit.filter(|_| behaviour.honour_deadline);
    arrived + limit.map_or(NO_DEADLINE, |ms: u32| Duration::from_millis(ms.into()))
}

fn refusal(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = text_response(status, "refused before running\n");
    response.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static(reason));
    response
}

/// Returns the response to a request that ran. The body is padded with the request id, so
/// that a caller detects bytes of another response.
fn run_response(request: &Request<Bytes>, behaviour: &TargetBehaviour) -> Response<ResponseBody> {
    let mut text = format!("{} {}\n", request.method(), request.uri().path());
    let id = header_text(request, REQUEST_ID_HEADER);
    while text.len() < behaviour.response_bytes {
        text.push_str(id.unwrap_or("no request id"));
        text.push('\n');
    }
    let data = Bytes::from(text);
    let mut response = if behaviour.cut_responses {
        let mut response = Response::new(ResponseBody::truncated(data.slice(..data.len() / 2)));
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(data.len()));
        response
    } else {
        Response::new(ResponseBody::complete(data))
    };
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert("x-standin-request-id", id);
    }
    let received = HeaderValue::from(request.body().len());
    response.headers_mut().insert("x-standin-received-bytes", received);
    response
}
