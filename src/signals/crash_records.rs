//! Crash records in datagrams to other entries.

use std::net::SocketAddr;

use zinniaport_core::quarantine::{CrashRecord, CrashReport};
use zinniaport_core::signals::select_relays;

use super::{SignalDatagram, SignalsDriver};

/// Maximum number of crash records in a datagram. Of the largest, 600 bytes each, these take
/// 10 KB.
const MAX_DATAGRAM_RECORDS: usize = 16;

impl SignalsDriver {
    /// Returns the crash records that messages of this moment carry.
    pub(super) fn crash_report(&self) -> CrashReport {
        CrashReport::new(self.quarantine.crash_records(), self.state.clock.now())
    }

    /// Merges the records of another entry and passes news from another data centre on to the live
    /// entries of this one.
    pub(super) fn receive_records(&self, from: SocketAddr, records: &[CrashRecord]) {
        let has_news = self.quarantine.merge(records);
        if !has_news || !self.is_divided() || !self.state.is_elsewhere(from) {
            return;
        }
        let peers = self.controller.live_peers().iter().map(|peer| peer.address);
        let near: Vec<_> = peers.filter(|peer| !self.state.is_elsewhere(*peer)).collect();
        self.send_records(records, &near);
    }

    /// Sends records to these entries, in distant data centres through a few of them.
    pub(super) fn spread_records(&self, records: &[CrashRecord], addresses: &[SocketAddr]) {
        if !self.is_divided() {
            return self.send_records(records, addresses);
        }
        let locations = self.state.entry_locations.load();
        let entries = addresses.iter().map(|address| (*address, locations.get(address)));
        let entries = entries.map(|(address, location)| (address, location.map(|name| &**name)));
        let relays = select_relays(entries, &self.state.data_centre, self.sequence);
        self.send_records(records, &relays);
    }

    pub(super) fn send_records(&self, records: &[CrashRecord], addresses: &[SocketAddr]) {
        for part in records.chunks(MAX_DATAGRAM_RECORDS) {
            self.sender.send(&SignalDatagram::Crashes(part.to_vec()), addresses);
        }
    }
}
