//! Placement in a load balancer without coordinators.

use std::sync::Arc;

use futures::future::BoxFuture;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::placement::AttemptKind;

use super::{CallPlacement, Placement};
use crate::exchange::Exchange;
use crate::gate::{AdmissionGates, GateRefusal};
use crate::state::SharedState;

/// Admits requests to this entry's own concurrency window and leaves the choice of the
/// target to the routing policy.
pub struct LocalPlacement {
    state: Arc<SharedState>,
    gates: Arc<AdmissionGates>,
}

impl LocalPlacement {
    /// Creates a placement over the gates of this entry.
    pub fn new(state: Arc<SharedState>, gates: Arc<AdmissionGates>) -> Self {
        Self { state, gates }
    }

    async fn admit(&self, exchange: &Exchange) -> Result<Placement, GateRefusal> {
        let fleet = self.state.fleet.load_full();
        let key = exchange.facts.service;
        let Some(service) = fleet.services.get(key) else {
            return Err(GateRefusal::with_default_delay(ReasonCode::UnknownService));
        };
        let gate = self.gates.get_or_create(key.into(), service);
        let (trace, slot) = gate.admit(&fleet, service, &exchange.facts).await?;
        Ok(Placement { trace: Some(trace), slot: Some(slot), ..Placement::default() })
    }
}

impl CallPlacement for LocalPlacement {
    fn place<'a>(
        &'a self,
        exchange: &'a Exchange,
    ) -> BoxFuture<'a, Result<Placement, GateRefusal>> {
        Box::pin(self.admit(exchange))
    }

    fn place_again<'a>(
        &'a self,
        exchange: &'a Exchange,
        _attempt: AttemptKind,
    ) -> BoxFuture<'a, Option<Placement>> {
        let fleet = self.state.fleet.load();
        let service = fleet.services.get(exchange.facts.service);
        let allowed = service.is_some_and(|service| service.counters.retry_budget.try_spend());
        Box::pin(std::future::ready(allowed.then(Placement::default)))
    }
}
