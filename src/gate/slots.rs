//! How a gate takes slots of its service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use zinniaport_core::admission::window::concurrency_window;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{NO_SLOWDOWN_PERCENT, ServiceSnapshot};
use zinniaport_core::policy::TargetTable;

use super::admission::AdmissionGate;
use super::slot::SlotGuard;

/// A slot of a slowed or unresponsive target.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowedSlot {
    /// Factor on the time of a run there, if a target with a free slot reported one.
    pub(super) slowdown: Option<f32>,
}

impl AdmissionGate {
    /// Takes a free slot: if the service is coordinated, one of a target that is not slowed,
    /// else one of this entry's own window.
    pub(super) fn take_slot(&self) -> bool {
        let table = self.table.load();
        if table.is_coordinated && !table.available.is_empty() {
            return self.take_shared_slot(&table);
        }
        let window = self.window.load(Ordering::SeqCst);
        let take = |in_flight: u32| (in_flight < window).then_some(in_flight + 1);
        let taken = self.counters.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.is_ok()
    }

    /// Takes a slot of a target that is not slowed, if the requests of all entries leave one
    /// free.
    fn take_shared_slot(&self, table: &TargetTable) -> bool {
        let take = |admitted| (self.headroom(table, admitted).free > 0).then_some(admitted + 1);
        self.counters.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }

    /// Takes a free slot of a slowed or unresponsive target. Only a coordinator knows these.
    pub(super) fn take_slowed_slot(&self) -> Option<SlowedSlot> {
        let table = self.table.load();
        if !table.is_coordinated {
            return None;
        }
        let mut slot = SlowedSlot { slowdown: None };
        let take = |admitted| {
            let headroom = self.headroom(&table, admitted);
            let percent = headroom.least_slowdown_percent;
            slot.slowdown = percent.map(|percent| percent as f32 / NO_SLOWDOWN_PERCENT as f32);
            (headroom.slowed > 0).then_some(admitted + 1)
        };
        let taken = self.counters.in_flight.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
        taken.is_ok().then_some(slot)
    }

    /// Takes a free slot of a target that is not slowed, unless a request waits for one.
    pub fn take_idle_slot(self: &Arc<Self>, service: &ServiceSnapshot) -> Option<SlotGuard> {
        let slot_taken =
            self.waiting.load(Ordering::SeqCst) == 0 && self.take_shared_slot(&service.table);
        slot_taken.then(|| SlotGuard::new(self.clone(), self.clock.now()))
    }

    pub(super) fn update_window(
        self: &Arc<Self>,
        service: &ServiceSnapshot,
        period: Duration,
        now: Timestamp,
    ) {
        let last = self.window_updated_at.load(Ordering::Relaxed);
        if last != 0 && now.since(Timestamp(last)) < period {
            return;
        }
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        if self.window_updated_at.compare_exchange(last, now.0, success, failure).is_err() {
            return;
        }
        let in_flight = self.counters.in_flight.load(Ordering::Relaxed);
        // Requests of a service without available targets are admitted, so that the route
        // filter refuses them.
        let window = concurrency_window(&service.table, in_flight, now).max(1);
        if window > self.window.swap(window, Ordering::SeqCst) {
            self.serve_queue();
        }
    }
}
