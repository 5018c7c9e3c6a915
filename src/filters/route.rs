//! Picks the target of a request, and another one for a retry.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::future::BoxFuture;
use http_body::Body;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::DispatchTrace;
use zinniaport_core::placement::AttemptKind;
use zinniaport_core::policy::{MEAN_SLOWDOWN, RoutingPolicy, TargetChoice, TargetQuery};
use zinniaport_core::retry::{DispatchCount, allows_retry};

use super::attempt::AttemptRecord;
use super::quota::{renew_token, take_again};
use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{Exchange, empty_body, with_prefix};
use crate::gate::{BufferedBody, PermitHandle};
use crate::held::{MAX_SLOT_WAIT, TRANSFER_BYTES};
use crate::placement::{CallPlacement, Placement};
use crate::refusal::Refusal;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Greatest number of targets that are picked for one attempt: a cold target may have got its
/// last request for now after it was compared with the others.
const MAX_PICKS: u32 = 4;

/// Sends a request to the target that the placement or the routing policy picked, and to
/// another one after a failure that allows a retry.
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
        let body = ResendBody::from_exchange(exchange);
        if let Some(held) = &mut exchange.held {
            held.grow(TRANSFER_BYTES, MAX_SLOT_WAIT).await?;
        }
        let mut dispatches = DispatchCount::default();
        let mut earlier: Option<Refusal> = None;
        loop {
            let rule = earlier.as_ref().map(|_| ReasonCode::Retried);
            let renewed = renew_token(&self.state, exchange).await;
            if let Err(refusal) = renewed.and_then(|()| self.pick(exchange, rule)) {
                return Err(Refusal::combine(earlier, refusal));
            }
            dispatches.begin();
            let result = match &body {
                ResendBody::Empty => self.attempt_hedged(exchange, next, &mut dispatches).await,
                _ => self.attempt(exchange, next).await,
            };
            let refusal = match result {
                Ok(response) => return Ok(response),
                Err(refusal) => Refusal::combine(earlier.take(), refusal),
            };
            dispatches.end(refusal.outcome());
            if !self.may_retry(exchange, dispatches, &refusal, &body)
                || !self.place_again(exchange, AttemptKind::Retry).await
                || !(refusal.promises_not_run() || self.take_again(exchange).await)
            {
                return Err(refusal);
            }
            body.restore(exchange);
            earlier = Some(refusal);
        }
    }

    /// Picks a target from the newest snapshot, since the request may have waited in a queue or
    /// for an earlier attempt. `rule` overrides the recorded reason of the choice.
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
            let dispatch = dispatch_trace(exchange, choice, rule, self.state.clock.now());
            exchange.trace.add_dispatch(dispatch);
            exchange.add_target(choice.target);
            return Ok(());
        }
        if exchange.targets.is_empty() {
            let max_retry_tokens = self.state.max_saved_retries.load(Ordering::Relaxed);
            let percent = service.intent.retry_percent;
            service.counters.retry_budget.record_first_attempt(percent, max_retry_tokens);
        }
        let query = TargetQuery {
            fleet: &exchange.fleet,
            service,
            data_centre: &self.state.data_centre,
            affinity: None,
            assumed_slowdown: MEAN_SLOWDOWN,
            members: &exchange.fleet.view.members,
            excluded: &exchange.sent_targets(&exchange.fleet, service),
            remote_cost: remote_cost(exchange),
            now: self.state.clock.now(),
        };
        let now = query.now;
        let share = 1.0 / service.table.entry_count.max(1) as f64;
        let mut picks = (0..MAX_PICKS).map_while(|_| self.policy.pick(&query, &mut rand::rng()));
        let choice = picks.find(|choice| {
            let Some(target) = exchange.fleet.targets.get(choice.target) else { return true };
            // Without a coordinator each entry uses an equal part of a request limit.
            target.counters.limit.set_share(share);
            target.counters.limit.try_take(now)
        });
        let Some(choice) = choice else {
            let detail = format!("no target of {} takes requests", service.intent.service);
            return Err(Refusal::not_run(ReasonCode::NoTarget, detail));
        };
        let dispatch = dispatch_trace(exchange, choice, rule, now);
        exchange.trace.add_dispatch(dispatch);
        exchange.add_target(choice.target);
        Ok(())
    }

    /// Sends the request to the picked target and records the outcome.
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
        dispatches: DispatchCount,
        refusal: &Refusal,
        body: &ResendBody,
    ) -> bool {
        let permit = exchange.head.extensions.get::<PermitHandle>();
        if permit.is_some_and(|permit| !permit.renew()) {
            return false;
        }
        let failure = (refusal.reason, refusal.outcome());
        let now = self.state.clock.now();
        allows_retry(&exchange.facts, dispatches, failure, body.is_resendable(exchange), now)
    }

    /// Requests a placement at another target, which spends from the retry budget. Returns
    /// `true` if one was granted.
    pub(super) async fn place_again(&self, exchange: &mut Exchange, attempt: AttemptKind) -> bool {
        let placement = self.placement.place_again(exchange, attempt).await;
        let Some(placement) = placement else { return false };
        exchange.apply_placement(placement);
        true
    }
}

impl RouteFilter {
    /// Takes another token for a dispatch after one that may have run. Without one, the placement
    /// is given back.
    pub(super) async fn take_again(&self, exchange: &mut Exchange) -> bool {
        let is_taken = take_again(&self.state, exchange).await;
        if !is_taken {
            exchange.apply_placement(Placement::default());
        }
        is_taken
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

fn dispatch_trace(
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

/// Cost of a target in another data centre for a request without a body, as a share of the
/// service time.
const EMPTY_BODY_REMOTE_COST: f32 = 0.05;

/// Body size for which sending the request to another data centre costs
/// [`BODY_REMOTE_COST`] more, in bytes. Traffic between data centres is paid for by the byte.
const REFERENCE_BODY_BYTES: f32 = 65_536.0;

/// Cost of sending a body of [`REFERENCE_BODY_BYTES`] to another data centre, as a share of the
/// service time. With it, a local target that is nearly full is preferred to a remote one,
/// and a local one that is slowed five-fold is not.
const BODY_REMOTE_COST: f32 = 1.5;

/// Maximum cost of a target in another data centre, as a share of the service time.
const MAX_REMOTE_COST: f32 = 2.0;

/// Returns the cost of sending a request to another data centre, as a share of its service
/// time.
pub fn remote_cost(exchange: &Exchange) -> f32 {
    let body = exchange.head.extensions.get::<BufferedBody>().map_or(0, BufferedBody::len);
    (EMPTY_BODY_REMOTE_COST + body as f32 / REFERENCE_BODY_BYTES * BODY_REMOTE_COST)
        .min(MAX_REMOTE_COST)
}

/// Whether the body of a request can be sent again, and how.
enum ResendBody {
    Empty,
    Buffered(BufferedBody),
    Streamed,
}

impl ResendBody {
    fn from_exchange(exchange: &Exchange) -> Self {
        if let Some(buffered) = exchange.head.extensions.get::<BufferedBody>() {
            return Self::Buffered(buffered.clone());
        }
        match &exchange.body {
            Some(body) if !body.is_end_stream() => Self::Streamed,
            _ => Self::Empty,
        }
    }

    fn is_resendable(&self, exchange: &Exchange) -> bool {
        !matches!(self, Self::Streamed) || exchange.body.is_some()
    }

    fn restore(&self, exchange: &mut Exchange) {
        match self {
            Self::Empty => exchange.body = Some(empty_body()),
            Self::Buffered(buffered) => {
                exchange.body = Some(with_prefix(buffered.0.clone(), empty_body()));
            }
            Self::Streamed => {}
        }
    }
}
