//! Starts an entry: wires filters, controllers and borders together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};
use zinniaport_core::controllers::{
    DrainController, DrainEffect, DrainMessage, SettingsController, SettingsEffect,
    SettingsMessage, StateController, TargetsMessage,
};
use zinniaport_core::intent::ServiceIntent;
use zinniaport_core::policy::{EntryView, RoutingPolicy};

use crate::admin::{
    AdminHandler, AdminRequest, AdminResponse, AdminRouter, BurnHandler, ExplainHandler,
    LocalRecords, MetricsHandler, RecordsHandler, StatusHandler, text_response,
};
use crate::filters::{
    AdmitFilter, ClaimFilter, ClassifyFilter, FilterChain, ForwardFilter, IdentifyFilter,
    QuarantineFilter, RecordFilter, RouteFilter,
};
use crate::front::HttpFront;
use crate::gate::QuarantineGate;
use crate::pool::{HttpTransport, TargetTransport, UnobservedSilence};
use crate::settings::EntrySettings;
use crate::state::SharedState;
use crate::targets::{TargetsDriver, TargetsHandle};
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
    clock: Arc<dyn ClockSource>,
    ready: Arc<AtomicBool>,
    close: CancellationToken,
    stop: CancellationToken,
    front: AbortOnDropHandle<()>,
    drain: DrainController,
}

impl EntryRuntime {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let state =
            Arc::new(SharedState::new(clock.clone(), &settings.name, &settings.data_centre));
        let (listener, caller_address) = listen(settings.listen).await?;
        let (admin_listener, admin_address) = listen(settings.admin_listen).await?;
        let EntrySettings { limits, pool, stop: stop_settings, services, routing, .. } = settings;
        let (mut driver, targets) = TargetsDriver::new(state.clone());
        apply_intents(&state, &mut driver, services);
        let stop = CancellationToken::new();
        // Runs on during a planned stop, until the last request has ended.
        tokio::spawn(driver.run(CancellationToken::new()));
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
        let transport = Arc::new(HttpTransport::new(pool, Arc::new(UnobservedSilence)));
        let chain = build_chain(&state, targets, routing.policy(), transport);
        let front = HttpFront::new(state.clone(), chain, limits);
        let close = CancellationToken::new();
        let linger = stop_settings.idle_linger();
        let front = tokio::spawn(front.serve(listener, close.clone(), linger));
        let front = AbortOnDropHandle::new(front);
        let drain = DrainController::new(stop_settings.drain_limits());
        Ok(Self { caller_address, admin_address, clock, ready, close, stop, front, drain })
    }

    /// Gives the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Gives the address for administration.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Runs a planned stop: readiness turns false, new work is still served while
    /// the platform's balancer lags, then the listener closes and requests in
    /// flight end.
    pub async fn stop(mut self) {
        let mut message = DrainMessage::StopRequested;
        loop {
            let effects = self.drain.handle(message, self.clock.now());
            log::info!("planned stop: {}", self.drain.state());
            let Some(timer) = self.carry_out(effects) else { break };
            message = self.next_message(timer).await;
        }
        self.stop.cancel();
    }

    /// Carries out effects and returns the timer to wait for, if any.
    fn carry_out(&self, effects: Vec<DrainEffect>) -> Option<Timestamp> {
        let mut timer = None;
        for effect in effects {
            match effect {
                DrainEffect::PublishReadiness(ready) => self.ready.store(ready, Ordering::Release),
                DrainEffect::SetTimer(time) => timer = Some(time),
                DrainEffect::CloseListener => self.close.cancel(),
                DrainEffect::Finish { cut: false } => {}
                DrainEffect::Finish { cut: true } => {
                    log::warn!("requests are cut by the stop; raise stop.drain_limit_ms");
                }
            }
        }
        timer
    }

    /// Waits for the timer or, once the listener is closed, for the last caller
    /// connection.
    async fn next_message(&mut self, timer: Timestamp) -> DrainMessage {
        let wait = tokio::time::sleep(timer.since(self.clock.now()));
        tokio::select! {
            () = wait => DrainMessage::TimerFired,
            ended = &mut self.front, if self.close.is_cancelled() => {
                if let Err(error) = ended {
                    log::error!("the front end failed: {error}; report this with the log above");
                }
                DrainMessage::ConnectionsEnded
            }
        }
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let start_error = |source| StartError { address, source };
    let listener = TcpListener::bind(address).await.map_err(start_error)?;
    let bound = listener.local_addr().map_err(start_error)?;
    Ok((listener, bound))
}

fn apply_intents(state: &SharedState, driver: &mut TargetsDriver, services: Vec<ServiceIntent>) {
    let (name, data_centre) = (state.entry_name.clone(), state.data_centre.clone());
    driver.deliver(TargetsMessage::View(EntryView { name, data_centre, members: Arc::default() }));
    let mut controller = SettingsController::default();
    for intent in services {
        let message = SettingsMessage::Accepted { intent, version: 1 };
        for effect in controller.handle(message, state.clock.now()) {
            let SettingsEffect::Publish(fleet) = effect;
            driver.deliver(TargetsMessage::Intents(fleet));
        }
    }
}

fn build_chain(
    state: &Arc<SharedState>,
    targets: TargetsHandle,
    policy: Arc<dyn RoutingPolicy>,
    transport: Arc<dyn TargetTransport>,
) -> FilterChain {
    let quarantine = Arc::new(QuarantineGate::new(state.clock.clone()));
    FilterChain::new(vec![
        Arc::new(RecordFilter::new(state.clone())),
        Arc::new(IdentifyFilter::new(state.clone())),
        Arc::new(ClassifyFilter::new(state.clone())),
        Arc::new(QuarantineFilter::new(state.clone(), quarantine)),
        Arc::new(ClaimFilter),
        Arc::new(AdmitFilter::new(state.clone())),
        Arc::new(RouteFilter::new(state.clone(), policy, targets)),
        Arc::new(ForwardFilter::new(state.clone(), transport)),
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
