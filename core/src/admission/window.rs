//! Limits on the requests of a service in flight.
//!
//! [`concurrency_window`] estimates the limit of one entry from load reports.
//! [`service_headroom`] computes it at the coordinator of the service, which knows the
//! requests of all entries.

use std::sync::atomic::Ordering;

use crate::clock::Timestamp;
use crate::policy::{LoadPrior, TargetTable};
use crate::saturation::SaturationMonitor;

/// Computes the concurrency window of a service at this entry: its requests in flight plus
/// its share of the slots that appear free, at least its home slots, and at least one
/// while a target is available.
///
/// All entries see the same free slots, so each takes only its share of them before the
/// next computation; home slots belong to one entry and are not shared. The share is
/// rounded up: if it were rounded down, free slots would stay idle while requests wait
/// whenever there are fewer of them than entries. If no slot appears free, each entry
/// reduces its window by its share of the requests that the targets queue.
pub fn concurrency_window(table: &TargetTable, own_in_flight: u32, now: Timestamp) -> u32 {
    if table.available.is_empty() {
        return 0;
    }
    let prior = LoadPrior::new(own_in_flight, table.available.len(), table.entry_count);
    let (mut free, mut queued, mut dispatched) = (0.0, 0.0, 0);
    for target in &table.available {
        dispatched += target.counters.in_flight.load(Ordering::Relaxed);
        let headroom = target.slots as f32 - prior.estimate_load(&target.counters, now);
        if headroom < 0.0 {
            queued -= headroom;
        } else if !target.counters.is_shedding(now) {
            free += headroom.min(target.counters.limit.permits(now) as f32);
        }
    }
    let entries = table.entry_count as f32;
    let window = if free < 1.0 {
        own_in_flight.saturating_sub((queued / entries).ceil() as u32)
    } else {
        // Admitted requests without a target yet will take slots that still appear free.
        let unplaced = own_in_flight.saturating_sub(dispatched);
        own_in_flight + ((free / entries).ceil() as u32).saturating_sub(unplaced)
    };
    window.max(table.home_slots).max(1)
}

/// Further requests that the targets of a service can take, as its coordinator sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceHeadroom {
    /// Free slots of responsive targets that are not known to be slowed.
    pub free: u32,
    /// Free slots of targets that are slowed or unresponsive.
    pub slowed: u32,
    /// Least service time that a slowed target with a free slot reported, in percent of its nominal
    /// one.
    pub least_slowdown_percent: Option<u32>,
    /// Total number of requests that the targets should run concurrently.
    pub usable: u32,
}

/// Computes the headroom of a service from the requests of all entries. `admitted` counts
/// the admitted requests, including those that have no target yet. A target with a request
/// limit runs as many requests at once as arrive within a service time (Little's law).
pub fn service_headroom(
    service: &HeadroomInput<'_>,
    admitted: u32,
    now: Timestamp,
) -> ServiceHeadroom {
    let (mut headroom, mut placed, mut concurrency) = (ServiceHeadroom::default(), 0, 0.0);
    let service_time = service.saturation.nominal_service_time();
    for target in &service.table.available {
        let counters = &target.counters;
        placed += counters.placed.load(Ordering::Relaxed);
        let usable = service.saturation.usable_slots(target.slots);
        concurrency += match (counters.limit.own_rate(now), service_time) {
            (Some(rate), Some(time)) => (rate as f32 * time.as_secs_f32()).min(usable as f32),
            _ => usable as f32,
        };
        let free = usable.saturating_sub(counters.estimated_requests(now));
        let free = free.min(counters.limit.permits(now));
        if counters.is_shedding(now) {
            continue;
        }
        // An unresponsive target may be gone, so its slots do not count as free.
        let is_unresponsive = counters.is_unresponsive(now);
        if free > 0 && counters.is_slowed(now) && !is_unresponsive {
            let (slowdown, _) = counters.slowdown_report(now);
            let least = headroom.least_slowdown_percent.get_or_insert(slowdown);
            *least = slowdown.min(*least);
        }
        let is_slow = counters.is_slowed(now) || is_unresponsive;
        *(if is_slow { &mut headroom.slowed } else { &mut headroom.free }) += free;
    }
    headroom.usable = concurrency.ceil() as u32;
    let unplaced = admitted.saturating_sub(placed);
    headroom.slowed = headroom.slowed.saturating_sub(unplaced.saturating_sub(headroom.free));
    headroom.free = headroom.free.saturating_sub(unplaced);
    headroom
}

/// What the headroom of a service is computed from.
#[derive(Clone, Copy, Debug)]
pub struct HeadroomInput<'a> {
    /// Available targets of the service.
    pub table: &'a TargetTable,
    /// Whether the targets slow down when all their slots are busy.
    pub saturation: &'a SaturationMonitor,
}
