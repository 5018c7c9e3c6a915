//! Bytes that an entry holds for its callers, bounded for the whole process.

mod bodies;
mod holder;
mod lease;
mod machine;
mod segments;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub use bodies::HeldBody;
use derive_more::{Display, Error};
pub use holder::{CallerHolder, HolderGuard};
pub use lease::HeldLease;
pub use machine::machine_memory_mb;
pub use segments::SegmentBuffer;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Semaphore;
use zinniaport_core::clock::ClockSource;
use zinniaport_core::held_bytes::choose_victims;

use crate::settings::LimitSettings;

/// Bytes charged for a caller connection. An idle one took 6.5 KB.
pub const CONNECTION_BYTES: u32 = 8 << 10;

/// Bytes charged for an HTTP/2 connection in addition: its receive window.
pub const HTTP2_CONNECTION_BYTES: u32 = 128 << 10;

/// Bytes charged for a request in progress: its state, the objects of its head and what is read
/// ahead behind it.
pub const REQUEST_BYTES: u32 = 16 << 10;

/// Bytes charged for an HTTP/1.1 request with a body in addition: the buffers that it is read
/// into, and what is read ahead of them.
pub const UPLOAD_BYTES: u32 = 48 << 10;

/// Bytes charged for a request that is sent to a target: the buffers of both connections.
pub const TRANSFER_BYTES: u32 = 64 << 10;

/// Longest time that a caller waits for bytes of the others. Callers that stall are recognised
/// after one to two seconds.
pub const MAX_HELD_WAIT: Duration = Duration::from_millis(2_500);

/// Longest time that a request waits for bytes of the others while it has a slot of its target,
/// which is idle meanwhile.
pub const MAX_SLOT_WAIT: Duration = Duration::from_millis(100);

/// Time between two searches for callers that give way. One takes about 30 us with 3,000 callers.
const RELIEF_PERIOD: Duration = Duration::from_millis(50);

/// The entry holds as many bytes for callers as it may, or the caller has to give way to others.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the entry holds as many bytes for its callers as it may")]
pub struct HeldBytesFull;

new_key_type! {
    /// Identifies a caller for whom bytes are held.
    pub struct HolderKey;
}

/// Budget of the bytes that an entry holds for all callers together.
pub struct HeldBytes {
    clock: Arc<dyn ClockSource>,
    permits: Arc<Semaphore>,
    limit: u64,
    /// Bytes that callers wait for.
    wanted: AtomicU64,
    /// Bytes that are held although they were not free.
    overdrawn: AtomicU64,
    /// Time of the last search for callers that give way, in microseconds.
    relieved_at: AtomicU64,
    /// Number of callers that had to give way.
    dropped: AtomicU64,
    /// Number of charges that found no room.
    refused: AtomicU64,
    /// Locked when a caller connects or leaves and under pressure, but by no controller.
    holders: Mutex<SlotMap<HolderKey, Arc<CallerHolder>>>,
}

/// Figures of the budget, for the metrics.
#[derive(Clone, Copy, Debug)]
pub struct HeldFigures {
    /// Most bytes that may be held.
    pub limit: u64,
    /// Bytes that are held.
    pub held: u64,
    /// Callers that had to give way so far.
    pub dropped: u64,
    /// Charges that found no room so far.
    pub refused: u64,
}

impl HeldBytes {
    /// Creates a budget of `limit` bytes.
    pub fn new(clock: Arc<dyn ClockSource>, limit: u64) -> Self {
        let permits = usize::try_from(limit).unwrap_or(usize::MAX).min(Semaphore::MAX_PERMITS);
        Self {
            clock,
            permits: Arc::new(Semaphore::new(permits)),
            limit: permits as u64,
            wanted: AtomicU64::new(0),
            overdrawn: AtomicU64::new(0),
            relieved_at: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            holders: Mutex::default(),
        }
    }

    /// Creates the budget that follows from settings and the memory of the machine.
    pub fn from_settings(clock: Arc<dyn ClockSource>, limits: &LimitSettings) -> Self {
        Self::new(clock, limits.max_held_bytes())
    }

    /// Returns the current figures.
    pub fn figures(&self) -> HeldFigures {
        HeldFigures {
            limit: self.limit,
            held: self.limit.saturating_sub(self.permits.available_permits() as u64)
                + self.overdrawn.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    /// Drops the callers that are slowest for their size until enough bytes become free for all
    /// that wait. Callers that make progress are kept.
    fn relieve(&self) {
        let now = self.clock.now();
        let last = self.relieved_at.load(Ordering::Relaxed);
        let is_due = now.0.saturating_sub(last) >= RELIEF_PERIOD.as_micros() as u64;
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        if !is_due || self.relieved_at.compare_exchange(last, now.0, success, failure).is_err() {
            return;
        }
        let free = self.permits.available_permits() as u64;
        let needed = self.wanted.load(Ordering::Relaxed) + self.overdrawn.load(Ordering::Relaxed);
        self.drop_slowest(needed.saturating_sub(free));
    }

    /// Returns `true` if more bytes are held than may be. Callers that are slow give way then.
    pub fn is_overdrawn(&self) -> bool {
        let is_overdrawn = self.overdrawn.load(Ordering::Relaxed) > 0;
        if is_overdrawn {
            self.relieve();
        }
        is_overdrawn
    }

    /// Makes bytes free, unless more are held than may be.
    fn release(&self, bytes: u64) {
        let pay = |overdrawn: u64| (overdrawn > 0).then(|| overdrawn.saturating_sub(bytes));
        let paid = self.overdrawn.fetch_update(Ordering::Relaxed, Ordering::Relaxed, pay);
        let paid = paid.map_or(0, |overdrawn| overdrawn.min(bytes));
        self.permits.add_permits((bytes - paid) as usize);
    }

    /// Drops the callers that are slowest for their size until `needed` bytes become free.
    pub fn drop_slowest(&self, needed: u64) {
        let now = self.clock.now();
        let holders: Vec<_> = self.lock().values().cloned().collect();
        let leaving: u64 =
            holders.iter().filter(|holder| holder.is_dropped()).map(|holder| holder.held()).sum();
        let remaining = holders.iter().filter(|holder| !holder.is_dropped());
        let readings = remaining.map(|holder| (holder, holder.read(now)));
        let victims = choose_victims(readings, needed.saturating_sub(leaving));
        if victims.is_empty() {
            return;
        }
        let bytes: u64 = victims.iter().map(|holder| holder.held()).sum();
        log::warn!(callers = victims.len(), bytes = bytes; "dropped the callers that were slowest for what is held for them");
        self.dropped.fetch_add(victims.len() as u64, Ordering::Relaxed);
        for holder in victims {
            holder.give_way();
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<HolderKey, Arc<CallerHolder>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
