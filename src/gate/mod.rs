//! Gates: the admission queues and the quarantine table that requests share. Each is
//! behind a mutex that is held briefly and never by a controller.

mod admission;
mod announced;
mod archive;
mod gates;
mod quarantine;
mod queue;
mod slot;
mod slots;

pub use admission::{AdmissionGate, GateRefusal, add_jitter};
pub use archive::{ArchiveDriver, ArchivedCrashes, CrashArchive};
pub use gates::AdmissionGates;
pub use quarantine::{FingerprintedCall, PermitHandle, QuarantineGate, RunPermit};
pub use slot::SlotGuard;

/// Request body that was read completely before the dispatch, so that it can be sent
/// again. Stored in the extensions of the request head.
#[derive(Clone, Debug)]
pub struct BufferedBody(pub bytes::Bytes);
