//! Lets requests wait for their turn.

use std::sync::Arc;

use futures::future::BoxFuture;
use http_body_util::BodyExt;
use zinniaport_core::call::ReasonCode;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{CallResponse, Exchange};
use crate::gate::{AdmissionGates, GateRefusal, SlotGuard};
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Lets requests wait for their turn, each service in a queue of its own.
pub struct AdmitFilter {
    state: Arc<SharedState>,
    gates: Arc<AdmissionGates>,
}

impl AdmitFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>, gates: Arc<AdmissionGates>) -> Self {
        Self { state, gates }
    }

    async fn admit(&self, exchange: &mut Exchange) -> Result<SlotGuard, Refusal> {
        let fleet = self.state.fleet.load_full();
        let key = exchange.facts.service;
        let Some(service) = fleet.services.get(key) else {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        };
        // A request that has to wait is told to the other entries.
        self.state.load_changed.notify_one();
        let admitted = self.gates.of(key, service).admit(&fleet, service, &exchange.facts).await;
        let (trace, slot) = admitted.map_err(|refusal| refusal_of(&refusal))?;
        exchange.trace.admission = Some(trace);
        Ok(slot)
    }
}

impl RequestFilter for AdmitFilter {
    fn name(&self) -> &'static str {
        "admit"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            let slot = self.admit(exchange).await?;
            Ok(hold_slot(slot, next.run(exchange).await?))
        })
    }
}

/// Keeps the slot taken until the response body has been passed on or dropped.
fn hold_slot(slot: SlotGuard, response: CallResponse) -> CallResponse {
    response.map(|body| {
        body.map_frame(move |frame| {
            let _held = &slot;
            frame
        })
        .boxed()
    })
}

fn refusal_of(refusal: &GateRefusal) -> Refusal {
    let detail = match refusal.reason {
        ReasonCode::QueueFull => "the queue of the service is full",
        _ => "the request cannot be served within its deadline",
    };
    Refusal::not_run(refusal.reason, detail).retry_after(refusal.retry_after)
}
