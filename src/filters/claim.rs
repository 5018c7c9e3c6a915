//! Claims the idempotency key of a non-idempotent request before it is dispatched.

use futures::future::BoxFuture;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;

/// Claims the idempotency key of a non-idempotent request before it is dispatched.
#[derive(Debug, Default)]
pub struct ClaimFilter;

impl RequestFilter for ClaimFilter {
    fn name(&self) -> &'static str {
        "claim"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        next.run(exchange)
    }
}
