//! Takes tokens of the rate limits of tenants.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::quota::max_token_age;
use zinniaport_core::tenants::TenantTag;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::quota::{TokenDecision, TokenSource};
use crate::refusal::Refusal;
use crate::run_tracker::RunTracker;
use crate::state::SharedState;

/// Takes a token for each request of a tenant with a limit. Does nothing for other requests.
pub struct QuotaFilter {
    state: Arc<SharedState>,
    tokens: Arc<dyn TokenSource>,
}

impl QuotaFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>, tokens: Arc<dyn TokenSource>) -> Self {
        Self { state, tokens }
    }

    async fn take(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let Some(tenant) = exchange.fleet.tenant(exchange.facts.tenant) else { return Ok(()) };
        let Some(limit) = tenant.limit else { return Ok(()) };
        let mut token = TakenToken {
            tokens: self.tokens.clone(),
            tenant: tenant.tag,
            max_age: max_token_age(limit),
            usable_from: self.state.clock.now(),
        };
        token.take_next(&self.state).await?;
        exchange.head.extensions.insert(token);
        Ok(())
    }
}

impl RequestFilter for QuotaFilter {
    fn name(&self) -> &'static str {
        "quota"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            self.take(exchange).await?;
            let token = exchange.head.extensions.get::<TakenToken>().cloned();
            let _unused = token.map(|token| UnusedToken { token, runs: exchange.runs.clone() });
            next.run(exchange).await
        })
    }
}

/// Token for the next dispatch of a request. Stored in the extensions of the request head.
#[derive(Clone)]
pub(super) struct TakenToken {
    tokens: Arc<dyn TokenSource>,
    tenant: TenantTag,
    max_age: Duration,
    usable_from: Timestamp,
}

impl TakenToken {
    /// Takes a token and waits until it may be used.
    async fn take_next(&mut self, state: &SharedState) -> Result<(), Refusal> {
        match self.tokens.take(self.tenant).await {
            TokenDecision::Granted(usable_from) => {
                let delay = usable_from.since(state.clock.now());
                if delay > Duration::ZERO {
                    tokio::time::sleep(delay).await;
                }
                self.usable_from = usable_from;
                Ok(())
            }
            TokenDecision::Exceeded(delay) => {
                let detail = "the tenant has used up its rate limit";
                Err(Refusal::not_run(ReasonCode::QuotaExceeded, detail).retry_after(delay))
            }
            TokenDecision::Unavailable(delay) => {
                let detail = "no entry could check the rate limit of the tenant in time";
                Err(Refusal::not_run(ReasonCode::QuotaUnavailable, detail).retry_after(delay))
            }
        }
    }
}

/// Gives a token back when dropped, if the request was passed on to no target.
struct UnusedToken {
    token: TakenToken,
    runs: RunTracker,
}

impl Drop for UnusedToken {
    fn drop(&mut self) {
        if !self.runs.may_have_run() {
            self.token.tokens.give_back(self.token.tenant);
        }
    }
}

/// Takes another token for a request whose last dispatch may have run, since each run counts.
pub(super) async fn take_again(state: &SharedState, exchange: &mut Exchange) -> bool {
    match exchange.head.extensions.get_mut::<TakenToken>() {
        Some(token) => token.take_next(state).await.is_ok(),
        None => true,
    }
}

/// Takes another token for a request that waited for a target for so long that the token which it
/// has belongs to an earlier window.
pub(super) async fn renew_token(
    state: &SharedState,
    exchange: &mut Exchange,
) -> Result<(), Refusal> {
    let token = exchange.head.extensions.get_mut::<TakenToken>();
    let is_old =
        |token: &&mut TakenToken| state.clock.now().since(token.usable_from) > token.max_age;
    match token.filter(is_old) {
        Some(token) => token.take_next(state).await,
        None => Ok(()),
    }
}
