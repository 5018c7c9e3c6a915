//! Gates: admission queues and quarantine as the request path shares them, each
//! behind a short mutex that no controller holds.

mod admission;
mod gates;
mod quarantine;

pub use admission::{AdmissionGate, GateRefusal, SlotGuard};
pub use gates::AdmissionGates;
pub use quarantine::{FingerprintedCall, PermitHandle, QuarantineGate, RunPermit};

/// Body of a request that was read as a whole before dispatch, so that it can
/// be sent again. Kept among the extensions of the request's head.
#[derive(Clone, Debug)]
pub struct BufferedBody(pub bytes::Bytes);
