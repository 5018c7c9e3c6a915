//! Waiting requests and taken slots of an admission gate.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use zinniaport_core::admission::WaitKey;
use zinniaport_core::clock::Timestamp;

use super::admission::{AdmissionGate, AdmissionResult};

/// A waiting request, which leaves the queue when dropped.
pub(super) struct QueuedRequest {
    pub(super) gate: Arc<AdmissionGate>,
    pub(super) key: WaitKey,
    /// Number of the queue that the key belongs to.
    pub(super) queue_number: u64,
    pub(super) result: oneshot::Receiver<AdmissionResult>,
}

impl QueuedRequest {
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
        self.gate.set_waiting(queue.order.waiting());
        drop(queue);
        drop(removed);
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
