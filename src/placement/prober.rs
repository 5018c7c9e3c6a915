//! Asks targets how fast they work, just before one of them is used.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Request, Uri};
use http_body_util::{BodyExt, Limited};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::keys::TargetKey;

use crate::exchange::empty_body;
use crate::pool::{TargetCall, TargetTransport};
use crate::state::SharedState;

/// Longest time that a probe may take. Its answer is of use for a few milliseconds
/// only; the rest keeps the connection from being given up.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// Longest answer to a probe that is read to keep the connection, in bytes.
const MAX_PROBE_BYTES: usize = 4 << 10;

/// Probes in a row without a report of the load after which a service counts as one
/// that does not report.
const MAX_UNREPORTED: u32 = 64;

/// Probes a second for each percent of a core that the entry can use. A probe takes
/// some 100 us, so they stay below a quarter of it.
const PROBES_PER_PERCENT: u32 = 25;

/// Probes that may be saved up, in seconds of the allowance.
const SAVED_SECONDS: f64 = 0.2;

/// Share of the probes that a target may get which one entry uses; the rest is left
/// to an entry that coordinates beside it for a moment.
const OWN_SHARE: f64 = 0.7;

/// Sends probes within the allowances of the targets and of this entry.
pub struct TargetProber {
    state: Arc<SharedState>,
    transport: Arc<dyn TargetTransport>,
    /// Least time between two probes of a target.
    target_period: Duration,
    /// Time that one probe takes from the allowance of the entry.
    probe_period: Duration,
    /// Until when the allowance is used up, in microseconds.
    spent_until: AtomicU64,
    /// Notified when a report arrives.
    pub(super) report_arrived: Arc<Notify>,
}

impl TargetProber {
    /// Creates a prober. `per_target` bounds the probes of all entries of one target
    /// a second; `capacity` is the processor share in percent of a core.
    pub fn new(
        state: Arc<SharedState>,
        transport: Arc<dyn TargetTransport>,
        per_target: f64,
        capacity: u16,
    ) -> Self {
        let own = (per_target * OWN_SHARE).max(f64::MIN_POSITIVE);
        let target_period = Duration::try_from_secs_f64(1.0 / own).unwrap_or(Duration::MAX);
        let probe_period =
            Duration::from_secs(1) / (u32::from(capacity) * PROBES_PER_PERCENT).max(1);
        Self {
            state,
            transport,
            target_period,
            probe_period,
            spent_until: AtomicU64::new(0),
            report_arrived: Arc::default(),
        }
    }

    /// Tells whether probes of the service's targets say how fast these work.
    pub(super) fn can_probe(&self, service: &ServiceSnapshot) -> bool {
        service.intent.measuring.probe_path.is_some()
            && service.counters.unanswered_probes.load(Ordering::Relaxed) < MAX_UNREPORTED
    }

    /// Gives the age up to which a report need not be repeated.
    pub(super) fn fresh_age(&self) -> Duration {
        self.target_period
    }

    /// Probes a target unless that was done a moment ago. Returns whether an answer
    /// is on its way.
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
        let last = Timestamp(target.counters.last_probe_at.load(Ordering::Relaxed));
        if last.0 > 0 && now.since(last) < self.target_period {
            return target.counters.has_unanswered_probe();
        }
        if !self.take_allowance(now) {
            return false;
        }
        target.counters.record_probe(now);
        service.counters.unanswered_probes.fetch_add(1, Ordering::Relaxed);
        let mut request = Request::new(empty_body());
        *request.uri_mut() = path;
        let call = TargetCall {
            address: target.address,
            request,
            deadline: Instant::now() + PROBE_LIMIT,
            check: None,
        };
        let (target, service) = (target.counters.clone(), service.counters.clone());
        let (state, transport, news) =
            (self.state.clone(), self.transport.clone(), self.report_arrived.clone());
        tokio::spawn(async move {
            let deadline = call.deadline;
            let Ok(response) = transport.send(call).await else { return };
            if let Some(report) = state.dialect.parse_load(response.headers()) {
                target.record_report(report, state.clock.now());
                service.unanswered_probes.store(0, Ordering::Relaxed);
                news.notify_waiters();
            }
            let body = Limited::new(response.into_body(), MAX_PROBE_BYTES);
            let _ = timeout_at(deadline, body.collect()).await;
        });
        true
    }

    fn take_allowance(&self, now: Timestamp) -> bool {
        let saved = Duration::from_secs_f64(SAVED_SECONDS);
        let period = self.probe_period.as_micros() as u64;
        let take = |until: u64| {
            let until = until.max((now - saved).0);
            (until + period <= now.0).then_some(until + period)
        };
        self.spent_until.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
