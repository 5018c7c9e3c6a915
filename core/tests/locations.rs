//! Where entries are, how far apart their data centres are, and the division that follows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    LocationsController, LocationsEffect, LocationsMessage, StateController,
};
use zinniaport_core::placement::{DataCentreParts, DistanceMonitor, RoundTripReport};
use zinniaport_core::signals::LocationMessage;
use zinniaport_testing::test_cases;

const START: u64 = 1_000_000_000;
const TICK_US: u64 = 50_000;

fn at(ms: u64) -> Timestamp {
    Timestamp(START + ms * 1_000)
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 7, 0, index as u8], 7000))
}

/// Messages between simulated entries.
struct World {
    entries: Vec<LocationsController>,
    centres: usize,
    /// One-way latency between data centres, in microseconds.
    latency_us: u64,
    /// Greatest further delay of a message. Entries that are busy handle messages late.
    max_delay_us: u64,
    /// Share of messages that are lost.
    loss: f64,
    in_transit: BTreeMap<(u64, u64), (usize, SocketAddr, LocationMessage)>,
    random: SmallRng,
    now: u64,
    sent: u64,
    /// What each entry decided last, and how many data centres it knows.
    divided: Vec<bool>,
    located: Vec<usize>,
}

impl World {
    fn new(count: usize, centres: usize, latency_us: u64, mode: DataCentreParts) -> Self {
        let entry = |index: usize| {
            let data_centre: Arc<str> = format!("dc-{}", index % centres).into();
            LocationsController::new(address(index), data_centre, mode)
        };
        let mut world = Self {
            entries: (0..count).map(entry).collect(),
            centres,
            latency_us,
            max_delay_us: 300,
            loss: 0.0,
            in_transit: BTreeMap::new(),
            random: SmallRng::seed_from_u64(3),
            now: START,
            sent: 0,
            divided: vec![false; count],
            located: vec![0; count],
        };
        let live: Vec<_> = (0..count).map(address).collect();
        for index in 0..count {
            world.step(index, LocationsMessage::Live(live.clone()));
        }
        world
    }

    fn step(&mut self, index: usize, message: LocationsMessage) {
        for effect in self.entries[index].handle(message, Timestamp(self.now)) {
            match effect {
                LocationsEffect::Send(to, message) => self.send(index, to, message),
                LocationsEffect::Located(entries) => self.located[index] = entries.len(),
                LocationsEffect::Divided(is_divided, _) => self.divided[index] = is_divided,
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: LocationMessage) {
        self.sent += 1;
        let to = (0..self.entries.len()).find(|index| address(*index) == to).unwrap();
        if self.random.random::<f64>() < self.loss {
            return;
        }
        let is_remote = from % self.centres != to % self.centres;
        let latency = if is_remote { self.latency_us } else { 50 };
        let delay = self.random.random_range(0..=self.max_delay_us);
        self.in_transit
            .insert((self.now + latency + delay, self.sent), (to, address(from), message));
    }

    /// Runs for `ms`. Entries tick one after the other, not all at once.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms * 1_000;
        let count = self.entries.len() as u64;
        let step = TICK_US / count;
        let mut next_tick = self.now + step;
        let mut turn = 0;
        while next_tick < end {
            while let Some(due) =
                self.in_transit.first_entry().filter(|due| due.key().0 <= next_tick)
            {
                let ((arrival, _), (to, from, message)) = due.remove_entry();
                self.now = arrival;
                self.step(to, LocationsMessage::Received(from, message));
            }
            self.now = next_tick;
            self.step(turn, LocationsMessage::Tick);
            turn = (turn + 1) % self.entries.len();
            next_tick += step;
        }
        self.now = end;
    }

    fn divided_count(&self) -> usize {
        self.divided.iter().filter(|is_divided| **is_divided).count()
    }
}

fn report(round_trip_us: u32) -> RoundTripReport {
    RoundTripReport { round_trip_us, age_ms: 0 }
}

test_cases! {
    far_data_centres_divide: "services that stay whole although each placement elsewhere costs milliseconds, or entries that disagree for good" => {
        let mut world = World::new(24, 4, 3_400, DataCentreParts::Auto);
        world.run(2_000);
        assert_eq!(world.divided_count(), 0, "a few measurements do not suffice");
        world.run(6_000);
        assert_eq!(world.divided_count(), 24);
        world.run(2_000);
        assert!(world.located.iter().all(|known| *known == 24), "{:?}", world.located);
        world.run(120_000);
        assert_eq!(world.divided_count(), 24);
    }

    near_data_centres_do_not: "earlier deployments that are divided, and pay for messages about it" => {
        for latency in [100, 500, 900, 1_500] {
            let mut world = World::new(24, 3, latency, DataCentreParts::Auto);
            world.run(60_000);
            assert_eq!(world.divided_count(), 0, "{latency} us");
            assert!(world.sent < 24 * 20, "{} messages in a minute", world.sent);
        }
    }

    busy_entries_do_not_look_far: "a division while entries start and handle each message late" => {
        let mut world = World::new(24, 3, 900, DataCentreParts::Auto);
        world.max_delay_us = 30_000;
        for second in 0..30 {
            world.run(1_000);
            assert_eq!(world.divided_count(), 0, "after {second} s");
        }
    }

    lost_messages_delay_only: "an entry that never learns where others are because single messages are lost" => {
        let mut world = World::new(24, 4, 3_400, DataCentreParts::Auto);
        world.loss = 0.3;
        world.run(40_000);
        assert_eq!(world.divided_count(), 24);
        assert!(world.located.iter().all(|known| *known >= 23), "{:?}", world.located);
    }

    settings_take_precedence: "a division that the settings rule out, or none although they ask for it" => {
        let mut near = World::new(6, 3, 200, DataCentreParts::Always);
        near.run(1_000);
        assert_eq!(near.divided_count(), 6);
        let mut far = World::new(6, 3, 20_000, DataCentreParts::Never);
        far.run(30_000);
        assert_eq!(far.divided_count(), 0);
    }

    decision_has_hysteresis: "a division that changes with each measurement near the limit" => {
        let mut monitor = DistanceMonitor::default();
        for ms in 0..10 {
            monitor.record(Duration::from_micros(4_100), at(ms));
            assert!(!monitor.decide(at(ms)));
        }
        assert!(monitor.decide(at(3_100)));
        monitor.record(Duration::from_micros(3_500), at(3_200));
        assert!(monitor.decide(at(3_200)), "above the lower limit");
        monitor.record_report(report(2_000), at(4_000));
        assert!(!monitor.decide(at(4_000)), "another entry measured less");
        monitor.record(Duration::from_micros(3_500), at(5_000));
        assert!(!monitor.decide(at(9_000)), "below the upper limit");
    }

    measurements_expire: "a division that outlasts its measurements, or that old ones of others keep for ever" => {
        let mut monitor = DistanceMonitor::default();
        monitor.record_report(RoundTripReport { round_trip_us: 500, age_ms: 50_000 }, at(100_000));
        assert_eq!(monitor.round_trip(at(100_000)), Some(Duration::from_micros(500)));
        assert_eq!(monitor.report(at(105_000)).age_ms, 55_000);
        assert_eq!(monitor.round_trip(at(111_000)), None);
        monitor.record_report(RoundTripReport { round_trip_us: 500, age_ms: 61_000 }, at(111_000));
        assert_eq!(monitor.report(at(111_000)), RoundTripReport::default());
    }

    departed_entries_are_forgotten: "a part that is coordinated by an entry which is gone" => {
        let mut world = World::new(6, 3, 5_000, DataCentreParts::Always);
        world.run(5_000);
        assert_eq!(world.located[0], 6);
        world.step(0, LocationsMessage::Live((0..5).map(address).collect()));
        assert_eq!(world.located[0], 5);
    }
}
