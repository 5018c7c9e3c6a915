//! Bytes held for a caller, released when dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::{Duration, Instant, sleep_until};

use super::{CallerHolder, HeldBytes, HeldBytesFull, RELIEF_PERIOD};

/// Bytes held for a caller.
pub struct HeldLease {
    holder: Arc<CallerHolder>,
    bytes: u64,
}

impl HeldLease {
    pub(super) fn new(holder: Arc<CallerHolder>) -> Self {
        Self { holder, bytes: 0 }
    }

    /// Returns the caller.
    pub fn holder(&self) -> &Arc<CallerHolder> {
        &self.holder
    }

    /// Returns the bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Charges `bytes` more if they are free. Otherwise, the slowest callers give way, so that a
    /// later call may succeed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not free now.
    pub fn try_grow(&mut self, bytes: u32) -> Result<(), HeldBytesFull> {
        let budget = self.holder.budget();
        let Ok(permit) = budget.permits.try_acquire_many(bytes) else {
            let wanted = WantedBytes::add(budget, bytes);
            budget.relieve();
            drop(wanted);
            budget.refused.fetch_add(1, Ordering::Relaxed);
            return Err(HeldBytesFull);
        };
        permit.forget();
        self.add(bytes);
        Ok(())
    }

    /// Charges `bytes` more that are held already, whether they are free or not.
    pub fn overdraw(&mut self, bytes: u32) {
        let budget = self.holder.budget();
        match budget.permits.try_acquire_many(bytes) {
            Ok(permit) => permit.forget(),
            Err(_) => {
                budget.overdrawn.fetch_add(u64::from(bytes), Ordering::Relaxed);
                budget.relieve();
            }
        }
        self.add(bytes);
    }

    /// Charges `bytes` more, and waits up to `limit` for the slowest callers to give way if these
    /// are not free.
    ///
    /// # Errors
    ///
    /// Returns an error if no bytes become free in time, or if this caller has to give way.
    pub async fn grow(&mut self, bytes: u32, limit: Duration) -> Result<(), HeldBytesFull> {
        let holder = self.holder.clone();
        let budget = holder.budget();
        if let Ok(permit) = budget.permits.try_acquire_many(bytes) {
            permit.forget();
            self.add(bytes);
            return Ok(());
        }
        let _wanted = WantedBytes::add(budget, bytes);
        let _waiting = WaitingMark::set(&holder);
        let end = Instant::now() + limit;
        let acquired = budget.permits.acquire_many(bytes);
        tokio::pin!(acquired);
        while !holder.is_dropped() {
            budget.relieve();
            let next = Instant::now() + RELIEF_PERIOD;
            tokio::select! {
                biased;
                permit = &mut acquired => {
                    permit.map_err(|_| HeldBytesFull)?.forget();
                    self.add(bytes);
                    return Ok(());
                }
                () = holder.dropped() => break,
                () = sleep_until(next.min(end)) => if next >= end { break },
            }
        }
        budget.refused.fetch_add(1, Ordering::Relaxed);
        Err(HeldBytesFull)
    }

    fn add(&mut self, bytes: u32) {
        self.bytes += u64::from(bytes);
        self.holder.add_held(u64::from(bytes));
    }

    /// Splits off a lease of `bytes`, or of all if there are fewer.
    pub fn split(&mut self, bytes: u64) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { holder: self.holder.clone(), bytes }
    }

    /// Releases all bytes.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.holder.remove_held(bytes);
        self.holder.budget().release(bytes);
    }
}

impl Drop for HeldLease {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Bytes that a caller waits for.
struct WantedBytes<'a>(&'a AtomicU64, u64);

impl<'a> WantedBytes<'a> {
    fn add(budget: &'a HeldBytes, bytes: u32) -> Self {
        budget.wanted.fetch_add(u64::from(bytes), Ordering::Relaxed);
        Self(&budget.wanted, u64::from(bytes))
    }
}

impl Drop for WantedBytes<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// Marks that a caller waits for the entry.
struct WaitingMark<'a> {
    holder: &'a CallerHolder,
    was_waiting: bool,
}

impl<'a> WaitingMark<'a> {
    fn set(holder: &'a CallerHolder) -> Self {
        let was_waiting = holder.is_waiting();
        holder.set_waiting(true);
        Self { holder, was_waiting }
    }
}

impl Drop for WaitingMark<'_> {
    fn drop(&mut self) {
        self.holder.set_waiting(self.was_waiting);
    }
}
