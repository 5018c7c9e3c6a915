//! Waiting requests and taken slots of an admission gate.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use zinniaport_core::admission::{CallDemand, WaitKey};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::intent::{KindIntent, ServiceIntent};

use super::admission::{AdmissionGate, AdmissionResult};

/// A waiting request, which leaves the queue when dropped.
pub(super) struct QueuedRequest {
    pub(super) gate: Arc<AdmissionGate>,
    pub(super) key: WaitKey,
    /// Number of the queue that the key belongs to.
    pub(super) queue_number: u64,
    pub(super) result: oneshot::Receiver<AdmissionResult>,
    /// What it asked for when it joined the queue.
    pub(super) demand: CallDemand,
    /// Intent of the service when the request joined the queue.
    pub(super) service: Arc<ServiceIntent>,
    /// Intent of its kind, if this entry knows the kind.
    pub(super) kind: Option<Arc<KindIntent>>,
    /// Version of these intents.
    pub(super) version: u64,
    /// Whether the queue takes it for a request that was refused before.
    pub(super) is_returned: bool,
    pub(super) joined: Timestamp,
}

impl QueuedRequest {
    /// Logs that the request was not admitted before its caller disconnected, its deadline passed
    /// or its entry placed it elsewhere.
    fn log_departure(&self, waiting: usize) {
        let now = self.gate.clock.now();
        if !self.gate.limiter.try_acquire(now) {
            return;
        }
        let admitted = self.gate.counters.in_flight.load(Ordering::Relaxed);
        let headroom = self.gate.headroom(&self.gate.table.load(), admitted);
        let kind = self.kind.as_ref();
        log::info!(
            service = self.service.service.as_str(),
            kind = kind.map_or("unknown", |kind| kind.name.as_str()),
            rank = self.demand.facts.rank,
            config_version = self.version,
            time_limit_ms = self.demand.facts.time_left(self.joined).as_millis() as u64,
            counts_as_returned = self.is_returned,
            expected_work_us = self.demand.work.mean.as_micros() as u64,
            waited_us = now.since(self.joined).as_micros() as u64,
            free_slots = headroom.free,
            slowed_slots = headroom.slowed,
            waiting;
            "request left the queue before it was admitted"
        );
    }

    pub(super) async fn wait(mut self, limit: Duration) -> AdmissionResult {
        match tokio::time::timeout(limit, &mut self.result).await {
            Ok(Ok(result)) => result,
            _ => Err(self.gate.expired_refusal()),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut queue = self.gate.lock();
        // Another queue may use the same key for another request.
        let is_same = queue.number == self.queue_number;
        let removed = is_same.then(|| queue.order.remove(self.key)).flatten();
        let waiting = queue.order.waiting();
        self.gate.set_waiting(waiting);
        drop(queue);
        if removed.is_some() {
            self.log_departure(waiting);
        }
    }
}

/// A slot of the concurrency window, released when dropped.
pub struct SlotGuard {
    gate: Arc<AdmissionGate>,
    /// When the slot was taken, or `None` once it has been released.
    taken_at: Option<Timestamp>,
}

impl SlotGuard {
    pub(super) fn new(gate: Arc<AdmissionGate>, now: Timestamp) -> Self {
        Self { gate, taken_at: Some(now) }
    }

    /// Releases a slot that served no request, without recording a service time.
    pub(super) fn release(mut self) {
        self.taken_at = None;
        self.gate.counters.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let Some(taken_at) = self.taken_at else { return };
        let sample = self.gate.clock.now().since(taken_at);
        self.gate.record_service_time(sample);
        self.gate.counters.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.gate.serve_queue();
    }
}
