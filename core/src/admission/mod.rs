//! Admission: which request is admitted next when a service has more requests than
//! free slots.
//!
//! [`AdmissionQueue`] orders the waiting requests by rank and caller, [`CostQueue`] by what a
//! delay or refusal costs where tenants or kinds of different rank compete for a service; [`window`] limits how many requests
//! of a service may be in flight.

mod cost_queue;
mod costed_call;
mod fairness;
mod order;
mod queue;
mod rank;
mod run_quantile;
pub mod window;
mod work;

pub use cost_queue::{CostQueue, HONOURED_DELAY_DIVISOR};
pub use order::{AdmissionOrder, CallDemand, KindTerms, RefusedCall, WaitingTenants};
pub use queue::{
    AdmissionLimits, AdmissionQueue, AdmissionRefusal, JoinedCall, QueueDeparture, ServiceRate,
    WaitKey,
};
pub use run_quantile::RunQuantile;
pub use work::{ExpectedWork, KindWork};
