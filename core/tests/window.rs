//! Concurrency window of a service at one entry and headroom at its coordinator.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use support::{SERVICE, fleet, view};
use zinniaport_core::admission::window::{HeadroomInput, concurrency_window, service_headroom};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{LoadReport, TargetCounters, TargetState};
use zinniaport_core::saturation::SaturationMonitor;
use zinniaport_testing::{check_property, test_cases};

const NOW: Timestamp = Timestamp(1_000_000);

test_cases! {
    window_follows_free_slots: "a window that grows while targets queue, or is 0 while a target is available" => {
        let loads = proptest::collection::vec((0_u32..12, 0_u32..4), 1..6);
        check_property(512, &(1_usize..20, loads), |(entries, loads)| {
            let fleet = fleet(loads.len(), view(entries - 1, entries));
            let table = &fleet.find(SERVICE).unwrap().1.table;
            let mut own = 0;
            for (target, (load, in_flight)) in table.available.iter().zip(&loads) {
                target.counters.in_flight.store(*in_flight, Ordering::Relaxed);
                target.counters.record_report((*load).max(*in_flight).into(), NOW);
                own += in_flight;
            }
            let window = concurrency_window(table, own, NOW);
            let headrooms = loads.iter().map(|(load, in_flight)| 3 - (*load).max(*in_flight) as i32);
            let free_slots: i32 = headrooms.clone().filter(|headroom| *headroom > 0).sum();
            let queued: i32 = -headrooms.filter(|headroom| *headroom < 0).sum::<i32>();
            let floor = table.home_slots.max(1);
            prop_assert!(window >= floor);
            prop_assert!(window <= floor.max(own + free_slots as u32), "{window} with {free_slots} free slots");
            if free_slots == 0 && queued > 0 {
                prop_assert!(window < own.max(floor + 1), "{window} although {queued} requests queue");
            }
            Ok(())
        });
    }

    window_needs_available_targets: "requests that are admitted for a service without available targets" => {
        let mut fleet = fleet(1, view(0, 1));
        let (key, service) = fleet.find(SERVICE).unwrap();
        let target = service.targets[0];
        fleet.targets[target].state = TargetState::Draining;
        fleet.update_table(key);
        assert_eq!(concurrency_window(&fleet.find(SERVICE).unwrap().1.table, 5, NOW), 0);
    }

    headroom_excludes_used_slots: "more requests admitted than the targets run without slowing down, or slots of slowed targets counted as free" => {
        let loads = proptest::collection::vec((0_u32..5, 0_u32..8, any::<bool>(), any::<bool>()), 1..6);
        check_property(512, &(loads, 0_u32..6), |(loads, unplaced)| {
            let fleet = fleet(loads.len(), view(0, 1));
            let service = fleet.find(SERVICE).unwrap().1;
            let (mut placed_on_all, mut free_slots, mut slowed_slots) = (0, 0, 0);
            for (target, (placed, reported, is_recent, slowed)) in service.table.available.iter().zip(&loads) {
                target.counters.placed.store(*placed, Ordering::Relaxed);
                let age = if *is_recent { 1_000 } else { 500_000 };
                let report = LoadReport { running: *reported, waiting: 0, slowdown_percent: if *slowed { 500 } else { 100 } };
                target.counters.record_report(report, Timestamp(NOW.0 - age));
                placed_on_all += placed;
                // Two of three slots may be used. A report may include the request that it
                // responds to.
                let estimated = if *is_recent { (*placed).max(reported.saturating_sub(1)) } else { *placed };
                *(if *is_recent && *slowed { &mut slowed_slots } else { &mut free_slots }) += 2_u32.saturating_sub(estimated);
            }
            let input = HeadroomInput { table: &service.table, saturation: &service.counters.saturation };
            let headroom = service_headroom(&input, placed_on_all + unplaced, NOW);
            prop_assert_eq!(headroom.free, free_slots.saturating_sub(unplaced));
            prop_assert_eq!(headroom.slowed + headroom.free, (slowed_slots + free_slots).saturating_sub(unplaced));
            prop_assert_eq!(headroom.usable, 2 * loads.len() as u32);
            Ok(())
        });
    }

    full_targets_are_used_unless_slower: "a quarter of the slots left idle under overload although the targets do not slow down when full" => {
        let time = |ms| Duration::from_millis(ms);
        for (saturated_ms, usable) in [(104, 4), (122, 3), (170, 3)] {
            let saturation = SaturationMonitor::default();
            assert_eq!(saturation.usable_slots(4), 3, "no samples yet");
            // Service times are between 70% and 130% of the mean. Every seventh request runs on
            // a target that was just slowed.
            let sample = |number: u64, mean: u64| time((mean * (70 + number * 37 % 61) / 100) * if number.is_multiple_of(7) { 5 } else { 1 });
            for number in 0..120 {
                saturation.record(false, sample(number, 100), 100);
            }
            assert_eq!(saturation.usable_slots(4), 4, "the last slot is used to measure it");
            for number in 0..120 {
                saturation.record(true, sample(number, saturated_ms), 100);
            }
            assert_eq!(saturation.usable_slots(4), usable, "full targets take {saturated_ms} ms");
        }
        assert_eq!(SaturationMonitor::default().usable_slots(1), 1);
    }

    unresponsive_targets_stay_so: "an unresponsive target whose slots count as free briefly after each further probe" => {
        let counters = TargetCounters::default();
        let at = |ms: u64| Timestamp(ms * 1_000);
        counters.record_report(LoadReport::default(), at(1));
        for probe in 1..20 {
            let sent = probe * 25;
            counters.record_probe(at(sent));
            assert_eq!(counters.is_unresponsive(at(sent + 2)), probe > 1, "2 ms after probe {probe}");
            assert!(counters.is_unresponsive(at(sent + 12)), "12 ms after probe {probe}");
        }
        counters.record_report(LoadReport::default(), at(600));
        assert!(!counters.is_unresponsive(at(700)), "it has responded");
        counters.record_probe(at(700));
        assert!(!counters.is_unresponsive(at(702)) && counters.is_unresponsive(at(711)));
    }
}
