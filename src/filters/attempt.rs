//! One attempt of a request at a target: recording its outcome, and hedging it.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::{Either, select};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::TargetsMessage;
use zinniaport_core::fleet::{ServiceCounters, TargetCounters};
use zinniaport_core::keys::TargetKey;
use zinniaport_core::placement::AttemptKind;
use zinniaport_core::quarantine::{RunEnd, TargetProcess};
use zinniaport_core::retry::{DispatchCount, allows_hedge};

use super::{FilterNext, FilterResult, RouteFilter};
use crate::exchange::{CallResponse, Exchange, empty_body};
use crate::gate::PermitHandle;
use crate::refusal::Refusal;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Time for which a target that refused a request counts as shedding load if its refusal has
/// no `Retry-After`.
const DEFAULT_SHEDDING_TIME: Duration = Duration::from_millis(100);

/// Returns the time for which a target that refused a request counts as shedding load.
pub(super) fn shedding_time(refusal: &Refusal) -> Duration {
    refusal.retry_delay().unwrap_or(DEFAULT_SHEDDING_TIME)
}

/// Records the outcome of an attempt in the counters of its target.
pub struct AttemptRecord {
    state: Arc<SharedState>,
    targets: TargetsHandle,
    target: TargetKey,
    counters: Arc<TargetCounters>,
    service: Arc<ServiceCounters>,
    permit: Option<PermitHandle>,
    process: TargetProcess,
    started: Timestamp,
    finished: bool,
}

impl AttemptRecord {
    /// Starts the record of an attempt at the target that was picked last. Returns `None` if the
    /// target or the service was removed.
    pub fn start(filter: &RouteFilter, exchange: &Exchange) -> Option<Self> {
        let target = *exchange.targets.last()?;
        let snapshot = exchange.fleet.targets.get(target)?;
        Some(Self {
            state: filter.state.clone(),
            targets: filter.targets.clone(),
            target,
            counters: snapshot.counters.clone(),
            permit: exchange.head.extensions.get().cloned(),
            process: TargetProcess::of(snapshot),
            service: exchange.fleet.services.get(exchange.facts.service)?.counters.clone(),
            started: filter.state.clock.now(),
            finished: false,
        })
    }

    /// Records the response or refusal.
    pub fn finish(mut self, result: &FilterResult) {
        self.finished = true;
        let now = self.state.clock.now();
        if let Some(permit) = &self.permit {
            match result {
                Ok(_) => permit.end(RunEnd::Answered),
                Err(refusal) if refusal.reason == ReasonCode::TargetLost => {
                    permit.record_crash(self.process);
                }
                Err(refusal) if refusal.replaced_status.is_some() => permit.end(RunEnd::Answered),
                Err(_) => {}
            }
        }
        match result {
            Ok(response) => self.record_response(response, now),
            Err(refusal) => self.record_refusal(refusal, now),
        }
    }

    fn record_response(&self, response: &CallResponse, now: Timestamp) {
        if self.state.dialect.announces_drain(response.headers()) {
            self.targets.try_send(TargetsMessage::DrainStarted(self.target));
        }
        self.record_status(response.status(), now);
    }

    fn record_status(&self, status: StatusCode, now: Timestamp) {
        if status.is_server_error() {
            self.record_failure();
            return;
        }
        let latency = now.since(self.started);
        self.counters.record_success(latency);
        self.service.latency_quantile.record(latency);
        if let Some(load) = self.counters.report_since(self.started) {
            self.service.probes.add(self.target, load, latency, now);
        }
    }

    fn record_refusal(&self, refusal: &Refusal, now: Timestamp) {
        if refusal.target_drains {
            self.targets.try_send(TargetsMessage::DrainStarted(self.target));
        }
        if let Some(status) = refusal.replaced_status {
            self.record_status(status, now);
            return;
        }
        match refusal.reason {
            ReasonCode::TargetLost | ReasonCode::TargetUnreachable | ReasonCode::SpoiledAnswer => {
                self.record_failure();
            }
            // The directory is stale: another process has the address until it catches up.
            ReasonCode::WrongInstance => {
                self.targets.try_send(TargetsMessage::DrainStarted(self.target));
            }
            ReasonCode::TargetRefused => {
                self.counters.record_shedding(shedding_time(refusal), now);
                if let Some(period) = refusal.retry_delay() {
                    self.counters.record_pause(period, now);
                }
            }
            ReasonCode::DeadlinePassed => self.counters.record_latency(now.since(self.started)),
            _ => {}
        }
    }

    fn record_failure(&self) {
        self.counters.record_failure();
        self.targets.try_send(TargetsMessage::Failed(self.target));
    }
}

impl Drop for AttemptRecord {
    /// Records a lower bound of the latency of an attempt that was cancelled, such as the slower
    /// one of a hedged pair. Without it, slow targets would never be seen as slow.
    fn drop(&mut self) {
        if !self.finished {
            self.counters.record_latency(self.state.clock.now().since(self.started));
        }
    }
}

impl RouteFilter {
    /// Makes an attempt and, if it takes longer than most, a hedge at another target. The first
    /// response wins; the other attempt is dropped, which cancels it.
    pub(super) async fn attempt_hedged(
        &self,
        exchange: &mut Exchange,
        next: FilterNext<'_>,
        dispatches: &mut DispatchCount,
    ) -> FilterResult {
        let delays = self.hedge_delays(exchange);
        let has_delay = delays.iter().any(Option::is_some);
        let Some(mut copy) = has_delay.then(|| prepare_hedge(exchange)).flatten() else {
            return self.attempt(exchange, next).await;
        };
        let permit = copy.head.extensions.get::<PermitHandle>().cloned();
        let first_target = exchange.targets.last().and_then(|key| exchange.fleet.targets.get(*key));
        let counters = first_target.map(|target| target.counters.clone());
        let (started, sent) = (Instant::now(), self.state.clock.now());
        let result = {
            let mut first = pin!(self.attempt(&mut *exchange, next));
            let mut is_hedged = false;
            for (delay, cause) in delays.into_iter().flatten() {
                if let Ok(result) = timeout_at(started + delay, first.as_mut()).await {
                    return result;
                }
                // A target that responds to others works on this request too.
                let responds =
                    counters.as_ref().is_some_and(|target| target.report_since(sent).is_some());
                if cause == HedgeCause::Silence && responds {
                    continue;
                }
                permit.iter().for_each(|permit| {
                    copy.head.extensions.insert(permit.clone());
                });
                let start = pin!(self.start_hedge(&mut copy, *dispatches));
                let is_started = match select(first.as_mut(), start).await {
                    Either::Left((result, _)) => return result,
                    Either::Right((is_started, _)) => is_started,
                };
                if is_started {
                    is_hedged = true;
                    if cause == HedgeCause::Silence {
                        self.state.metrics.placement.silence_hedges.increment(1);
                    }
                    break;
                }
            }
            if !is_hedged {
                return first.await;
            }
            dispatches.begin();
            let second = pin!(self.attempt(&mut copy, next));
            match select(first, second).await {
                Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
                Either::Left((Err(refusal), second)) => {
                    second.await.map_err(|later| Refusal::combine(Some(refusal), later))
                }
                Either::Right((Err(refusal), first)) => {
                    first.await.map_err(|later| Refusal::combine(Some(refusal), later))
                }
            }
        };
        exchange.targets.extend(copy.targets.last());
        exchange.processes.extend(copy.processes.last());
        exchange.connections.extend(copy.connections.pop());
        if let Some(dispatch) = copy.trace.dispatches.iter().flatten().last() {
            exchange.trace.add_dispatch(*dispatch);
        }
        result
    }

    /// Returns the delays of the hedges of a request, the shortest first: the time after which its
    /// target counts as unresponsive, and the time that most requests take.
    fn hedge_delays(&self, exchange: &Exchange) -> [Option<(Duration, HedgeCause)>; 2] {
        let Some(service) = exchange.fleet.services.get(exchange.facts.service) else {
            return [None; 2];
        };
        let usual = service.counters.latency_quantile.get();
        let target = exchange.targets.last().and_then(|key| exchange.fleet.targets.get(*key));
        let median = service.table.median_latency_us.load(Ordering::Relaxed);
        let typical = (median > 0).then(|| Duration::from_micros(median));
        let silence = target.and_then(|target| {
            let slowdown = target.counters.slowdown_report(self.state.clock.now());
            let limit = self.state.silence.time_limit(typical, slowdown, false);
            limit.filter(|limit| usual.is_none_or(|usual| *limit < usual))
        });
        [
            silence.map(|delay| (delay, HedgeCause::Silence)),
            usual.map(|delay| (delay, HedgeCause::Latency)),
        ]
    }

    async fn start_hedge(&self, copy: &mut Exchange, dispatches: DispatchCount) -> bool {
        let started = fork_permit(copy)
            && allows_hedge(&copy.facts, dispatches, self.state.clock.now())
            && self.place_again(copy, AttemptKind::Hedge).await
            && self.take_again(copy).await
            && self.pick(copy, Some(ReasonCode::Hedged)).is_ok();
        if !started {
            copy.head.extensions.remove::<PermitHandle>();
        }
        started
    }
}

/// Acquires a quarantine permit for the copy. Returns `false` if the quarantine allows no
/// further copy of the request.
fn fork_permit(copy: &mut Exchange) -> bool {
    let Some(permit) = copy.head.extensions.remove::<PermitHandle>() else { return true };
    let Some(forked) = permit.fork() else { return false };
    copy.head.extensions.insert(forked);
    true
}

/// Why a request is hedged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HedgeCause {
    /// Its target has not responded to it, nor to any other request of this entry since.
    Silence,
    /// It takes longer than most.
    Latency,
}

/// Copies a request that may be hedged.
fn prepare_hedge(exchange: &Exchange) -> Option<Exchange> {
    if !exchange.facts.idempotent || exchange.facts.max_runs < 2 {
        return None;
    }
    let (request_id, fleet) = (exchange.request_id.clone(), exchange.fleet.clone());
    let request = http::Request::from_parts(exchange.head.clone(), empty_body());
    let mut copy = Exchange::new(request_id, fleet, request);
    copy.facts = exchange.facts;
    copy.target_headers.clone_from(&exchange.target_headers);
    copy.holder = exchange.holder.clone();
    copy.runs = exchange.runs.clone();
    copy.targets = exchange.targets.clone();
    copy.processes = exchange.processes.clone();
    copy.trace = exchange.trace;
    Some(copy)
}
