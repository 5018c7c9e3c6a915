//! Finds out which service a request is for and who sent it.

use std::sync::{Arc, PoisonError};

use futures::future::BoxFuture;
use http::HeaderMap;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::keys::CallerKey;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Header in which the platform's balancer or the caller names the caller.
pub const CALLER_HEADER: &str = "x-caller-id";

/// Longest caller name that is told apart, in bytes.
const MAX_CALLER_LENGTH: usize = 64;

/// Looks up the service by the first segment of the path, and the caller by its
/// header.
pub struct IdentifyFilter {
    state: Arc<SharedState>,
}

impl IdentifyFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }

    /// Finds the caller's key; callers without a usable name share the null key.
    fn caller(&self, headers: &HeaderMap) -> CallerKey {
        let name = headers.get(CALLER_HEADER).and_then(|value| value.to_str().ok());
        match name {
            Some(name) if (1..=MAX_CALLER_LENGTH).contains(&name.len()) => {
                self.state.callers.lock().unwrap_or_else(PoisonError::into_inner).intern(name)
            }
            _ => CallerKey::default(),
        }
    }
}

impl RequestFilter for IdentifyFilter {
    fn name(&self) -> &'static str {
        "identify"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            let name = service_name(exchange.head.uri.path());
            let Some((key, service)) = exchange.fleet.find(name) else {
                let detail = format!("no service is named {name:?}");
                return Err(Refusal::not_run(ReasonCode::UnknownService, detail));
            };
            exchange.facts.config_version = service.version;
            exchange.facts.service = key;
            exchange.facts.caller = self.caller(&exchange.head.headers);
            next.run(exchange).await
        })
    }
}

/// Gives the first segment of a path.
fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
