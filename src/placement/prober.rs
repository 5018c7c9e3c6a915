//! Probes targets for their slowdown just before one of them is picked.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::Uri;
use http_body_util::{BodyExt, Limited};
use slotmap::Key;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, timeout_at};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::keys::TargetKey;

use crate::pool::{TargetTransport, send_probe};
use crate::state::SharedState;
use crate::targets::{record_limit, record_warm_up};
use crate::telemetry::{TrafficKind, head_bytes};

/// Timeout of a probe. Its result is useful for a few milliseconds only; the longer timeout
/// keeps the connection from being closed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a probe response that is read so that its connection can be reused, in
/// bytes.
const MAX_PROBE_BYTES: usize = 4 << 10;

/// Number of consecutive probes without a load report after which the targets of a service
/// are taken not to report any.
const MAX_UNANSWERED_PROBES: u32 = 64;

/// Probes per second for each percent of a core that the entry can use. A probe takes about
/// 100 us, so probes stay below a quarter of the processor share.
const PROBES_PER_PERCENT: u32 = 25;

/// Maximum burst of probes, as the time in seconds in which it accumulates at the probe rate.
const BURST_SECONDS: f64 = 0.2;

/// Share of a target's probe limit that one entry uses. The rest is for an entry that
/// coordinates the same service for a short time.
const ENTRY_SHARE: f64 = 0.7;

/// Number of signals that targets share. Requests that wait for a report wake up for the reports
/// of few other targets.
const REPORT_SIGNALS: usize = 64;

/// Sends probes within the rate limits of the targets and of this entry.
pub struct TargetProber {
    state: Arc<SharedState>,
    transport: Arc<dyn TargetTransport>,
    /// Minimum time between two probes of a target.
    target_period: Duration,
    /// Average time between two probes of this entry at its rate limit.
    probe_period: Duration,
    /// Time up to which the rate limit of this entry is used up, in microseconds. Each probe
    /// moves it by `probe_period`.
    spent_until: AtomicU64,
    /// Notified when a load report of a target arrives, by the hash of its key.
    reports: Arc<[Notify; REPORT_SIGNALS]>,
}

impl TargetProber {
    /// Creates a prober. `per_target` limits the probes per second that one target receives
    /// from all entries; `capacity` is the processor share of this entry in percent of a core.
    pub fn new(
        state: Arc<SharedState>,
        transport: Arc<dyn TargetTransport>,
        per_target: f64,
        capacity: u16,
    ) -> Self {
        let entry_rate = (per_target * ENTRY_SHARE).max(f64::MIN_POSITIVE);
        let target_period = Duration::try_from_secs_f64(1.0 / entry_rate).unwrap_or(Duration::MAX);
        let probe_period =
            Duration::from_secs(1) / (u32::from(capacity) * PROBES_PER_PERCENT).max(1);
        Self {
            state,
            transport,
            target_period,
            probe_period,
            spent_until: AtomicU64::new(0),
            reports: Arc::new(std::array::from_fn(|_| Notify::new())),
        }
    }

    /// Returns a future that ends when a load report of the target arrives, or of one of the few
    /// targets that share its signal.
    pub(super) fn report_of(&self, target: TargetKey) -> Notified<'_> {
        self.reports[signal_index(target)].notified()
    }

    /// Returns `true` if the targets of the service have a probe path and report their load.
    pub(super) fn can_probe(&self, service: &ServiceSnapshot) -> bool {
        service.intent.measuring.probe_path.is_some()
            && service.counters.unanswered_probes.load(Ordering::Relaxed) < MAX_UNANSWERED_PROBES
    }

    /// Returns the age up to which a load report counts as fresh.
    pub(super) fn fresh_report_age(&self) -> Duration {
        self.target_period
    }

    /// Probes a target unless it was probed less than `target_period` ago. Returns `true` if a
    /// response is outstanding.
    pub(super) fn probe(
        &self,
        fleet: &FleetSnapshot,
        service: &ServiceSnapshot,
        key: TargetKey,
    ) -> bool {
        let Some(target) = fleet.targets.get(key) else { return false };
        let path = service.intent.measuring.probe_path.as_deref().map(Uri::try_from);
        let Some(Ok(path)) = path else { return false };
        let now = self.state.clock.now();
        if target.counters.pause_left(now).is_some() {
            return false;
        }
        let last = Timestamp(target.counters.last_probe_at.load(Ordering::Relaxed));
        if last.0 > 0 && now.since(last) < self.target_period {
            return target.counters.has_unanswered_probe();
        }
        if !self.try_acquire(now) {
            return false;
        }
        target.counters.record_probe(now);
        service.counters.unanswered_probes.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let (target, service) = (target.clone(), service.counters.clone());
        let (state, transport, reports) =
            (self.state.clone(), self.transport.clone(), self.reports.clone());
        let is_remote = target.data_centre != self.state.data_centre;
        tokio::spawn(async move {
            let request_bytes = path.path().len();
            let (transport, dialect) = (transport.as_ref(), state.dialect.as_ref());
            let response = send_probe(transport, dialect, target.address, path, deadline).await;
            let Some(response) = response else { return };
            let head = request_bytes + head_bytes(response.headers());
            if let Some(left) = state.dialect.parse_warm_up(response.headers()) {
                record_warm_up(&target, left, now, state.clock.now());
            }
            if let Some(report) = state.dialect.parse_load(response.headers()) {
                let now = state.clock.now();
                target.counters.record_report(report, now);
                record_limit(&target, state.dialect.parse_limit(response.headers()), now);
                service.unanswered_probes.store(0, Ordering::Relaxed);
                reports[signal_index(key)].notify_waiters();
            }
            let body = Limited::new(response.into_body(), MAX_PROBE_BYTES);
            let body = timeout_at(deadline, body.collect()).await;
            if is_remote {
                let body = body.ok().and_then(Result::ok);
                let bytes = head + body.map_or(0, |body| body.to_bytes().len());
                state.metrics.traffic.count(TrafficKind::Probes, bytes);
            }
        });
        true
    }

    fn try_acquire(&self, now: Timestamp) -> bool {
        let burst = Duration::from_secs_f64(BURST_SECONDS);
        let period = self.probe_period.as_micros() as u64;
        let take = |until: u64| {
            let until = until.max((now - burst).0);
            (until + period <= now.0).then_some(until + period)
        };
        self.spent_until.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

fn signal_index(target: TargetKey) -> usize {
    (target.data().as_ffi() as u32) as usize % REPORT_SIGNALS
}
