//! Finds out which service a request is for and who sent it.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::request::Parts;
use http::uri::Authority;
use http::{HeaderMap, header};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::keys::CallerKey;
use zinniaport_core::routes::RouteRule;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Header in which the platform's balancer or the caller names the caller.
pub const CALLER_HEADER: &str = "x-caller-id";

/// Longest caller name that is told apart, in bytes.
const MAX_CALLER_LENGTH: usize = 64;

/// Time after which a caller may come back while no configuration is known. An
/// entry that starts learns it within a few calls of milliseconds.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(200);

/// Time for which a request waits for the first configuration. An entry reads it in
/// 25 ms, from a slow platform in 300 ms.
const FIRST_WAIT: Duration = Duration::from_millis(350);

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

    /// Waits for a moment until the configuration is known. An entry that starts may
    /// have callers before it.
    async fn wait_for_configuration(&self, exchange: &mut Exchange) {
        let end = tokio::time::Instant::now() + FIRST_WAIT;
        while !knows_configuration(exchange) {
            let mut news = std::pin::pin!(self.state.fleet_changed.notified());
            news.as_mut().enable();
            exchange.fleet = self.state.fleet.load_full();
            if knows_configuration(exchange) || tokio::time::timeout_at(end, news).await.is_err() {
                return;
            }
        }
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
            self.wait_for_configuration(exchange).await;
            identify_service(exchange)?;
            exchange.facts.caller = self.caller(&exchange.head.headers);
            next.run(exchange).await
        })
    }
}

/// Tells whether there is a configuration, or none is needed.
fn knows_configuration(exchange: &Exchange) -> bool {
    exchange.fleet.routes.as_ref().is_none_or(|book| book.is_known())
}

/// Finds the service by host and path where there are routes, else by the first
/// segment of the path.
fn identify_service(exchange: &mut Exchange) -> Result<(), Refusal> {
    let fleet = exchange.fleet.clone();
    let path = exchange.head.uri.path();
    let Some(book) = &fleet.routes else {
        let name = service_name(path);
        let Some((key, service)) = fleet.find(name) else {
            let detail = format!("no service is named {name:?}");
            return Err(Refusal::not_run(ReasonCode::UnknownService, detail));
        };
        exchange.facts.config_version = service.version;
        exchange.facts.service = key;
        return Ok(());
    };
    exchange.facts.config_version = book.version;
    if !book.is_known() {
        let detail = "the entry has not learnt its configuration yet";
        let refusal = Refusal::not_run(ReasonCode::NoConfiguration, detail);
        return Err(refusal.retry_after(CONFIGURATION_WAIT));
    }
    let host = host_of(&exchange.head).unwrap_or_default();
    let Some(choice) = book.find(host, path).and_then(RouteRule::pick) else {
        let detail = format!("no route fits {host:?} and {path:?}");
        return Err(Refusal::not_run(ReasonCode::UnknownService, detail));
    };
    exchange.facts.service = choice.service;
    exchange.routed_kind = Some(choice.kind);
    Ok(())
}

/// Gives the host that a request names, in its URI (HTTP/2) or its header.
fn host_of(head: &Parts) -> Option<&str> {
    let authority = head.uri.authority().map(Authority::as_str);
    authority.or_else(|| head.headers.get(header::HOST)?.to_str().ok())
}

/// Gives the first segment of a path.
fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
