//! Control plane of an entry: follows the store and exchanges state with the other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    EntryLocation, IntentsMessage, MemberEntry, MemberInfo, VersionedIntent,
};

use crate::admin::{AdminHandler, LocalRecords, PlanApi, PlanService, TokenRegistry};
use crate::gate::QuarantineGate;
use crate::peers::{
    CallHandler, CallListener, GossipNetwork, GroupHandler, PeerFanout, PeerGroup, PeerParts,
};
use crate::propagation::{
    IntentAnnouncer, PropagationHandle, PropagationParts, PropagationStatus, follow_store,
};
use crate::records::{CopyBatch, RecordCopier};
use crate::runtime::{StartError, bind_listener};
use crate::settings::{EntrySettings, PeerSettings, PlatformSettings};
use crate::state::SharedState;
use crate::store::{ObjectStore, StoreClient, VmDirectory};
use crate::targets::TargetsHandle;
use crate::vms::{VmPoller, VmTracker};

/// Dependencies of a [`ControlPlane`].
pub struct ControlParts {
    /// Settings of the platform and the teams.
    pub platform: PlatformSettings,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Shared state of the entry.
    pub state: Arc<SharedState>,
    /// Receives intents and members.
    pub targets: TargetsHandle,
    /// Quarantine of requests that crash targets.
    pub quarantine: Arc<QuarantineGate>,
    /// The platform's list of VMs, if the entry polls one.
    pub vms: Option<Arc<dyn VmDirectory>>,
}

/// State that an entry shares with others through the store and by gossip.
pub struct ControlPlane {
    store: StoreClient,
    state: Arc<SharedState>,
    propagation: PropagationHandle,
    peers: Option<Arc<PeerGroup>>,
    call_address: Option<SocketAddr>,
    tokens: TokenRegistry,
}

impl ControlPlane {
    /// Starts to follow the store and the other entries until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start(
        settings: &EntrySettings,
        parts: ControlParts,
        stop: CancellationToken,
    ) -> Result<Self, StartError> {
        let ControlParts { platform, store, state, targets, quarantine, vms } = parts;
        let vm_tracker = Arc::new(VmTracker::new(state.clock.clone(), targets.clone()));
        let poller = |location: EntryLocation, peers: Option<Arc<PeerGroup>>| {
            let vm_tracker = vm_tracker.clone();
            vms.map(|directory| VmPoller { directory, tracker: vm_tracker, location, peers })
        };
        let store = StoreClient::new(store, Duration::from_millis(platform.call_ms));
        let watch_timeout = Duration::from_millis(platform.watch_ms);
        let tokens = TokenRegistry::new(&platform.teams);
        let location =
            |region: &str| EntryLocation { name: settings.name.clone(), region: region.to_owned() };
        let parts =
            |location: EntryLocation, announcer: Arc<dyn IntentAnnouncer>| PropagationParts {
                store: store.clone(),
                watch_timeout,
                state: state.clone(),
                targets: targets.clone(),
                location,
                announcer,
            };
        let Some(peers) = &settings.peers else {
            let propagation = follow_store(parts(location(""), Arc::new(NoPeers)), stop.clone());
            propagation.send(IntentsMessage::Members(vec![location("")])).await;
            spawn_poller(poller(location(""), None), stop);
            return Ok(Self { store, state, propagation, peers: None, call_address: None, tokens });
        };
        let (listener, address) = bind_listener(peers.listen).await?;
        let group_cell = Arc::new(std::sync::OnceLock::new());
        let handler = Arc::new(PeerCallHandler {
            records: LocalRecords(state.clone()),
            group: group_cell.clone(),
        });
        let call_address = peers.call_listen.unwrap_or_else(|| SocketAddr::new(address.ip(), 0));
        let calls = CallListener::start(call_address, handler, stop.clone())
            .await
            .map_err(|source| StartError { address: call_address, source })?;
        let own = own_info(settings, peers, &state, (address, calls.address()));
        let (group, announcements) = PeerGroup::new(PeerParts {
            own,
            seeds: peers.seeds.clone(),
            clock: state.clock.clone(),
            targets: targets.clone(),
            quarantine,
            vms: vm_tracker.clone(),
        });
        spawn_poller(poller(location(&peers.region), Some(group.clone())), stop.clone());
        let parts = parts(location(&peers.region), group.clone());
        let propagation = follow_store(parts, stop.clone());
        group.set_propagation(propagation.clone());
        let _ = group_cell.set((group.clone(), propagation.status().clone()));
        let handler = Arc::new(GroupHandler(group.clone()));
        let network = GossipNetwork::start(listener, handler, stop.clone())
            .map_err(|source| StartError { address, source })?;
        let copier = RecordCopier::new(state.clone(), group.clone(), peers.copy_bytes_per_second);
        tokio::spawn(copier.run(stop.clone()));
        tokio::spawn(group.clone().run(Arc::new(network), announcements, stop));
        let call_address = Some(calls.address());
        Ok(Self { store, state, propagation, peers: Some(group), call_address, tokens })
    }

    /// Returns the handlers of the administration API for intents and plans.
    pub fn handlers(&self) -> Vec<Arc<dyn AdminHandler>> {
        let (store, propagation) = (self.store.clone(), self.propagation.clone());
        let service = PlanService::new(store, self.state.clone(), propagation);
        PlanApi::handlers(service, self.tokens.clone())
    }

    /// Returns the readiness and freshness of the intents in force.
    pub fn status(&self) -> &Arc<PropagationStatus> {
        self.propagation.status()
    }

    /// Returns the client of the store.
    pub fn store(&self) -> &StoreClient {
        &self.store
    }

    /// Returns the shared state of this entry.
    pub fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Returns the group of entries, or `None` if this one runs alone.
    pub fn peers(&self) -> Option<&Arc<PeerGroup>> {
        self.peers.as_ref()
    }

    /// Returns a fan-out to the other entries, or `None` if this one runs alone.
    pub fn peer_fanout(&self) -> Option<PeerFanout> {
        let group = self.peers.clone()?;
        Some(PeerFanout::new(group, self.state.entry_name.clone()))
    }

    /// Returns the address for calls between entries, or `None` if this one runs alone.
    pub fn call_address(&self) -> Option<SocketAddr> {
        self.call_address
    }
}

fn spawn_poller(poller: Option<VmPoller>, stop: CancellationToken) {
    if let Some(poller) = poller {
        tokio::spawn(poller.run(stop));
    }
}

fn own_info(
    settings: &EntrySettings,
    peers: &PeerSettings,
    state: &SharedState,
    (address, call_address): (SocketAddr, SocketAddr),
) -> MemberInfo {
    let now = state.clock.now();
    MemberInfo {
        name: settings.name.clone(),
        incarnation: now.0,
        address,
        call_address,
        data_centre: settings.data_centre.clone(),
        region: peers.region.clone(),
        beat: now,
    }
}

/// Announcer of an entry that runs alone.
struct NoPeers;

impl IntentAnnouncer for NoPeers {
    fn announce(&self, _intent: &VersionedIntent) {}
}

/// Handles calls of other entries with the state of this one.
struct PeerCallHandler {
    records: LocalRecords,
    group: Arc<std::sync::OnceLock<(Arc<PeerGroup>, Arc<PropagationStatus>)>>,
}

#[derive(Serialize)]
struct GroupStatus {
    ready: bool,
    members: Vec<MemberEntry>,
}

impl CallHandler for PeerCallHandler {
    fn store_records(&self, batch: CopyBatch) -> bool {
        self.records.0.copies.insert(batch)
    }

    fn explain(&self, request_id: &str) -> Option<String> {
        let record = self.records.get(request_id)?;
        serde_json::to_string(&record).ok()
    }

    fn burn(&self) -> String {
        let report = self.records.0.burn.load();
        serde_json::to_string(report.as_ref()).unwrap_or_default()
    }

    fn status(&self) -> String {
        let Some((group, status)) = self.group.get() else { return "{}".to_owned() };
        let status =
            GroupStatus { ready: status.ready(), members: group.members().as_ref().clone() };
        serde_json::to_string(&status).unwrap_or_default()
    }
}
