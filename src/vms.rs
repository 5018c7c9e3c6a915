//! Polls the platform's list of VMs and shares the leaving ones with other entries.

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

/// Mean time between two reads of the list by one entry. The three pollers of a region
/// together make 90 calls per minute, for 15 entries as for any other number; the other
/// entries learn the leaving VMs from them by gossip.
const POLL_PERIOD: Duration = Duration::from_secs(2);

/// Leaving VMs known to this entry.
pub struct VmTracker {
    clock: Arc<dyn ClockSource>,
    targets: TargetsHandle,
    // Locked for one merge, never across an await point and never on the request path.
    leaving: Mutex<LeavingVms>,
}

impl VmTracker {
    /// Creates an empty tracker that reports changes to `targets`.
    pub fn new(clock: Arc<dyn ClockSource>, targets: TargetsHandle) -> Self {
        Self { clock, targets, leaving: Mutex::default() }
    }
}

impl VmExchange for VmTracker {
    fn local_state(&self) -> VmReport {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner).report(self.clock.now())
    }

    fn merge_remote(&self, report: &VmReport, created_at: Timestamp) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        if leaving.merge(report, created_at) {
            let addresses = leaving.addresses().map(|address| SocketAddr::new(address, 0));
            self.targets.send(TargetsMessage::LeavingVms(addresses.collect()));
        }
    }
}

/// Polls the list of VMs while this entry is one of the pollers of its region.
pub struct VmPoller {
    /// The platform's list.
    pub directory: Arc<dyn VmDirectory>,
    /// Receives the leaving VMs.
    pub tracker: Arc<VmTracker>,
    /// This entry.
    pub location: EntryLocation,
    /// The other entries, unless this one runs alone.
    pub peers: Option<Arc<PeerGroup>>,
}

impl VmPoller {
    /// Polls until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let polling = async {
            loop {
                // The jitter spreads the calls of entries that started together.
                let period = POLL_PERIOD.mul_f64(rand::random_range(0.8..1.2));
                tokio::time::sleep(period).await;
                if self.is_poller() {
                    self.poll().await;
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = polling => {}
        }
    }

    /// Returns `true` if this entry polls. The entries that watch the store are the pollers.
    fn is_poller(&self) -> bool {
        let Some(peers) = &self.peers else { return true };
        let locations: Vec<_> = peers.members().iter().map(MemberEntry::location).collect();
        choose_watchers(&locations, &self.location.region).contains(&self.location.name.as_str())
    }

    async fn poll(&self) {
        let requested_at = self.tracker.clock.now();
        let vms = match self.directory.list_vms().await {
            Ok(vms) => vms,
            Err(error) => {
                log::debug!("cannot read the list of VMs: {error}");
                return;
            }
        };
        let leaving = vms.iter().filter(|vm| vm.is_leaving());
        let leaving = leaving.map(|vm| (vm.address, Duration::ZERO)).collect();
        self.tracker
            .merge_remote(&VmReport { list_age: Some(Duration::ZERO), leaving }, requested_at);
        if let Some(peers) = &self.peers {
            let hint = |vm: &crate::store::ListedVm| VmHint {
                address: vm.address,
                leaving: vm.is_leaving(),
            };
            peers.update_vm_hints(vms.iter().map(hint).collect()).await;
        }
    }
}
