//! Starts an entry: wires filters, controllers and borders together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::{ClockSource, SystemClock};
use zinniaport_core::controllers::{
    SettingsController, SettingsEffect, SettingsMessage, StateController,
};
use zinniaport_core::policy::TwoChoices;

use crate::admin::{
    AdminHandler, AdminRequest, AdminResponse, AdminRouter, BurnHandler, ExplainHandler,
    LocalRecords, MetricsHandler, RecordsHandler, StatusHandler, text_response,
};
use crate::filters::{
    AdmitFilter, ClaimFilter, ClassifyFilter, FilterChain, ForwardFilter, IdentifyFilter,
    QuarantineFilter, RecordFilter, RouteFilter,
};
use crate::front::HttpFront;
use crate::pool::HttpTransport;
use crate::settings::EntrySettings;
use crate::state::SharedState;
use crate::telemetry::drive_burn;

/// Why an entry cannot start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {source}; free the port or change the setting")]
pub struct StartError {
    /// The address.
    pub address: SocketAddr,
    /// What failed.
    pub source: std::io::Error,
}

/// A running entry.
pub struct EntryRuntime {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    ready: Arc<AtomicBool>,
    stop: CancellationToken,
    front: JoinHandle<()>,
}

impl EntryRuntime {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let state = Arc::new(SharedState::new(clock, &settings.name, &settings.data_centre));
        let (listener, caller_address) = listen(settings.listen).await?;
        let (admin_listener, admin_address) = listen(settings.admin_listen).await?;
        apply_intents(&state, settings);
        let stop = CancellationToken::new();
        let ready = Arc::new(AtomicBool::new(true));
        let router = AdminRouter::new(vec![
            Arc::new(LivenessHandler),
            Arc::new(ReadinessHandler(ready.clone())),
            Arc::new(MetricsHandler(state.clone())),
            Arc::new(ExplainHandler::new(vec![Arc::new(LocalRecords(state.clone()))])),
            Arc::new(RecordsHandler(state.clone())),
            Arc::new(StatusHandler(state.clone())),
            Arc::new(BurnHandler(state.clone())),
        ]);
        tokio::spawn(router.serve(admin_listener, stop.clone()));
        tokio::spawn(drive_burn(state.clone(), stop.clone()));
        let front = HttpFront::new(state.clone(), build_chain(&state));
        let front = tokio::spawn(front.serve(listener, stop.clone()));
        Ok(Self { caller_address, admin_address, ready, stop, front })
    }

    /// Gives the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Gives the address for administration.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Stops accepting connections and waits for requests in flight.
    pub async fn stop(self) {
        self.ready.store(false, Ordering::Release);
        self.stop.cancel();
        if let Err(error) = self.front.await {
            log::error!("the front end failed: {error}; report this with the log above");
        }
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let start_error = |source| StartError { address, source };
    let listener = TcpListener::bind(address).await.map_err(start_error)?;
    let bound = listener.local_addr().map_err(start_error)?;
    Ok((listener, bound))
}

fn apply_intents(state: &SharedState, settings: EntrySettings) {
    let mut controller = SettingsController::default();
    for intent in settings.services {
        let message = SettingsMessage::Accepted { intent, version: 1 };
        for effect in controller.handle(message, state.clock.now()) {
            let SettingsEffect::Publish(fleet) = effect;
            state.fleet.store(fleet);
        }
    }
}

fn build_chain(state: &Arc<SharedState>) -> FilterChain {
    FilterChain::new(vec![
        Arc::new(RecordFilter::new(state.clone())),
        Arc::new(IdentifyFilter::new(state.clone())),
        Arc::new(ClassifyFilter::new(state.clone())),
        Arc::new(QuarantineFilter),
        Arc::new(ClaimFilter),
        Arc::new(AdmitFilter),
        Arc::new(RouteFilter::new(state.clone(), Arc::new(TwoChoices))),
        Arc::new(ForwardFilter::new(state.clone(), Arc::new(HttpTransport))),
    ])
}

/// Answers whether the process runs.
struct LivenessHandler;

impl AdminHandler for LivenessHandler {
    fn path(&self) -> &'static str {
        "/livez"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async { text_response(StatusCode::OK, "live") })
    }
}

/// Answers whether the platform's balancer should send callers here.
struct ReadinessHandler(Arc<AtomicBool>);

impl AdminHandler for ReadinessHandler {
    fn path(&self) -> &'static str {
        "/readyz"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async {
            if self.0.load(Ordering::Acquire) {
                text_response(StatusCode::OK, "ready")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        })
    }
}
