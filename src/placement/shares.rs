//! The part of the request limits of targets that this entry may use.

use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::placement::{PartKey, PartSenders, count_part_senders};
use zinniaport_core::signals::ServiceTag;

use super::driver::{PlacementDriver, affinity_of};

impl PlacementDriver {
    /// Sets the part of each request limit from the entries that sent placement requests.
    pub(super) fn update_limit_shares(&mut self) {
        let fleet = self.state.fleet.load_full();
        let entry_count = self.state.entry_count();
        // The same order at all entries that know of each other tells their turns apart.
        let own_affinity = affinity_of(self.sender.address());
        let position = self.affinities.iter().filter(|other| **other < own_affinity).count();
        let turn = (position, self.affinities.len());
        for (key, service) in &fleet.services {
            if !has_limits(&fleet, service) {
                continue;
            }
            let table = self.tags.table_for(&fleet);
            if let Some(tag) = table.tag_of_part(key.into()).filter(|_| service.parts.is_empty()) {
                let share = self.served_entries.share(tag, entry_count, self.state.clock.now());
                set_share(&fleet, service, share, turn);
            }
            for (part, index) in service.parts.iter().zip(0..) {
                let Some(tag) = table.tag_of_part(PartKey { service: key, part: Some(index) })
                else {
                    continue;
                };
                let share = self.share_of_part(service, tag, index, entry_count);
                set_share(&fleet, part, share, turn);
            }
        }
    }

    fn share_of_part(
        &mut self,
        service: &ServiceSnapshot,
        tag: ServiceTag,
        index: u16,
        entry_count: usize,
    ) -> f64 {
        let now = self.state.clock.now();
        let Some(home) = service.part_data_centres.get(usize::from(index)) else {
            let count = service.parts.len() as u16;
            let senders = count_part_senders(index, count, &self.affinities, entry_count);
            return self.served_entries.share(tag, senders, now);
        };
        let served = self.served_entries.served(tag, now);
        let live = (self.sender.address(), &*self.parts.live, entry_count);
        PartSenders::count(home, &self.parts.entries, live, &served).limit_share()
    }
}

/// Sets the part of the limits of all targets of a service, and the position of this entry among
/// the live ones with their number.
fn set_share(fleet: &FleetSnapshot, service: &ServiceSnapshot, share: f64, turn: (usize, usize)) {
    let (position, entries) = turn;
    for target in service.targets.iter().filter_map(|key| fleet.targets.get(*key)) {
        target.counters.limit.set_share(share);
        target.counters.limit.warm_up.set_position(position, entries);
    }
}

fn has_limits(fleet: &FleetSnapshot, service: &ServiceSnapshot) -> bool {
    let mut targets = service.targets.iter().filter_map(|key| fleet.targets.get(*key));
    targets.any(|target| {
        let limit = &target.counters.limit;
        limit.limit().is_some() || limit.warm_up.is_set()
    })
}
