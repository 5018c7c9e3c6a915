//! How many requests of a service may be in flight from this entry.
//!
//! [`concurrency_window`] estimates it from reports; [`shared_room`] knows the
//! requests of all entries, at the entry that places them.

use std::sync::atomic::Ordering;

use crate::clock::Timestamp;
use crate::policy::{LoadPrior, RouteTable};
use crate::slot_use::SlotUse;

/// Computes the concurrency window of a service: the requests in flight plus
/// this entry's share of the slots that appear free, at least its home slots,
/// and at least one while a target is open.
///
/// Every entry sees the same free slots, so each takes only its share of them
/// before it looks again; home slots are its own and need no sharing. The share
/// is rounded up: rounded down, fewer free slots than entries stay idle while
/// requests wait. When no slot appears free, each entry gives up its share of
/// what the targets queue.
pub fn concurrency_window(table: &RouteTable, own_in_flight: u32, now: Timestamp) -> u32 {
    if table.open.is_empty() {
        return 0;
    }
    let prior = LoadPrior::new(own_in_flight, table.open.len(), table.entries);
    let (mut free, mut queued, mut dispatched) = (0.0, 0.0, 0);
    for target in &table.open {
        dispatched += target.counters.in_flight.load(Ordering::Relaxed);
        let room = target.slots as f32 - prior.load_of(&target.counters, now);
        if room < 0.0 {
            queued -= room;
        } else if !target.counters.sheds(now) {
            free += room;
        }
    }
    let entries = table.entries as f32;
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
pub struct SharedRoom {
    /// Requests that targets can take now without a queue and are not known to be slowed.
    pub free: u32,
    /// Requests that targets can take which are slowed or do not answer probes.
    pub slow: u32,
    /// Requests that the targets should run together.
    pub usable: u32,
}

/// Computes the room of a service from the requests of all entries. `admitted` counts
/// those that were admitted, also those that have no target yet.
pub fn shared_room(service: &ServiceRoom<'_>, admitted: u32, now: Timestamp) -> SharedRoom {
    let (mut room, mut placed) = (SharedRoom::default(), 0);
    for target in &service.table.open {
        let counters = &target.counters;
        placed += counters.placed.load(Ordering::Relaxed);
        let usable = service.slot_use.usable_slots(target.slots);
        room.usable += usable;
        let left = usable.saturating_sub(counters.held_requests(now));
        if counters.sheds(now) {
            continue;
        }
        // One that answers no probe may be gone; its slots are not counted on.
        let is_slow = counters.is_slowed(now) || counters.is_silent(now);
        *(if is_slow { &mut room.slow } else { &mut room.free }) += left;
    }
    let underway = admitted.saturating_sub(placed);
    room.slow = room.slow.saturating_sub(underway.saturating_sub(room.free));
    room.free = room.free.saturating_sub(underway);
    room
}

/// What the room of a service depends on.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRoom<'a> {
    /// Its targets.
    pub table: &'a RouteTable,
    /// Whether these slow down when they are full.
    pub slot_use: &'a SlotUse,
}
