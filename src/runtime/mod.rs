//! Starts an entry: connects filters, controllers and external systems.

mod chain;
mod coordinated;
mod dependencies;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use chain::ChainParts;
use coordinated::{CoordinatedParts, SeedSender};
pub use dependencies::EntryDependencies;
use derive_more::{Display, Error};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};
use zinniaport_core::controllers::{
    DrainController, DrainEffect, DrainMessage, IntentsController, IntentsEffect, IntentsMessage,
    StateController, TargetsMessage,
};
use zinniaport_core::intent::ServiceIntent;
use zinniaport_core::policy::EntryView;

use crate::admin::{
    AdminHandler, AdminRouter, BurnHandler, ExplainHandler, LivenessHandler, LocalRecords,
    MetricsHandler, ReadinessCheck, ReadinessHandler, RecordLookup, RecordsHandler, StatusHandler,
};
use crate::claims::{KeyClaims, NoKeyClaims, StoreKeyClaims};
use crate::control::{ControlParts, ControlPlane};
use crate::directory::{DirectoryDriver, DirectoryRelay, RelayedDirectory, unconfigured_fleet};
use crate::front::HttpFrontend;
use crate::gate::{AdmissionGates, ArchiveDriver, QuarantineGate};
use crate::measuring::{
    IntentFreshness, MeasuringDriver, MeasuringParts, StaticFreshness, probe_trigger,
};
use crate::placement::{CallPlacement, LocalPlacement};
use crate::pool::{HttpTransport, SilenceLogger};
use crate::quota::QuotaDriver;
use crate::records::PeerRecords;
use crate::settings::EntrySettings;
use crate::state::SharedState;
use crate::store::ObjectStore;
use crate::targets::TargetsDriver;
use crate::telemetry::run_burn_controller;

/// An entry cannot start because it cannot listen on an address.
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
    control: Option<ControlPlane>,
    claims: Arc<dyn KeyClaims>,
    state: Arc<SharedState>,
    /// `None` if the entry exchanges no signals.
    seeds: Option<SeedSender>,
}

impl EntryRuntime {
    /// Starts an entry with the platform of its settings.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let dependencies = EntryDependencies::from_platform(settings.platform.as_ref());
        Self::start_with_dependencies(settings, dependencies).await
    }

    /// Starts an entry with `store` as its object store.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start_with_store(
        settings: EntrySettings,
        store: Option<Arc<dyn ObjectStore>>,
    ) -> Result<Self, StartError> {
        Self::start_with_dependencies(
            settings,
            EntryDependencies::builder().maybe_store(store).build(),
        )
        .await
    }

    /// Starts an entry with the given external systems.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start_with_dependencies(
        mut settings: EntrySettings,
        dependencies: EntryDependencies,
    ) -> Result<Self, StartError> {
        let EntryDependencies { store, vms, directory, crash_archive, entry_registry, dialect } =
            dependencies;
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let state = SharedState::new(clock.clone(), &settings.name, &settings.data_centre);
        let state = state.with_dialect(dialect).with_limits(&settings.limits);
        let state = Arc::new(state.with_silence(settings.routing.silence()));
        let (listener, caller_address) = bind_listener(settings.listen).await?;
        let (admin_listener, admin_address) = bind_listener(settings.admin_listen).await?;
        let stop = CancellationToken::new();
        let (mut driver, targets) = TargetsDriver::new(state.clone());
        apply_intents(&state, &mut driver, std::mem::take(&mut settings.services));
        if directory.is_some() {
            driver.deliver(TargetsMessage::Intents(unconfigured_fleet()));
        } else {
            state.set_may_coordinate(true);
        }
        let mut checks: Vec<Arc<dyn ReadinessCheck>> = Vec::new();
        let relay = Arc::new(DirectoryRelay::default());
        if let Some(source) = directory {
            let is_configured = Arc::new(AtomicBool::new(false));
            checks.push(is_configured.clone());
            let (state, targets, directory_settings) =
                (state.clone(), targets.clone(), settings.directory);
            let mut source = RelayedDirectory::new(state.clone(), source, relay.clone());
            if let Some(signals) = &settings.signals {
                state.revisions.set_settled(false);
                source = source.with_seeds(signals.listen, &signals.seeds);
            }
            let source = Arc::new(source);
            let directory_driver =
                DirectoryDriver::new(state, source, targets, is_configured, directory_settings);
            tokio::spawn(directory_driver.run(CancellationToken::new()));
        }
        // The drivers of the directory and of the targets keep running during a planned stop,
        // until the last request has ended.
        tokio::spawn(driver.run(CancellationToken::new()));
        let quarantine = Arc::new(QuarantineGate::new(clock.clone()));
        if let Some(archive) = crash_archive {
            let archive = ArchiveDriver::new(state.clone(), quarantine.clone(), archive);
            tokio::spawn(archive.run(stop.clone()));
        }
        let gates = Arc::new(AdmissionGates::new(clock.clone()));
        let control = match (settings.platform.take(), store) {
            (Some(platform), Some(store)) => {
                let parts = ControlParts {
                    platform,
                    store,
                    state: state.clone(),
                    targets: targets.clone(),
                    quarantine: quarantine.clone(),
                    vms,
                };
                Some(ControlPlane::start(&settings, parts, stop.clone()).await?)
            }
            _ => None,
        };
        let claims: Arc<dyn KeyClaims> = match &control {
            Some(plane) => Arc::new(StoreKeyClaims::start(plane.store().clone(), state.clone())),
            None => Arc::new(NoKeyClaims),
        };
        let ready = Arc::new(AtomicBool::new(true));
        checks.push(ready.clone());
        let router = AdminRouter::new(handlers(&state, checks, control.as_ref()));
        tokio::spawn(router.serve(admin_listener, stop.clone()));
        tokio::spawn(run_burn_controller(state.clone(), stop.clone()));
        let EntrySettings {
            limits, pool, stop: stop_settings, routing, signals, placement, ..
        } = settings;
        let transport = Arc::new(HttpTransport::new(pool.clone(), Arc::new(SilenceLogger)));
        let policy = routing.policy();
        let (placement, tokens, seeds): (Arc<dyn CallPlacement>, _, _) = match signals {
            None => {
                let tokens = QuotaDriver::start_alone(state.clone());
                (Arc::new(LocalPlacement::new(state.clone(), gates)), tokens, None)
            }
            Some(signals) => {
                let parts = CoordinatedParts {
                    state: state.clone(),
                    targets: targets.clone(),
                    gates,
                    quarantine: quarantine.clone(),
                    policy: policy.clone(),
                    transport: transport.clone(),
                    relay,
                    data_centre_parts: placement.data_centre_parts,
                    entry_registry,
                };
                let (placement, tokens, seeds) = parts.start(signals).await?;
                (Arc::new(placement), tokens, Some(seeds))
            }
        };
        let freshness: Arc<dyn IntentFreshness> = match &control {
            Some(control) => control.status().clone(),
            None => Arc::new(StaticFreshness),
        };
        let measuring = MeasuringParts {
            state: state.clone(),
            transport: transport.clone(),
            freshness,
            trigger: probe_trigger(policy.as_ref()),
        };
        tokio::spawn(MeasuringDriver::new(measuring).run(stop.clone()));
        let parts = ChainParts {
            state: state.clone(),
            targets,
            policy,
            transport,
            quarantine,
            placement,
            claims: claims.clone(),
            tokens: Arc::new(tokens),
            caller_path: limits.caller_path(),
            buffered_body_bytes: limits.buffered_body_bytes,
            whole_answer_bytes: pool.whole_answer_bytes,
        };
        let shared_state = state.clone();
        let front = HttpFrontend::new(state, parts.build(), limits);
        let close = CancellationToken::new();
        let linger = stop_settings.idle_linger();
        let front = tokio::spawn(front.serve(listener, close.clone(), linger));
        let front = AbortOnDropHandle::new(front);
        let drain = DrainController::new(stop_settings.drain_limits());
        Ok(Self {
            caller_address,
            admin_address,
            clock,
            ready,
            close,
            stop,
            front,
            drain,
            control,
            claims,
            state: shared_state,
            seeds,
        })
    }

    /// Applies those of the changed settings that can change while the entry runs: the seeds.
    /// Returns `true` if there was such a change.
    pub fn apply_settings(&self, settings: &EntrySettings) -> bool {
        let (Some(sender), Some(signals)) = (&self.seeds, &settings.signals) else { return false };
        sender.send_if_modified(|seeds| {
            let is_changed = *seeds != signals.seeds;
            seeds.clone_from(&signals.seeds);
            is_changed
        })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for administration.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the control plane, or `None` if the settings name no platform.
    pub fn control(&self) -> Option<&ControlPlane> {
        self.control.as_ref()
    }

    /// Performs a planned stop. The entry reports not ready, serves new requests until the
    /// platform's balancer has noticed, closes its listener, and waits for requests in
    /// flight.
    pub async fn stop(mut self) {
        self.state.set_may_coordinate(false);
        let mut message = DrainMessage::StopRequested;
        loop {
            let effects = self.drain.handle(message, self.clock.now());
            log::info!("planned stop: {}", self.drain.state());
            let Some(timer) = self.apply_effects(effects) else { break };
            message = self.next_message(timer).await;
        }
        self.claims.flush().await;
        self.stop.cancel();
    }

    /// Applies effects and returns the timer to wait for, if any.
    fn apply_effects(&self, effects: Vec<DrainEffect>) -> Option<Timestamp> {
        let mut timer = None;
        for effect in effects {
            match effect {
                DrainEffect::PublishReadiness(ready) => self.ready.store(ready, Ordering::Release),
                DrainEffect::SetTimer(time) => timer = Some(time),
                DrainEffect::CloseListener => self.close.cancel(),
                DrainEffect::RefuseWaiting => self.state.refuses_waiting.cancel(),
                DrainEffect::Finish { timed_out: false } => {}
                DrainEffect::Finish { timed_out: true } => {
                    log::warn!(
                        "the planned stop aborts requests in flight; raise stop.drain_limit_ms"
                    );
                }
            }
        }
        timer
    }

    /// Waits for the timer or, once the listener is closed, for the last caller
    /// connection to end.
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

pub(crate) async fn bind_listener(
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let start_error = |source| StartError { address, source };
    let listener = TcpListener::bind(address).await.map_err(start_error)?;
    let bound = listener.local_addr().map_err(start_error)?;
    Ok((listener, bound))
}

fn apply_intents(state: &SharedState, driver: &mut TargetsDriver, services: Vec<ServiceIntent>) {
    let (name, data_centre) = (state.entry_name.clone(), state.data_centre.clone());
    driver.deliver(TargetsMessage::View(EntryView { name, data_centre, ..EntryView::default() }));
    let mut controller = IntentsController::default();
    for intent in services {
        let message = IntentsMessage::Accepted { intent, version: 1 };
        for effect in controller.handle(message, state.clock.now()) {
            if let IntentsEffect::Publish(fleet) = effect {
                driver.deliver(TargetsMessage::Intents(fleet));
            }
        }
    }
}

fn handlers(
    state: &Arc<SharedState>,
    mut checks: Vec<Arc<dyn ReadinessCheck>>,
    control: Option<&ControlPlane>,
) -> Vec<Arc<dyn AdminHandler>> {
    if let Some(plane) = control {
        checks.push(plane.status().clone());
    }
    let mut lookups: Vec<Arc<dyn RecordLookup>> = vec![Arc::new(LocalRecords(state.clone()))];
    let members = control.and_then(ControlPlane::peer_fanout);
    if let Some(members) = members.clone() {
        lookups.push(Arc::new(PeerRecords(members)));
    }
    let mut handlers: Vec<Arc<dyn AdminHandler>> = vec![
        Arc::new(LivenessHandler),
        Arc::new(ReadinessHandler::new(checks)),
        Arc::new(MetricsHandler(state.clone())),
        Arc::new(ExplainHandler::new(lookups)),
        Arc::new(RecordsHandler(state.clone())),
        Arc::new(StatusHandler(state.clone())),
        Arc::new(BurnHandler::new(state.clone(), members.clone())),
    ];
    handlers.extend(control.into_iter().flat_map(ControlPlane::handlers));
    handlers
}
