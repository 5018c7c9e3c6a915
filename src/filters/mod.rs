//! The filter chain that every request passes through.

mod admit;
mod attempt;
mod authenticate;
mod claim;
mod classify;
mod forward;
mod identify;
mod in_flight;
mod joined_heads;
mod quarantine;
mod quota;
mod record;
mod route;
mod stop;
mod target_refusals;

use std::sync::Arc;

pub use admit::AdmitFilter;
pub use authenticate::AuthenticateFilter;
pub use claim::ClaimFilter;
pub use classify::ClassifyFilter;
pub use forward::ForwardFilter;
use futures::future::BoxFuture;
pub use identify::{CALLER_HEADER, IdentifyFilter};
pub use quarantine::QuarantineFilter;
pub use quota::QuotaFilter;
pub use record::RecordFilter;
pub use route::{RouteFilter, remote_cost};
pub use stop::StopFilter;
pub(crate) use stop::run_until_stop;

use crate::exchange::{CallResponse, Exchange};
use crate::refusal::Refusal;

/// Response to a request, or the refusal in its place.
pub type FilterResult = Result<CallResponse, Refusal>;

/// One step of the request path.
pub trait RequestFilter: Send + Sync {
    /// Returns the name used in logs and metrics.
    fn name(&self) -> &'static str;

    /// Responds to the request or passes it to `next`.
    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult>;
}

/// The filters after the current one.
#[derive(Clone, Copy)]
pub struct FilterNext<'a>(&'a [Arc<dyn RequestFilter>]);

impl<'a> FilterNext<'a> {
    /// Passes the request to the next filter.
    ///
    /// # Panics
    ///
    /// Panics if the last filter of the chain calls it.
    pub fn run(self, exchange: &'a mut Exchange) -> BoxFuture<'a, FilterResult> {
        let (filter, rest) =
            self.0.split_first().expect("the last filter responds to every request");
        filter.handle(exchange, FilterNext(rest))
    }
}

/// The filters of an entry, outermost first.
#[derive(Clone)]
pub struct FilterChain(Arc<[Arc<dyn RequestFilter>]>);

impl FilterChain {
    /// Creates a chain. The last filter must respond to every request.
    pub fn new(filters: Vec<Arc<dyn RequestFilter>>) -> Self {
        Self(filters.into())
    }

    /// Passes a request through the chain.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets in place of a target's response.
    pub async fn run(&self, exchange: &mut Exchange) -> FilterResult {
        FilterNext(&self.0).run(exchange).await
    }
}
