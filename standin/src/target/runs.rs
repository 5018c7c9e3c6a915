//! Counts of the requests that a target ran and refused.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Counts of what a target has done so far. A request counts as started once it holds a
/// slot.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Requests that acquired a slot.
    pub started: u64,
    /// Requests that ran to completion.
    pub completed: u64,
    /// Requests whose connection closed while they waited or ran, because of the client
    /// or a crash.
    pub cancelled: u64,
    /// Requests refused because the queue was full.
    pub shed: u64,
    /// Requests whose deadline passed while they waited.
    pub expired_waiting: u64,
    /// Requests whose deadline passed while they ran.
    pub expired_running: u64,
    /// Requests that failed at once, without a slot.
    pub failed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Probes that got a response.
    pub probes: u64,
    /// Starts by `X-Request-Id`.
    pub by_request: IndexMap<String, u64>,
    /// Starts by `Idempotency-Key`.
    pub by_key: IndexMap<String, u64>,
}

impl RunCounts {
    /// Returns the number of starts of a request id.
    pub fn of_request(&self, id: &str) -> u64 {
        self.by_request.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of starts of an idempotency key.
    pub fn of_key(&self, key: &str) -> u64 {
        self.by_key.get(key).copied().unwrap_or(0)
    }
}

/// Counts that concurrent requests update.
#[derive(Debug, Default)]
pub(super) struct RunCounter(Mutex<RunCounts>);

impl RunCounter {
    pub(super) fn counts(&self) -> RunCounts {
        self.lock().clone()
    }

    pub(super) fn count(&self, counter: impl FnOnce(&mut RunCounts) -> &mut u64) {
        *counter(&mut self.lock()) += 1;
    }

    pub(super) fn start(&self, request_id: Option<&str>, key: Option<&str>) {
        let mut counts = self.lock();
        counts.started += 1;
        if let Some(id) = request_id {
            *counts.by_request.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = key {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunCounts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request as cancelled when dropped, unless it has ended before.
pub(super) struct RunGuard<'a> {
    counter: &'a RunCounter,
    ended: bool,
}

impl<'a> RunGuard<'a> {
    pub(super) fn new(counter: &'a RunCounter) -> Self {
        Self { counter, ended: false }
    }

    pub(super) fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.counter.count(|counts| &mut counts.cancelled);
        }
    }
}
