//! States of targets: ejection with a floor, leaving, ramps.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use support::{SERVICE, fleet, intent, targets, view};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    StateController, TargetsController, TargetsEffect, TargetsMessage,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetState};
use zinniaport_core::intent::{DesiredState, ServiceIntent};
use zinniaport_core::policy::ramp_share;
use zinniaport_testing::{check_property, test_cases};

/// The controller with the snapshot that the request path would see.
struct Driver {
    settings: FleetSnapshot,
    controller: TargetsController,
    published: Arc<FleetSnapshot>,
    now: Timestamp,
}

impl Driver {
    fn new(count: usize, percent: f64) -> Self {
        let mut settings = fleet(0, view(0, 1));
        let intent = ServiceIntent { max_ejected_percent: percent, ..intent(targets(count)) };
        settings.apply(intent, 2, Timestamp(1));
        let mut driver = Self {
            settings,
            controller: TargetsController::default(),
            published: Arc::default(),
            now: Timestamp(1_000_000),
        };
        driver.publish_intents();
        driver
    }

    fn publish_intents(&mut self) {
        self.send(TargetsMessage::Intents(Arc::new(self.settings.clone())));
    }

    fn set_wish(&mut self, index: usize, wish: DesiredState, version: u64) {
        let mut intent = ServiceIntent::clone(&self.settings.find(SERVICE).unwrap().1.intent);
        intent.targets[index].state = wish;
        assert!(self.settings.apply(intent, version, self.now));
        self.publish_intents();
    }

    fn send(&mut self, message: TargetsMessage) {
        for TargetsEffect::Publish(fleet) in self.controller.handle(message, self.now) {
            self.published = fleet;
        }
    }

    fn fail(&mut self, index: usize) {
        let key = self.published.find(SERVICE).unwrap().1.targets[index];
        for _ in 0..5 {
            self.published.targets[key].counters.record_failure();
        }
        self.send(TargetsMessage::Failed(key));
    }

    fn state(&self, index: usize) -> TargetState {
        self.published.targets[self.published.find(SERVICE).unwrap().1.targets[index]].state
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        self.send(TargetsMessage::Tick);
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Fail(usize),
    Slow(usize),
    Drain(usize),
    Return(usize),
    Wish(usize, bool),
    VmLeaves(usize, bool),
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => (0_usize..9).prop_map(Event::Fail),
        1 => (0_usize..9).prop_map(Event::Slow),
        2 => (0_usize..9).prop_map(Event::Drain),
        1 => (0_usize..9).prop_map(Event::Return),
        2 => (0_usize..9, any::<bool>()).prop_map(|(index, leaves)| Event::Wish(index, leaves)),
        2 => (0_usize..9, any::<bool>()).prop_map(|(index, leaves)| Event::VmLeaves(index, leaves)),
        2 => (1_u64..8_000).prop_map(Event::Pass),
    ];
    proptest::collection::vec(event, 1..40)
}

test_cases! {
    published_tables_learn: "requests that are placed by a time of work from before the last view of the members" => {
        let mut driver = Driver::new(4, 50.0);
        driver.send(TargetsMessage::View(view(0, 3)));
        driver.send(TargetsMessage::View(view(0, 3)));
        let service = driver.published.find(SERVICE).unwrap().1;
        for key in &service.targets {
            driver.published.targets[*key].counters.record_latency(Duration::from_millis(40));
        }
        driver.pass(Duration::from_millis(100));
        let table = &driver.published.find(SERVICE).unwrap().1.table;
        assert_eq!(table.median_latency_us.load(Ordering::Relaxed), 40_000);
    }

    ejection_keeps_a_floor: "a service that loses its last target, or too large a share, to ejection" => {
        check_property(512, &(1_usize..9, prop_oneof![Just(34.0), Just(100.0)], events()), |(count, percent, events)| {
            let mut driver = Driver::new(count, percent);
            let (mut drained, mut wished, mut vms) = (vec![false; count], vec![false; count], vec![false; count]);
            for (step, event) in events.into_iter().enumerate() {
                let key = |index: usize| driver.published.find(SERVICE).unwrap().1.targets[index % count];
                match event {
                    Event::Fail(index) => driver.fail(index % count),
                    Event::Slow(index) => {
                        let slow = key(index);
                        for (target, entry) in &driver.published.targets {
                            let latency = if target == slow { 90_000 } else { 5_000 };
                            entry.counters.latency_us.store(latency, Ordering::Relaxed);
                        }
                        driver.send(TargetsMessage::Tick);
                    }
                    Event::Drain(index) => {
                        drained[index % count] = true;
                        driver.send(TargetsMessage::DrainStarted(key(index)));
                    }
                    Event::Return(index) => {
                        drained[index % count] = false;
                        driver.send(TargetsMessage::DrainEnded(key(index)));
                    }
                    Event::Wish(index, leaves) => {
                        // An operator who lets a leaving target serve again ends its drain.
                        if wished[index % count] && !leaves {
                            drained[index % count] = false;
                        }
                        wished[index % count] = leaves;
                        let wish = if leaves { DesiredState::Leaving } else { DesiredState::Serving };
                        driver.set_wish(index % count, wish, step as u64 + 3);
                    }
                    Event::VmLeaves(index, leaves) => {
                        vms[index % count] = leaves;
                        let addresses = targets(count).into_iter().zip(&vms).filter(|(_, leaves)| **leaves);
                        driver.send(TargetsMessage::LeavingVms(addresses.map(|(target, _)| target.address).collect()));
                    }
                    Event::Pass(millis) => driver.pass(Duration::from_millis(millis)),
                }
                let gone = |index: usize| drained[index] || wished[index] || vms[index];
                let eligible = (0..count).filter(|index| !gone(*index)).count();
                let ejected = (0..count).filter(|index| driver.state(*index) == TargetState::Ejected).count();
                prop_assert!(ejected as f64 <= percent / 100.0 * eligible as f64, "{ejected} of {eligible} are ejected");
                for index in 0..count {
                    let open = driver.state(index).takes_requests();
                    prop_assert!(!(open && gone(index)), "target {index} takes requests although it leaves");
                    prop_assert!(open || gone(index) || ejected > 0, "target {index} is closed without cause");
                }
                let open = driver.published.find(SERVICE).unwrap().1.table.available.len();
                prop_assert!(open > 0 || eligible == 0, "no target is left");
                prop_assert_eq!(open, eligible - ejected, "the routing table is out of date");
            }
            Ok(())
        });
    }

    ejections_grow_and_return_with_a_ramp: "a broken target that gets full load again every few seconds" => {
        let mut driver = Driver::new(6, 34.0);
        let mut lasted = Vec::new();
        for _ in 0..3 {
            driver.fail(2);
            assert_eq!(driver.state(2), TargetState::Ejected);
            let start = driver.now;
            while driver.state(2) == TargetState::Ejected {
                driver.pass(Duration::from_millis(100));
            }
            lasted.push(driver.now.since(start).as_secs());
            assert_eq!(driver.state(2), TargetState::Starting);
            assert!(ramp_share(driver.now, driver.now) < 0.2);
        }
        assert_eq!(lasted, [2, 4, 8]);
        driver.pass(Duration::from_secs(10));
        assert_eq!(driver.state(2), TargetState::Serving);
    }

    slow_targets_are_ejected: "a target that is far slower than the others and keeps its share" => {
        let mut driver = Driver::new(6, 34.0);
        for (position, key) in driver.published.find(SERVICE).unwrap().1.targets.iter().enumerate() {
            let latency = if position == 4 { 60_000 } else { 6_000 };
            driver.published.targets[*key].counters.latency_us.store(latency, Ordering::Relaxed);
        }
        driver.pass(Duration::from_millis(100));
        let states: Vec<_> = (0..6).map(|index| driver.state(index) == TargetState::Ejected).collect();
        assert_eq!(states, [false, false, false, false, true, false]);
    }

    shedding_is_honoured_for_a_short_time: "a target that sheds for hours after one response" => {
        let fleet = fleet(1, view(0, 1));
        let counters = &fleet.find(SERVICE).unwrap().1.table.available[0].counters;
        counters.record_shedding(Duration::from_secs(3_600), Timestamp(1));
        assert!(counters.is_shedding(Timestamp(999_999)));
        assert!(!counters.is_shedding(Timestamp(1_000_002)));
    }
}
