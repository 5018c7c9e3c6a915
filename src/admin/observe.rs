//! `GET /metrics`, `GET /v1/burn` and `GET /v1/status`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use http::{HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use zinniaport_core::burn::BurnReport;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot, TargetSnapshot, TargetState};
use zinniaport_core::probe::MeasuringAccount;
use zinniaport_core::request_limit::RequestLimit;

use super::{AdminHandler, AdminRequest, AdminResponse, json_response, text_response};
use crate::peers::PeerFanout;
use crate::state::SharedState;

/// Returns the metrics of this entry.
pub struct MetricsHandler(pub Arc<SharedState>);

impl AdminHandler for MetricsHandler {
    fn path(&self) -> &'static str {
        "/metrics"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        self.0.metrics.set_held(&self.0.held.figures());
        let mut response = text_response(StatusCode::OK, self.0.metrics.render());
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(header::CONTENT_TYPE, text);
        Box::pin(std::future::ready(response))
    }
}

/// Time limit for the reports of the other entries.
const BURN_CALL_LIMIT: Duration = Duration::from_secs(3);

/// Reports the error budget burn of this entry and of the entries that respond.
pub struct BurnHandler {
    state: Arc<SharedState>,
    members: Option<PeerFanout>,
}

impl BurnHandler {
    /// Creates a handler. Without members it reports on this entry alone.
    pub fn new(state: Arc<SharedState>, members: Option<PeerFanout>) -> Self {
        Self { state, members }
    }

    async fn report(&self) -> BurnReport {
        let mut report = BurnReport::clone(&self.state.burn.load());
        if let Some(members) = &self.members {
            report.entries += members.len() as u32;
            let results = members.call_all(|member| async move { member.burn().await });
            let results = results.take_until(tokio::time::sleep(BURN_CALL_LIMIT));
            let mut results = std::pin::pin!(results);
            while let Some(result) = results.next().await {
                match result.map(|text| serde_json::from_str(&text)) {
                    Ok(Ok(peer_report)) => report.add(&peer_report),
                    Ok(Err(error)) => {
                        log::warn!("cannot decode the burn report of an entry: {error}");
                    }
                    Err(error) => log::warn!("the burn report lacks an entry: {error}"),
                }
            }
        }
        report.truncate_causes();
        report
    }
}

impl AdminHandler for BurnHandler {
    fn path(&self) -> &'static str {
        "/v1/burn"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async { json_response(StatusCode::OK, &self.report().await) })
    }
}

/// Reports the state of services and targets.
pub struct StatusHandler(pub Arc<SharedState>);

impl AdminHandler for StatusHandler {
    fn path(&self) -> &'static str {
        "/v1/status"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        let response = json_response(StatusCode::OK, &EntryStatus::read(&self.0));
        Box::pin(std::future::ready(response))
    }
}

/// State of an entry and of its services.
#[derive(Debug, Deserialize, Serialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub entry: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// When the status was read.
    pub taken: Timestamp,
    /// When services or targets last changed at this entry.
    pub changed: Timestamp,
    /// Items of the configuration that this version does not know and does not use.
    #[serde(default)]
    pub unused_items: Vec<String>,
    /// Services by name.
    pub services: Vec<ServiceStatus>,
}

/// State of a service.
#[derive(Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Team that owns the service.
    pub team: String,
    /// Version of the intent in force.
    pub version: u64,
    /// Requests of this entry in flight.
    pub in_flight: u32,
    /// Slot time that this entry has spent on measuring since its start, in milliseconds.
    pub measuring_spent_ms: f64,
    /// Slot time that this entry's share of the measuring budget has allowed, in
    /// milliseconds.
    pub measuring_allowed_ms: f64,
    /// Targets in the order of the intent.
    pub targets: Vec<TargetStatus>,
}

/// State of a target.
#[derive(Debug, Deserialize, Serialize)]
pub struct TargetStatus {
    /// Address of the target.
    pub address: String,
    /// Data centre of the target.
    pub data_centre: String,
    /// State as this entry sees it.
    pub state: TargetState,
    /// Reason for the state.
    pub reason: String,
    /// When the state began.
    pub since: Timestamp,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// Requests of this entry in flight.
    pub in_flight: u32,
    /// Load in the target's last report; `None` before the first one.
    pub reported_load: Option<u32>,
    /// When that report arrived.
    pub reported_at: Timestamp,
    /// Requests per second that the target takes from all entries, if it states a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_limit: Option<f64>,
    /// Time for which the target is still cold and limited, in milliseconds, if it is.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub cold_left_ms: Option<u64>,
    /// Time for which the target still wants no requests of this entry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_left_ms: Option<u64>,
}

impl EntryStatus {
    /// Reads the current state.
    pub fn read(state: &SharedState) -> Self {
        let fleet = state.fleet.load();
        let measuring = state.measuring.load();
        let now = state.clock.now();
        let account = |key| measuring.get(key).copied().unwrap_or_default();
        Self {
            entry: state.entry_name.to_string(),
            data_centre: state.data_centre.to_string(),
            taken: now,
            changed: fleet.published,
            unused_items: fleet
                .routes
                .as_ref()
                .map(|table| table.unused_items.clone())
                .unwrap_or_default(),
            services: fleet
                .service_keys
                .values()
                .filter_map(|key| Some((fleet.services.get(*key)?, account(*key))))
                .map(|(service, account)| ServiceStatus::read(service, account, &fleet, now))
                .collect(),
        }
    }
}

impl ServiceStatus {
    fn read(
        service: &ServiceSnapshot,
        account: MeasuringAccount,
        fleet: &FleetSnapshot,
        now: Timestamp,
    ) -> Self {
        let targets = service.targets.iter().filter_map(|key| fleet.targets.get(*key));
        let targets: Vec<_> = targets.map(|target| TargetStatus::read(target, now)).collect();
        Self {
            service: service.intent.service.clone(),
            team: service.intent.team.clone(),
            version: service.version,
            in_flight: targets.iter().map(|target| target.in_flight).sum(),
            measuring_spent_ms: account.spent.as_secs_f64() * 1_000.0,
            measuring_allowed_ms: account.allowed.as_secs_f64() * 1_000.0,
            targets,
        }
    }
}

impl TargetStatus {
    fn read(target: &TargetSnapshot, now: Timestamp) -> Self {
        let counters = &target.counters;
        let reported_at = Timestamp(counters.reported_at.load(Ordering::Relaxed));
        let load = counters.reported_load.load(Ordering::Relaxed);
        let failures = counters.consecutive_failures.load(Ordering::Relaxed);
        Self {
            address: target.address.to_string(),
            data_centre: target.data_centre.to_string(),
            state: target.state,
            reason: match target.state {
                TargetState::Starting => "starts cold".to_owned(),
                TargetState::Serving => "intent".to_owned(),
                TargetState::Draining => "the target drains".to_owned(),
                TargetState::Leaving if counters.is_evacuated() => "evacuated".to_owned(),
                TargetState::Leaving => "intent or platform".to_owned(),
                TargetState::Ejected => format!("{failures} failures in a row"),
            },
            since: target.since,
            slots: target.slots,
            in_flight: counters.in_flight.load(Ordering::Relaxed),
            reported_load: (reported_at > Timestamp::default()).then_some(load),
            reported_at,
            request_limit: counters.limit.limit().map(RequestLimit::per_second),
            cold_left_ms: counters.limit.warm_up.time_left(now).map(|left| left.as_millis() as u64),
            pause_left_ms: counters.pause_left(now).map(|left| left.as_millis() as u64),
        }
    }
}
