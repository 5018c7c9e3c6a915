//! Connections to targets.

mod connections;
mod leased_body;
mod progress;
mod silence;
mod transport;

use std::net::SocketAddr;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::{Request, Uri};
pub use silence::{SilenceCause, SilenceLogger, SilenceObserver};
use tokio::time::Instant;
pub use transport::HttpTransport;

use crate::exchange::{CallBody, CallResponse};

/// Why a target gave no answer.
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// No byte of the request can have reached the target.
    #[display(
        "cannot reach target {address}: {cause}; check that it runs and is listed in the intent"
    )]
    NotSent {
        /// Address of the target.
        address: SocketAddr,
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
    /// The connection ended after part of the request may have been sent.
    #[display("lost target {address} before its answer: {cause}; look up whether the request ran")]
    Lost {
        /// Address of the target.
        address: SocketAddr,
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
    /// The deadline passed after part of the request may have been sent.
    #[display("target {address} did not answer within the deadline; look up whether it ran")]
    DeadlinePassed {
        /// Address of the target.
        address: SocketAddr,
    },
    /// Nothing moved on the connection for too long after part of the request
    /// may have been sent.
    #[display("target {address} was silent for {limit_ms} ms; look up whether the request ran")]
    Silent {
        /// Address of the target.
        address: SocketAddr,
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
}

/// One dispatch to a target.
#[derive(Debug)]
pub struct TargetCall {
    /// Address of the target.
    pub address: SocketAddr,
    /// The request, without headers that concern one connection only.
    pub request: Request<CallBody>,
    /// When the answer, its body included, is of no more use.
    pub deadline: Instant,
    /// How an idle connection is checked before it carries the request.
    pub check: Option<IdleCheck>,
}

/// A check of a connection that was idle for a while: the path of a request that the
/// target answers at once. Targets, and what is between, forget idle connections
/// without a word, and a request sent on one of these is lost.
#[derive(Clone, Debug)]
pub struct IdleCheck {
    /// The path.
    pub path: Uri,
    /// Whether the check is made in any case, because the request must not be sent
    /// again; else only while idle connections have been found lost lately.
    pub always: bool,
}

/// Sends requests to targets.
pub trait TargetTransport: Send + Sync {
    /// Sends a request and returns the response once its head has arrived.
    /// Dropping the future or the response body cancels the request at the target.
    fn send(&self, call: TargetCall) -> BoxFuture<'_, Result<CallResponse, TransportError>>;
}
