//! Reads the platform's list of VMs and shares the leaving ones with other entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::{ClockSource, Timestamp};
use zinniaport_core::controllers::{
    EntryLocation, LeavingVms, MemberEntry, TargetsMessage, VmHint, VmReport, choose_watchers,
};

use crate::peers::{PeerGroup, VmExchange};
use crate::store::VmDirectory;
use crate::targets::TargetsHandle;

/// Mean time between two reads of an entry. The three readers of a region make
/// 90 calls a minute together, for 15 entries as for any other number; the others
/// learn from them by gossip.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Leaving VMs known to this entry.
pub struct VmTracker {
    clock: Arc<dyn ClockSource>,
    targets: TargetsHandle,
    // Held for one merge, never across an await point and never on the path of
    // a request.
    leaving: Mutex<LeavingVms>,
}

impl VmTracker {
    /// Creates an empty board that tells `targets` of changes.
    pub fn new(clock: Arc<dyn ClockSource>, targets: TargetsHandle) -> Self {
        Self { clock, targets, leaving: Mutex::default() }
    }
}

impl VmExchange for VmTracker {
    fn local_state(&self) -> VmReport {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner).report(self.clock.now())
    }

    fn merge_remote(&self, note: &VmReport, made: Timestamp) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        if leaving.merge(note, made) {
            let addresses = leaving.addresses().map(|address| SocketAddr::new(address, 0));
            self.targets.send(TargetsMessage::LeavingVms(addresses.collect()));
        }
    }
}

/// Reads the list of VMs while this entry is among those that do.
pub struct VmPoller {
    /// The platform's list.
    pub directory: Arc<dyn VmDirectory>,
    /// Takes the leaving VMs.
    pub board: Arc<VmTracker>,
    /// This entry.
    pub place: EntryLocation,
    /// The other entries, unless this one runs alone.
    pub peers: Option<Arc<PeerGroup>>,
}

impl VmPoller {
    /// Reads until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let rounds = async {
            loop {
                // The jitter keeps readers that started together apart.
                let period = READ_PERIOD.mul_f64(rand::random_range(0.8..1.2));
                tokio::time::sleep(period).await;
                if self.reads() {
                    self.read().await;
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = rounds => {}
        }
    }

    /// The entries that watch the store also read the list.
    fn reads(&self) -> bool {
        let Some(peers) = &self.peers else { return true };
        let places: Vec<_> = peers.members().iter().map(MemberEntry::location).collect();
        choose_watchers(&places, &self.place.region).contains(&self.place.name.as_str())
    }

    async fn read(&self) {
        let sent = self.board.clock.now();
        let vms = match self.directory.list_vms().await {
            Ok(vms) => vms,
            Err(error) => {
                log::debug!("cannot read the list of VMs: {error}");
                return;
            }
        };
        let leaving = vms.iter().filter(|vm| vm.is_leaving());
        let leaving = leaving.map(|vm| (vm.address, Duration::ZERO)).collect();
        self.board.merge_remote(&VmReport { list_age: Some(Duration::ZERO), leaving }, sent);
        if let Some(peers) = &self.peers {
            let hint = |vm: &crate::store::ListedVm| VmHint {
                address: vm.address,
                leaving: vm.is_leaving(),
            };
            peers.update_vm_hints(vms.iter().map(hint).collect()).await;
        }
    }
}
