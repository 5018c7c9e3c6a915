//! Outermost filter: leaves a record of what became of a request.

use std::fmt::Write;
use std::sync::Arc;

use futures::future::BoxFuture;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::decision::{CallEnd, DecisionRecord, RequestId};

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;
use crate::telemetry::LineLimiter;

/// Writes a decision record, counts the request and logs refusals.
pub struct RecordFilter {
    state: Arc<SharedState>,
    lines: LineLimiter,
}

impl RecordFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state, lines: LineLimiter::default() }
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
        // Refusals have a line of their own, with what led to them.
        let left = end.reason == ReasonCode::CallerLeft;
        if (left || end.outcome == CallOutcome::Ran) && self.lines.try_acquire(end.answered) {
            if left {
                log_departure(&record, exchange);
            } else {
                log_answer(&record, exchange);
            }
        }
    }

    fn log_refusal(&self, exchange: &Exchange, refusal: &Refusal) {
        let now = self.state.clock.now();
        if self.lines.try_acquire(now) {
            log::info!(
                request_id = exchange.request_id.as_str(),
                config_version = exchange.facts.config_version,
                reason = <&str>::from(refusal.reason),
                outcome = <&str>::from(refusal.outcome),
                status = refusal.status().as_u16(),
                dispatches = dispatch_words(exchange).as_str(),
                snapshot_age_ms = now.since(exchange.fleet.published).as_millis() as u64,
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

/// Writes a line about a request that a target answered.
fn log_answer(record: &DecisionRecord, exchange: &Exchange) {
    let (facts, end) = (&record.facts, &record.end);
    let service = exchange.fleet.services.get(facts.service);
    let queued = record
        .trace
        .admission
        .map_or(0, |admission| admission.admitted.since(admission.queued).as_micros() as u64);
    log::info!(
        request_id = exchange.request_id.as_str(),
        config_version = facts.config_version,
        service = service.map_or("unknown", |service| service.intent.service.as_str()),
        status = end.status,
        late = end.answered > facts.soft_deadline(),
        queued_us = queued,
        dispatches = dispatch_words(exchange).as_str(),
        snapshot_age_ms = end.answered.since(exchange.fleet.published).as_millis() as u64,
        took_us = end.answered.since(facts.arrived).as_micros() as u64;
        "request answered"
    );
}

/// Writes a line about a request whose caller left before it was answered.
fn log_departure(record: &DecisionRecord, exchange: &Exchange) {
    let (facts, end) = (&record.facts, &record.end);
    log::info!(
        request_id = exchange.request_id.as_str(),
        config_version = facts.config_version,
        reason = <&str>::from(end.reason),
        outcome = <&str>::from(end.outcome),
        dispatches = dispatch_words(exchange).as_str(),
        snapshot_age_ms = end.answered.since(exchange.fleet.published).as_millis() as u64,
        waited_us = end.answered.since(facts.arrived).as_micros() as u64;
        "the caller left before an answer"
    );
}

/// Lists the dispatches of a request: target, rule, microseconds after its arrival
/// and age of the load report in microseconds.
fn dispatch_words(exchange: &Exchange) -> String {
    let mut words = String::new();
    for dispatch in exchange.trace.dispatches.iter().flatten() {
        let address = exchange.fleet.targets.get(dispatch.target).map(|target| target.address);
        let address = address.map_or("removed".to_owned(), |address| address.to_string());
        let after = dispatch.dispatched.since(exchange.facts.arrived).as_micros();
        let separator = if words.is_empty() { "" } else { ", " };
        let _ = write!(words, "{separator}{address} {} after {after}", dispatch.rule);
        if let Some(age) = dispatch.report_age_us {
            let _ = write!(words, " report {age}");
        }
    }
    words
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
