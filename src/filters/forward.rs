//! Dispatches a request to the target that was picked.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Uri, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, timeout};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::fleet::TargetCounters;

use super::attempt::announces_drain;
use super::{DEADLINE_HEADER, FilterNext, FilterResult, RequestFilter};
use crate::exchange::{BodyError, BodyFault, CallBody, CallResponse, Exchange, empty_body};
use crate::front::{OUTCOME_HEADER, REQUEST_ID_HEADER, strip_hop_headers};
use crate::pool::{TargetCall, TargetTransport, TransportError};
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Response header in which a target reports its running and queued requests.
pub const LOAD_HEADER: &str = "x-load";

/// Response header by which a target tells that it refused a request before
/// running it.
pub const REFUSED_HEADER: &str = "x-zinniaport-refused";

/// Longest body of such a refusal that is read to keep the connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Longest time in which that body is read.
const REFUSAL_READ_LIMIT: Duration = Duration::from_secs(1);

/// Dispatches a request once and streams the answer back.
pub struct ForwardFilter {
    state: Arc<SharedState>,
    transport: Arc<dyn TargetTransport>,
}

impl ForwardFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>, transport: Arc<dyn TargetTransport>) -> Self {
        Self { state, transport }
    }

    async fn forward(&self, exchange: &mut Exchange) -> FilterResult {
        let Some(target) =
            exchange.targets.last().and_then(|key| exchange.fleet.targets.get(*key)).cloned()
        else {
            return Err(Refusal::not_run(ReasonCode::NoTarget, "the picked target was removed"));
        };
        let left = exchange.facts.time_left(self.state.clock.now());
        if left.is_zero() {
            let detail = "the deadline passed before the request was dispatched";
            return Err(Refusal::not_run(ReasonCode::DeadlineUnreachable, detail));
        }
        let call = TargetCall {
            address: target.address,
            request: target_request(exchange, left),
            deadline: Instant::now() + left,
        };
        let guard = InFlightGuard::new(target.counters.clone());
        let mut response = match self.transport.send(call).await {
            Ok(response) => response,
            Err(error) => return Err(refusal_of(&error, exchange.body_watch.fault())),
        };
        self.read_report(&target.counters, response.headers());
        if response.headers().contains_key(REFUSED_HEADER) {
            let refusal = target_refusal(&response);
            tokio::spawn(drop_whole(response));
            return Err(refusal);
        }
        strip_hop_headers(response.headers_mut());
        // Only the entry states the outcome.
        response.headers_mut().remove(OUTCOME_HEADER);
        Ok(response.map(|inner| CountedBody { inner, _guard: guard }.boxed()))
    }

    fn read_report(&self, counters: &TargetCounters, headers: &HeaderMap) {
        let load = headers.get(LOAD_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(load) = load {
            counters.record_report(load, self.state.clock.now());
        }
    }
}

impl RequestFilter for ForwardFilter {
    fn name(&self) -> &'static str {
        "forward"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        _next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(self.forward(exchange))
    }
}

/// Builds the request that the target receives, with the time that is left.
fn target_request(exchange: &mut Exchange, left: Duration) -> http::Request<CallBody> {
    let body = exchange.body.take().unwrap_or_else(empty_body);
    let mut request = http::Request::new(body);
    *request.method_mut() = exchange.head.method.clone();
    *request.headers_mut() = exchange.head.headers.clone();
    let uri = &exchange.head.uri;
    // An HTTP/2 caller names the host in the URI alone.
    let host = uri.authority().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    *request.uri_mut() = uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    let headers = request.headers_mut();
    strip_hop_headers(headers);
    // The entry itself asks the caller to continue, by reading the body.
    headers.remove(header::EXPECT);
    if let Some(host) = host {
        headers.insert(header::HOST, host);
    }
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis().max(1) as u64));
    if let Ok(request_id) = HeaderValue::from_str(&exchange.request_id) {
        headers.insert(REQUEST_ID_HEADER, request_id);
    }
    request
}

/// Says what a failed dispatch means for the caller. A fault of the caller's own
/// body explains a lost exchange, but not whether the request ran.
fn refusal_of(error: &TransportError, fault: Option<BodyFault>) -> Refusal {
    let reason = match (fault, error) {
        (_, TransportError::NotSent { .. }) => {
            return Refusal::not_run(ReasonCode::TargetUnreachable, error.to_string());
        }
        (Some(BodyFault::TooLarge), _) => ReasonCode::BodyTooLarge,
        (Some(BodyFault::Stalled), _) => ReasonCode::SlowSender,
        (Some(BodyFault::Broken), _) => ReasonCode::CallerLeft,
        (None, TransportError::DeadlinePassed { .. }) => ReasonCode::DeadlinePassed,
        (None, _) => ReasonCode::TargetLost,
    };
    Refusal::unknown(reason, error.to_string())
}

/// Says what the target's own refusal means for the caller.
fn target_refusal(response: &CallResponse) -> Refusal {
    let detail = "the target refused the request before running it";
    let mut refusal = Refusal::not_run(ReasonCode::TargetRefused, detail);
    refusal.target_drains = announces_drain(response);
    let seconds = response.headers().get(header::RETRY_AFTER);
    match seconds.and_then(|value| value.to_str().ok()?.parse().ok()) {
        Some(seconds) => refusal.retry_after(Duration::from_secs(seconds)),
        None => refusal,
    }
}

/// Reads a short body to its end, which keeps the connection in use.
async fn drop_whole(response: CallResponse) {
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES);
    let _ = timeout(REFUSAL_READ_LIMIT, body.collect()).await;
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Arc<TargetCounters>);

impl InFlightGuard {
    fn new(counters: Arc<TargetCounters>) -> Self {
        counters.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(counters)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Response body whose request counts as in flight until the body is dropped.
struct CountedBody {
    inner: CallBody,
    _guard: InFlightGuard,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
