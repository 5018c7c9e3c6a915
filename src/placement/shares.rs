//! The part of the request limits of targets that this entry may use.

use std::sync::atomic::Ordering;

use zinniaport_core::placement::ServedEntries;
use zinniaport_core::signals::ServiceTag;

use crate::state::SharedState;

/// Sets the part of each request limit from the entries that sent placement requests.
pub(super) fn update_limit_shares(state: &SharedState, served: &mut ServedEntries) {
    let fleet = state.fleet.load();
    let entry_count = state.entry_count.load(Ordering::Relaxed);
    let now = state.clock.now();
    for service in fleet.services.values() {
        let targets = service.targets.iter().filter_map(|key| fleet.targets.get(*key));
        let limits = targets.map(|target| &target.counters.limit);
        let limits: Vec<_> = limits.filter(|limit| limit.limit().is_some()).collect();
        if limits.is_empty() {
            continue;
        }
        let share = served.share(ServiceTag::of(&service.intent.service), entry_count, now);
        limits.into_iter().for_each(|limit| limit.set_share(share));
    }
}
