//! Guarantees of the routing policies.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{SERVICE, fleet, query, view};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::TargetState;
use zinniaport_core::policy::{HomeSlots, LoadPrior, RoutingPolicy, TargetQuery, policies};
use zinniaport_testing::{check_property, test_cases};

test_cases! {
    slots_have_one_home: "a slot that is assigned to two entries or to none" => {
        check_property(64, &(1_usize..20, 1_usize..40), |(entries, count)| {
            let mut owners = vec![0; count];
            for position in 0..entries {
                let fleet = fleet(count, view(position, entries));
                for (target, owned) in fleet.find(SERVICE).unwrap().1.table.available.iter().zip(&mut owners) {
                    *owned += target.home_slots;
                }
            }
            prop_assert_eq!(owners, vec![3; count]);
            Ok(())
        });
    }

    only_available_targets_are_picked: "a pick of an unavailable or already used target, or of none although one is left" => {
        let input = (1_usize..12, any::<u16>(), any::<u16>(), any::<u64>());
        check_property(256, &input, |(count, unavailable, used, seed)| {
            let mut fleet = fleet(count, view(0, 3));
            let (key, service) = fleet.find(SERVICE).unwrap();
            let targets = service.targets.clone();
            let chosen = |bits: u16| targets.iter().enumerate().filter(move |(index, _)| bits >> index & 1 == 1).map(|(_, key)| *key);
            let excluded: Vec<_> = chosen(used).collect();
            for target in chosen(unavailable) {
                fleet.targets[target].state = TargetState::Draining;
            }
            fleet.update_table(key);
            let query = TargetQuery { excluded: &excluded, ..query(&fleet, Timestamp(2)) };
            let is_one_left = targets.iter().any(|key| !excluded.contains(key) && fleet.targets[*key].state.takes_requests());
            let mut random = SmallRng::seed_from_u64(seed);
            for (name, policy) in policies() {
                let choice = policy.pick(&query, &mut random);
                prop_assert_eq!(choice.is_some(), is_one_left, "{}", name);
                if let Some(choice) = choice {
                    prop_assert!(!excluded.contains(&choice.target), "{name} picked a used target");
                    prop_assert!(fleet.targets[choice.target].state.takes_requests(), "{name} picked an unavailable target");
                }
            }
            Ok(())
        });
    }

    fast_failures_attract_no_requests: "a target that appears idle because it fails every request immediately" => {
        for name in ["two-choices", "aged-reports", "probe-pool", "home-slots"] {
            let policy = &policies()[name];
            let fleet = fleet(10, view(0, 1));
            let failing = fleet.find(SERVICE).unwrap().1.targets[0];
            let (mut random, mut now, mut hits) = (SmallRng::seed_from_u64(1), Timestamp(1_000), 0);
            for call in 0..2_000_u32 {
                now = now + Duration::from_micros(500);
                let probes = &fleet.find(SERVICE).unwrap().1.counters.probes;
                if call % 10 == 0 {
                    // Its health check succeeds immediately.
                    probes.add(failing, 0, Duration::from_millis(1), now);
                }
                let choice = policy.pick(&query(&fleet, now), &mut random).unwrap();
                let counters = &fleet.targets[choice.target].counters;
                if choice.target == failing {
                    hits += 1;
                    counters.record_failure();
                } else {
                    // Each healthy target has a constant load of one request.
                    counters.in_flight.store(1, Ordering::Relaxed);
                    counters.record_report((1 + call % 2).into(), now);
                    counters.record_success(Duration::from_millis(5));
                    probes.add(choice.target, 1 + call % 2, Duration::from_millis(5), now);
                }
            }
            assert!(hits < 20, "{name} sent {hits} of 2000 requests to the broken target");
        }
    }

    old_reports_lose_weight: "a report that keeps its weight long after the load has changed" => {
        let fleet = fleet(1, view(0, 1));
        let counters = &fleet.find(SERVICE).unwrap().1.table.available[0].counters;
        counters.record_report(12.into(), Timestamp(1_000));
        counters.in_flight.store(2, Ordering::Relaxed);
        let load = |age_ms: u64| LoadPrior::default().estimate_load(counters, Timestamp(1_000 + age_ms * 1_000));
        assert!((load(0) - 14.0).abs() < 0.01, "the report and the two requests sent since");
        assert!(load(20) < load(10) && load(10) < load(0));
        assert!((load(60_000) - 2.0).abs() < 0.1, "only this entry's own requests remain");
    }

    home_slots_prefer_the_data_centre: "requests sent to another data centre while local slots are free" => {
        let fleet = fleet(9, view(0, 1));
        let mut random = SmallRng::seed_from_u64(3);
        for pick in 0..18 {
            let choice = HomeSlots::default().pick(&query(&fleet, Timestamp(9)), &mut random).unwrap();
            let target = &fleet.targets[choice.target];
            assert_eq!(choice.reason, ReasonCode::HomeSlot);
            assert_eq!(&*target.data_centre == "valle-a", pick < 9, "pick {pick}");
            target.counters.in_flight.fetch_add(1, Ordering::Relaxed);
            target.counters.latency_us.store(6_000, Ordering::Relaxed);
        }
    }
}
