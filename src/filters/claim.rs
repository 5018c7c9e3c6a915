//! Claims the idempotency key of a non-idempotent request before it is dispatched.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::HeaderMap;
use tokio::time::timeout;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::claims::{ClaimState, IdempotencyKey, KeyError};
use zinniaport_core::controllers::ClaimResult;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::claims::{KeyClaim, KeyClaims};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Header with the idempotency key, which repetitions of the same request share.
pub(super) const KEY_HEADER: &str = "idempotency-key";

/// `Retry-After` of a request whose key could not be claimed. A claim fails about 150 ms
/// after the store went down.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Claims the idempotency key of a non-idempotent request before it is dispatched, and
/// stores its outcome afterwards.
pub struct ClaimFilter {
    state: Arc<SharedState>,
    claims: Arc<dyn KeyClaims>,
}

impl ClaimFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>, claims: Arc<dyn KeyClaims>) -> Self {
        Self { state, claims }
    }

    /// Returns the claim for a request that must run at most once, or `None` if the request is
    /// idempotent or has no key.
    fn claim_for(exchange: &Exchange) -> Result<Option<KeyClaim>, Refusal> {
        if exchange.facts.idempotent {
            return Ok(None);
        }
        let Some(service) = exchange.fleet.services.get(exchange.facts.service) else {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        };
        let intent = &service.intent;
        let required = service.kinds.get(exchange.facts.kind).is_some_and(|kind| kind.require_key);
        match read_key(&intent.service, &exchange.head.headers) {
            Ok(None) if required => {
                let detail = format!("{} takes this request with a key only", intent.service);
                Err(Refusal::not_run(ReasonCode::KeyRequired, detail))
            }
            Ok(None) => Ok(None),
            Ok(Some(key)) => {
                let service = intent.service.clone();
                Ok(Some(KeyClaim { service, key, nonce: rand::random() }))
            }
            Err(error) => Err(Refusal::not_run(ReasonCode::BadKey, error.to_string())),
        }
    }

    async fn run(&self, exchange: &mut Exchange, next: FilterNext<'_>) -> FilterResult {
        let Some(claim) = Self::claim_for(exchange)? else { return next.run(exchange).await };
        let time_left = exchange.facts.time_left(self.state.clock.now());
        let claims = &*self.claims;
        let mut open = OpenClaim { claims, exchange, claim: Some(claim.clone()) };
        let Ok(result) = timeout(time_left, claims.claim(claim)).await else {
            let detail = "the key was not claimed within the deadline";
            return Err(unavailable_refusal(detail).retry_after(CLAIM_RETRY_AFTER));
        };
        if let Some(refusal) = self.refusal_of(result) {
            // The controller refused the claim, so there is nothing to settle.
            open.claim = None;
            return Err(refusal);
        }
        let result = next.run(&mut *open.exchange).await;
        open.settle(match &result {
            Ok(response) => ClaimState::Done(response.status().as_u16()),
            Err(refusal) if refusal.promises_not_run() => ClaimState::NotRun,
            Err(_) => ClaimState::Unknown,
        });
        result
    }

    /// Returns the refusal for a claim that failed, or `None` if the request may run. The outcome
    /// for a used or expired key is that of the first request with the key: if it were
    /// `not-run`, the caller would send the same work again under another key.
    fn refusal_of(&self, result: ClaimResult) -> Option<Refusal> {
        let refusal = match result {
            ClaimResult::Granted => return None,
            ClaimResult::Repeated(state) => used_key_refusal(state),
            ClaimResult::Expired => Refusal::unknown(
                ReasonCode::KeyExpired,
                "this request was not run; whether an earlier one with this key ran is no longer known",
            ),
            ClaimResult::PermanentLimitReached => unavailable_refusal(
                "no more keys without a time can be kept; send a UUIDv7, whose claims expire",
            ),
            ClaimResult::Unavailable => {
                unavailable_refusal(self.claims.outage_cause()).retry_after(CLAIM_RETRY_AFTER)
            }
        };
        Some(refusal)
    }
}

impl RequestFilter for ClaimFilter {
    fn name(&self) -> &'static str {
        "claim"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(self.run(exchange, next))
    }
}

/// A claim that is settled when dropped. If the caller disconnects or the entry stops, the whole
/// filter chain is dropped, and the claim is settled too.
struct OpenClaim<'a> {
    claims: &'a dyn KeyClaims,
    exchange: &'a mut Exchange,
    /// The claim, until it is settled.
    claim: Option<KeyClaim>,
}

impl OpenClaim<'_> {
    fn settle(&mut self, state: ClaimState) {
        if let Some(claim) = self.claim.take() {
            self.claims.settle(claim, state);
        }
    }
}

impl Drop for OpenClaim<'_> {
    fn drop(&mut self) {
        let may_have_run = self.exchange.runs.may_have_run();
        self.settle(if may_have_run { ClaimState::Unknown } else { ClaimState::NotRun });
    }
}

/// Reads the idempotency key of a request, if it has one. Two keys are an error, since the
/// request could be claimed under either.
fn read_key(service: &str, headers: &HeaderMap) -> Result<Option<IdempotencyKey>, KeyError> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    match (keys.next(), keys.next()) {
        (None, _) => Ok(None),
        (Some(key), None) => IdempotencyKey::parse(service, key.as_bytes()).map(Some),
        (Some(_), Some(_)) => Err(KeyError),
    }
}

fn unavailable_refusal(detail: &str) -> Refusal {
    Refusal::not_run(ReasonCode::ClaimUnavailable, detail)
}

fn used_key_refusal(state: ClaimState) -> Refusal {
    let known = match state {
        ClaimState::Done(status) => format!("ran and was answered {status}"),
        ClaimState::Running => "is running, or its entry ended while it ran".to_owned(),
        ClaimState::Unknown | ClaimState::NotRun => "may have run".to_owned(),
    };
    let detail = format!("this request was not run; the first one with this key {known}");
    Refusal::key_used(state, detail)
}
