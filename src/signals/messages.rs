//! What an entry tells the others in its signals.

use std::net::SocketAddr;

use zinniaport_core::directory::StoreRevision;
use zinniaport_core::signals::{RevisionsMessage, SignalMessage};

use super::{SMALL_DEPLOYMENT, SignalsDriver};
use crate::datagrams::SignalDatagram;

/// Number of entries that a message lists if there are more than [`SMALL_DEPLOYMENT`]. With 139
/// entries, the full list would be most of the traffic between data centres.
const LISTED_MEMBERS: usize = 8;

/// Number of entries with the largest capacity that each message lists first. They lead and
/// coordinate, so an entry that starts has to find them soon.
const LISTED_LARGEST: usize = 4;

impl SignalsDriver {
    /// Sends the revisions that this entry knows if the store states its era.
    pub(super) fn send_revisions(&self, addresses: &[SocketAddr]) {
        let revisions = self.state.revisions.local();
        if revisions.iter().any(|revision| revision.era > 0) {
            let message = RevisionsMessage::from(revisions);
            self.sender.send(&SignalDatagram::Revisions(message), addresses);
        }
    }

    pub(super) fn next_message(&mut self) -> SignalMessage {
        self.sequence += 1;
        let without_era = |revision: StoreRevision| match revision.era {
            0 => revision.number,
            _ => 0,
        };
        SignalMessage {
            incarnation: self.incarnation,
            sequence: self.sequence,
            capacity: self.capacity(),
            revisions: self.state.revisions.local().map(without_era),
            crashes: Vec::new(),
            members: self.next_members(),
        }
    }

    /// Returns the live entries to list in the next message: all of them, or the largest and
    /// the next few in turn if there are many.
    fn next_members(&self) -> Vec<SocketAddr> {
        let peers = self.controller.live_peers();
        if peers.len() <= SMALL_DEPLOYMENT {
            return peers.iter().map(|peer| peer.address).collect();
        }
        let largest = self.state.revisions.holders().into_iter().take(LISTED_LARGEST);
        let start = self.sequence as usize * LISTED_MEMBERS;
        let others = (0..LISTED_MEMBERS - LISTED_LARGEST)
            .map(|step| peers[(start + step) % peers.len()].address);
        largest.chain(others).collect()
    }
}
