//! Quarantine: refuses requests that have crashed too many targets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body::Body;
use http_body_util::BodyExt;
use sha2::{Digest, Sha256};
use zinniaport_core::call::{CallFingerprint, ReasonCode};

use super::claim::KEY_HEADER;
use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{BodyError, CallBody, Exchange, empty_body, with_prefix};
use crate::gate::{BufferedBody, FingerprintedCall, PermitHandle, QuarantineGate};
use crate::held::{CallerHolder, HeldBytesFull, HeldLease, MAX_HELD_WAIT, SegmentBuffer};
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Number of bytes at the beginning of a body that is passed on as it arrives by which requests
/// are told apart.
const PEEKED_BYTES: usize = 16 << 10;

/// Maximum time to wait for them. A caller may wait for the response before it sends more.
const PEEK_TIMEOUT: Duration = Duration::from_millis(100);

/// Refuses a request that has crashed as many targets as the intent allows. Copies of a
/// request that has crashed fewer run one at a time.
pub struct QuarantineFilter {
    state: Arc<SharedState>,
    gate: Arc<QuarantineGate>,
    max_buffered_bytes: u64,
}

impl QuarantineFilter {
    /// Creates the filter. Bodies of up to `max_buffered_bytes` bytes are buffered.
    pub fn new(
        state: Arc<SharedState>,
        gate: Arc<QuarantineGate>,
        max_buffered_bytes: u64,
    ) -> Self {
        Self { state, gate, max_buffered_bytes }
    }

    async fn acquire_permit(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        self.read_body(exchange).await?;
        let Some(service) = exchange.fleet.services.get(exchange.facts.service) else {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        };
        let fingerprint = compute_fingerprint(&service.intent.service, exchange);
        let call = FingerprintedCall {
            fingerprint,
            max_crashed_targets: service.intent.max_crashed_targets,
        };
        exchange.facts.fingerprint = Some(fingerprint);
        let limit = exchange.facts.time_left(self.state.clock.now());
        let permit = self.gate.enter(call, limit).await.map_err(refusal_of)?;
        exchange.head.extensions.insert(PermitHandle::new(permit));
        Ok(())
    }

    /// Reads a short body of known length, so that it can be sent again, or the beginning of
    /// another one, so that it can be told apart from others.
    async fn read_body(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let Some(body) = exchange.body.take() else { return Ok(()) };
        match body.size_hint().exact() {
            Some(0) => {
                exchange.body = Some(body);
                Ok(())
            }
            Some(length) if length <= self.max_buffered_bytes => {
                self.buffer_body(exchange, body).await
            }
            _ => self.peek_body(exchange, body).await,
        }
    }

    /// Reads the beginning of a body. One that ends there can be sent again.
    async fn peek_body(&self, exchange: &mut Exchange, mut body: CallBody) -> Result<(), Refusal> {
        let limit = exchange.facts.time_left(self.state.clock.now()).min(PEEK_TIMEOUT);
        let mut buffer = SegmentBuffer::new(exchange.holder.as_ref().map(CallerHolder::lease));
        let read = tokio::time::timeout(limit, read_beginning(&mut body, &mut buffer)).await;
        let has_ended = read.unwrap_or(Ok(false)).map_err(|error| body_refusal(&error))?;
        let parts = buffer.into_segments();
        match has_ended {
            true if parts.is_empty() => exchange.body = Some(empty_body()),
            true => set_buffered(exchange, parts),
            false => set_begun(exchange, parts, body),
        }
        Ok(())
    }

    /// Reads a body to its end, as far as there is room.
    async fn buffer_body(&self, exchange: &mut Exchange, body: CallBody) -> Result<(), Refusal> {
        let limit = exchange.facts.time_left(self.state.clock.now());
        let lease = exchange.holder.as_ref().map(CallerHolder::lease);
        let collect = async {
            match exchange.holder.clone() {
                None => collect_body(body, lease).await,
                Some(holder) => tokio::select! {
                    biased;
                    collected = collect_body(body, lease) => collected,
                    () = holder.dropped() => Ok(CollectedBody::GaveWay),
                },
            }
        };
        let result = tokio::time::timeout(limit, collect).await;
        let collected =
            result.map_err(|_| slow_sender_refusal())?.map_err(|error| body_refusal(&error))?;
        match collected {
            CollectedBody::Whole(parts) => set_buffered(exchange, parts),
            CollectedBody::Begun(parts, rest) => set_begun(exchange, parts, rest),
            CollectedBody::GaveWay => return Err(HeldBytesFull.into()),
        }
        Ok(())
    }
}

impl RequestFilter for QuarantineFilter {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            self.acquire_permit(exchange).await?;
            let result = next.run(&mut *exchange).await;
            exchange.head.extensions.remove::<PermitHandle>();
            result
        })
    }
}

/// A request body after as much of it was read as may be held.
enum CollectedBody {
    Whole(Vec<Bytes>),
    /// There was no room for the rest, which is passed on as it arrives.
    Begun(Vec<Bytes>, CallBody),
    /// The caller was the slowest for what was held for it.
    GaveWay,
}

/// Reads a body into memory.
async fn collect_body(
    mut body: CallBody,
    lease: Option<HeldLease>,
) -> Result<CollectedBody, BodyError> {
    let mut buffer = SegmentBuffer::new(lease);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let charged = buffer.charge(data.len(), MAX_HELD_WAIT).await;
        buffer.push(&data);
        if charged.is_err() {
            if buffer.is_dropped() {
                return Ok(CollectedBody::GaveWay);
            }
            return Ok(CollectedBody::Begun(buffer.into_segments(), body));
        }
    }
    Ok(CollectedBody::Whole(buffer.into_segments()))
}

/// Reads the beginning of a body, as far as there is room. Returns `true` if that is all of it.
async fn read_beginning(
    body: &mut CallBody,
    buffer: &mut SegmentBuffer,
) -> Result<bool, BodyError> {
    while buffer.len() < PEEKED_BYTES {
        let Some(frame) = body.frame().await else { return Ok(true) };
        let Ok(data) = frame?.into_data() else { continue };
        let charged = buffer.try_charge(data.len());
        buffer.push(&data);
        if charged.is_err() {
            break;
        }
    }
    Ok(false)
}

/// Sets a body that was read to its end.
fn set_buffered(exchange: &mut Exchange, parts: Vec<Bytes>) {
    exchange.body = Some(with_prefix(parts.clone(), empty_body()));
    exchange.head.extensions.insert(BufferedBody(parts));
}

/// Sets a body of which only the beginning was read.
fn set_begun(exchange: &mut Exchange, parts: Vec<Bytes>, rest: CallBody) {
    let mut digest = Sha256::new();
    let mut left = PEEKED_BYTES;
    for part in &parts {
        let beginning = &part[..part.len().min(left)];
        digest.update(beginning);
        left -= beginning.len();
    }
    exchange.head.extensions.insert(BeginningDigest(digest.finalize().into()));
    exchange.body = Some(with_prefix(parts, rest));
}

/// Digest of the first [`PEEKED_BYTES`] of a body that is passed on as it arrives.
#[derive(Clone, Copy)]
struct BeginningDigest([u8; 32]);

/// Returns the fingerprint of a request: a digest of its service, method, path, idempotency
/// key and buffered body, or of the beginning of a longer one.
fn compute_fingerprint(service: &str, exchange: &Exchange) -> CallFingerprint {
    let mut digest = Sha256::new();
    let mut add = |part: &[u8]| {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    };
    add(service.as_bytes());
    add(exchange.head.method.as_str().as_bytes());
    add(exchange.head.uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
    add(exchange.head.headers.get(KEY_HEADER).map_or(&[], |key| key.as_bytes()));
    let body = exchange.head.extensions.get::<BufferedBody>();
    digest.update((body.map_or(0, BufferedBody::len) as u64).to_be_bytes());
    for part in body.iter().flat_map(|body| &body.0) {
        digest.update(part);
    }
    if let Some(BeginningDigest(beginning)) = exchange.head.extensions.get() {
        digest.update(beginning);
    }
    let first = digest.finalize().first_chunk().copied().unwrap_or_default();
    CallFingerprint(u64::from_be_bytes(first))
}

fn refusal_of(reason: ReasonCode) -> Refusal {
    let detail = match reason {
        ReasonCode::Quarantined => "this request has crashed as many targets as the intent allows",
        _ => "other copies of this request must end first, since it may crash targets",
    };
    Refusal::not_run(reason, detail)
}

fn slow_sender_refusal() -> Refusal {
    Refusal::not_run(ReasonCode::SlowSender, "the body did not arrive within the deadline")
}

fn body_refusal(error: &BodyError) -> Refusal {
    let reason = match error {
        BodyError::TooLarge { .. } => ReasonCode::BodyTooLarge,
        BodyError::Stalled { .. } => ReasonCode::SlowSender,
        _ => ReasonCode::CallerLeft,
    };
    Refusal::not_run(reason, error.to_string())
}
