//! Tells a silent path from a silent target.

use std::net::SocketAddr;
use std::sync::Arc;

use strum::{Display, IntoStaticStr};
use tokio::net::TcpStream;
use tokio::time::{Duration, timeout};

use super::connections::TargetPool;

/// What a silent connection was put down to.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum SilenceCause {
    /// A fresh connection opens, so the path of the old one is at fault.
    Path,
    /// A fresh connection does not open or was itself silent.
    Target,
}

/// Learns of silent connections.
pub trait SilenceObserver: Send + Sync {
    /// Takes the result of the check that follows a silent connection.
    fn observe(&self, address: SocketAddr, cause: SilenceCause);
}

/// Logs silent connections and does nothing else.
#[derive(Debug, Default)]
pub struct SilenceLogger;

impl SilenceObserver for SilenceLogger {
    fn observe(&self, address: SocketAddr, cause: SilenceCause) {
        log::warn!(cause:%; "a connection to target {address} went silent and was closed");
    }
}

/// What is needed to find the cause of a silent connection.
pub(super) struct SilenceReport {
    pub(super) pool: Arc<TargetPool>,
    pub(super) observer: Arc<dyn SilenceObserver>,
    /// Longest time to open a connection.
    pub(super) limit: Duration,
}

impl SilenceReport {
    /// Retires the connections of the target and looks for the cause. The check
    /// only opens a connection: it takes no slot of the target, so it is not
    /// charged to the probe budget. It cannot see a target that accepts
    /// connections and answers none; silence on a fresh connection shows that.
    pub(super) fn report(self, reused: bool) {
        self.pool.retire_all();
        tokio::spawn(async move {
            let address = self.pool.address;
            let opens = reused
                && matches!(timeout(self.limit, TcpStream::connect(address)).await, Ok(Ok(_)));
            let cause = if opens { SilenceCause::Path } else { SilenceCause::Target };
            self.observer.observe(address, cause);
        });
    }
}
