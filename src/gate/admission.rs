//! The admission queue of one service, shared by all requests for it.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;
use zinniaport_core::admission::window::{
    HeadroomInput, ServiceHeadroom, concurrency_window, service_headroom,
};
use zinniaport_core::admission::{
    AdmissionLimits, AdmissionQueue, AdmissionRefusal, QueueDeparture, RunQuantile, ServiceRate,
    WaitKey,
};
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::{ClockSource, Timestamp};
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::fleet::{FleetSnapshot, ServiceCounters, ServiceSnapshot};
use zinniaport_core::policy::TargetTable;

/// Requests of better ranks that go ahead of a rank before it goes next. At 8, a
/// backlog of lookups leaves one slot in nine to uploads.
const MAX_OVERTAKES: u32 = 8;

/// Shortest time between two computations of a service's window.
const MIN_WINDOW_PERIOD: Duration = Duration::from_millis(2);

/// Least time between two computations of a window for each target of the fleet.
/// A computation takes 9 ns per target, which keeps all services together below
/// 0.2% of a core.
const WINDOW_PERIOD_PER_TARGET: Duration = Duration::from_micros(5);

/// Service time assumed before the first request was served.
const FIRST_SERVICE_TIME_US: u64 = 5_000;

/// Requests that wait, as a share of the slots in use, above which a service is
/// overloaded: a third of the time of a request passes until they have begun.
const OVERLOAD_SHARE: f32 = 0.34;

/// Least share of `Retry-After` by which callers that were refused together are
/// spread, so that they do not return together.
const RETURN_SPREAD: f64 = 0.5;

/// Why a request was not admitted. It certainly did not run.
pub type GateRefusal = AdmissionRefusal;

type GateQueue = AdmissionQueue<oneshot::Sender<Verdict>>;
type Verdict = Result<(AdmissionTrace, SlotGuard), GateRefusal>;

/// Admits the requests of one service to its concurrency window.
///
/// A request joins the queue before it looks at the window again, and a slot is
/// given back before the queue is looked at; both use sequentially consistent
/// operations, so that one of the two sides sees the other and no wake is lost.
pub struct AdmissionGate {
    clock: Arc<dyn ClockSource>,
    counters: Arc<ServiceCounters>,
    admissions: Arc<AtomicU64>,
    window: AtomicU32,
    window_at: AtomicU64,
    waiting: AtomicU32,
    service_time_us: AtomicU64,
    run_spread: RunQuantile,
    queue: Mutex<GateQueue>,
    /// The targets as of the last look.
    table: ArcSwap<TargetTable>,
}

impl AdmissionGate {
    /// Creates a gate. `admissions` counts the admissions of the whole entry.
    pub fn new(
        clock: Arc<dyn ClockSource>,
        counters: Arc<ServiceCounters>,
        admissions: Arc<AtomicU64>,
    ) -> Self {
        let limits = AdmissionLimits { max_waiting: 0, max_overtakes: MAX_OVERTAKES };
        Self {
            clock,
            counters,
            admissions,
            window: AtomicU32::new(1),
            window_at: AtomicU64::new(0),
            waiting: AtomicU32::new(0),
            service_time_us: AtomicU64::new(FIRST_SERVICE_TIME_US),
            run_spread: RunQuantile::default(),
            queue: Mutex::new(AdmissionQueue::new(limits)),
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
        let now = self.clock.now();
        if !Arc::ptr_eq(&self.table.load(), &service.table) {
            self.table.store(service.table.clone());
        }
        let period = WINDOW_PERIOD_PER_TARGET * fleet.targets.len() as u32;
        self.update_window(service, period.max(MIN_WINDOW_PERIOD), now);
        if self.waiting.load(Ordering::SeqCst) == 0 && self.take_slot() {
            return Ok((self.trace_at_once(now), SlotGuard::new(self.clone(), now)));
        }
        let place = self.join(service, facts, now)?;
        self.serve_queue();
        place.wait(facts.time_left(now)).await
    }

    /// Gives the rate at which slots become free for this entry.
    pub fn rate(&self) -> ServiceRate {
        let window = self.window.load(Ordering::Relaxed);
        ServiceRate { window, service_time: self.service_time(), enforces_soft_deadline: false }
    }

    /// Looks again for room for the requests that wait, and refuses those that
    /// cannot be served any more.
    pub fn refresh(self: &Arc<Self>) {
        if self.waiting.load(Ordering::SeqCst) == 0 {
            return;
        }
        self.serve_queue();
        let table = self.table.load();
        if !table.is_coordinated {
            return;
        }
        let overloaded = self.is_overloaded(&table);
        let given_up = {
            let mut queue = self.lock();
            let given_up = queue.remove_unservable(self.clock.now(), self.usual_time(), overloaded);
            self.note_waiting(queue.len());
            given_up
        };
        for sender in given_up {
            let _ = sender.send(Err(self.expired()));
        }
    }

    /// Tells whether more requests wait than the targets can begin within a fraction
    /// of the time of one.
    fn is_overloaded(&self, table: &TargetTable) -> bool {
        let usable = self.room(table, 0).usable;
        let waiting = self.waiting.load(Ordering::Relaxed);
        waiting as f32 > usable as f32 * OVERLOAD_SHARE
    }

    fn room(&self, table: &TargetTable, admitted: u32) -> ServiceHeadroom {
        let service = HeadroomInput { table, saturation: &self.counters.saturation };
        service_headroom(&service, admitted, self.clock.now())
    }

    /// Gives the time that a request takes at a target that is not slowed, as far as
    /// that is known.
    fn usual_time(&self) -> Duration {
        self.counters.saturation.nominal_service_time().unwrap_or_else(|| self.service_time())
    }

    /// Gives the time within which most requests are answered at the present load.
    fn sure_time(&self) -> Duration {
        self.run_spread.estimate(self.usual_time())
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time_us.load(Ordering::Relaxed))
    }

    /// Gives the rate at which slots become free for the requests of all entries.
    fn shared_rate(&self, table: &TargetTable) -> ServiceRate {
        let window = self.room(table, 0).usable;
        let useful_only = self.is_overloaded(table);
        ServiceRate { window, service_time: self.usual_time(), enforces_soft_deadline: useful_only }
    }

    fn join(
        self: &Arc<Self>,
        service: &ServiceSnapshot,
        facts: &CallFacts,
        now: Timestamp,
    ) -> Result<WaitPlace, GateRefusal> {
        let table = &service.table;
        let rate = if table.is_coordinated { self.shared_rate(table) } else { self.rate() };
        let (sender, verdict) = oneshot::channel();
        let max_waiting = service.intent.max_queue_length as usize;
        let joined = {
            let mut queue = self.lock();
            queue.set_limits(AdmissionLimits { max_waiting, max_overtakes: MAX_OVERTAKES });
            let joined = queue.join(facts, sender, rate, now).map_err(|refusal| GateRefusal {
                retry_after: spread(refusal.retry_after),
                ..refusal
            })?;
            self.note_waiting(queue.len());
            joined
        };
        if let Some(displaced) = joined.displaced {
            let retry_after = rate.time_to_admit(max_waiting);
            let refusal = GateRefusal { reason: ReasonCode::QueueFull, retry_after };
            let _ = displaced.send(Err(refusal));
        }
        Ok(WaitPlace { gate: self.clone(), key: joined.key, verdict })
    }

    /// Admits waiting requests while slots are free: to targets at their usual pace
    /// those that can still be useful before others, to slowed ones only the others.
    fn serve_queue(self: &Arc<Self>) {
        while self.waiting.load(Ordering::SeqCst) > 0 {
            let useful = self.take_slot();
            if !useful && !self.take_slow_slot() {
                return;
            }
            let now = self.clock.now();
            let guard = SlotGuard::new(self.clone(), now);
            let departure = {
                let mut queue = self.lock();
                let departure = match useful {
                    true => queue.take_next(now, self.sure_time()),
                    false => queue.take_late(now, self.sure_time()),
                };
                self.note_waiting(queue.len());
                departure
            };
            match departure {
                Some(QueueDeparture::Admitted(trace, sender)) => {
                    let admission_number = self.next_number();
                    let trace = AdmissionTrace { admission_number, ..trace };
                    // A receiver that is gone drops the guard, which frees the slot.
                    let _ = sender.send(Ok((trace, guard)));
                }
                Some(QueueDeparture::Expired(sender)) => {
                    guard.give_back();
                    let _ = sender.send(Err(self.expired()));
                }
                None => {
                    guard.give_back();
                    return;
                }
            }
        }
    }

    fn expired(&self) -> GateRefusal {
        let waiting = self.waiting.load(Ordering::Relaxed) as usize;
        let retry_after = spread(self.rate().time_to_admit(waiting + 1));
        GateRefusal { reason: ReasonCode::DeadlineUnreachable, retry_after }
    }

    fn trace_at_once(&self, now: Timestamp) -> AdmissionTrace {
        AdmissionTrace {
            rule: ReasonCode::AdmittedAtOnce,
            queued: now,
            admitted: now,
            admission_number: self.next_number(),
            queue_length: 0,
            overtaken: 0,
        }
    }

    fn next_number(&self) -> u64 {
        self.admissions.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn note_waiting(&self, waiting: usize) {
        self.waiting.store(waiting as u32, Ordering::SeqCst);
    }

    fn take_slot(&self) -> bool {
        let table = self.table.load();
        if table.is_coordinated && !table.available.is_empty() {
            return self.claim_room(&table);
        }
        let window = self.window.load(Ordering::SeqCst);
        let take = |in_flight: u32| (in_flight < window).then_some(in_flight + 1);
        let taken = self.counters.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.is_ok()
    }

    /// Takes room that the requests of all entries leave.
    fn claim_room(&self, table: &TargetTable) -> bool {
        let claim = |admitted| (self.room(table, admitted).free > 0).then_some(admitted + 1);
        self.counters.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, claim).is_ok()
    }

    /// Takes room at slowed targets.
    fn take_slow_slot(&self) -> bool {
        let table = self.table.load();
        if !table.is_coordinated {
            return false;
        }
        let claim = |admitted| (self.room(&table, admitted).slowed > 0).then_some(admitted + 1);
        self.counters.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, claim).is_ok()
    }

    /// Takes a slot that no request waits for.
    pub fn take_idle_slot(self: &Arc<Self>, service: &ServiceSnapshot) -> Option<SlotGuard> {
        let spare = self.waiting.load(Ordering::SeqCst) == 0 && self.claim_room(&service.table);
        spare.then(|| SlotGuard::new(self.clone(), self.clock.now()))
    }

    fn update_window(
        self: &Arc<Self>,
        service: &ServiceSnapshot,
        period: Duration,
        now: Timestamp,
    ) {
        let last = self.window_at.load(Ordering::Relaxed);
        if last != 0 && now.since(Timestamp(last)) < period {
            return;
        }
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        if self.window_at.compare_exchange(last, now.0, success, failure).is_err() {
            return;
        }
        let in_flight = self.counters.in_flight.load(Ordering::Relaxed);
        // Requests without an open target go on, to be refused by the router.
        let window = concurrency_window(&service.table, in_flight, now).max(1);
        if window > self.window.swap(window, Ordering::SeqCst) {
            self.serve_queue();
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Draws a delay of at least `delay`, so that callers return one by one.
fn spread(delay: Duration) -> Duration {
    delay.mul_f64(1.0 + rand::random_range(0.0..RETURN_SPREAD))
}

/// A place in the queue, given up when the request stops waiting.
struct WaitPlace {
    gate: Arc<AdmissionGate>,
    key: WaitKey,
    verdict: oneshot::Receiver<Verdict>,
}

impl WaitPlace {
    async fn wait(mut self, limit: Duration) -> Verdict {
        match tokio::time::timeout(limit, &mut self.verdict).await {
            Ok(Ok(verdict)) => verdict,
            _ => Err(self.gate.expired()),
        }
    }
}

impl Drop for WaitPlace {
    fn drop(&mut self) {
        let mut queue = self.gate.lock();
        let removed = queue.remove(self.key);
        self.gate.note_waiting(queue.len());
        drop(queue);
        drop(removed);
    }
}

/// A slot of the concurrency window, given back when dropped.
pub struct SlotGuard {
    gate: Arc<AdmissionGate>,
    taken: Option<Timestamp>,
}

impl SlotGuard {
    fn new(gate: Arc<AdmissionGate>, now: Timestamp) -> Self {
        Self { gate, taken: Some(now) }
    }

    /// Gives back a slot that served no request.
    fn give_back(mut self) {
        self.taken = None;
        self.gate.counters.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let Some(taken) = self.taken else { return };
        let sample = self.gate.clock.now().since(taken);
        self.gate.run_spread.record(sample, self.gate.usual_time());
        let sample = sample.as_micros() as u64;
        let average = self.gate.service_time_us.load(Ordering::Relaxed);
        self.gate.service_time_us.store((average * 15 + sample).div_ceil(16), Ordering::Relaxed);
        self.gate.counters.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.gate.serve_queue();
    }
}
