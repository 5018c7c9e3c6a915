//! Picks the target that runs a request, and another one when that fails.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::future::BoxFuture;
use http_body::Body;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::DispatchTrace;
use zinniaport_core::placement::AttemptKind;
use zinniaport_core::policy::{MEAN_SLOWDOWN, RoutingPolicy, TargetChoice, TargetQuery};
use zinniaport_core::retry::{DispatchCount, allows_retry};

use super::attempt::AttemptRecord;
use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{Exchange, empty_body, full_body};
use crate::gate::{BufferedBody, PermitHandle};
use crate::placement::CallPlacement;
use crate::refusal::Refusal;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Asks a routing policy for a target, and for another one after a failure
/// that allows it.
pub struct RouteFilter {
    pub(super) state: Arc<SharedState>,
    pub(super) targets: TargetsHandle,
    policy: Arc<dyn RoutingPolicy>,
    placement: Arc<dyn CallPlacement>,
}

impl RouteFilter {
    /// Creates the filter.
    pub fn new(
        state: Arc<SharedState>,
        policy: Arc<dyn RoutingPolicy>,
        targets: TargetsHandle,
        placement: Arc<dyn CallPlacement>,
    ) -> Self {
        Self { state, targets, policy, placement }
    }

    async fn route(&self, exchange: &mut Exchange, next: FilterNext<'_>) -> FilterResult {
        let body = ResendBody::of(exchange);
        let mut count = DispatchCount::default();
        let mut failed: Option<Refusal> = None;
        loop {
            let rule = failed.as_ref().map(|_| ReasonCode::Retried);
            if let Err(refusal) = self.pick(exchange, rule) {
                return Err(combine_refusals(failed, refusal));
            }
            count.begin();
            let result = match &body {
                ResendBody::Empty => self.attempt_hedged(exchange, next, &mut count).await,
                _ => self.attempt(exchange, next).await,
            };
            let refusal = match result {
                Ok(response) => return Ok(response),
                Err(refusal) => combine_refusals(failed.take(), refusal),
            };
            count.end(refusal.outcome);
            if !self.may_retry(exchange, count, &refusal, &body)
                || !self.place_again(exchange, AttemptKind::Retry).await
            {
                return Err(refusal);
            }
            body.restore(exchange);
            failed = Some(refusal);
        }
    }

    /// Picks a target from the newest snapshot, since the request may have
    /// waited in a queue or for an earlier attempt.
    pub(super) fn pick(
        &self,
        exchange: &mut Exchange,
        rule: Option<ReasonCode>,
    ) -> Result<(), Refusal> {
        exchange.fleet = self.state.fleet.load_full();
        let Some(service) = exchange.fleet.services.get(exchange.facts.service) else {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        };
        if let Some(choice) = exchange.granted_choice.take() {
            let dispatch = trace_of(exchange, choice, rule, self.state.clock.now());
            exchange.trace.add_dispatch(dispatch);
            exchange.targets.push(choice.target);
            return Ok(());
        }
        if exchange.targets.is_empty() {
            let max_saved = self.state.max_saved_retries.load(Ordering::Relaxed);
            let percent = service.intent.retry_percent;
            service.counters.retry_budget.record_first_attempt(percent, max_saved);
        }
        let query = TargetQuery {
            fleet: &exchange.fleet,
            service,
            data_centre: &self.state.data_centre,
            affinity: None,
            assumed_slowdown: MEAN_SLOWDOWN,
            members: &exchange.fleet.view.members,
            excluded: &exchange.targets,
            remote_cost: remote_cost(exchange),
            now: self.state.clock.now(),
        };
        let Some(choice) = self.policy.pick(&query, &mut rand::rng()) else {
            let detail = format!("no target of {} takes requests", service.intent.service);
            return Err(Refusal::not_run(ReasonCode::NoTarget, detail));
        };
        let now = query.now;
        let dispatch = trace_of(exchange, choice, rule, now);
        exchange.trace.add_dispatch(dispatch);
        exchange.targets.push(choice.target);
        Ok(())
    }

    /// Sends the request to the picked target and records what becomes of it.
    pub(super) async fn attempt(
        &self,
        exchange: &mut Exchange,
        next: FilterNext<'_>,
    ) -> FilterResult {
        let Some(record) = AttemptRecord::start(self, exchange) else {
            return Err(Refusal::not_run(ReasonCode::NoTarget, "the picked target was removed"));
        };
        let result = next.run(exchange).await;
        record.finish(&result);
        result
    }

    fn may_retry(
        &self,
        exchange: &Exchange,
        count: DispatchCount,
        refusal: &Refusal,
        body: &ResendBody,
    ) -> bool {
        let permit = exchange.head.extensions.get::<PermitHandle>();
        if permit.is_some_and(|permit| !permit.renew()) {
            return false;
        }
        let failure = (refusal.reason, refusal.outcome);
        let now = self.state.clock.now();
        allows_retry(&exchange.facts, count, failure, body.is_resendable(exchange), now)
    }

    /// Asks for another target, which is charged to the retry budget.
    pub(super) async fn place_again(&self, exchange: &mut Exchange, attempt: AttemptKind) -> bool {
        let placement = self.placement.place_again(exchange, attempt).await;
        let Some(placement) = placement else { return false };
        exchange.apply_placement(placement);
        true
    }
}

impl RequestFilter for RouteFilter {
    fn name(&self) -> &'static str {
        "route"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(self.route(exchange, next))
    }
}

fn trace_of(
    exchange: &Exchange,
    choice: TargetChoice,
    rule: Option<ReasonCode>,
    now: Timestamp,
) -> DispatchTrace {
    let uses_report = matches!(
        choice.reason,
        ReasonCode::LowestReport
            | ReasonCode::ProbedCold
            | ReasonCode::HomeSlot
            | ReasonCode::ShortestWait
    );
    let target = exchange.fleet.targets.get(choice.target);
    let reported_at =
        target.map_or(0, |target| target.counters.reported_at.load(Ordering::Relaxed));
    let age_us = u32::try_from(now.0.saturating_sub(reported_at)).unwrap_or(u32::MAX);
    DispatchTrace {
        target: choice.target,
        rule: rule.unwrap_or(choice.reason),
        candidates: choice.candidates,
        dispatched: now,
        report_age_us: (uses_report && reported_at > 0).then_some(age_us),
    }
}

/// Share of the time of work that keeping a request in its data centre is worth,
/// whatever its size.
const BASE_REMOTE_COST: f32 = 0.05;

/// Body size at which sending a request to another data centre is worth avoiding as
/// much as [`BODY_REMOTE_COST`] of its time of work, in bytes. Traffic between data
/// centres is paid for by the byte.
const REMOTE_BYTES: f32 = 65_536.0;

/// Share of the time of work that keeping such a body in its data centre is worth: a
/// target there that is nearly full goes before one elsewhere, one slowed five-fold
/// does not.
const BODY_REMOTE_COST: f32 = 1.5;

/// Longest detour in time that a large body justifies, as a share of its work.
const MAX_REMOTE_COST: f32 = 2.0;

/// Gives the share of the time of work that keeping a request in its data centre is
/// worth.
pub fn remote_cost(exchange: &Exchange) -> f32 {
    let body = exchange.head.extensions.get::<BufferedBody>().map_or(0, |body| body.0.len());
    (BASE_REMOTE_COST + body as f32 / REMOTE_BYTES * BODY_REMOTE_COST).min(MAX_REMOTE_COST)
}

/// Combines the refusals of two attempts. A request of which one attempt may
/// have run must not be reported as not run.
pub(super) fn combine_refusals(earlier: Option<Refusal>, later: Refusal) -> Refusal {
    match earlier {
        Some(earlier)
            if earlier.outcome != CallOutcome::NotRun && later.outcome == CallOutcome::NotRun =>
        {
            earlier
        }
        _ => later,
    }
}

/// Whether and how the body of a request can be sent again.
enum ResendBody {
    Empty,
    Buffered(BufferedBody),
    Once,
}

impl ResendBody {
    fn of(exchange: &Exchange) -> Self {
        if let Some(buffered) = exchange.head.extensions.get::<BufferedBody>() {
            return Self::Buffered(buffered.clone());
        }
        match &exchange.body {
            Some(body) if !body.is_end_stream() => Self::Once,
            _ => Self::Empty,
        }
    }

    fn is_resendable(&self, exchange: &Exchange) -> bool {
        !matches!(self, Self::Once) || exchange.body.is_some()
    }

    fn restore(&self, exchange: &mut Exchange) {
        match self {
            Self::Empty => exchange.body = Some(empty_body()),
            Self::Buffered(buffered) => exchange.body = Some(full_body(buffered.0.clone())),
            Self::Once => {}
        }
    }
}
