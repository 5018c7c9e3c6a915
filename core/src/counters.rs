//! Counters of targets and services, which the request path updates without locks.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::admission::KindWork;
use crate::clock::Timestamp;
use crate::placement::HeadroomGauge;
use crate::policy::ProbePool;
use crate::request_limit::LimitState;
use crate::retry::{LatencyQuantile, RetryBudget};
use crate::saturation::SaturationMonitor;
use crate::silence::SilenceMonitor;

/// Maximum time for which a target counts as shedding load after one announcement. A target
/// that sheds load for longer announces it again.
pub const MAX_SHED_TIME: Duration = Duration::from_secs(1);

/// Maximum time for which a target gets no requests after it asked for none. One that still
/// wants none asks again.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Service time of a target that is not slowed by its neighbours, in percent of its nominal
/// service time.
pub const NO_SLOWDOWN_PERCENT: u32 = 100;

/// Age up to which the load that a target reported counts in addition to the requests placed
/// there, about the duration of the shortest kind of request.
const TRUSTED_LOAD_AGE: Duration = Duration::from_millis(50);

/// Age at which a reported slowdown is no longer meaningful. Neighbours that slow a target
/// come and go within about 150 ms.
pub const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(150);

/// Time without a response to a probe after which a target counts as unresponsive.
const PROBE_RESPONSE_TIME: Duration = Duration::from_millis(10);

/// Reported service time, in percent of the nominal one, from which on a target counts as
/// slowed by its neighbours.
const SLOWED_PERCENT: u32 = 250;

/// Time for which an entry prefers another part of a service after a request waited in one. A
/// burst lasts for seconds, and the queue of a part changes within a service time.
const PRESSURE_TIME: Duration = Duration::from_millis(250);

/// Load that a target reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests that wait for one of its slots.
    pub waiting: u32,
    /// Current service time in percent of the nominal one. Noisy neighbours raise it.
    pub slowdown_percent: u32,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self { running: 0, waiting: 0, slowdown_percent: NO_SLOWDOWN_PERCENT }
    }
}

impl From<u32> for LoadReport {
    /// Creates the report of a target that states only its number of requests.
    fn from(requests: u32) -> Self {
        Self { running: requests, ..Self::default() }
    }
}

/// Counters of a target that the request path updates without locks.
#[derive(Debug, Default)]
pub struct TargetCounters {
    /// Requests of this entry in flight.
    pub in_flight: AtomicU32,
    /// Load that the target last reported: requests running and queued.
    pub reported_load: AtomicU32,
    /// Service time that the target last reported, in percent of its nominal one; 0 before
    /// the first report.
    pub reported_slowdown: AtomicU32,
    /// When the last report arrived, including those of the slowdown alone, in microseconds.
    pub reported_at: AtomicU64,
    /// When the last report with a load arrived, in microseconds.
    pub load_reported_at: AtomicU64,
    /// Requests of this entry in flight when the reported load arrived.
    pub in_flight_at_report: AtomicU32,
    /// Requests of all entries that this entry placed there as the coordinator of the
    /// service and that have not ended.
    pub placed: AtomicU32,
    /// When the last probe was sent, in microseconds.
    pub last_probe_at: AtomicU64,
    /// When the first probe since the last report was sent, in microseconds.
    pub first_unanswered_probe_at: AtomicU64,
    /// Moving average of the time to the response head, in microseconds; 0 before the first
    /// response.
    pub latency_us: AtomicU64,
    /// Failures since the last success.
    pub consecutive_failures: AtomicU32,
    /// Moving average of the share of failed requests, in units of 1/1024.
    pub failure_share: AtomicU32,
    /// Time until which the target sheds load, in microseconds.
    pub shedding_until: AtomicU64,
    /// Time until which the target asked this entry for no requests, in microseconds.
    pub paused_until: AtomicU64,
    /// Limit on requests per second that the target stated.
    pub limit: LimitState,
    /// Whether the target responds to the requests that this entry placed there.
    pub silence: SilenceMonitor,
    /// Whether the data centre of the target is evacuated.
    evacuated: AtomicBool,
}

impl TargetCounters {
    /// Sets whether the data centre of the target is evacuated.
    pub fn set_evacuated(&self, evacuated: bool) {
        self.evacuated.store(evacuated, Ordering::Release);
    }

    /// Returns `true` if the data centre of the target is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.load(Ordering::Acquire)
    }

    /// Records a load report that arrived at `now`.
    pub fn record_report(&self, report: LoadReport, now: Timestamp) {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.in_flight_at_report.store(in_flight, Ordering::Relaxed);
        self.reported_load.store(report.running + report.waiting, Ordering::Relaxed);
        self.reported_slowdown.store(report.slowdown_percent, Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.load_reported_at.store(now.0, Ordering::Relaxed);
    }

    /// Estimates the number of requests running and queued at the target: those placed there,
    /// or more if a recent report states more, because other entries may place requests too. A
    /// report may include the request that it responds to, so a difference of one is ignored.
    pub fn estimated_requests(&self, now: Timestamp) -> u32 {
        let placed = self.placed.load(Ordering::Relaxed);
        let is_recent =
            now.since(Timestamp(self.load_reported_at.load(Ordering::Relaxed))) <= TRUSTED_LOAD_AGE;
        let reported = self.reported_load.load(Ordering::Relaxed);
        let reported = if is_recent && reported > placed + 1 { reported - 1 } else { 0 };
        placed.max(reported)
    }

    /// Counts a request that this entry places at the target.
    pub fn record_placement(&self, now: Timestamp) {
        self.limit.take(now);
        self.placed.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a request that this entry places at the target, unless the target is cold and takes
    /// none now. Returns `true` if it was counted.
    pub fn try_record_placement(&self, now: Timestamp) -> bool {
        let is_taken = self.limit.try_take(now);
        if is_taken {
            self.placed.fetch_add(1, Ordering::SeqCst);
        }
        is_taken
    }

    /// Returns the service time that the target last reported, in percent of its nominal one
    /// (0 before the first report), and the age of that report.
    pub fn slowdown_report(&self, now: Timestamp) -> (u32, Duration) {
        let reported = Timestamp(self.reported_at.load(Ordering::Relaxed));
        (self.reported_slowdown.load(Ordering::Relaxed), now.since(reported))
    }

    /// Returns `true` if the target recently reported that its neighbours slow it.
    pub fn is_slowed(&self, now: Timestamp) -> bool {
        let (slowdown, age) = self.slowdown_report(now);
        slowdown >= SLOWED_PERCENT && age <= MAX_SLOWDOWN_AGE
    }

    /// Records that a probe is sent.
    pub fn record_probe(&self, now: Timestamp) {
        if !self.has_unanswered_probe() {
            self.first_unanswered_probe_at.store(now.0, Ordering::Relaxed);
        }
        self.last_probe_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns `true` if the target has not responded to a probe or to the requests placed there
    /// in time. Sending another probe does not reset this.
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.silence.is_silent(self.placed.load(Ordering::Relaxed), now)
            || self.is_unresponsive_to_probes(now)
    }

    fn is_unresponsive_to_probes(&self, now: Timestamp) -> bool {
        let since = Timestamp(self.first_unanswered_probe_at.load(Ordering::Relaxed));
        self.has_unanswered_probe() && now.since(since) >= PROBE_RESPONSE_TIME
    }

    /// Returns `true` if the target has not reported since it was probed.
    pub fn has_unanswered_probe(&self) -> bool {
        self.first_unanswered_probe_at.load(Ordering::Relaxed)
            > self.reported_at.load(Ordering::Relaxed)
    }

    /// Records a service time, in percent of the nominal one, that the target reported to
    /// another entry `age` ago. Ignores it if a newer report is known.
    pub fn record_slowdown(&self, slowdown_percent: u32, age: Duration, now: Timestamp) {
        let reported = (now - age).0;
        if self.reported_at.load(Ordering::Relaxed) < reported {
            self.reported_at.store(reported, Ordering::Relaxed);
            self.reported_slowdown.store(slowdown_percent, Ordering::Relaxed);
        }
    }

    /// Records a response whose head arrived after `latency`. Concurrent updates may overwrite
    /// one another, which changes the averages by one sample at most.
    pub fn record_success(&self, latency: Duration) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        let share = self.failure_share.load(Ordering::Relaxed);
        self.failure_share.store(share - share.div_ceil(8), Ordering::Relaxed);
        self.record_latency(latency);
    }

    /// Adds a sample to the moving average of the time to the response head.
    pub fn record_latency(&self, latency: Duration) {
        let sample = (latency.as_micros() as u64).max(1);
        let average = match self.latency_us.load(Ordering::Relaxed) {
            0 => sample,
            average => (average * 7 + sample).div_ceil(8),
        };
        self.latency_us.store(average, Ordering::Relaxed);
    }

    /// Returns the reported load if the report arrived at `time` or later.
    pub fn report_since(&self, time: Timestamp) -> Option<u32> {
        let is_recent = self.reported_at.load(Ordering::Relaxed) >= time.0;
        is_recent.then(|| self.reported_load.load(Ordering::Relaxed))
    }

    /// Records a failure and returns the number of consecutive failures.
    pub fn record_failure(&self) -> u32 {
        let share = self.failure_share.load(Ordering::Relaxed);
        self.failure_share.store(share + (1024 - share.min(1024)) / 8, Ordering::Relaxed);
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that the target sheds load for `period`, at most [`MAX_SHED_TIME`].
    pub fn record_shedding(&self, period: Duration, now: Timestamp) {
        let until = now + period.min(MAX_SHED_TIME);
        self.shedding_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns `true` if the target sheds load.
    pub fn is_shedding(&self, now: Timestamp) -> bool {
        now.0 < self.shedding_until.load(Ordering::Relaxed)
    }

    /// Records that the target asked this entry for no requests for `period`, at most
    /// [`MAX_PAUSE`].
    pub fn record_pause(&self, period: Duration, now: Timestamp) {
        let until = now + period.min(MAX_PAUSE);
        self.paused_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns the time for which the target still wants no requests of this entry, if any.
    pub fn pause_left(&self, now: Timestamp) -> Option<Duration> {
        let left = Timestamp(self.paused_until.load(Ordering::Relaxed)).since(now);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Returns `true` if this entry must not send the target a request: the target asked for
    /// none, or its request limit is used up.
    pub fn is_barred(&self, now: Timestamp) -> bool {
        self.pause_left(now).is_some() || self.limit.is_exhausted(now)
    }

    /// Returns `true` if the target sheds load or must not get a request.
    pub fn is_closed(&self, now: Timestamp) -> bool {
        self.is_shedding(now) || self.is_barred(now)
    }
}

/// Counters of a service that the request path updates without locks.
#[derive(Debug, Default)]
pub struct ServiceCounters {
    /// Requests of this entry in flight.
    pub in_flight: AtomicU32,
    /// Number of probes since a target of the service last reported its load.
    pub unanswered_probes: AtomicU32,
    /// Next position for round robin.
    pub cursor: AtomicU32,
    /// Recent load reports for the probe policy.
    pub probes: ProbePool,
    /// Budget for the retries and hedges of this entry.
    pub retry_budget: RetryBudget,
    /// High quantile of the time to the response head, after which hedges are sent.
    pub latency_quantile: LatencyQuantile,
    /// Whether targets slow down when all their slots are busy.
    pub saturation: SaturationMonitor,
    /// Expected work of the requests of each kind.
    pub kind_work: KindWork,
    /// When a request of this entry last waited for a target or was refused, in microseconds.
    pub pressed_at: AtomicU64,
    /// Headroom that the coordinator announced last, if this is a part of a data centre.
    pub headroom: HeadroomGauge,
}

impl ServiceCounters {
    /// Records that a request of this entry waited for a target or was refused.
    pub fn record_pressure(&self, now: Timestamp) {
        self.pressed_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Returns `true` if a request of this entry recently waited for a target or was refused.
    pub fn is_pressed(&self, now: Timestamp) -> bool {
        let pressed_at = self.pressed_at.load(Ordering::Relaxed);
        pressed_at > 0 && now.since(Timestamp(pressed_at)) < PRESSURE_TIME
    }
}
