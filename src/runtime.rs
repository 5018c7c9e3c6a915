//! Starts an entry: wires filters, controllers and borders together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::{ClockSource, SystemClock};
use zinniaport_core::controllers::{
    EntryPlace, SettingsController, SettingsEffect, SettingsMessage, StateController,
    VersionedIntent,
};
use zinniaport_core::policy::TwoChoices;

use crate::admin::{
    AdminHandler, AdminRequest, AdminResponse, AdminRouter, PlanBook, PlanDesk, TeamDirectory,
    text_response,
};
use crate::filters::{
    AdmitFilter, ClaimFilter, ClassifyFilter, FilterChain, ForwardFilter, IdentifyFilter,
    QuarantineFilter, RecordFilter, RouteFilter,
};
use crate::front::HttpFront;
use crate::pool::HttpTransport;
use crate::propagation::{IntentAnnouncer, PropagationParts, PropagationStatus, follow_store};
use crate::settings::EntrySettings;
use crate::state::SharedState;
use crate::store::{ObjectStore, StoreCaller};

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
        Self::start_with(settings, None).await
    }

    /// Starts an entry that keeps shared state in `store`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start_with(
        settings: EntrySettings,
        store: Option<Arc<dyn ObjectStore>>,
    ) -> Result<Self, StartError> {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let state = Arc::new(SharedState::new(clock, &settings.name, &settings.data_centre));
        let (listener, caller_address) = listen(settings.listen).await?;
        let (admin_listener, admin_address) = listen(settings.admin_listen).await?;
        let mut handlers: Vec<Arc<dyn AdminHandler>> = Vec::new();
        let stop = CancellationToken::new();
        let mut status = None;
        if let (Some(platform), Some(store)) = (&settings.platform, store) {
            let store = StoreCaller::new(store, Duration::from_millis(platform.call_ms));
            let parts = PropagationParts {
                store: store.clone(),
                hold: Duration::from_millis(platform.watch_ms),
                state: state.clone(),
                place: EntryPlace { name: settings.name.clone(), region: String::new() },
                announcer: Arc::new(NoPeers),
            };
            let propagation = follow_store(parts, stop.clone());
            status = Some(propagation.status().clone());
            let place = EntryPlace { name: settings.name.clone(), region: String::new() };
            propagation.tell(SettingsMessage::Members(vec![place])).await;
            let book = PlanBook::new(store, state.clone(), propagation);
            handlers.extend(PlanDesk::handlers(book, TeamDirectory::new(&platform.teams)));
        }
        apply_intents(&state, settings);
        let ready = Arc::new(AtomicBool::new(true));
        handlers.push(Arc::new(LivenessHandler));
        handlers.push(Arc::new(ReadinessHandler { ready: ready.clone(), status }));
        let router = AdminRouter::new(handlers);
        tokio::spawn(router.serve(admin_listener, stop.clone()));
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
            if let SettingsEffect::Publish(fleet) = effect {
                state.fleet.store(fleet);
            }
        }
    }
}

fn build_chain(state: &Arc<SharedState>) -> FilterChain {
    FilterChain::new(vec![
        Arc::new(RecordFilter::new(state.clone())),
        Arc::new(IdentifyFilter),
        Arc::new(ClassifyFilter::new(state.clone())),
        Arc::new(QuarantineFilter),
        Arc::new(ClaimFilter),
        Arc::new(AdmitFilter),
        Arc::new(RouteFilter::new(state.clone(), Arc::new(TwoChoices))),
        Arc::new(ForwardFilter::new(state.clone(), Arc::new(HttpTransport))),
    ])
}

/// Stands in for peers of an entry that runs alone.
struct NoPeers;

impl IntentAnnouncer for NoPeers {
    fn announce(&self, _intent: &VersionedIntent) {}
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
struct ReadinessHandler {
    ready: Arc<AtomicBool>,
    status: Option<Arc<PropagationStatus>>,
}

impl AdminHandler for ReadinessHandler {
    fn path(&self) -> &'static str {
        "/readyz"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async {
            let settled = self.status.as_ref().is_none_or(|status| status.ready());
            if settled && self.ready.load(Ordering::Acquire) {
                text_response(StatusCode::OK, "ready")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        })
    }
}
