//! Admission: which request is admitted next when a service has more requests than
//! free slots.
//!
//! [`AdmissionQueue`] orders the waiting requests; [`window`] limits how many requests
//! of a service may be in flight.

mod queue;
mod rank;
mod run_quantile;
pub mod window;
mod work;

pub use queue::{
    AdmissionLimits, AdmissionQueue, AdmissionRefusal, JoinedCall, QueueDeparture, ServiceRate,
    WaitKey,
};
pub use run_quantile::RunQuantile;
pub use work::{ExpectedWork, KindWork};
