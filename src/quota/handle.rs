//! Events that requests of this entry and messages of others send to the quota driver.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::{mpsc, oneshot};
use zinniaport_core::placement::CoordinatorCandidate;
use zinniaport_core::quota::{FleetEvidence, QuotaMessage};
use zinniaport_core::tenants::TenantTag;

use super::{TokenDecision, TokenSource};

/// Events of this entry that the driver handles.
pub(super) enum DriverEvent {
    Take(TenantTag, oneshot::Sender<TokenDecision>),
    Peers(Vec<CoordinatorCandidate>, usize),
    Fleet(FleetEvidence),
    Return(TenantTag),
}

/// Sends events to the quota driver.
#[derive(Clone)]
pub struct QuotaHandle {
    pub(super) events: mpsc::UnboundedSender<DriverEvent>,
    pub(super) messages: mpsc::Sender<(SocketAddr, QuotaMessage)>,
}

impl QuotaHandle {
    /// Handles a message of another entry, or drops it if too many wait. Senders repeat what must
    /// arrive.
    pub fn receive(&self, from: SocketAddr, message: QuotaMessage) {
        if self.messages.try_send((from, message)).is_err() {
            log::debug!("dropped a message about the limits of tenants from {from}");
        }
    }

    /// Sets the live entries, this one included, and the number of entries that may be running.
    pub fn set_peers(&self, candidates: Vec<CoordinatorCandidate>, entry_count: usize) {
        let _ = self.events.send(DriverEvent::Peers(candidates, entry_count));
    }

    /// Sets what is known of the number of registered entries.
    pub fn set_fleet(&self, evidence: FleetEvidence) {
        let _ = self.events.send(DriverEvent::Fleet(evidence));
    }
}

impl TokenSource for QuotaHandle {
    fn take(&self, tenant: TenantTag) -> BoxFuture<'_, TokenDecision> {
        let (sender, decision) = oneshot::channel();
        let _ = self.events.send(DriverEvent::Take(tenant, sender));
        // The driver runs as long as the process, so that it only fails to respond at its end.
        Box::pin(async { decision.await.unwrap_or(TokenDecision::Unavailable(Duration::ZERO)) })
    }

    fn give_back(&self, tenant: TenantTag) {
        let _ = self.events.send(DriverEvent::Return(tenant));
    }
}
