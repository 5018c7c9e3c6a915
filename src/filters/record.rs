//! Outermost filter: leaves a record of what became of a request.

use std::sync::Arc;

use futures::future::BoxFuture;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::state::SharedState;

/// Logs each refusal with the request id, configuration version and reason.
pub struct RecordFilter {
    state: Arc<SharedState>,
}

impl RecordFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state }
    }
}

impl RequestFilter for RecordFilter {
    fn name(&self) -> &'static str {
        "record"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            let result = next.run(&mut *exchange).await;
            if let Err(refusal) = &result {
                log::info!(
                    request_id = exchange.request_id.as_str(),
                    config_version = exchange.facts.config_version,
                    reason = <&str>::from(refusal.reason),
                    waited_us = self.state.clock.now().since(exchange.facts.arrived).as_micros() as u64;
                    "request refused: {}", refusal.detail
                );
            }
            result
        })
    }
}
