//! The part of the request limits of targets that this entry may use.

use std::sync::atomic::Ordering;

use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::placement::{PartKey, ServedEntries, count_part_senders};

use super::tags::TagCache;
use crate::state::SharedState;

/// Sets the part of each request limit from the entries that sent placement requests.
/// `affinities` are those of the live entries, `own_affinity` that of this one.
pub(super) fn update_limit_shares(
    state: &SharedState,
    tags: &TagCache,
    affinities: &[u64],
    own_affinity: u64,
    served: &mut ServedEntries,
) {
    let fleet = state.fleet.load_full();
    let entry_count = state.entry_count.load(Ordering::Relaxed);
    // The same order at all entries that know of each other tells their turns apart.
    let position = affinities.iter().filter(|affinity| **affinity < own_affinity).count();
    for (key, service) in &fleet.services {
        if !has_limits(&fleet, service) {
            continue;
        }
        let table = tags.table_for(&fleet);
        let mut update = |part: PartKey, service: &ServiceSnapshot, senders: usize| {
            let Some(tag) = table.tag_of_part(part) else { return };
            let share = served.share(tag, senders, state.clock.now());
            let targets = service.targets.iter().filter_map(|key| fleet.targets.get(*key));
            for target in targets {
                target.counters.limit.set_share(share);
                target.counters.limit.warm_up.set_position(position, affinities.len());
            }
        };
        if service.parts.is_empty() {
            update(key.into(), service, entry_count);
        }
        let count = service.parts.len() as u16;
        for (part, index) in service.parts.iter().zip(0..) {
            let senders = count_part_senders(index, count, affinities, entry_count);
            update(PartKey { service: key, part: Some(index) }, part, senders);
        }
    }
}

fn has_limits(fleet: &FleetSnapshot, service: &ServiceSnapshot) -> bool {
    let mut targets = service.targets.iter().filter_map(|key| fleet.targets.get(*key));
    targets.any(|target| {
        let limit = &target.counters.limit;
        limit.limit().is_some() || limit.warm_up.is_set()
    })
}
