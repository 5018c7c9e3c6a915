//! What is known of the requests on one connection before hyper hands them over.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use zinniaport_core::clock::Timestamp;

/// Requests of one HTTP/1.1 connection, in their order. The inspector of the connection
/// records them as their bytes arrive; the front end takes them one by one, and a pipelined
/// request only after the response to the one before it.
#[derive(Clone, Debug)]
pub(super) struct RequestLog(Arc<LogState>);

#[derive(Debug)]
struct LogState {
    /// Number of requests that the front end has taken.
    taken: AtomicU64,
    /// Number of the first ambiguous request, counted from 0; `u64::MAX` if there is none.
    first_ambiguous: AtomicU64,
    /// Arrival times of the heads that the front end has not taken yet. The read buffer of
    /// hyper bounds their number.
    arrivals: Mutex<VecDeque<Timestamp>>,
}

impl Default for RequestLog {
    fn default() -> Self {
        Self(Arc::new(LogState {
            taken: AtomicU64::new(0),
            first_ambiguous: AtomicU64::new(u64::MAX),
            arrivals: Mutex::default(),
        }))
    }
}

impl RequestLog {
    /// Records that a complete head arrived.
    pub(super) fn record_head(&self, now: Timestamp) {
        self.0.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push_back(now);
    }

    /// Records that the end of a request is ambiguous. Requests before it are not affected.
    pub(super) fn record_ambiguity(&self, number: u64) {
        self.0.first_ambiguous.fetch_min(number, Ordering::AcqRel);
    }

    /// Takes the next request.
    pub(super) fn take(&self) -> RequestEntry {
        let number = self.0.taken.fetch_add(1, Ordering::AcqRel);
        let arrived = self.0.arrivals.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
        RequestEntry { log: self.clone(), number, arrived }
    }
}

/// One request in the log of its connection.
#[derive(Debug)]
pub(super) struct RequestEntry {
    log: RequestLog,
    number: u64,
    /// When the head was complete; `None` if no inspector follows the connection.
    pub(super) arrived: Option<Timestamp>,
}

impl RequestEntry {
    /// Returns `true` if another parser may find the end of this request, and with it the next
    /// one, at another position.
    pub(super) fn is_ambiguous(&self) -> bool {
        self.log.0.first_ambiguous.load(Ordering::Acquire) <= self.number
    }
}
