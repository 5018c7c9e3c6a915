//! Placement: the admission of requests and the choice of their targets, either by this
//! entry alone or, for the requests of all entries, by the coordinator of the service.

mod coordinated;
mod coordinator;
mod driver;
mod exclusions;
mod handle;
mod headroom;
mod local;
mod prober;
mod served;
mod shares;
mod tags;

pub use coordinated::CoordinatedPlacement;
pub use coordinator::{Coordinator, PlacementCall};
pub use driver::PlacementDriver;
use futures::future::BoxFuture;
pub use handle::PlacementHandle;
pub use local::LocalPlacement;
pub use prober::TargetProber;
use zinniaport_core::decision::AdmissionTrace;
use zinniaport_core::placement::{AttemptEnd, AttemptKind};
use zinniaport_core::policy::TargetChoice;

use crate::exchange::Exchange;
use crate::gate::{GateRefusal, SlotGuard};

/// The use of a target by one request, released when dropped.
pub trait PlacementLease: Send + Sync {
    /// Records how the attempt ended. Called at most once, before the drop.
    fn record_end(&mut self, end: AttemptEnd);

    /// Records that the target announced that it leaves.
    fn record_leaving(&mut self);
}

/// Permission to dispatch a request.
#[derive(Default)]
pub struct Placement {
    /// How the request was admitted, or `None` if it was admitted by an earlier attempt.
    pub trace: Option<AdmissionTrace>,
    /// The picked target. If it is `None`, the route filter picks one by its own policy.
    pub choice: Option<TargetChoice>,
    /// Lease of the picked target, held until its response has arrived.
    pub lease: Option<Box<dyn PlacementLease>>,
    /// Slot of this entry's own concurrency window, held until the response has been passed on.
    pub slot: Option<SlotGuard>,
}

/// Admits requests and, if it knows the requests of all entries, picks their targets.
pub trait CallPlacement: Send + Sync {
    /// Waits until the request may be dispatched.
    fn place<'a>(&'a self, exchange: &'a Exchange)
    -> BoxFuture<'a, Result<Placement, GateRefusal>>;

    /// Requests another target for a request that was admitted before. Returns `None` if the
    /// retry budget is spent or no target is left.
    fn place_again<'a>(
        &'a self,
        exchange: &'a Exchange,
        attempt: AttemptKind,
    ) -> BoxFuture<'a, Option<Placement>>;
}
