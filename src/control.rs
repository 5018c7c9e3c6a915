//! Shared state of an entry: starts what follows the store and the other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    EntryLocation, MemberEntry, MemberInfo, SettingsMessage, VersionedIntent,
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

/// What the shared state of an entry is built from.
pub struct ControlParts {
    /// The platform and the teams.
    pub platform: PlatformSettings,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Snapshots of the entry.
    pub state: Arc<SharedState>,
    /// Takes intents and members.
    pub targets: TargetsHandle,
    /// Fingerprints of requests that crash targets.
    pub quarantine: Arc<QuarantineGate>,
    /// The platform's list of VMs, if the entry reads one.
    pub vms: Option<Arc<dyn VmDirectory>>,
}

/// What an entry shares with the others through the store and by messages.
pub struct ControlPlane {
    store: StoreClient,
    state: Arc<SharedState>,
    propagation: PropagationHandle,
    peers: Option<Arc<PeerGroup>>,
    call_address: Option<SocketAddr>,
    teams: TokenRegistry,
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
        let board = Arc::new(VmTracker::new(state.clock.clone(), targets.clone()));
        let reader = |place: EntryLocation, peers: Option<Arc<PeerGroup>>| {
            let board = board.clone();
            vms.map(|directory| VmPoller { directory, board, place, peers })
        };
        let store = StoreClient::new(store, Duration::from_millis(platform.call_ms));
        let hold = Duration::from_millis(platform.watch_ms);
        let teams = TokenRegistry::new(&platform.teams);
        let place =
            |region: &str| EntryLocation { name: settings.name.clone(), region: region.to_owned() };
        let parts = |place: EntryLocation, announcer: Arc<dyn IntentAnnouncer>| PropagationParts {
            store: store.clone(),
            watch_timeout: hold,
            state: state.clone(),
            targets: targets.clone(),
            place,
            announcer,
        };
        let Some(peers) = &settings.peers else {
            let propagation = follow_store(parts(place(""), Arc::new(NoPeers)), stop.clone());
            propagation.send(SettingsMessage::Members(vec![place("")])).await;
            spawn_reader(reader(place(""), None), stop);
            return Ok(Self { store, state, propagation, peers: None, call_address: None, teams });
        };
        let (listener, address) = bind_listener(peers.listen).await?;
        let status = Arc::new(std::sync::OnceLock::new());
        let answers =
            Arc::new(GroupAnswers { records: LocalRecords(state.clone()), group: status.clone() });
        let call_address = peers.call_listen.unwrap_or_else(|| SocketAddr::new(address.ip(), 0));
        let calls = CallListener::start(call_address, answers, stop.clone())
            .await
            .map_err(|source| StartError { address: call_address, source })?;
        let own = own_note(settings, peers, &state, (address, calls.address()));
        let (group, announcements) = PeerGroup::new(PeerParts {
            own,
            seeds: peers.seeds.clone(),
            clock: state.clock.clone(),
            targets: targets.clone(),
            quarantine,
            vms: board.clone(),
        });
        spawn_reader(reader(place(&peers.region), Some(group.clone())), stop.clone());
        let parts = parts(place(&peers.region), group.clone());
        let propagation = follow_store(parts, stop.clone());
        group.set_propagation(propagation.clone());
        let _ = status.set((group.clone(), propagation.status().clone()));
        let answerer = Arc::new(GroupHandler(group.clone()));
        let network = GossipNetwork::start(listener, answerer, stop.clone())
            .map_err(|source| StartError { address, source })?;
        let copier = RecordCopier::new(state.clone(), group.clone(), peers.copy_bytes_per_second);
        tokio::spawn(copier.run(stop.clone()));
        tokio::spawn(group.clone().run(Arc::new(network), announcements, stop));
        let call_address = Some(calls.address());
        Ok(Self { store, state, propagation, peers: Some(group), call_address, teams })
    }

    /// Gives the handlers of the administration address.
    pub fn handlers(&self) -> Vec<Arc<dyn AdminHandler>> {
        let (store, propagation) = (self.store.clone(), self.propagation.clone());
        let book = PlanService::new(store, self.state.clone(), propagation);
        PlanApi::handlers(book, self.teams.clone())
    }

    /// Gives readiness and freshness of the intents in force.
    pub fn status(&self) -> &Arc<PropagationStatus> {
        self.propagation.status()
    }

    /// Gives the calls to the store.
    pub fn store(&self) -> &StoreClient {
        &self.store
    }

    /// Gives the snapshots of this entry.
    pub fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Gives the other entries, unless this one runs alone.
    pub fn peers(&self) -> Option<&Arc<PeerGroup>> {
        self.peers.as_ref()
    }

    /// Gives calls to the other entries, unless this one runs alone.
    pub fn peer_fanout(&self) -> Option<PeerFanout> {
        let group = self.peers.clone()?;
        Some(PeerFanout::new(group, self.state.entry_name.clone()))
    }

    /// Gives the address for calls between entries.
    pub fn call_address(&self) -> Option<SocketAddr> {
        self.call_address
    }
}

fn spawn_reader(reader: Option<VmPoller>, stop: CancellationToken) {
    if let Some(reader) = reader {
        tokio::spawn(reader.run(stop));
    }
}

fn own_note(
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

/// Stands in for peers of an entry that runs alone.
struct NoPeers;

impl IntentAnnouncer for NoPeers {
    fn announce(&self, _intent: &VersionedIntent) {}
}

/// Answers calls of other entries from what this one knows.
struct GroupAnswers {
    records: LocalRecords,
    group: Arc<std::sync::OnceLock<(Arc<PeerGroup>, Arc<PropagationStatus>)>>,
}

#[derive(Serialize)]
struct GroupStatus {
    ready: bool,
    members: Vec<MemberEntry>,
}

impl CallHandler for GroupAnswers {
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
