//! Lets requests wait for their turn.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::fleet::ServiceEntry;
use zinniaport_core::keys::ServiceKey;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::{CallResponse, Exchange};
use crate::gate::{AdmissionGate, GateRefusal, SlotGuard};
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Lets requests wait for their turn, each service in a queue of its own.
pub struct AdmitFilter {
    state: Arc<SharedState>,
    admissions: Arc<AtomicU64>,
    gates: ArcSwap<HashMap<ServiceKey, Arc<AdmissionGate>>>,
}

impl AdmitFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>) -> Self {
        Self { state, admissions: Arc::default(), gates: ArcSwap::default() }
    }

    /// Finds the gate of a service; the first request for a service adds it.
    fn gate(&self, key: ServiceKey, service: &ServiceEntry) -> Arc<AdmissionGate> {
        if let Some(gate) = self.gates.load().get(&key) {
            return gate.clone();
        }
        let clock = self.state.clock.clone();
        let created = AdmissionGate::new(clock, service.counters.clone(), self.admissions.clone());
        let created = Arc::new(created);
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            gates.entry(key).or_insert_with(|| created.clone());
            gates
        });
        self.gates.load().get(&key).cloned().unwrap_or(created)
    }

    async fn admit(&self, exchange: &mut Exchange) -> Result<SlotGuard, Refusal> {
        let fleet = self.state.fleet.load_full();
        let key = exchange.facts.service;
        let Some(service) = fleet.services.get(key) else {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        };
        let admitted = self.gate(key, service).admit(&fleet, service, &exchange.facts).await;
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
