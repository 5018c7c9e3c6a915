//! Admission: holds requests back until a slot of their service is free.

use std::sync::Arc;

use futures::future::BoxFuture;
use http_body_util::BodyExt;
use zinniaport_core::call::ReasonCode;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{CallResponse, Exchange};
use crate::gate::{GateRefusal, SlotGuard};
use crate::placement::CallPlacement;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Holds requests back until they are admitted, with one queue for each service.
pub struct AdmitFilter {
    state: Arc<SharedState>,
    placement: Arc<dyn CallPlacement>,
}

impl AdmitFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>, placement: Arc<dyn CallPlacement>) -> Self {
        Self { state, placement }
    }

    async fn admit(&self, exchange: &mut Exchange) -> Result<Option<SlotGuard>, Refusal> {
        if !self.state.fleet.load().services.contains_key(exchange.facts.service) {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        }
        let placed = self.placement.place(exchange).await;
        let mut placement = placed.map_err(|refusal| refusal_of(&refusal))?;
        let slot = placement.slot.take();
        exchange.apply_placement(placement);
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
            let response = next.run(exchange).await?;
            Ok(match slot {
                Some(slot) => hold_slot(slot, response),
                None => response,
            })
        })
    }
}

/// Holds the slot until the response body has been passed on or dropped.
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
        ReasonCode::NoTarget => "no target of the service takes requests",
        ReasonCode::UnknownService => "the service was removed",
        _ => "the request cannot be served within its deadline",
    };
    Refusal::not_run(refusal.reason, detail).retry_after(refusal.retry_after)
}
