//! What the sender of a request learns about the connection that it was sent on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwapOption;
use derive_more::Display;

/// Position of a request on its connection.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{connection}/{exchange}{}", if *avoids_copy { " identity repeated" } else { "" })]
pub struct ConnectionUse {
    /// Number of the connection, unique within the process.
    pub connection: u64,
    /// Position among the requests on the connection, checks included, counted from 1. Its
    /// response must be the one at the same position.
    pub exchange: u32,
    /// Whether another connection was passed over, since it had carried the identity before and a
    /// late copy of the first response could come on it.
    pub avoids_copy: bool,
}

/// Shared between the sender of a request and the transport. The sender keeps a copy, so that it
/// can log the connection of a request that got no response, and can retire the connection.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHandle(Arc<HandleState>);

#[derive(Debug, Default)]
struct HandleState {
    last_use: ArcSwapOption<ConnectionUse>,
    retired: AtomicBool,
}

impl ConnectionHandle {
    /// Returns the connection that the request was last sent on, if any.
    pub fn last_use(&self) -> Option<ConnectionUse> {
        self.0.last_use.load().as_deref().copied()
    }

    pub(super) fn record_use(&self, connection_use: ConnectionUse) {
        self.0.last_use.store(Some(Arc::new(connection_use)));
    }

    /// Closes the connection after this response, since what follows on it may not belong to the
    /// next request.
    pub fn retire(&self) {
        self.0.retired.store(true, Ordering::Release);
    }

    pub(super) fn is_retired(&self) -> bool {
        self.0.retired.load(Ordering::Acquire)
    }
}
