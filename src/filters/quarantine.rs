//! Refuses a request that has crashed too many targets.

use futures::future::BoxFuture;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;

/// Refuses a request that has crashed too many targets.
#[derive(Debug, Default)]
pub struct QuarantineFilter;

impl RequestFilter for QuarantineFilter {
    fn name(&self) -> &'static str {
        "quarantine"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        next.run(exchange)
    }
}
