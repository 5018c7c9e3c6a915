//! Sends a request to the picked target and passes its response back.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderValue, Uri, header};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, timeout};
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::fleet::TargetSnapshot;
use zinniaport_core::intent::TargetInstance;
use zinniaport_core::placement::AttemptEnd;
use zinniaport_core::request_limit::LimitStatement;

use super::attempt::shedding_time;
use super::in_flight::{CountedBody, InFlightGuard, attempt_end};
use super::joined_heads::has_joined_heads;
use super::target_refusals::{refusal_of, replacing_refusal, target_refusal};
use super::{FilterNext, FilterResult, RequestFilter};
use crate::dialect::{HeaderDialect, ResponseClass};
use crate::exchange::{BodyError, CallBody, CallResponse, Exchange, empty_body, with_prefix};
use crate::front::{OUTCOME_HEADER, strip_hop_headers};
use crate::held::{CallerHolder, HeldLease, SegmentBuffer};
use crate::own_identity::OwnIdentity;
use crate::pool::{
    ConnectionHandle, IdentityTag, IdleCheck, TargetCall, TargetTransport, TransportError,
};
use crate::refusal::Refusal;
use crate::run_tracker::AttemptRun;
use crate::state::SharedState;
use crate::targets::record_limit;
use crate::telemetry::TrafficKind;

/// Maximum size of a target's refusal body that is read so that the connection can be reused,
/// in bytes.
const MAX_REFUSAL_BODY_BYTES: usize = 16 << 10;

/// Largest status code of HTTP (RFC 9110, 15).
const MAX_STATUS: u16 = 599;

/// Maximum time for reading the body of a target's refusal.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request once and streams the response back.
pub struct ForwardFilter {
    state: Arc<SharedState>,
    transport: Arc<dyn TargetTransport>,
    max_buffered_bytes: usize,
}

impl ForwardFilter {
    /// Creates the filter. Responses of up to `max_buffered_bytes` bytes are buffered before they
    /// are passed on; with 0, all responses are streamed.
    pub fn new(
        state: Arc<SharedState>,
        transport: Arc<dyn TargetTransport>,
        max_buffered_bytes: usize,
    ) -> Self {
        Self { state, transport, max_buffered_bytes }
    }

    async fn forward(&self, exchange: &mut Exchange, run: Arc<AttemptRun>) -> FilterResult {
        let Some(target) =
            exchange.targets.last().and_then(|key| exchange.fleet.targets.get(*key)).cloned()
        else {
            return Err(Refusal::not_run(ReasonCode::NoTarget, "the picked target was removed"));
        };
        let time_left = exchange.facts.time_left(self.state.clock.now());
        if time_left.is_zero() {
            let detail = "the deadline passed before the request was dispatched";
            return Err(Refusal::not_run(ReasonCode::DeadlineUnreachable, detail));
        }
        let dialect = self.state.dialect.as_ref();
        let identity = IdentityTag::of(sent_request_id(exchange, dialect).unwrap_or_default());
        let handle = ConnectionHandle::default();
        let mut request = target_request(exchange, target.instance.as_ref(), dialect);
        let is_remote = target.data_centre != self.state.data_centre;
        if is_remote {
            let (head, body) = request.into_parts();
            let traffic = &self.state.metrics.traffic;
            let body = traffic.meter(TrafficKind::Requests, &head.headers, body).boxed();
            request = http::Request::from_parts(head, body);
        }
        let call = TargetCall::builder()
            .address(target.address)
            .identity(identity)
            .handle(handle.clone())
            .run(run)
            .maybe_check(idle_check(exchange, dialect))
            .guard(target.counters.clone())
            .request(request)
            .deadline(Instant::now() + time_left)
            .deadline_header(dialect.deadline_header().clone())
            .build();
        exchange.connections.push(handle.clone());
        let started = self.state.clock.now();
        let mut guard = InFlightGuard::new(target.counters.clone(), exchange.lease.take());
        let result = self.transport.send(call).await;
        if handle.last_use().is_some_and(|last| last.avoids_copy) {
            self.state.metrics.repeated_identities.increment(1);
        }
        let mut response = match result {
            Ok(response) if is_remote => {
                let (head, body) = response.into_parts();
                let traffic = &self.state.metrics.traffic;
                let body = traffic.meter(TrafficKind::Responses, &head.headers, body).boxed();
                http::Response::from_parts(head, body)
            }
            Ok(response) => response,
            Err(error) => {
                let is_unsent = matches!(error, TransportError::NotSent { .. });
                if is_unsent && target.counters.is_evacuated() {
                    self.state.metrics.placement.evacuated_dispatches.increment(1);
                }
                let refusal = refusal_of(&error, exchange.body_status.fault());
                guard.record_end(attempt_end(refusal.reason));
                return Err(refusal);
            }
        };
        let dialect = &self.state.dialect;
        if let Some(report) = dialect.parse_load(response.headers()) {
            target.counters.record_report(report, self.state.clock.now());
        }
        let class = if has_joined_heads(&response) {
            ResponseClass::Invalid("the answer begins within another one")
        } else if response.status().as_u16() > MAX_STATUS {
            ResponseClass::Invalid("the status of the answer is not one of HTTP")
        } else {
            dialect.classify_response(sent_request_id(exchange, dialect.as_ref()), &response)
        };
        self.record_limit(&target, class, &response);
        if class.is_from_target() && dialect.announces_drain(response.headers()) {
            guard.record_leaving();
        }
        match class {
            ResponseClass::Answered if response.status().is_server_error() => {
                guard.record_end(AttemptEnd::Failed);
            }
            ResponseClass::Answered => {
                let latency = self.state.clock.now().since(started).as_micros();
                guard.record_end(AttemptEnd::Answered(u32::try_from(latency).unwrap_or(u32::MAX)));
            }
            ResponseClass::Invalid(cause) => {
                // The response to this request may still come.
                handle.retire();
                guard.record_end(AttemptEnd::Failed);
                return Err(Refusal::unknown(ReasonCode::SpoiledAnswer, cause));
            }
            class => {
                let refusal = target_refusal(class, &response, dialect.as_ref());
                guard.record_end(match refusal.reason {
                    ReasonCode::WrongInstance => AttemptEnd::WrongInstance,
                    _ => AttemptEnd::Shed(shedding_time(&refusal).as_millis() as u32),
                });
                // A copy of a refusal that names no request would pass for one of any request.
                if !response.headers().contains_key(dialect.request_id_header()) {
                    handle.retire();
                }
                tokio::spawn(discard_body(response));
                return Err(refusal);
            }
        }
        // The caller would take such a status for a promise that the target has not made.
        if !exchange.facts.idempotent && dialect.status_promises_not_run(response.status()) {
            let refusal = replacing_refusal(&response, dialect.as_ref());
            tokio::spawn(discard_body(response));
            return Err(refusal);
        }
        strip_hop_headers(response.headers_mut());
        // Only the entry may set the outcome.
        response.headers_mut().remove(OUTCOME_HEADER);
        let response = response.map(|inner| CountedBody { inner, _guard: guard }.boxed());
        let lease = exchange.holder.as_ref().map(CallerHolder::lease);
        buffer_response(response, self.max_buffered_bytes, lease).await
    }
}

impl ForwardFilter {
    /// Records what a response states about the limit of its target. A response of another
    /// process states nothing, and one that is not a success may lack the header.
    fn record_limit(&self, target: &TargetSnapshot, class: ResponseClass, response: &CallResponse) {
        let statement = self.state.dialect.parse_limit(response.headers());
        let is_success = class == ResponseClass::Answered && response.status().is_success();
        let counts = match statement {
            LimitStatement::Unlimited => is_success,
            _ => class.is_from_target(),
        };
        if counts {
            record_limit(target, statement, self.state.clock.now());
        }
    }
}

/// Buffers a response of up to `max_bytes`, so that the request can be retried at another
/// target if the body is cut short or damaged. Streams the rest of a longer one, or if no more
/// may be held for callers.
async fn buffer_response(
    mut response: CallResponse,
    max_bytes: usize,
    lease: Option<HeldLease>,
) -> FilterResult {
    if max_bytes == 0 || response.body().is_end_stream() {
        return Ok(response);
    }
    let mut first = SegmentBuffer::new(lease);
    while first.len() <= max_bytes {
        match response.body_mut().frame().await {
            None => {
                return Ok(response.map(|_| with_prefix(first.into_segments(), empty_body())));
            }
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let charged = first.try_charge(data.len());
                first.push(&data);
                if charged.is_err() {
                    break;
                }
            }
            Some(Err(BodyError::DeadlinePassed)) => {
                let detail = "the deadline passed within the answer";
                return Err(Refusal::unknown(ReasonCode::DeadlinePassed, detail));
            }
            Some(Err(error)) => {
                return Err(Refusal::unknown(ReasonCode::SpoiledAnswer, error.to_string()));
            }
        }
    }
    Ok(response.map(|rest| with_prefix(first.into_segments(), rest)))
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
        Box::pin(async move {
            let run = Arc::new(exchange.runs.start_attempt());
            let result = self.forward(exchange, run.clone()).await;
            run.record_outcome(match &result {
                Ok(_) => CallOutcome::Ran,
                Err(refusal) => refusal.outcome(),
            });
            result
        })
    }
}

/// Builds the request for the target. The transport adds the time that is left.
fn target_request(
    exchange: &mut Exchange,
    instance: Option<&TargetInstance>,
    dialect: &dyn HeaderDialect,
) -> http::Request<CallBody> {
    let body = exchange.body.take().unwrap_or_else(empty_body);
    let mut request = http::Request::new(body);
    *request.method_mut() = exchange.head.method.clone();
    *request.headers_mut() = exchange.head.headers.clone();
    let uri = &exchange.head.uri;
    *request.uri_mut() = uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    // HTTP/2 requests name the host only in the URI.
    let authority = uri.authority().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    let host = authority.or_else(|| exchange.head.headers.get(header::HOST).cloned());
    let request_id = if dialect.adds_request_id() {
        HeaderValue::from_str(&exchange.request_id).ok()
    } else {
        exchange.head.headers.get(dialect.request_id_header()).cloned()
    };
    let headers = request.headers_mut();
    strip_hop_headers(headers);
    // The entry itself answers `Expect: 100-continue`, by reading the body.
    headers.remove(header::EXPECT);
    // Set after the caller's headers were stripped, since its `Connection` may name any of these.
    if let Some(host) = host {
        headers.insert(header::HOST, host);
    }
    if let Some(request_id) = request_id {
        headers.insert(dialect.request_id_header(), request_id);
    }
    headers.extend(exchange.target_headers.clone());
    if let Some(instance) = instance {
        dialect.insert_instance(headers, instance);
    }
    request
}

/// Returns the identity that the target received with the request, if any.
fn sent_request_id<'a>(exchange: &'a Exchange, dialect: &dyn HeaderDialect) -> Option<&'a str> {
    if dialect.adds_request_id() {
        return Some(&exchange.request_id);
    }
    exchange.head.headers.get(dialect.request_id_header())?.to_str().ok()
}

/// Reads the body of a target's refusal to its end, so that the connection can be reused.
async fn discard_body(response: CallResponse) {
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BODY_BYTES);
    let _ = timeout(REFUSAL_READ_TIMEOUT, body.collect()).await;
}

/// Returns the check of idle connections that the service of a request allows, if any.
fn idle_check(exchange: &Exchange, dialect: &dyn HeaderDialect) -> Option<IdleCheck> {
    let service = exchange.fleet.services.get(exchange.facts.service)?;
    let path = Uri::try_from(service.intent.measuring.probe_path.as_deref()?).ok()?;
    let identity = OwnIdentity::new(dialect);
    Some(IdleCheck { path, always: !exchange.facts.idempotent, identity })
}
