//! Outermost filter: leaves a record of what became of a request.

use std::sync::Arc;

use futures::future::BoxFuture;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::decision::{CallEnd, DecisionRecord, RequestId};

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;
use crate::telemetry::LineAllowance;

/// Writes a decision record, counts the request and logs refusals.
pub struct RecordFilter {
    state: Arc<SharedState>,
    lines: LineAllowance,
}

impl RecordFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state, lines: LineAllowance::default() }
    }

    fn finish(&self, exchange: &Exchange, end: CallEnd) {
        let record = DecisionRecord {
            request_id: RequestId::new(&exchange.request_id),
            facts: exchange.facts,
            trace: exchange.trace,
            end,
        };
        self.state.decisions.write(record);
        self.state.metrics.end(&record, &exchange.fleet);
    }

    fn log_refusal(&self, exchange: &Exchange, refusal: &Refusal) {
        let now = self.state.clock.now();
        if self.lines.take(now) {
            log::info!(
                request_id = exchange.request_id.as_str(),
                config_version = exchange.facts.config_version,
                reason = <&str>::from(refusal.reason),
                waited_us = now.since(exchange.facts.arrived).as_micros() as u64;
                "request refused: {}", refusal.detail
            );
        }
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
            exchange.facts.arrived = self.state.clock.now();
            self.state.metrics.begin();
            let mut open = OpenRecord { filter: self, exchange, result: None };
            let result = next.run(&mut *open.exchange).await;
            open.result = Some(match &result {
                Ok(response) => {
                    (CallOutcome::Ran, ReasonCode::Answered, response.status().as_u16())
                }
                Err(refusal) => (refusal.outcome, refusal.reason, refusal.status().as_u16()),
            });
            if let Err(refusal) = &result {
                self.log_refusal(open.exchange, refusal);
            }
            result
        })
    }
}

/// Writes the record when dropped, so that a request whose caller leaves before
/// the answer, which drops the whole chain, is recorded too.
struct OpenRecord<'a> {
    filter: &'a RecordFilter,
    exchange: &'a mut Exchange,
    result: Option<(CallOutcome, ReasonCode, u16)>,
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        let (outcome, reason, status) = self.result.unwrap_or_else(|| {
            let dispatched = self.exchange.trace.dispatches[0].is_some();
            let outcome = if dispatched { CallOutcome::Unknown } else { CallOutcome::NotRun };
            (outcome, ReasonCode::CallerLeft, 0)
        });
        let end = CallEnd {
            outcome,
            reason,
            status,
            answered: self.filter.state.clock.now(),
            snapshot_published: self.exchange.fleet.published,
        };
        self.filter.finish(self.exchange, end);
    }
}
