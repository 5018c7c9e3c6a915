//! The admission queue of one service, shared by all requests for it.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;
use zinniaport_core::admission::window::{HeadroomInput, ServiceHeadroom, service_headroom};
use zinniaport_core::admission::{
    AdmissionLimits, AdmissionRefusal, CallDemand, HONOURED_DELAY_DIVISOR, KindTerms,
    QueueDeparture, RefusedCall, RunQuantile, ServiceRate, WaitingTenants,
};
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::{ClockSource, Timestamp};
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::fleet::{FleetSnapshot, ServiceCounters, ServiceSnapshot};
use zinniaport_core::policy::TargetTable;

use super::queue::{GateQueue, MAX_OVERTAKES, orders_by_cost};
use super::slot::{QueuedRequest, SlotGuard};
use crate::telemetry::LineLimiter;

/// Minimum time between two computations of a service's concurrency window.
const MIN_WINDOW_PERIOD: Duration = Duration::from_millis(2);

/// Minimum time between two computations of a service's window, multiplied by the number of
/// targets in the fleet. A computation takes 9 ns per target, so this keeps all services
/// together below 0.2% of a core.
const WINDOW_PERIOD_PER_TARGET: Duration = Duration::from_micros(5);

/// Service time that is assumed until the first request has been served, in microseconds.
const INITIAL_SERVICE_TIME_US: u64 = 5_000;

/// Ratio of waiting requests to usable slots above which a service counts as overloaded.
/// At this ratio it takes a third of a service time until all of them have started.
const OVERLOAD_RATIO: f32 = 0.34;

/// Maximum random extension of `Retry-After`, as a share of it. The jitter keeps callers
/// that were refused together from retrying together.
const RETRY_JITTER: f64 = 0.5;

/// Why a request was not admitted. The request did not run.
pub type GateRefusal = AdmissionRefusal;

pub(super) type AdmissionResult = Result<(AdmissionTrace, SlotGuard), GateRefusal>;

/// Admits the requests of one service to its concurrency window.
///
/// A request joins the queue before it checks the window again, and a slot is released
/// before the queue is checked. Both sides use sequentially consistent operations, so at
/// least one of them sees the other and no wakeup is lost.
pub struct AdmissionGate {
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) counters: Arc<ServiceCounters>,
    admissions: Arc<AtomicU64>,
    /// Concurrency window of this entry, in requests.
    pub(super) window: AtomicU32,
    /// Time at which the window was computed last, in microseconds, or 0.
    pub(super) window_updated_at: AtomicU64,
    /// Length of the queue, readable without its mutex.
    pub(super) waiting: AtomicU32,
    /// Moving average of the service time, in microseconds.
    service_time_us: AtomicU64,
    run_quantile: RunQuantile,
    queue: Mutex<GateQueue>,
    /// Limits the lines on requests that leave the queue without being admitted.
    pub(super) limiter: LineLimiter,
    /// Targets of the service as of the last request.
    pub(super) table: ArcSwap<TargetTable>,
}

impl AdmissionGate {
    /// Creates a gate. `admissions` counts the admissions of all services of the entry.
    pub fn new(
        clock: Arc<dyn ClockSource>,
        counters: Arc<ServiceCounters>,
        admissions: Arc<AtomicU64>,
    ) -> Self {
        Self {
            clock,
            counters,
            admissions,
            window: AtomicU32::new(1),
            window_updated_at: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            service_time_us: AtomicU64::new(INITIAL_SERVICE_TIME_US),
            run_quantile: RunQuantile::default(),
            queue: Mutex::new(GateQueue::new()),
            limiter: LineLimiter::default(),
            table: ArcSwap::default(),
        }
    }

    /// Waits until the request may be dispatched.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted.
    pub async fn admit(
        self: &Arc<Self>,
        fleet: &FleetSnapshot,
        service: &ServiceSnapshot,
        facts: &CallFacts,
    ) -> Result<(AdmissionTrace, SlotGuard), GateRefusal> {
        self.admit_attempt(fleet, service, facts, false).await
    }

    /// Like [`Self::admit`]. `is_repeated` states whether the request was admitted before.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted.
    pub async fn admit_attempt(
        self: &Arc<Self>,
        fleet: &FleetSnapshot,
        service: &ServiceSnapshot,
        facts: &CallFacts,
        is_repeated: bool,
    ) -> Result<(AdmissionTrace, SlotGuard), GateRefusal> {
        let now = self.clock.now();
        if !Arc::ptr_eq(&self.table.load(), &service.table) {
            self.table.store(service.table.clone());
        }
        let period = WINDOW_PERIOD_PER_TARGET * fleet.targets.len() as u32;
        self.update_window(service, period.max(MIN_WINDOW_PERIOD), now);
        let by_cost = orders_by_cost(fleet, service);
        let demand = || self.demand(fleet, service, facts, is_repeated);
        if self.waiting.load(Ordering::SeqCst) == 0 && self.take_slot() {
            if by_cost {
                let demand = demand();
                let mut queue = self.lock();
                queue.choose_order(by_cost);
                queue.order.record_admission(&demand, now);
            }
            return Ok((self.immediate_trace(now), SlotGuard::new(self.clone(), now)));
        }
        let request = self.join(service, &demand(), by_cost, now)?;
        self.serve_queue();
        request.wait(facts.time_left(now)).await
    }

    /// Returns the rate at which slots become free for the requests of this entry.
    pub fn rate(&self) -> ServiceRate {
        let window = self.window.load(Ordering::Relaxed);
        ServiceRate { window, service_time: self.service_time(), enforces_soft_deadline: false }
    }

    /// Admits waiting requests that now find a free slot, and refuses those that can no
    /// longer be served before their deadline.
    pub fn refresh(self: &Arc<Self>) {
        if self.waiting.load(Ordering::SeqCst) == 0 {
            return;
        }
        self.serve_queue();
        let table = self.table.load();
        if !table.is_coordinated {
            return;
        }
        let unservable = {
            let rate = self.shared_rate(&table);
            let mut queue = self.lock();
            let unservable = queue.order.remove_unservable(self.clock.now(), rate);
            self.set_waiting(queue.order.waiting());
            unservable
        };
        for RefusedCall { waiter, retry_after } in unservable {
            let refusal = match retry_after {
                Some(delay) => GateRefusal {
                    reason: ReasonCode::DeadlineUnreachable,
                    retry_after: add_jitter(delay),
                },
                None => self.expired_refusal(),
            };
            let _ = waiter.send(Err(refusal));
        }
    }

    /// Charges the work of a hedge, which takes a slot without joining the queue, to its tenant.
    pub fn record_hedge(
        &self,
        fleet: &FleetSnapshot,
        service: &ServiceSnapshot,
        facts: &CallFacts,
    ) {
        if orders_by_cost(fleet, service) {
            let demand = self.demand(fleet, service, facts, true);
            self.lock().order.record_admission(&demand, self.clock.now());
        }
    }

    /// Returns the tenants with waiting requests.
    pub fn waiting_tenants(&self) -> WaitingTenants {
        match self.waiting.load(Ordering::Relaxed) {
            0 => WaitingTenants::default(),
            _ => self.lock().order.waiting_tenants(),
        }
    }

    fn demand(
        &self,
        fleet: &FleetSnapshot,
        service: &ServiceSnapshot,
        facts: &CallFacts,
        is_repeated: bool,
    ) -> CallDemand {
        let limit = fleet.tenant(facts.tenant).and_then(|tenant| tenant.limit);
        CallDemand {
            facts: *facts,
            kind: match service.kinds.get(facts.kind) {
                Some(kind) => KindTerms::of(kind),
                None => KindTerms::with_rank(facts.rank),
            },
            work: self.counters.kind_work.expected(facts.kind, self.nominal_service_time()),
            entitlement: limit.map(|limit| limit.requests_per_second as f32),
            is_repeated,
        }
    }

    /// Returns `true` if more requests wait than the targets can start within a third of a
    /// service time.
    fn is_overloaded(&self, table: &TargetTable) -> bool {
        let usable = self.headroom(table, 0).usable;
        let waiting = self.waiting.load(Ordering::Relaxed);
        waiting as f32 > usable as f32 * OVERLOAD_RATIO
    }

    pub(super) fn headroom(&self, table: &TargetTable, admitted: u32) -> ServiceHeadroom {
        let service = HeadroomInput { table, saturation: &self.counters.saturation };
        service_headroom(&service, admitted, self.clock.now())
    }

    /// Returns the service time at a target that is not slowed, or the average one if that is
    /// not known yet.
    pub(super) fn nominal_service_time(&self) -> Duration {
        self.counters.saturation.nominal_service_time().unwrap_or_else(|| self.service_time())
    }

    /// Returns the time within which most requests are answered at the current load.
    fn run_time_estimate(&self) -> Duration {
        self.run_quantile.estimate(self.nominal_service_time())
    }

    /// Records the time for which a request held its slot.
    pub(super) fn record_service_time(&self, sample: Duration) {
        self.run_quantile.record(sample, self.nominal_service_time());
        let sample = sample.as_micros() as u64;
        let average = self.service_time_us.load(Ordering::Relaxed);
        self.service_time_us.store((average * 15 + sample).div_ceil(16), Ordering::Relaxed);
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time_us.load(Ordering::Relaxed))
    }

    /// Returns the rate at which slots become free for the requests of all entries.
    fn shared_rate(&self, table: &TargetTable) -> ServiceRate {
        let window = self.headroom(table, 0).usable;
        let enforces_soft_deadline = self.is_overloaded(table);
        ServiceRate { window, service_time: self.nominal_service_time(), enforces_soft_deadline }
    }

    fn join(
        self: &Arc<Self>,
        service: &ServiceSnapshot,
        demand: &CallDemand,
        by_cost: bool,
        now: Timestamp,
    ) -> Result<QueuedRequest, GateRefusal> {
        let table = &service.table;
        let rate = if table.is_coordinated { self.shared_rate(table) } else { self.rate() };
        let (sender, result) = oneshot::channel();
        let max_waiting = service.intent.max_queue_length as usize;
        let (joined, queue_number) = {
            let mut queue = self.lock();
            queue.choose_order(by_cost);
            let limits = AdmissionLimits { max_waiting, max_overtakes: MAX_OVERTAKES };
            queue.order.set_limits(limits);
            let joined =
                queue.order.join(demand, sender, rate, now).map_err(|refusal| GateRefusal {
                    retry_after: match by_cost {
                        true => add_honoured_jitter(refusal.retry_after, &demand.facts, now),
                        false => add_jitter(refusal.retry_after),
                    },
                    ..refusal
                })?;
            self.set_waiting(queue.order.waiting());
            (joined, queue.number)
        };
        if let Some(displaced) = joined.displaced {
            let retry_after = rate.time_to_admit(max_waiting);
            let refusal = GateRefusal { reason: ReasonCode::QueueFull, retry_after };
            let _ = displaced.send(Err(refusal));
        }
        Ok(QueuedRequest {
            gate: self.clone(),
            key: joined.key,
            queue_number,
            result,
            demand: *demand,
            service: service.intent.clone(),
            kind: service.kinds.get(demand.facts.kind).cloned(),
            version: service.version,
            is_returned: joined.is_returned,
            joined: now,
        })
    }

    /// Admits waiting requests while slots are free. Slots of targets that are not slowed go
    /// first to requests that can still meet their soft deadline; slots of slowed targets go
    /// only to requests that can meet it there too, or not at all.
    pub(super) fn serve_queue(self: &Arc<Self>) {
        while self.waiting.load(Ordering::SeqCst) > 0 {
            let slowed_slot = match self.take_slot() {
                true => None,
                false => match self.take_slowed_slot() {
                    Some(slot) => Some(slot),
                    None => return,
                },
            };
            let now = self.clock.now();
            let guard = SlotGuard::new(self.clone(), now);
            let departure = {
                let mut queue = self.lock();
                let run_time = self.run_time_estimate();
                let departure = match slowed_slot {
                    None => queue.order.take_next(now, run_time),
                    Some(slot) => queue.order.take_slowed(now, run_time, slot.slowdown),
                };
                self.set_waiting(queue.order.waiting());
                departure
            };
            match departure {
                Some(QueueDeparture::Admitted(trace, sender)) => {
                    let admission_number = self.next_admission_number();
                    let trace = AdmissionTrace { admission_number, ..trace };
                    // If the receiver is gone, the guard is dropped, which frees the slot.
                    let _ = sender.send(Ok((trace, guard)));
                }
                Some(QueueDeparture::Expired(sender)) => {
                    guard.release();
                    let _ = sender.send(Err(self.expired_refusal()));
                }
                None => {
                    guard.release();
                    return;
                }
            }
        }
    }

    pub(super) fn expired_refusal(&self) -> GateRefusal {
        let waiting = self.waiting.load(Ordering::Relaxed) as usize;
        let retry_after = add_jitter(self.rate().time_to_admit(waiting + 1));
        GateRefusal { reason: ReasonCode::DeadlineUnreachable, retry_after }
    }

    fn immediate_trace(&self, now: Timestamp) -> AdmissionTrace {
        AdmissionTrace {
            rule: ReasonCode::AdmittedAtOnce,
            queued: now,
            admitted: now,
            admission_number: self.next_admission_number(),
            queue_length: 0,
            overtaken: 0,
        }
    }

    fn next_admission_number(&self) -> u64 {
        self.admissions.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn set_waiting(&self, waiting: usize) {
        self.waiting.store(waiting as u32, Ordering::SeqCst);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, GateQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns `delay` with a random extension, so that callers do not retry at the same time.
pub fn add_jitter(delay: Duration) -> Duration {
    delay.mul_f64(1.0 + rand::random_range(0.0..RETRY_JITTER))
}

/// Like [`add_jitter`], but a delay that the caller honours stays one.
fn add_honoured_jitter(delay: Duration, facts: &CallFacts, now: Timestamp) -> Duration {
    let honoured = facts.time_left(now) / HONOURED_DELAY_DIVISOR;
    let extended = add_jitter(delay);
    if delay <= honoured { extended.min(honoured) } else { extended }
}
