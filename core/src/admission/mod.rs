//! Admission: who goes next when a service has more requests than free slots.
//!
//! [`AdmissionQueue`] orders the requests that wait; [`window`] says how many
//! requests of a service may be in flight from this entry.

mod queue;
mod rank;
mod run_quantile;
pub mod window;

pub use queue::{
    AdmissionLimits, AdmissionQueue, AdmissionRefusal, JoinedCall, QueueDeparture, ServiceRate,
    WaitKey,
};
pub use run_quantile::RunQuantile;
