//! Connection pools for targets.

mod connections;
mod handle;
mod identities;
mod leased_body;
mod probe;
mod progress;
mod silence;
mod transport;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
pub use handle::{ConnectionHandle, ConnectionUse};
use http::{HeaderName, Request, Uri};
pub use identities::IdentityTag;
pub use probe::send_probe;
pub use silence::{SilenceCause, SilenceLogger, SilenceObserver};
use tokio::time::Instant;
pub use transport::HttpTransport;
use zinniaport_core::fleet::TargetCounters;

use crate::exchange::{CallBody, CallResponse};
use crate::own_identity::OwnIdentity;
use crate::run_tracker::AttemptRun;

/// Why a dispatch got no response.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// No byte of the request has reached the target.
    #[display(
        "cannot reach target {address}: {cause}; check that it runs and is listed in the intent"
    )]
    NotSent {
        /// Address of the target.
        address: SocketAddr,
        /// Cause of the failure.
        #[error(not(source))]
        cause: String,
    },
    /// The connection ended after part of the request may have been sent.
    #[display("lost target {address} before its answer: {cause}; look up whether the request ran")]
    Lost {
        /// Address of the target.
        address: SocketAddr,
        /// Cause of the failure.
        #[error(not(source))]
        cause: String,
    },
    /// The deadline passed after part of the request may have been sent.
    #[display("target {address} did not answer within the deadline; look up whether it ran")]
    DeadlinePassed {
        /// Address of the target.
        address: SocketAddr,
    },
}

/// One dispatch to a target.
#[derive(Debug, bon::Builder)]
pub struct TargetCall {
    /// Address of the target.
    pub address: SocketAddr,
    /// The request, without hop-by-hop headers.
    pub request: Request<CallBody>,
    /// Time by which the response and its body must have arrived.
    pub deadline: Instant,
    /// Header in which the time that is left until the deadline is stated, in milliseconds.
    pub deadline_header: Option<HeaderName>,
    /// Check of an idle connection before the request is sent on it.
    pub check: Option<IdleCheck>,
    /// Identity that the target repeats in its response. `None` for probes, whose identities come
    /// only once.
    pub identity: Option<IdentityTag>,
    /// Asked just before the request is sent, since it may have waited for a connection.
    pub guard: Option<Arc<dyn DispatchGuard>>,
    /// Handle by which the sender learns about the connection.
    #[builder(default)]
    pub handle: ConnectionHandle,
    /// Attempt that is recorded as sent before the request is written.
    #[builder(default)]
    pub run: Arc<AttemptRun>,
}

/// Decides just before a request is sent whether its target still takes it.
pub trait DispatchGuard: fmt::Debug + Send + Sync {
    /// Returns `true` if the request may be sent.
    fn allows_dispatch(&self) -> bool;
}

impl DispatchGuard for TargetCounters {
    /// Returns `false` while the data centre of the target is evacuated.
    fn allows_dispatch(&self) -> bool {
        !self.is_evacuated()
    }
}

/// Check of a connection that was idle for a while, by a request that the target answers at
/// once. Targets and middleboxes drop idle connections without closing them, and a request
/// sent on such a connection is lost.
#[derive(Clone, Debug)]
pub struct IdleCheck {
    /// Path of the check request.
    pub path: Uri,
    /// If `true`, the check is always made, because the request must not be sent again. If
    /// `false`, it is made only while a dead idle connection was found recently.
    pub always: bool,
    /// Identity of the check. A response that names another request is a late copy.
    pub identity: OwnIdentity,
}

/// Sends requests to targets.
pub trait TargetTransport: Send + Sync {
    /// Sends a request and returns the response once its head has arrived. Dropping the future
    /// or the response body cancels the request at the target.
    fn send(&self, call: TargetCall) -> BoxFuture<'_, Result<CallResponse, TransportError>>;
}
