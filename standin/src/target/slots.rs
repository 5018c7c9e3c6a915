//! Slots of a target, their bounded queue, and the history of their load.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit};
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};

/// Maximum number of samples of the load that are kept for lagging reports.
const MAX_SAMPLES: usize = 8192;

/// Slots with a bounded queue that is served in order of arrival.
#[derive(Debug)]
pub(super) struct TargetSlots {
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    clock: SystemClock,
    history: LoadHistory,
}

impl TargetSlots {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots: Semaphore::new(slots),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            clock: SystemClock::new(),
            history: LoadHistory::default(),
        }
    }

    /// Returns the number of requests that run or wait.
    pub(super) fn load(&self) -> u32 {
        self.running.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn load_before(&self, lag: Duration) -> u32 {
        self.history.load_before(self.clock.now(), lag)
    }

    fn record_load(&self) {
        self.history.record(self.clock.now(), self.load());
    }

    /// Waits for a slot. Returns `None` if `queue_length` requests are already waiting.
    pub(super) async fn acquire(&self, queue_length: u32) -> Option<SlotGuard<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(SlotGuard::new(self, permit));
        }
        let _guard = QueueGuard::take(self, queue_length)?;
        let permit = self.slots.acquire().await.ok()?;
        Some(SlotGuard::new(self, permit))
    }
}

/// An occupied slot, freed when dropped.
pub(super) struct SlotGuard<'a> {
    slots: &'a TargetSlots,
    _permit: SemaphorePermit<'a>,
}

impl<'a> SlotGuard<'a> {
    fn new(slots: &'a TargetSlots, permit: SemaphorePermit<'a>) -> Self {
        slots.running.fetch_add(1, Ordering::Relaxed);
        slots.record_load();
        Self { slots, _permit: permit }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.slots.running.fetch_sub(1, Ordering::Relaxed);
        self.slots.record_load();
    }
}

/// Counts a request as waiting until dropped.
struct QueueGuard<'a>(&'a TargetSlots);

impl<'a> QueueGuard<'a> {
    fn take(slots: &'a TargetSlots, limit: u32) -> Option<Self> {
        let add = |count| (count < limit).then_some(count + 1);
        slots.waiting.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        slots.record_load();
        Some(Self(slots))
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
        self.0.record_load();
    }
}

/// History of the load, for reports that lag behind.
#[derive(Debug, Default)]
pub struct LoadHistory(Mutex<VecDeque<(Timestamp, u32)>>);

impl LoadHistory {
    /// Records the load from `now` on.
    pub fn record(&self, now: Timestamp, load: u32) {
        let mut samples = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, load));
    }

    /// Returns the load as it was `lag` before `now`, or 0 if nothing was recorded until then.
    pub fn load_before(&self, now: Timestamp, lag: Duration) -> u32 {
        let samples = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut past = samples.iter().rev();
        past.find(|(at, _)| *at + lag <= now).map_or(0, |(_, load)| *load)
    }
}
