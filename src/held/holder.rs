//! A caller connection, or a request on one, for which bytes are held.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::held_bytes::{HolderReading, PROGRESS_WINDOW};

use super::{HeldBytes, HeldLease, HolderKey};

/// What is held for a caller and how fast the caller moves it. The times are those of the clock of
/// the entry, in microseconds.
pub struct CallerHolder {
    budget: Arc<HeldBytes>,
    held: AtomicU64,
    /// Bytes received from and sent to the caller.
    moved: AtomicU64,
    moved_at: AtomicU64,
    /// Time and value of `moved` at the last two marks, which are at least a window apart.
    mark: [AtomicU64; 2],
    earlier_mark: [AtomicU64; 2],
    is_waiting: AtomicBool,
    waiting_since: AtomicU64,
    /// Whether a response is being sent, which ends only with its connection.
    is_responding: AtomicBool,
    /// Number of requests in progress, and of all so far.
    in_progress: AtomicU32,
    requests: AtomicU64,
    /// The connection of a request that shares it with others.
    parent: Option<Arc<Self>>,
    ends: CancellationToken,
    connection: CancellationToken,
}

/// Registration of a holder, which ends when dropped.
pub struct HolderGuard {
    key: HolderKey,
    /// The registered holder.
    pub holder: Arc<CallerHolder>,
}

impl CallerHolder {
    /// Registers a caller connection, which ends when `connection` is cancelled.
    pub fn register(budget: &Arc<HeldBytes>, connection: CancellationToken) -> HolderGuard {
        Self::insert(budget, connection.clone(), connection, None)
    }

    /// Registers a request that shares this connection with others.
    pub fn register_request(self: &Arc<Self>) -> HolderGuard {
        let (ends, connection) = (self.connection.child_token(), self.connection.clone());
        self.begin_request();
        Self::insert(&self.budget, ends, connection, Some(self.clone()))
    }

    fn insert(
        budget: &Arc<HeldBytes>,
        ends: CancellationToken,
        connection: CancellationToken,
        parent: Option<Arc<Self>>,
    ) -> HolderGuard {
        let now = budget.clock.now().0;
        let mark = || [AtomicU64::new(now), AtomicU64::new(0)];
        let holder = Arc::new(Self {
            budget: budget.clone(),
            held: AtomicU64::new(0),
            moved: AtomicU64::new(0),
            moved_at: AtomicU64::new(now),
            mark: mark(),
            earlier_mark: mark(),
            is_waiting: AtomicBool::new(false),
            waiting_since: AtomicU64::new(now),
            is_responding: AtomicBool::new(false),
            in_progress: AtomicU32::new(0),
            requests: AtomicU64::new(0),
            parent,
            ends,
            connection,
        });
        HolderGuard { key: budget.lock().insert(holder.clone()), holder }
    }

    /// Returns an empty lease for this holder.
    pub fn lease(self: &Arc<Self>) -> HeldLease {
        HeldLease::new(self.clone())
    }

    /// Records that the caller has sent or taken bytes.
    pub fn record_moved(&self, bytes: usize) {
        let now = self.budget.clock.now().0;
        let moved = self.moved.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        self.moved_at.store(now, Ordering::Relaxed);
        if now.saturating_sub(self.mark[0].load(Ordering::Relaxed)) >= window() {
            for (earlier, mark) in self.earlier_mark.iter().zip(&self.mark) {
                earlier.store(mark.load(Ordering::Relaxed), Ordering::Relaxed);
            }
            self.mark[0].store(now, Ordering::Relaxed);
            self.mark[1].store(moved, Ordering::Relaxed);
        }
    }

    /// Sets whether the entry or a target has to act next. After a long wait, the progress of the
    /// caller is measured anew.
    pub fn set_waiting(&self, is_waiting: bool) {
        if self.is_waiting() == is_waiting {
            return;
        }
        self.is_waiting.store(is_waiting, Ordering::Relaxed);
        let now = self.budget.clock.now().0;
        let since = self.waiting_since.swap(now, Ordering::Relaxed);
        if !is_waiting && now.saturating_sub(since) >= window() {
            let moved = self.moved.load(Ordering::Relaxed);
            self.moved_at.store(now, Ordering::Relaxed);
            for mark in [&self.mark, &self.earlier_mark] {
                mark[0].store(now, Ordering::Relaxed);
                mark[1].store(moved, Ordering::Relaxed);
            }
        }
    }

    /// Returns `true` if the entry or a target has to act next.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting.load(Ordering::Relaxed)
    }

    /// Records that a request begins, for which the entry has to act.
    pub fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.set_waiting(true);
    }

    /// Records that a request has ended. Between requests, the caller has to act.
    pub fn end_request(&self) {
        if self.in_progress.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.set_waiting(false);
        }
    }

    /// Returns `true` while a request is in progress.
    pub fn in_request(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    /// Returns the number of requests so far.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Records that the response is being sent.
    pub fn begin_response(&self) {
        self.is_responding.store(true, Ordering::Relaxed);
    }

    /// Returns what is held and how fast it moves.
    pub fn read(&self, now: Timestamp) -> HolderReading {
        let is_still = now.0.saturating_sub(self.moved_at.load(Ordering::Relaxed)) >= window();
        let [at, moved] = &self.earlier_mark;
        let moved = self.moved.load(Ordering::Relaxed) - moved.load(Ordering::Relaxed);
        HolderReading {
            held: self.held(),
            moved: if is_still { 0 } else { moved },
            observed: now.since(Timestamp(at.load(Ordering::Relaxed))),
            is_waiting: self.is_waiting(),
        }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Ends the request, or its connection if its response is being sent.
    pub(super) fn give_way(&self) {
        self.ends.cancel();
        if self.is_responding.load(Ordering::Relaxed) {
            self.connection.cancel();
        }
    }

    /// Waits until the caller has to give way to others.
    pub async fn dropped(&self) {
        self.ends.cancelled().await;
    }

    /// Returns `true` if the caller has to give way to others.
    pub fn is_dropped(&self) -> bool {
        self.ends.is_cancelled()
    }

    /// Returns `true` if more bytes are held for callers than may be.
    pub fn is_overdrawn(&self) -> bool {
        self.budget.is_overdrawn()
    }

    pub(super) fn budget(&self) -> &Arc<HeldBytes> {
        &self.budget
    }

    pub(super) fn add_held(&self, bytes: u64) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn remove_held(&self, bytes: u64) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for HolderGuard {
    fn drop(&mut self) {
        self.holder.budget.lock().remove(self.key);
        if let Some(parent) = &self.holder.parent {
            parent.end_request();
        }
    }
}

fn window() -> u64 {
    PROGRESS_WINDOW.as_micros() as u64
}
