//! Where entries and parts are, and the headroom that coordinators announce.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use zinniaport_core::controllers::RequesterMessage;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::placement::{PartHeadroom, PartKey, PartLocations};
use zinniaport_core::signals::HeadroomMessage;

use super::driver::PlacementDriver;
use crate::signals::SignalDatagram;

/// Data centres of entries, and what else is known of the parts of data centres.
#[derive(Default)]
pub(super) struct PartState {
    /// Data centre of each entry whose data centre is known, this one included.
    pub(super) entries: Arc<HashMap<SocketAddr, Arc<str>>>,
    /// Live entries, this one included.
    pub(super) live: Vec<SocketAddr>,
    /// Snapshot whose parts the requester knows.
    located: Arc<FleetSnapshot>,
    /// Number of announcements, by which they take turns among the entries elsewhere.
    announcements: usize,
}

impl PlacementDriver {
    pub(super) fn set_locations(&mut self, entries: Arc<HashMap<SocketAddr, Arc<str>>>) {
        self.parts.entries = entries;
        self.update_locations();
    }

    /// Tells the requester about parts by data centre that were added or removed.
    pub(super) fn refresh_locations(&mut self) {
        if !Arc::ptr_eq(&self.parts.located, &self.state.fleet.load()) {
            self.update_locations();
        }
    }

    fn update_locations(&mut self) {
        let fleet = self.state.fleet.load_full();
        let table = self.tags.table_for(&fleet);
        let mut parts = HashMap::new();
        for (key, service) in &fleet.services {
            for (data_centre, index) in service.part_data_centres.iter().zip(0..) {
                let tag = table.tag_of_part(PartKey { service: key, part: Some(index) });
                parts.extend(tag.map(|tag| (tag, data_centre.clone())));
            }
        }
        let entries = self.parts.entries.clone();
        self.parts.located = fleet;
        self.step_requester(RequesterMessage::Locations(PartLocations { entries, parts }));
    }

    /// Announces the headroom of the parts that this entry coordinates to all entries of its data
    /// centre, and to one entry of each other one, which passes it on there.
    pub(super) fn announce_headroom(&mut self) {
        let fleet = self.state.fleet.load_full();
        let parts = self.coordinated_parts(&fleet);
        if parts.is_empty() {
            return;
        }
        self.record_parts(&fleet, &parts);
        self.parts.announcements = self.parts.announcements.wrapping_add(1);
        let turn = self.parts.announcements;
        let (near, far) = self.entries_by_distance();
        let message = HeadroomMessage { parts, is_relayed: false };
        self.sender.send(&SignalDatagram::Headroom(message.clone()), &near);
        let far: Vec<_> = far.values().map(|entries| entries[turn % entries.len()]).collect();
        let message = HeadroomMessage { is_relayed: true, ..message };
        self.sender.send(&SignalDatagram::Headroom(message), &far);
    }

    fn coordinated_parts(&mut self, fleet: &Arc<FleetSnapshot>) -> Vec<PartHeadroom> {
        let table = self.tags.table_for(fleet);
        let (now, own) = (self.state.clock.now(), self.sender.address());
        let mut parts = Vec::new();
        for (key, service) in &fleet.services {
            if service.part_data_centres.is_empty() {
                continue;
            }
            for (part, index) in service.parts.iter().zip(0..) {
                let part_key = PartKey { service: key, part: Some(index) };
                let Some(tag) = table.tag_of_part(part_key) else { continue };
                if self.requester.coordinator(tag, now) == own {
                    let gate = self.gates.get_or_create(part_key, part);
                    parts.push(PartHeadroom { part: tag, ..gate.announced_headroom(part) });
                }
            }
        }
        parts
    }

    /// Records the headroom that another entry announced, and passes it on if it was asked to.
    pub(super) fn receive_headroom(&mut self, message: HeadroomMessage) {
        let fleet = self.state.fleet.load_full();
        self.record_parts(&fleet, &message.parts);
        if message.is_relayed {
            let (near, _) = self.entries_by_distance();
            let message = HeadroomMessage { is_relayed: false, ..message };
            self.sender.send(&SignalDatagram::Headroom(message), &near);
        }
    }

    fn record_parts(&self, fleet: &Arc<FleetSnapshot>, parts: &[PartHeadroom]) {
        let (table, now) = (self.tags.table_for(fleet), self.state.clock.now());
        for headroom in parts {
            let part = table.part(headroom.part);
            let service = part.and_then(|part| fleet.services.get(part.service));
            if let (Some(part), Some(service)) = (part, service) {
                service.part(part.part).counters.headroom.record(*headroom, now);
            }
        }
    }

    /// Returns the other live entries of this data centre, and those of each other one.
    fn entries_by_distance(&self) -> (Vec<SocketAddr>, IndexMap<&Arc<str>, Vec<SocketAddr>>) {
        let (mut near, mut far) = (Vec::new(), IndexMap::<_, Vec<_>>::new());
        let others = self.parts.live.iter().filter(|entry| **entry != self.sender.address());
        for entry in others {
            match self.parts.entries.get(entry) {
                Some(at) if *at == self.state.data_centre => near.push(*entry),
                Some(at) => far.entry(at).or_default().push(*entry),
                None => {}
            }
        }
        (near, far)
    }
}
