//! Events that requests of this entry and messages of others send to the placement driver.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{mpsc, oneshot};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{GrantKey, PlacementDecision};
use zinniaport_core::placement::{
    AttemptEnd, CoordinatorCandidate, EndedPlacement, PlacementId, PlacementMessage,
    PlacementRequest,
};
use zinniaport_core::signals::HeadroomMessage;

use super::coordinated::RemoteLease;
use super::coordinator::PlacedCall;
use crate::gate::GateRefusal;
use crate::state::SharedState;

/// Events of this entry that the driver handles.
pub(super) enum PlacementEvent {
    Requested(PlacementId, PlacementRequest, oneshot::Sender<PlacementDecision>),
    Ended(EndedPlacement),
    Candidates(Vec<CoordinatorCandidate>),
    Locations(Arc<HashMap<SocketAddr, Arc<str>>>),
    Headroom(HeadroomMessage),
    Decided(GrantKey, Result<PlacedCall, GateRefusal>),
}

/// Sends events to the driver.
#[derive(Clone)]
pub struct PlacementHandle {
    pub(super) state: Arc<SharedState>,
    pub(super) events: mpsc::UnboundedSender<(Timestamp, PlacementEvent)>,
    pub(super) messages: mpsc::Sender<ReceivedMessage>,
    pub(super) next_id: Arc<AtomicU64>,
}

impl PlacementHandle {
    /// Sends a placement request to the coordinator of the service. Returns the lease, which
    /// ends the placement when dropped, and the receiver of the decision.
    pub(super) fn request(
        &self,
        request: PlacementRequest,
    ) -> (RemoteLease, oneshot::Receiver<PlacementDecision>) {
        let id = PlacementId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, decision) = oneshot::channel();
        self.send_event(PlacementEvent::Requested(id, request, sender));
        let (handle, state) = (self.clone(), self.state.clone());
        let lease = RemoteLease {
            id,
            handle,
            state,
            counters: None,
            end: AttemptEnd::Unknown,
            leaving: false,
        };
        (lease, decision)
    }

    pub(super) fn end(&self, ended: EndedPlacement) {
        self.send_event(PlacementEvent::Ended(ended));
    }

    /// Handles a message of another entry, or drops it if too many wait. Senders repeat what must
    /// arrive.
    pub fn receive(&self, from: SocketAddr, message: PlacementMessage) {
        let received = ReceivedMessage { from, message, received: self.state.clock.now() };
        if self.messages.try_send(received).is_err() {
            self.state.metrics.placement.dropped.increment(1);
        }
    }

    /// Sets the entries that may coordinate, this one included.
    pub fn set_candidates(&self, candidates: Vec<CoordinatorCandidate>) {
        self.send_event(PlacementEvent::Candidates(candidates));
    }

    /// Sets the data centres of entries, this one included.
    pub fn set_locations(&self, entries: Arc<HashMap<SocketAddr, Arc<str>>>) {
        self.send_event(PlacementEvent::Locations(entries));
    }

    /// Handles the headroom that another entry announced.
    pub fn receive_headroom(&self, message: HeadroomMessage) {
        self.send_event(PlacementEvent::Headroom(message));
    }

    /// Sends an event. The driver runs as long as the process, so a failure to send only
    /// occurs while the process ends and is ignored.
    pub(super) fn send_event(&self, event: PlacementEvent) {
        let _ = self.events.send((self.state.clock.now(), event));
    }
}

/// A message of another entry.
pub(super) struct ReceivedMessage {
    pub(super) from: SocketAddr,
    pub(super) message: PlacementMessage,
    pub(super) received: Timestamp,
}
