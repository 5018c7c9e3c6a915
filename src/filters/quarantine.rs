//! Quarantine: refuses requests that have crashed too many targets.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::future::BoxFuture;
use http_body::Body;
use http_body_util::BodyExt;
use sha2::{Digest, Sha256};
use zinniaport_core::call::{CallFingerprint, ReasonCode};

use super::claim::KEY_HEADER;
use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{BodyError, CallBody, Exchange, full_body};
use crate::gate::{BufferedBody, FingerprintedCall, PermitHandle, QuarantineGate};
use crate::refusal::Refusal;
use crate::state::SharedState;

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
        self.buffer_body(exchange).await?;
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

    /// Buffers a short body of known length, so that it can be sent again.
    async fn buffer_body(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let length = exchange.body.as_ref().and_then(|body| body.size_hint().exact());
        if !length.is_some_and(|length| (1..=self.max_buffered_bytes).contains(&length)) {
            return Ok(());
        }
        let Some(body) = exchange.body.take() else { return Ok(()) };
        let limit = exchange.facts.time_left(self.state.clock.now());
        let result = tokio::time::timeout(limit, collect_body(body)).await;
        let collected =
            result.map_err(|_| slow_sender_refusal())?.map_err(|error| body_refusal(&error))?;
        let buffered = BufferedBody(collected);
        exchange.body = Some(full_body(buffered.0.clone()));
        exchange.head.extensions.insert(buffered);
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

/// Reads a body into one buffer, since a part has many times the size of its bytes if a caller
/// sends these one by one.
async fn collect_body(mut body: CallBody) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

/// Returns the fingerprint of a request: a digest of its service, method, path, idempotency
/// key and buffered body.
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
    add(exchange.head.extensions.get::<BufferedBody>().map_or(&[], |body| &body.0));
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
