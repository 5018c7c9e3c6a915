//! Picks the target that runs a request.

use std::sync::Arc;

use futures::future::BoxFuture;
use zinniaport_core::call::ReasonCode;
use zinniaport_core::decision::DispatchTrace;
use zinniaport_core::policy::{RouteQuery, RoutingPolicy};

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Asks a routing policy for a target.
pub struct RouteFilter {
    state: Arc<SharedState>,
    policy: Arc<dyn RoutingPolicy>,
}

impl RouteFilter {
    /// Creates the filter.
    pub fn new(state: Arc<SharedState>, policy: Arc<dyn RoutingPolicy>) -> Self {
        Self { state, policy }
    }

    fn pick(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        // The newest snapshot, since the request may have waited in a queue.
        exchange.fleet = self.state.fleet.load_full();
        let Some(service) = exchange.fleet.services.get(exchange.facts.service) else {
            return Err(Refusal::not_run(ReasonCode::UnknownService, "the service was removed"));
        };
        let query = RouteQuery {
            fleet: &exchange.fleet,
            service,
            data_centre: &self.state.data_centre,
            members: &exchange.fleet.view.members,
            excluded: &exchange.targets,
            now: self.state.clock.now(),
        };
        let Some(choice) = self.policy.pick(&query, &mut rand::rng()) else {
            let detail = format!("no target of {} takes requests", service.intent.service);
            return Err(Refusal::not_run(ReasonCode::NoTarget, detail));
        };
        exchange.trace.add_dispatch(DispatchTrace {
            target: choice.target,
            rule: choice.reason,
            candidates: choice.candidates,
            dispatched: query.now,
            report_age_us: None,
        });
        exchange.targets.push(choice.target);
        Ok(())
    }
}

impl RequestFilter for RouteFilter {
    fn name(&self) -> &'static str {
        "route"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            self.pick(exchange)?;
            next.run(exchange).await
        })
    }
}
