//! Targets that state how many requests per second they take from all entries together.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{SERVICE, fleet, query, view};
use zinniaport_core::admission::window::{HeadroomInput, service_headroom};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{FleetSnapshot, TargetCounters};
use zinniaport_core::placement::ServedEntries;
use zinniaport_core::policy::{RoutingPolicy, ShortestWait};
use zinniaport_core::request_limit::{LimitChange, LimitState, LimitStatement};
use zinniaport_core::signals::ServiceTag;
use zinniaport_testing::{check_property, test_cases};

const MS: u64 = 1_000;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Service time of a target.
const SERVICE_TIME: Duration = Duration::from_millis(90);

/// Returns the number of requests that a target may get in [`WINDOW`]: half more than its
/// limit, and five.
fn allowed(limit: f64) -> usize {
    (limit * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

fn state_limit(counters: &TargetCounters, text: &str, at: Timestamp) {
    counters.limit.record(LimitStatement::parse(text), at);
}

/// Returns the largest number of times in a window that slides over them.
fn most_in_window(times: &[Timestamp]) -> usize {
    let in_window = |start: &Timestamp| {
        times.iter().filter(|time| **time >= *start && time.since(*start) < WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// A coordinator that places the requests of one service, whose targets differ in limits.
struct SimulatedService {
    fleet: FleetSnapshot,
    /// End and target of each running request.
    running: VecDeque<(Timestamp, usize)>,
    waiting: usize,
    /// Times at which each target got a request.
    arrivals: Vec<Vec<Timestamp>>,
    random: StdRng,
}

impl SimulatedService {
    /// Creates a service with a target for each limit; an empty one is no limit.
    fn new(limits: &[&str]) -> Self {
        let mut view = view(0, 1);
        view.is_coordinated = true;
        let fleet = fleet(limits.len(), view);
        for (target, limit) in fleet.find(SERVICE).unwrap().1.table.available.iter().zip(limits) {
            if !limit.is_empty() {
                state_limit(&target.counters, limit, Timestamp(1));
            }
        }
        Self {
            fleet,
            running: VecDeque::new(),
            waiting: 0,
            arrivals: vec![Vec::new(); limits.len()],
            random: StdRng::seed_from_u64(21),
        }
    }

    /// Sends `rate` requests per second from `start` for `length`.
    fn run(&mut self, rate: f64, start: Timestamp, length: Duration) {
        for step in 0..length.as_millis() as u64 {
            let now = Timestamp(start.0 + step * MS);
            self.waiting += usize::from(self.random.random_bool(rate / 1e3));
            self.step(now);
        }
    }

    fn step(&mut self, now: Timestamp) {
        let service = self.fleet.find(SERVICE).unwrap().1;
        while let Some((end, target)) = self.running.front().copied().filter(|(end, _)| *end <= now)
        {
            let counters = &service.table.available[target].counters;
            counters.placed.fetch_sub(1, Ordering::Relaxed);
            counters.record_success(SERVICE_TIME);
            assert!(end <= now);
            self.running.pop_front();
        }
        let input =
            HeadroomInput { table: &service.table, saturation: &service.counters.saturation };
        while self.waiting > 0 && service_headroom(&input, self.running.len() as u32, now).free > 0
        {
            let choice = ShortestWait.pick(&query(&self.fleet, now), &mut self.random);
            let choice = choice.expect("a target is free").target;
            let targets = &service.table.available;
            let target = targets.iter().position(|target| target.key == choice).unwrap();
            targets[target].counters.record_placement(now);
            self.arrivals[target].push(now);
            self.running.push_back((now + SERVICE_TIME, target));
            self.waiting -= 1;
        }
    }
}

test_cases! {
    limited_targets_get_no_more: "a target that gets far more requests than it said it takes" => {
        let mut limits = vec!["4.4"; 11];
        limits.extend([""; 4]);
        for rate in [60.0, 111.0, 400.0] {
            let mut service = SimulatedService::new(&limits);
            service.run(rate, Timestamp(1_000_000), Duration::from_secs(12));
            for times in &service.arrivals[..11] {
                let most = most_in_window(times);
                assert!(most <= allowed(4.4), "{most} requests in 4 s at {rate} requests per second");
            }
        }
    }

    several_coordinators_keep_a_limit: "coordinators that do not know of each other and each use the whole limit of a target" => {
        // Entries 0 and 1 each coordinate for a part of the others; entry 2 is alone.
        check_property(64, &(2_usize..140, 0_usize..140, 5_u32..200), |(count, split, limit)| {
            let (service, start) = (ServiceTag(1), Timestamp(1_000_000));
            let mut coordinators: Vec<_> = (0..3).map(|_| (ServedEntries::default(), LimitState::default())).collect();
            for entry in 3..count {
                let address = SocketAddr::from(([10, 0, 0, 1], entry as u16));
                coordinators[usize::from(entry < split)].0.record(service, address, start);
            }
            let mut times = Vec::new();
            for (served, state) in coordinators.iter_mut().take(count) {
                state.record(LimitStatement::parse(&format!("{}", f64::from(limit) / 10.0)), start);
                state.set_share(served.share(service, count, start));
                for step in 0..8_000 {
                    let now = Timestamp(start.0 + step * MS);
                    if !state.is_exhausted(now) {
                        state.take(now);
                        times.push(now);
                    }
                }
            }
            times.sort();
            let most = most_in_window(&times);
            prop_assert!(most <= allowed(f64::from(limit) / 10.0), "{} requests in 4 s", most);
            Ok(())
        });
    }

    limits_are_used_up: "limited targets that are left idle while requests wait" => {
        let mut service = SimulatedService::new(&["4.4", "10", "0.5"]);
        service.run(100.0, Timestamp(1_000_000), Duration::from_secs(20));
        for (times, limit) in service.arrivals.iter().zip([4.4, 10.0, 0.5]) {
            let rate = times.len() as f64 / 20.0;
            assert!(rate >= limit * 0.9, "{rate} of {limit} requests per second");
        }
    }

    statements_are_parsed_within_bounds: "an odd value that makes an entry panic, or closes a target for ever" => {
        let parse = |text: &str| LimitStatement::parse(text);
        for text in ["", "-1", "nan", "fast", "4,4", "0x10", "1 2"] {
            assert_eq!(parse(text), LimitStatement::Unreadable, "{text:?}");
        }
        for text in ["inf", "1e300", "100000"] {
            assert_eq!(parse(text), LimitStatement::Unlimited, "{text:?}");
        }
        let limit = |text: &str| match parse(text) {
            LimitStatement::Limited(limit) => limit.per_second(),
            other => panic!("{text:?} is {other:?}"),
        };
        assert_eq!((limit("4.4"), limit(" 12 "), limit("0"), limit("1e-9")), (4.4, 12.0, 0.01, 0.01));
        check_property(512, &".{0,20}", |text| {
            if let LimitStatement::Limited(limit) = LimitStatement::parse(&text) {
                prop_assert!((0.01..=100_000.0).contains(&limit.per_second()));
            }
            Ok(())
        });
    }

    newest_statement_holds: "a late or unreadable statement that replaces a newer one, or a limit that outlasts its target's statements" => {
        let state = LimitState::default();
        let LimitStatement::Limited(limit) = LimitStatement::parse("4.4") else { panic!("no limit") };
        assert_eq!(state.record(LimitStatement::Unlimited, Timestamp(1)), None);
        assert_eq!(state.record(LimitStatement::Limited(limit), Timestamp(5)), Some(LimitChange::Started(limit)));
        assert_eq!(state.record(LimitStatement::Limited(limit), Timestamp(6)), None);
        assert_eq!(state.record(LimitStatement::Unlimited, Timestamp(4)), None);
        assert_eq!(state.record(LimitStatement::Unreadable, Timestamp(7)), None);
        assert_eq!(state.limit(), Some(limit));
        assert_eq!(state.record(LimitStatement::Unlimited, Timestamp(8)), Some(LimitChange::Ended));
        assert_eq!(state.limit(), None);
    }
}
