//! One request in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use zinniaport_core::call::CallFacts;
use zinniaport_core::decision::DecisionTrace;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::keys::TargetKey;
use zinniaport_core::policy::TargetChoice;

use crate::placement::{Placement, PlacementLease};

/// Body of a request or response while it passes through.
pub type CallBody = BoxBody<Bytes, BodyError>;

/// Response on its way to the caller.
pub type CallResponse = http::Response<CallBody>;

/// Why a body ended early.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The connection failed.
    #[display(
        "the connection ended inside the body: {_0}; send the request again if it is idempotent"
    )]
    Connection(hyper::Error),
    /// The body exceeds its limit.
    #[from(ignore)]
    #[display(
        "the body is larger than {limit_bytes} bytes; send less or raise limits.max_body_bytes"
    )]
    TooLarge {
        /// The limit, in bytes.
        limit_bytes: u64,
    },
    /// The deadline passed within the body.
    #[from(ignore)]
    #[display("the deadline passed within the body; allow more time in X-Deadline-Ms")]
    DeadlinePassed,
    /// No progress within the time limit.
    #[from(ignore)]
    #[display("no data arrived within {limit_ms} ms; check the sender or raise its time limit")]
    Stalled {
        /// The limit, in milliseconds.
        limit_ms: u64,
    },
}

/// Makes a body without content.
pub fn empty_body() -> CallBody {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Makes a body that is wholly in memory.
pub fn full_body(content: impl Into<Bytes>) -> CallBody {
    Full::new(content.into()).map_err(|never| match never {}).boxed()
}

/// What went wrong with the body that a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum BodyFault {
    /// It exceeds its limit.
    TooLarge = 1,
    /// The caller sent nothing for too long.
    Stalled,
    /// The caller's connection or stream ended within it.
    Broken,
}

/// Shows what became of a request body after it was handed to a transport.
#[derive(Clone, Debug, Default)]
pub struct BodyStatus(Arc<AtomicU8>);

impl BodyStatus {
    /// Notes a fault.
    pub fn report(&self, fault: BodyFault) {
        self.0.store(fault as u8, Ordering::Release);
    }

    /// Gives the fault, if there is one.
    pub fn fault(&self) -> Option<BodyFault> {
        [BodyFault::TooLarge, BodyFault::Stalled, BodyFault::Broken]
            .into_iter()
            .find(|fault| *fault as u8 == self.0.load(Ordering::Acquire))
    }
}

/// One request in progress, from its head to its answer.
pub struct Exchange {
    /// Identity of the request, given by the caller or made here.
    pub request_id: String,
    /// Services and targets as of the arrival of the request.
    pub fleet: Arc<FleetSnapshot>,
    /// What decisions know of the request.
    pub facts: CallFacts,
    /// Head of the request.
    pub head: http::request::Parts,
    /// Body of the request until it is dispatched.
    pub body: Option<CallBody>,
    /// What becomes of that body.
    pub body_status: BodyStatus,
    /// Position of the request's kind in its service, if a route decided it.
    pub routed_kind: Option<usize>,
    /// The target that was granted to the next dispatch, if the coordinator of the
    /// service picks it.
    pub granted_choice: Option<TargetChoice>,
    /// The use of that target.
    pub lease: Option<Box<dyn PlacementLease>>,
    /// Targets that the request was dispatched to, the present one last.
    pub targets: Vec<TargetKey>,
    /// The decisions taken so far.
    pub trace: DecisionTrace,
}

impl Exchange {
    /// Takes over what a placement grants, all but the slot.
    pub fn apply_placement(&mut self, placement: Placement) {
        if let Some(trace) = placement.trace {
            self.trace.admission = Some(trace);
        }
        self.granted_choice = placement.choice;
        self.lease = placement.lease;
    }

    /// Creates an exchange from the head and body of a request.
    pub fn new(
        request_id: String,
        fleet: Arc<FleetSnapshot>,
        request: http::Request<CallBody>,
    ) -> Self {
        let (head, body) = request.into_parts();
        Self {
            request_id,
            fleet,
            facts: CallFacts::default(),
            head,
            body: Some(body),
            body_status: BodyStatus::default(),
            routed_kind: None,
            granted_choice: None,
            lease: None,
            targets: Vec::new(),
            trace: DecisionTrace::default(),
        }
    }
}
