//! Determines the kind of a request, its deadline and whether it is idempotent.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderMap, HeaderName};
use zinniaport_core::call::ReasonCode;

use super::{FilterNext, FilterResult, RequestFilter};
use crate::exchange::Exchange;
use crate::refusal::Refusal;
use crate::state::SharedState;

/// Maximum deadline that a caller may request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Classifies a request by the intent of its service.
pub struct ClassifyFilter {
    state: Arc<SharedState>,
    caller_path: Duration,
}

impl ClassifyFilter {
    /// Creates the filter. `caller_path` is the time that a request and its response take
    /// between caller and entry. It counts towards the callers' latency objective, up to half
    /// of it.
    pub fn new(state: Arc<SharedState>, caller_path: Duration) -> Self {
        Self { state, caller_path }
    }

    fn classify(&self, exchange: &mut Exchange) -> Result<(), Refusal> {
        let service = &exchange.fleet.services[exchange.facts.service];
        let path = path_in_service(exchange.head.uri.path());
        let method = exchange.head.method.as_str();
        let found = match exchange.routed_kind {
            Some(key) => service.kinds.get(key).map(|kind| (key, kind)),
            None => service.kinds.iter().find(|(_, kind)| kind.matches(method, path)),
        };
        let Some((key, kind)) = found else {
            let detail =
                format!("{method} {path} belongs to no kind of {}", service.intent.service);
            return Err(Refusal::not_run(ReasonCode::UnknownKind, detail));
        };
        // The deadline counts from the arrival, including the wait for a configuration, or from
        // now if no arrival was recorded.
        let arrived = exchange.facts.arrived;
        let now = if arrived.0 == 0 { self.state.clock.now() } else { arrived };
        let limit = kind.deadline();
        let requested =
            requested_limit(&exchange.head.headers, self.state.dialect.deadline_header())?;
        let limit = requested.map_or(limit, |requested| requested.min(limit));
        let facts = &mut exchange.facts;
        facts.kind = key;
        let tenant = exchange.fleet.tenant(facts.tenant);
        facts.rank = tenant.and_then(|tenant| tenant.rank).unwrap_or(kind.rank);
        facts.idempotent = kind.idempotent;
        facts.max_runs = if kind.idempotent { kind.max_runs.max(1) } else { 1 };
        facts.max_dispatches = kind.max_dispatches;
        facts.arrived = now;
        facts.deadline = now + limit;
        let objective = kind.target_latency();
        let soft_limit = objective.saturating_sub(self.caller_path).max(objective / 2);
        facts.soft_deadline = Some(now + soft_limit.min(limit));
        Ok(())
    }
}

impl RequestFilter for ClassifyFilter {
    fn name(&self) -> &'static str {
        "classify"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut Exchange,
        next: FilterNext<'a>,
    ) -> BoxFuture<'a, FilterResult> {
        Box::pin(async move {
            self.classify(exchange)?;
            next.run(exchange).await
        })
    }
}

/// Returns the path after the first segment, with its leading slash.
fn path_in_service(path: &str) -> &str {
    let rest = path.trim_start_matches('/');
    rest.find('/').map_or("/", |start| &rest[start..])
}

/// Reads the time limit that the caller set in the deadline header.
fn requested_limit(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let limit_ms = value.to_str().ok().and_then(|text| text.parse().ok());
    match limit_ms {
        Some(limit_ms @ 1..=MAX_DEADLINE_MS) => Ok(Some(Duration::from_millis(limit_ms))),
        _ => {
            let detail = format!("cannot read {name}: {value:?}");
            Err(Refusal::not_run(ReasonCode::BadDeadline, detail))
        }
    }
}
