//! Targets that a request must not be sent to.

use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::keys::TargetKey;

use crate::exchange::Exchange;

/// Returns the targets that a request must not be sent to: those that it was sent to before, and
/// those that asked this entry for no requests.
pub(super) fn excluded_targets(
    fleet: &FleetSnapshot,
    service: &ServiceSnapshot,
    exchange: &Exchange,
    now: Timestamp,
) -> Vec<TargetKey> {
    let mut excluded = exchange.sent_targets(fleet, service);
    let available = service.table.available.iter();
    let paused = available.filter(|target| target.counters.pause_left(now).is_some());
    let paused: Vec<_> =
        paused.map(|target| target.key).filter(|key| !excluded.contains(key)).collect();
    excluded.extend(paused);
    excluded
}

/// Returns the time until the first target of a service takes requests of this entry again, or
/// `None` if one does now or there is none.
pub(super) fn time_until_open(service: &ServiceSnapshot, now: Timestamp) -> Option<Duration> {
    let pauses = service.table.available.iter().map(|target| target.counters.pause_left(now));
    pauses.collect::<Option<Vec<_>>>()?.into_iter().min()
}

/// Returns `true` if a part has a target that the request may be sent to. A part of a few targets
/// may have none left for a retry, or for an entry that they asked for no requests.
pub(super) fn has_usable_target(
    fleet: &FleetSnapshot,
    part: &ServiceSnapshot,
    exchange: &Exchange,
    now: Timestamp,
) -> bool {
    let excluded = excluded_targets(fleet, part, exchange, now);
    part.table.available.iter().any(|target| !excluded.contains(&target.key))
}
