//! Authenticates a request by the API key of its caller's tenant.

use std::sync::{Arc, PoisonError};

use futures::future::BoxFuture;
use http::{HeaderMap, HeaderName, HeaderValue};
use zinniaport_core::call::ReasonCode;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Replaces the API key of a request by the name of the tenant that holds it. Rejects requests
/// without the key of a tenant, except on public routes. Does nothing if the configuration states
/// no tenants.
pub struct AuthenticateFilter {
    state: Arc<SharedState>,
}

impl AuthenticateFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }

    fn authenticate(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let Some(tenants) = exchange.fleet.tenants.clone() else { return Ok(()) };
        let dialect = &self.state.dialect;
        let headers = &mut exchange.head.headers;
        // Whatever the caller sent under this name must not reach a target.
        headers.remove(dialect.tenant_header());
        let api_key = take_single(headers, dialect.api_key_header());
        let found = api_key.as_ref().and_then(|api_key| tenants.find(api_key.as_bytes()));
        let Some((key, tenant)) = found else {
            return if exchange.is_public { Ok(()) } else { Err(unknown_api_key()) };
        };
        // A name that is no header value cannot be passed on, so its requests must not run.
        let name = HeaderValue::from_str(&tenant.name).map_err(|_| unknown_api_key())?;
        exchange.target_headers.insert(dialect.tenant_header().clone(), name);
        exchange.facts.tenant = key;
        exchange.facts.caller =
            self.state.callers.lock().unwrap_or_else(PoisonError::into_inner).intern(&tenant.name);
        Ok(())
    }
}

impl RequestFilter for AuthenticateFilter {
    fn name(&self) -> &'static str {
        "authenticate"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            self.authenticate(exchange)?;
            next.run(exchange).await
        })
    }
}

/// Removes a header and returns its value if it was sent exactly once.
fn take_single(headers: &mut HeaderMap, name: &HeaderName) -> Option<HeaderValue> {
    let is_single = headers.get_all(name).iter().count() == 1;
    headers.remove(name).filter(|_| is_single)
}

fn unknown_api_key() -> Refusal {
    Refusal::not_run(ReasonCode::UnknownApiKey, "the request carries no API key of a known tenant")
}
