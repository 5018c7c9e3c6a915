//! Outermost filter: records the outcome of every request.

use std::fmt::Write;
use std::sync::Arc;

use futures::future::BoxFuture;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::decision::{CallEnd, DecisionRecord, RequestId};

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::pool::ConnectionHandle;
use crate::refusal::Refusal;
use crate::state::SharedState;
use crate::telemetry::LineLimiter;

/// Writes a decision record, updates the metrics and logs the outcome of each request.
pub struct RecordFilter {
    state: Arc<SharedState>,
    limiter: LineLimiter,
}

impl RecordFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state, limiter: LineLimiter::default() }
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
        // Refusals are logged separately, with their cause.
        let caller_left = end.reason == ReasonCode::CallerLeft;
        if (caller_left || end.outcome == CallOutcome::Ran)
            && self.limiter.try_acquire(end.answered)
        {
            if caller_left {
                log_disconnect(&record, exchange);
            } else {
                log_answer(&record, exchange);
            }
        }
    }

    fn log_refusal(&self, exchange: &Exchange, refusal: &Refusal) {
        let now = self.state.clock.now();
        if self.limiter.try_acquire(now) {
            log::info!(
                request_id = exchange.request_id.as_str(),
                config_version = exchange.facts.config_version,
                service = service_name(exchange),
                kind = kind_name(exchange),
                rank = exchange.facts.rank,
                time_limit_ms = time_limit_ms(exchange),
                reason = <&str>::from(refusal.reason),
                outcome = <&str>::from(refusal.outcome()),
                status = refusal.status().as_u16(),
                fingerprint = exchange.facts.fingerprint.map(|print| print.to_string()),
                dispatches = format_dispatches(exchange).as_str(),
                connections = format_connections(exchange).as_str(),
                snapshot_age_ms = now.since(exchange.fleet.published).as_millis() as u64,
                waited_behind_us = exchange.waited_behind.as_micros() as u64,
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
            // The front end knows better when a pipelined request arrived.
            if exchange.facts.arrived.0 == 0 {
                exchange.facts.arrived = self.state.clock.now();
            }
            self.state.metrics.begin();
            let mut open = OpenRecord { filter: self, exchange, result: None };
            let result = next.run(&mut *open.exchange).await;
            open.result = Some(match &result {
                Ok(response) => {
                    (CallOutcome::Ran, ReasonCode::Answered, response.status().as_u16())
                }
                Err(refusal) => (refusal.outcome(), refusal.reason, refusal.status().as_u16()),
            });
            if let Err(refusal) = &result {
                self.log_refusal(open.exchange, refusal);
            }
            result
        })
    }
}

/// Logs a request that a target answered.
fn log_answer(record: &DecisionRecord, exchange: &Exchange) {
    let (facts, end) = (&record.facts, &record.end);
    let queued = record
        .trace
        .admission
        .map_or(0, |admission| admission.admitted.since(admission.queued).as_micros() as u64);
    log::info!(
        request_id = exchange.request_id.as_str(),
        config_version = facts.config_version,
        service = service_name(exchange),
        kind = kind_name(exchange),
        rank = facts.rank,
        time_limit_ms = time_limit_ms(exchange),
        status = end.status,
        late = end.answered > facts.soft_deadline(),
        queued_us = queued,
        waited_behind_us = exchange.waited_behind.as_micros() as u64,
        dispatches = format_dispatches(exchange).as_str(),
        connections = format_connections(exchange).as_str(),
        snapshot_age_ms = end.answered.since(exchange.fleet.published).as_millis() as u64,
        took_us = end.answered.since(facts.arrived).as_micros() as u64;
        "request answered"
    );
}

/// Logs a request whose caller disconnected before the response.
fn log_disconnect(record: &DecisionRecord, exchange: &Exchange) {
    let (facts, end) = (&record.facts, &record.end);
    log::info!(
        request_id = exchange.request_id.as_str(),
        config_version = facts.config_version,
        service = service_name(exchange),
        kind = kind_name(exchange),
        rank = facts.rank,
        time_limit_ms = time_limit_ms(exchange),
        reason = <&str>::from(end.reason),
        outcome = <&str>::from(end.outcome),
        dispatches = format_dispatches(exchange).as_str(),
        connections = format_connections(exchange).as_str(),
        snapshot_age_ms = end.answered.since(exchange.fleet.published).as_millis() as u64,
        waited_us = end.answered.since(facts.arrived).as_micros() as u64;
        "caller disconnected before the response"
    );
}

fn service_name(exchange: &Exchange) -> &str {
    let service = exchange.fleet.services.get(exchange.facts.service);
    service.map_or("unknown", |service| service.intent.service.as_str())
}

/// Returns the name of the request's kind, which is that of its route if it has one.
fn kind_name(exchange: &Exchange) -> &str {
    let service = exchange.fleet.services.get(exchange.facts.service);
    let service = service.filter(|_| exchange.facts.deadline.0 > 0);
    let kind = service.and_then(|service| service.kinds.get(exchange.facts.kind));
    kind.map_or("unknown", |kind| kind.name.as_str())
}

/// Returns the time from the arrival of a request to its deadline; 0 before it has one.
fn time_limit_ms(exchange: &Exchange) -> u64 {
    exchange.facts.deadline.since(exchange.facts.arrived).as_millis() as u64
}

/// Formats the dispatches of a request for the log: target, rule, time after the arrival and,
/// if the rule used one, age of the load report, both in microseconds.
fn format_dispatches(exchange: &Exchange) -> String {
    let mut text = String::new();
    for dispatch in exchange.trace.dispatches.iter().flatten() {
        let address = exchange.fleet.targets.get(dispatch.target).map(|target| target.address);
        let address = address.map_or("removed".to_owned(), |address| address.to_string());
        let after = dispatch.dispatched.since(exchange.facts.arrived).as_micros();
        let separator = if text.is_empty() { "" } else { ", " };
        let _ = write!(text, "{separator}{address} {} after {after}", dispatch.rule);
        if let Some(age) = dispatch.report_age_us {
            let _ = write!(text, " report {age}");
        }
    }
    text
}

/// Formats the connections that a request was sent on, in the order of its dispatches: the number
/// of each and the position of the request on it.
fn format_connections(exchange: &Exchange) -> String {
    let uses = exchange.connections.iter().filter_map(ConnectionHandle::last_use);
    uses.map(|last| last.to_string()).collect::<Vec<_>>().join(", ")
}

/// A request whose record is written when dropped. If the caller disconnects before the
/// response, the whole filter chain is dropped, and the request is recorded too.
struct OpenRecord<'a> {
    filter: &'a RecordFilter,
    exchange: &'a mut Exchange,
    result: Option<(CallOutcome, ReasonCode, u16)>,
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        let (outcome, reason, status) = self.result.unwrap_or_else(|| {
            let may_have_run = self.exchange.runs.may_have_run();
            let outcome = if may_have_run { CallOutcome::Unknown } else { CallOutcome::NotRun };
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
