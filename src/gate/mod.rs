//! Gates: admission queues and quarantine as the request path shares them, each
//! behind a short mutex that no controller holds.

mod admission;

pub use admission::{AdmissionGate, GateRefusal, SlotGuard};
