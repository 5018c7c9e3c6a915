//! The concurrency window of a service at one entry.

mod support;

use std::sync::atomic::Ordering;

use proptest::prelude::*;
use support::{SERVICE, fleet, view};
use zinniaport_core::admission::window::{concurrency_window, shared_room};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::TargetState;
use zinniaport_testing::{check_property, test_cases};

const NOW: Timestamp = Timestamp(1_000_000);

test_cases! {
    window_follows_free_slots: "a window that grows while targets queue, or shuts while a target is open" => {
        let loads = proptest::collection::vec((0_u32..12, 0_u32..4), 1..6);
        check_property(512, &(1_usize..20, loads), |(entries, loads)| {
            let fleet = fleet(loads.len(), view(entries - 1, entries));
            let table = &fleet.find(SERVICE).unwrap().1.table;
            let mut own = 0;
            for (target, (load, in_flight)) in table.open.iter().zip(&loads) {
                target.counters.in_flight.store(*in_flight, Ordering::Relaxed);
                target.counters.record_report((*load).max(*in_flight).into(), NOW);
                own += in_flight;
            }
            let window = concurrency_window(table, own, NOW);
            let rooms = loads.iter().map(|(load, in_flight)| 3 - (*load).max(*in_flight) as i32);
            let free: i32 = rooms.clone().filter(|room| *room > 0).sum();
            let queued: i32 = -rooms.filter(|room| *room < 0).sum::<i32>();
            let floor = table.home_slots.max(1);
            prop_assert!(window >= floor);
            prop_assert!(window <= floor.max(own + free as u32), "{window} with {free} free slots");
            if free == 0 && queued > 0 {
                prop_assert!(window < own.max(floor + 1), "{window} although {queued} requests queue");
            }
            Ok(())
        });
    }

    window_needs_open_targets: "requests that wait for a service without targets" => {
        let mut fleet = fleet(1, view(0, 1));
        let (key, service) = fleet.find(SERVICE).unwrap();
        let target = service.targets[0];
        fleet.targets[target].state = TargetState::Draining;
        fleet.update_table(key);
        assert_eq!(concurrency_window(&fleet.find(SERVICE).unwrap().1.table, 5, NOW), 0);
    }

    shared_room_is_what_is_left: "more requests admitted together than the targets run without slowing down" => {
        let loads = proptest::collection::vec((0_u32..5, 0_u32..8, any::<bool>()), 1..6);
        check_property(512, &(loads, 0_u32..6), |(loads, underway)| {
            let fleet = fleet(loads.len(), view(0, 1));
            let table = &fleet.find(SERVICE).unwrap().1.table;
            let (mut placed_on_all, mut room) = (0, 0);
            for (target, (placed, reported, is_new)) in table.open.iter().zip(&loads) {
                target.counters.placed.store(*placed, Ordering::Relaxed);
                let age = if *is_new { 1_000 } else { 500_000 };
                target.counters.record_report((*reported).into(), Timestamp(NOW.0 - age));
                placed_on_all += placed;
                // Two of three slots may be busy; a report may count the request that it answers.
                let held = if *is_new { (*placed).max(reported.saturating_sub(1)) } else { *placed };
                room += 2_u32.saturating_sub(held);
            }
            let found = shared_room(table, placed_on_all + underway, NOW);
            prop_assert_eq!(found.free, room.saturating_sub(underway));
            prop_assert_eq!(found.usable, 2 * loads.len() as u32);
            Ok(())
        });
    }
}
