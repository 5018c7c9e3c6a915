//! Dispatches a request to the target that was picked.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::fleet::TargetCounters;

use super::{DEADLINE_HEADER, FilterNext, FilterResult, RequestFilter};
use crate::exchange::{CallBody, CallResponse, Exchange, empty_body};
use crate::pool::{TargetTransport, TransportError};
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Response header in which a target reports its running and queued requests.
pub const LOAD_HEADER: &str = "x-load";

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
        let request = target_request(exchange, left);
        let guard = InFlightGuard::new(target.counters.clone());
        let sent = tokio::time::timeout(left, self.transport.send(target.address, request)).await;
        match sent {
            Err(_) => {
                let detail = "the target did not answer within the deadline";
                Err(Refusal::unknown(ReasonCode::DeadlinePassed, detail))
            }
            Ok(Err(error)) => Err(refusal_of(&error)),
            Ok(Ok(response)) => {
                self.read_report(&target.counters, response.headers());
                Ok(guard.attach(response))
            }
        }
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
    *request.uri_mut() = exchange.head.uri.clone();
    *request.headers_mut() = exchange.head.headers.clone();
    let left_ms = HeaderValue::from(left.as_millis().max(1) as u64);
    request.headers_mut().insert(DEADLINE_HEADER, left_ms);
    if let Ok(request_id) = HeaderValue::from_str(&exchange.request_id) {
        request.headers_mut().insert("x-request-id", request_id);
    }
    request
}

fn refusal_of(error: &TransportError) -> Refusal {
    match error {
        TransportError::NotSent { .. } => {
            Refusal::not_run(ReasonCode::TargetUnreachable, error.to_string())
        }
        TransportError::Lost { .. } => Refusal::unknown(ReasonCode::TargetLost, error.to_string()),
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Arc<TargetCounters>);

impl InFlightGuard {
    fn new(counters: Arc<TargetCounters>) -> Self {
        counters.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(counters)
    }

    /// Keeps the request counted until the response body is dropped.
    fn attach(self, response: CallResponse) -> CallResponse {
        use http_body_util::BodyExt;
        response.map(|body| {
            body.map_frame(move |frame| {
                let _counted = &self;
                frame
            })
            .boxed()
        })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
