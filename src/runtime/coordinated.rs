//! Starts the exchange of signals and the placement by coordinators.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use zinniaport_core::placement::DataCentreParts;
use zinniaport_core::policy::RoutingPolicy;

use super::{StartError, bind_listener};
use crate::admin::AdminRouter;
use crate::directory::{DirectoryRelay, RelayHandler};
use crate::gate::{AdmissionGates, QuarantineGate};
use crate::locations::LocationsDriver;
use crate::placement::{CoordinatedPlacement, Coordinator, PlacementDriver, TargetProber};
use crate::pool::TargetTransport;
use crate::quota::{EntryRegistry, QuotaDriver, QuotaHandle, RegistryDriver};
use crate::settings::SignalSettings;
use crate::signals::SignalsDriver;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Changes the entries that an entry contacts first.
pub(super) type SeedSender = watch::Sender<Vec<SocketAddr>>;

/// Dependencies of placement by coordinators.
pub(super) struct CoordinatedParts {
    pub(super) state: Arc<SharedState>,
    pub(super) targets: TargetsHandle,
    pub(super) gates: Arc<AdmissionGates>,
    pub(super) quarantine: Arc<QuarantineGate>,
    pub(super) policy: Arc<dyn RoutingPolicy>,
    pub(super) transport: Arc<dyn TargetTransport>,
    pub(super) relay: Arc<DirectoryRelay>,
    pub(super) data_centre_parts: DataCentreParts,
    pub(super) entry_registry: Option<Arc<dyn EntryRegistry>>,
}

impl CoordinatedParts {
    /// Starts the signals between entries and the placement that uses them. Both keep
    /// running during a planned stop, until the last request has ended.
    pub(super) async fn start(
        self,
        mut settings: SignalSettings,
    ) -> Result<(CoordinatedPlacement, QuotaHandle, SeedSender), StartError> {
        let Self {
            state,
            targets,
            gates,
            quarantine,
            policy,
            transport,
            relay,
            data_centre_parts,
            entry_registry,
        } = self;
        let (probes, capacity) = (settings.target_probes_per_second, settings.capacity());
        let saved_retries = settings.saved_retries;
        let prober = TargetProber::new(state.clone(), transport, probes, capacity);
        let coordinator =
            Coordinator::new(state.clone(), gates.clone(), policy, prober, saved_retries);
        // Messages and the relay share a port number. TCP ports are scarcer, since connections that
        // have ended occupy theirs for a minute, so a free one is chosen among these.
        let (listener, address) = bind_listener(settings.listen).await?;
        settings.listen = address;
        let mut signals =
            SignalsDriver::open(state.clone(), targets.clone(), quarantine, settings).await?;
        let (coordinator, sender) = (Arc::new(coordinator), signals.sender());
        let handler = RelayHandler::new(state.clone(), relay);
        let router = AdminRouter::new(vec![Arc::new(handler)]);
        tokio::spawn(router.serve(listener, CancellationToken::new()));
        let quota_driver = QuotaDriver::new(state.clone(), Some(sender.clone()));
        let quota = quota_driver.handle();
        signals.set_quota(quota.clone());
        if let Some(registry) = entry_registry {
            let registry = RegistryDriver::new(state.clone(), registry, quota.clone(), address);
            tokio::spawn(registry.run(CancellationToken::new()));
        }
        let (placement_state, placement_targets) = (state.clone(), targets.clone());
        let driver = PlacementDriver::new(
            placement_state,
            placement_targets,
            gates,
            coordinator,
            sender.clone(),
        );
        signals.set_placement(driver.handle());
        let locations =
            LocationsDriver::new(state, targets, driver.handle(), sender, data_centre_parts);
        signals.set_locations(locations.handle());
        tokio::spawn(locations.run(CancellationToken::new()));
        let (placement, seeds) = (driver.placement(), signals.seeds());
        tokio::spawn(signals.run(CancellationToken::new()));
        tokio::spawn(driver.run(CancellationToken::new()));
        tokio::spawn(quota_driver.run(CancellationToken::new()));
        Ok((placement, quota, seeds))
    }
}
