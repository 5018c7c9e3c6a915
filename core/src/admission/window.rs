//! How many requests of a service may be in flight from this entry.

use std::sync::atomic::Ordering;

use crate::clock::Timestamp;
use crate::policy::{LoadPrior, RouteTable};

/// Computes the concurrency window of a service: the requests in flight plus
/// this entry's share of the slots that appear free, at least its home slots,
/// and at least one while a target is open.
///
/// Every entry sees the same free slots, so each takes only its share of them
/// before it looks again; home slots are its own and need no sharing.
pub fn concurrency_window(table: &RouteTable, own_in_flight: u32, now: Timestamp) -> u32 {
    if table.open.is_empty() {
        return 0;
    }
    let prior = LoadPrior::new(own_in_flight, table.open.len(), table.entries);
    let (mut free, mut dispatched) = (0.0, 0);
    for target in &table.open {
        dispatched += target.counters.in_flight.load(Ordering::Relaxed);
        if !target.counters.sheds(now) {
            free += (target.slots as f32 - prior.load_of(&target.counters, now)).max(0.0);
        }
    }
    // Requests on their way to a target will fill slots that still look free.
    let underway = own_in_flight.saturating_sub(dispatched);
    let share = ((free / table.entries as f32) as u32).saturating_sub(underway);
    (own_in_flight + share).max(table.home_slots).max(1)
}
