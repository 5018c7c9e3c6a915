//! Identifies the service and the caller of a request.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::request::Parts;
use http::uri::Authority;
use http::{HeaderMap, header};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::keys::CallerKey;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Header in which the platform's load balancer or the caller itself names the caller.
pub const CALLER_HEADER: &str = "x-caller-id";

/// Maximum length of a caller name, in bytes. Callers with a longer one count as unnamed.
const MAX_CALLER_NAME_BYTES: usize = 64;

/// `Retry-After` while no configuration is known. An entry that starts learns it with a few
/// calls that take milliseconds each.
const CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Maximum time that a request waits for the first configuration. An entry reads it in
/// 25 ms, or in 300 ms from a slow platform.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(350);

/// Finds the service by the routes or by the first path segment, and the caller by its
/// header.
pub struct IdentifyFilter {
    state: Arc<SharedState>,
}

impl IdentifyFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }

    /// Waits for at most [`CONFIGURATION_TIMEOUT`] until a configuration is known. An entry that starts
    /// may get requests before it has one.
    async fn wait_for_configuration(&self, exchange: &mut Exchange) {
        let end = tokio::time::Instant::now() + CONFIGURATION_TIMEOUT;
        while !knows_configuration(exchange) {
            let mut fleet_changed = std::pin::pin!(self.state.fleet_changed.notified());
            fleet_changed.as_mut().enable();
            exchange.fleet = self.state.fleet.load_full();
            if knows_configuration(exchange)
                || tokio::time::timeout_at(end, fleet_changed).await.is_err()
            {
                return;
            }
        }
    }

    /// Returns the key of the caller. Callers without a usable name share the null key.
    fn caller_key(&self, headers: &HeaderMap) -> CallerKey {
        let name = headers.get(CALLER_HEADER).and_then(|value| value.to_str().ok());
        match name {
            Some(name) if (1..=MAX_CALLER_NAME_BYTES).contains(&name.len()) => {
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
            self.wait_for_configuration(exchange).await;
            identify_service(exchange)?;
            exchange.facts.caller = self.caller_key(&exchange.head.headers);
            next.run(exchange).await
        })
    }
}

/// Returns `true` if the configuration is known, or if this entry needs none.
fn knows_configuration(exchange: &Exchange) -> bool {
    exchange.fleet.routes.as_ref().is_none_or(|routes| routes.has_configuration())
}

/// Finds the service by host and path if there are routes, else by the first path segment.
fn identify_service(exchange: &mut Exchange) -> Result<(), Refusal> {
    let fleet = exchange.fleet.clone();
    let path = exchange.head.uri.path();
    let Some(routes) = &fleet.routes else {
        let name = service_name(path);
        let Some((key, service)) = fleet.find(name) else {
            let detail = format!("no service is named {name:?}");
            return Err(Refusal::not_run(ReasonCode::UnknownService, detail));
        };
        exchange.facts.config_version = service.version;
        exchange.facts.service = key;
        return Ok(());
    };
    exchange.facts.config_version = routes.version;
    if !routes.has_configuration() {
        let detail = "the entry has not learnt its configuration yet";
        let refusal = Refusal::not_run(ReasonCode::NoConfiguration, detail);
        return Err(refusal.retry_after(CONFIGURATION_RETRY_AFTER));
    }
    let host = host_of(&exchange.head).unwrap_or_default();
    let Some(rule) = routes.find(host, path) else {
        let detail = format!("no route fits {host:?} and {path:?}");
        return Err(Refusal::not_run(ReasonCode::UnknownService, detail));
    };
    exchange.is_public = rule.is_public();
    let Some(choice) = rule.pick() else {
        let detail = "this version does not know the kind or the services of the route";
        return Err(Refusal::not_run(ReasonCode::UnsupportedRoute, detail));
    };
    exchange.facts.service = choice.service;
    exchange.routed_kind = Some(choice.kind);
    Ok(())
}

/// Returns the host of a request, from its URI (HTTP/2) or its `Host` header.
fn host_of(head: &Parts) -> Option<&str> {
    let authority = head.uri.authority().map(Authority::as_str);
    authority.or_else(|| head.headers.get(header::HOST)?.to_str().ok())
}

/// Returns the first segment of a path.
fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
