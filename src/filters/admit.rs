//! Lets requests wait for their turn.

use futures::future::BoxFuture;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;

/// Lets requests wait for their turn.
#[derive(Debug, Default)]
pub struct AdmitFilter;

impl RequestFilter for AdmitFilter {
    fn name(&self) -> &'static str {
        "admit"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        next.run(exchange)
    }
}
