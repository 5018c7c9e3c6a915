//! Finds out whether a silent connection is caused by its network path or by its target.

use std::net::SocketAddr;
use std::sync::Arc;

use strum::{Display, IntoStaticStr};
use tokio::net::TcpStream;
use tokio::time::{Duration, timeout};

use super::connections::TargetPool;

/// Cause of a silent connection.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum SilenceCause {
    /// A new connection opens, so the network path of the old one failed.
    Path,
    /// A new connection does not open, or the silent one was new itself.
    Target,
}

/// Receives reports of silent connections.
pub trait SilenceObserver: Send + Sync {
    /// Handles the result of the check that follows a silent connection.
    fn observe(&self, address: SocketAddr, cause: SilenceCause);
}

/// Observer that only logs silent connections.
#[derive(Debug, Default)]
pub struct SilenceLogger;

impl SilenceObserver for SilenceLogger {
    fn observe(&self, address: SocketAddr, cause: SilenceCause) {
        log::warn!(cause:%; "a connection to target {address} is silent; new requests use others");
    }
}

/// Finds and reports the cause of a silent connection, once.
pub(super) struct SilenceReport {
    pool: Arc<TargetPool>,
    observer: Arc<dyn SilenceObserver>,
    /// Maximum time for opening a connection.
    connect_timeout: Duration,
    is_sent: bool,
}

impl SilenceReport {
    pub(super) fn new(
        pool: Arc<TargetPool>,
        observer: Arc<dyn SilenceObserver>,
        connect_timeout: Duration,
    ) -> Self {
        Self { pool, observer, connect_timeout, is_sent: false }
    }

    /// Returns the address of the target.
    pub(super) fn address(&self) -> SocketAddr {
        self.pool.address
    }

    /// Retires the connections of the target and checks for the cause. The check only opens a
    /// connection: it takes no slot of the target, so it is not charged to the probe budget. It
    /// cannot detect a target that accepts connections but never responds; silence on a new
    /// connection, one that was not `reused`, shows that.
    pub(super) fn send(&mut self, reused: bool) {
        if std::mem::replace(&mut self.is_sent, true) {
            return;
        }
        self.pool.retire_all();
        let (address, observer) = (self.pool.address, self.observer.clone());
        let connect_timeout = self.connect_timeout;
        tokio::spawn(async move {
            let is_reachable = reused
                && matches!(timeout(connect_timeout, TcpStream::connect(address)).await, Ok(Ok(_)));
            let cause = if is_reachable { SilenceCause::Path } else { SilenceCause::Target };
            observer.observe(address, cause);
        });
    }
}
