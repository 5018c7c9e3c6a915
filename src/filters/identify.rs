//! Finds out which service a request is for and who sent it.

use futures::future::BoxFuture;
use zinniaport_core::call::ReasonCode;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;

/// Looks up the service by the first segment of the path.
#[derive(Debug, Default)]
pub struct IdentifyFilter;

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
            next.run(exchange).await
        })
    }
}

/// Gives the first segment of a path.
fn service_name(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or_default()
}
