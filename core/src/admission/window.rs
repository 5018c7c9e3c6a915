//! How many requests of a service may be in flight from this entry.
//!
//! [`concurrency_window`] estimates it from reports; [`shared_room`] knows the
//! requests of all entries, at the entry that places them.

use std::sync::atomic::Ordering;

use crate::clock::Timestamp;
use crate::policy::{LoadPrior, TargetTable};
use crate::saturation::SaturationMonitor;

/// Computes the concurrency window of a service: the requests in flight plus
/// this entry's share of the slots that appear free, at least its home slots,
/// and at least one while a target is open.
///
/// Every entry sees the same free slots, so each takes only its share of them
/// before it looks again; home slots are its own and need no sharing. The share
/// is rounded up: rounded down, fewer free slots than entries stay idle while
/// requests wait. When no slot appears free, each entry gives up its share of
/// what the targets queue.
pub fn concurrency_window(table: &TargetTable, own_in_flight: u32, now: Timestamp) -> u32 {
    if table.available.is_empty() {
        return 0;
    }
    let prior = LoadPrior::new(own_in_flight, table.available.len(), table.entry_count);
    let (mut free, mut queued, mut dispatched) = (0.0, 0.0, 0);
    for target in &table.available {
        dispatched += target.counters.in_flight.load(Ordering::Relaxed);
        let room = target.slots as f32 - prior.estimate_load(&target.counters, now);
        if room < 0.0 {
            queued -= room;
        } else if !target.counters.is_shedding(now) {
            free += room;
        }
    }
    let entries = table.entry_count as f32;
    let window = if free < 1.0 {
        own_in_flight.saturating_sub((queued / entries).ceil() as u32)
    } else {
        // Requests on their way to a target will fill slots that still look free.
        let underway = own_in_flight.saturating_sub(dispatched);
        own_in_flight + ((free / entries).ceil() as u32).saturating_sub(underway)
    };
    window.max(table.home_slots).max(1)
}

/// Room of a service for further requests, as its coordinator sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceHeadroom {
    /// Requests that targets can take now without a queue and are not known to be slowed.
    pub free: u32,
    /// Requests that targets can take which are slowed or do not answer probes.
    pub slowed: u32,
    /// Requests that the targets should run together.
    pub usable: u32,
}

/// Computes the room of a service from the requests of all entries. `admitted` counts
/// those that were admitted, also those that have no target yet.
pub fn service_headroom(
    service: &HeadroomInput<'_>,
    admitted: u32,
    now: Timestamp,
) -> ServiceHeadroom {
    let (mut room, mut placed) = (ServiceHeadroom::default(), 0);
    for target in &service.table.available {
        let counters = &target.counters;
        placed += counters.placed.load(Ordering::Relaxed);
        let usable = service.saturation.usable_slots(target.slots);
        room.usable += usable;
        let left = usable.saturating_sub(counters.estimated_requests(now));
        if counters.is_shedding(now) {
            continue;
        }
        // One that answers no probe may be gone; its slots are not counted on.
        let is_slow = counters.is_slowed(now) || counters.is_unresponsive(now);
        *(if is_slow { &mut room.slowed } else { &mut room.free }) += left;
    }
    let underway = admitted.saturating_sub(placed);
    room.slowed = room.slowed.saturating_sub(underway.saturating_sub(room.free));
    room.free = room.free.saturating_sub(underway);
    room
}

/// What the room of a service depends on.
#[derive(Clone, Copy, Debug)]
pub struct HeadroomInput<'a> {
    /// Its targets.
    pub table: &'a TargetTable,
    /// Whether these slow down when they are full.
    pub saturation: &'a SaturationMonitor,
}
