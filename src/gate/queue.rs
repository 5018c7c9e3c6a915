//! The admission queue of a gate and the choice of its order.

use tokio::sync::oneshot;
use zinniaport_core::admission::{AdmissionLimits, AdmissionOrder, AdmissionQueue, CostQueue};
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};

use super::admission::AdmissionResult;

/// Maximum number of requests of better ranks that are admitted ahead of a waiting rank;
/// the next slot is for that rank. With 8, a backlog of a better rank leaves it one slot in
/// nine.
pub(super) const MAX_OVERTAKES: u32 = 8;

/// The admission queue of a gate.
pub(super) struct GateQueue {
    pub(super) order: Box<dyn AdmissionOrder<oneshot::Sender<AdmissionResult>>>,
    /// Number of the queue, by which keys of an earlier one are recognized.
    pub(super) number: u64,
    /// Whether it orders by the cost of a delay instead of by rank and caller.
    orders_by_cost: bool,
}

impl GateQueue {
    /// Creates a queue that orders by rank and caller.
    pub(super) fn new() -> Self {
        let limits = AdmissionLimits { max_waiting: 0, max_overtakes: MAX_OVERTAKES };
        Self { order: Box::new(AdmissionQueue::new(limits)), number: 0, orders_by_cost: false }
    }

    /// Sets the order. A change takes effect once no request waits.
    pub(super) fn choose_order(&mut self, by_cost: bool) {
        if by_cost == self.orders_by_cost || self.order.waiting() > 0 {
            return;
        }
        let limits = AdmissionLimits { max_waiting: 0, max_overtakes: MAX_OVERTAKES };
        let number = self.number + 1;
        *self = match by_cost {
            true => Self { order: Box::new(CostQueue::new(limits)), number, orders_by_cost: true },
            false => Self { number, ..Self::new() },
        };
    }
}

/// Returns `true` if tenants or kinds of different rank compete for a coordinated service.
pub(super) fn orders_by_cost(fleet: &FleetSnapshot, service: &ServiceSnapshot) -> bool {
    let has_tenants = fleet.tenants.as_ref().is_some_and(|tenants| !tenants.is_empty());
    let mut ranks = service.intent.kinds.iter().map(|kind| kind.rank);
    let first = ranks.next();
    service.table.is_coordinated && (has_tenants || ranks.any(|rank| Some(rank) != first))
}
