//! Filters that a request passes in order.

mod admit;
mod attempt;
mod claim;
mod classify;
mod forward;
mod identify;
mod quarantine;
mod record;
mod route;

use std::sync::Arc;

pub use admit::AdmitFilter;
pub use claim::ClaimFilter;
pub use classify::ClassifyFilter;
pub use forward::ForwardFilter;
use futures::future::BoxFuture;
pub use identify::{CALLER_HEADER, IdentifyFilter};
pub use quarantine::QuarantineFilter;
pub use record::RecordFilter;
pub use route::{RouteFilter, remote_cost};

use crate::exchange::{CallResponse, Exchange};
use crate::refusal::Refusal;

/// What a filter makes of a request.
pub type FilterResult = Result<CallResponse, Refusal>;

/// One step of the request path.
pub trait RequestFilter: Send + Sync {
    /// Gives the name used in logs and metrics.
    fn name(&self) -> &'static str;

    /// Answers the request or passes it to `next`.
    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult>;
}

/// The filters behind the present one.
#[derive(Clone, Copy)]
pub struct FilterNext<'a>(&'a [Arc<dyn RequestFilter>]);

impl<'a> FilterNext<'a> {
    /// Passes the request to the next filter.
    ///
    /// # Panics
    ///
    /// Panics when the last filter of the chain calls it.
    pub fn run(self, exchange: &'a mut Exchange) -> BoxFuture<'a, FilterResult> {
        let (filter, rest) = self.0.split_first().expect("the last filter answers every request");
        filter.handle(exchange, FilterNext(rest))
    }
}

/// The filters of an entry, outermost first.
#[derive(Clone)]
pub struct FilterChain(Arc<[Arc<dyn RequestFilter>]>);

impl FilterChain {
    /// Creates a chain. The last filter must answer every request.
    pub fn new(filters: Vec<Arc<dyn RequestFilter>>) -> Self {
        Self(filters.into())
    }

    /// Serves a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal that stands in place of an answer from a target.
    pub async fn run(&self, exchange: &mut Exchange) -> FilterResult {
        FilterNext(&self.0).run(exchange).await
    }
}
