//! Placement: who admits a request and picks its target, this entry alone or the
//! coordinator of its service for all entries.

mod coordinated;
mod coordinator;
mod driver;
mod local;
mod prober;
mod tags;

pub use coordinated::CoordinatedPlacement;
pub use coordinator::{Coordinator, PlacementCall};
pub use driver::{PlacementDriver, PlacementHandle};
use futures::future::BoxFuture;
pub use local::LocalPlacement;
pub use prober::TargetProber;
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::placement::{AttemptEnd, AttemptKind};
use zinniaport_core::policy::TargetChoice;

use crate::exchange::Exchange;
use crate::gate::{GateRefusal, SlotGuard};

/// The use of a target by one request, given back when dropped.
pub trait PlacementLease: Send + Sync {
    /// Notes how the use ended; it may be called once before the drop.
    fn record_end(&mut self, end: AttemptEnd);
}

/// Permission to dispatch a request.
#[derive(Default)]
pub struct Placement {
    /// How the request was admitted; none if it was admitted before.
    pub trace: Option<AdmissionTrace>,
    /// The target; without it this entry picks one by its own policy.
    pub choice: Option<TargetChoice>,
    /// The use of the target, until its answer has arrived.
    pub lease: Option<Box<dyn PlacementLease>>,
    /// A slot of this entry's own window, until the answer has been passed on.
    pub slot: Option<SlotGuard>,
}

/// Admits requests and, where it knows the requests of all entries, picks their targets.
pub trait CallPlacement: Send + Sync {
    /// Waits until the request may be dispatched.
    fn place<'a>(&'a self, exchange: &'a Exchange)
    -> BoxFuture<'a, Result<Placement, GateRefusal>>;

    /// Asks for a further target of a request that was admitted before; none if the
    /// retry budget or the targets are exhausted.
    fn place_again<'a>(
        &'a self,
        exchange: &'a Exchange,
        attempt: AttemptKind,
    ) -> BoxFuture<'a, Option<Placement>>;
}
