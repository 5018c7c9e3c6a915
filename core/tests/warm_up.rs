//! Guards against cold targets that get more requests than they take, from one coordinator, from
//! two at once, and from entries that place requests alone.

mod support;

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{SERVICE, fleet, query, view};
use zinniaport_core::admission::window::{HeadroomInput, service_headroom};

use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::policy::{RoutingPolicy, ShortestWait};
use zinniaport_core::request_limit::LimitState;
use zinniaport_core::warm_up::{MAX_WARM_UP, WarmUpBound, WarmUpChange};
use zinniaport_testing::test_cases;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;

/// Time at which the targets of the tests become cold.
const START: Timestamp = Timestamp(1_700_000_000 * SECOND);

/// Service time of a target.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Cold time of the targets of most tests.
const COLD_TIME: Duration = Duration::from_secs(20);

/// Creates the limit of one entry with this share, at a position among `count` entries.
fn limit(per_second: f64, share: f64, position: usize, count: usize) -> LimitState {
    let limit = LimitState::default();
    limit.warm_up.set_group_rate(Some(WarmUpBound::default().group_rate(per_second)));
    limit.warm_up.set_position(position, count);
    limit.set_share(share);
    assert!(limit.warm_up.extend(START + COLD_TIME, START).is_some());
    limit
}

/// Sends as many requests as the entries may, every 5 ms while the target is cold, and returns
/// the largest number in a second and the total.
fn send_all(limits: &[LimitState]) -> (usize, usize) {
    let mut times = Vec::new();
    for step in 0..COLD_TIME.as_millis() as u64 / 5 {
        let now = Timestamp(START.0 + step * 5 * MS);
        for limit in limits {
            while limit.permits(now) > 0 {
                assert!(limit.try_take(now));
                times.push(now);
            }
            assert!(!limit.try_take(now));
        }
    }
    (most_in_second(&times), times.len())
}

/// Returns the largest number of times in a second that slides over them.
fn most_in_second(times: &[Timestamp]) -> usize {
    let in_second = |start: &Timestamp| {
        times.iter().filter(|time| **time >= *start && time.0 < start.0 + SECOND).count()
    };
    times.iter().map(in_second).max().unwrap_or(0)
}

fn allowed(per_second: f64) -> usize {
    (per_second * 1.5 + 8.0) as usize
}

/// Entries that place alone, each with an equal share.
fn lone_entries(per_second: f64, count: usize) -> Vec<LimitState> {
    let share = 1.0 / count as f64;
    (0..count).map(|position| limit(per_second, share, position, count)).collect()
}

/// A coordinator that places the requests of one service, a third of whose targets are cold.
struct SimulatedCoordinator {
    fleet: FleetSnapshot,
    /// End and target of each running request.
    running: VecDeque<(Timestamp, usize)>,
    random: StdRng,
}

impl SimulatedCoordinator {
    fn new(seed: u64) -> Self {
        let mut view = view(0, 1);
        view.is_coordinated = true;
        let fleet = fleet(9, view);
        for target in fleet.targets.values().filter(|target| *target.data_centre == *"valle-a") {
            let limit = &target.counters.limit;
            limit.warm_up.set_group_rate(Some(WarmUpBound::default().group_rate(6.4)));
            limit.set_share(1.0);
            limit.warm_up.extend(START + COLD_TIME, START);
        }
        Self { fleet, running: VecDeque::new(), random: StdRng::seed_from_u64(seed) }
    }

    /// Places as many requests as the headroom allows, up to `waiting`. Returns their targets.
    fn place(&mut self, waiting: usize, now: Timestamp) -> Vec<usize> {
        let service = self.fleet.find(SERVICE).unwrap().1;
        let targets = &service.table.available;
        while let Some((_, target)) = self.running.front().copied().filter(|(end, _)| *end <= now) {
            targets[target].counters.placed.fetch_sub(1, Ordering::Relaxed);
            targets[target].counters.record_success(SERVICE_TIME);
            self.running.pop_front();
        }
        let input =
            HeadroomInput { table: &service.table, saturation: &service.counters.saturation };
        let mut placed = Vec::new();
        while placed.len() < waiting
            && service_headroom(&input, self.running.len() as u32, now).free > 0
        {
            let choice = ShortestWait.pick(&query(&self.fleet, now), &mut self.random).unwrap();
            let target = targets.iter().position(|target| target.key == choice.target).unwrap();
            assert!(targets[target].counters.try_record_placement(now));
            self.running.push_back((now + SERVICE_TIME, target));
            placed.push(target);
        }
        placed
    }
}

test_cases! {
    a_data_centre_returns_cold: "cold targets that get more than the bound while two coordinators have more requests than slots, or warm ones that idle because of them" => {
        let mut coordinators = [SimulatedCoordinator::new(1), SimulatedCoordinator::new(2)];
        let table = coordinators[0].fleet.find(SERVICE).unwrap().1.table.clone();
        let cold: Vec<_> = table.available.iter().map(|target| target.counters.limit.warm_up.is_cold(START)).collect();
        assert_eq!(cold.iter().filter(|cold| **cold).count(), 3);
        let mut times = vec![Vec::new(); cold.len()];
        for step in 0..COLD_TIME.as_millis() as u64 / 5 {
            let now = Timestamp(START.0 + step * 5 * MS);
            for coordinator in &mut coordinators {
                for target in coordinator.place(100, now) {
                    times[target].push(now);
                }
            }
        }
        for (times, cold) in times.iter().zip(cold) {
            let most = most_in_second(times);
            let total = times.len() as f64 / COLD_TIME.as_secs_f64();
            if cold {
                assert!(most <= allowed(6.4) && total > 6.4, "{most}, {total} per second");
            } else {
                // Two slots of three are used by each coordinator, for 0.1 s by a request.
                assert!(total > 30.0, "{total} per second");
            }
        }
    }

    one_coordinator_stays_below_the_bound: "a cold target that gets a burst of waiting requests" => {
        for per_second in [0.5, 1.0, 6.4, 40.0] {
            let (most, total) = send_all(&[limit(per_second, 1.0, 0, 1)]);
            let rate = WarmUpBound::default().group_rate(per_second);
            assert!(most as f64 <= rate + 1.0, "{most} at {per_second}");
            // The limit must not cost more than what the bound makes necessary.
            assert!(total as f64 >= rate * COLD_TIME.as_secs_f64() * 0.9, "{total} at {per_second}");
        }
    }

    two_coordinators_and_lone_entries_stay_below_the_bound: "groups of entries that each use the whole limit while a coordinator is replaced" => {
        for per_second in [0.5, 1.0, 6.4, 40.0] {
            let mut limits = lone_entries(per_second, 127);
            limits.push(limit(per_second, 1.0, 3, 127));
            limits.push(limit(per_second, 1.0, 90, 127));
            let (most, _) = send_all(&limits);
            assert!(most <= allowed(per_second), "{most} at {per_second}");
        }
    }

    lone_entries_take_turns: "127 entries that each send a cold target one request at once" => {
        for count in [2, 5, 31, 127] {
            let (most, total) = send_all(&lone_entries(6.4, count));
            assert!(most as f64 <= WarmUpBound::default().group_rate(6.4) + 1.5, "{most} from {count}");
            assert!(total > 40, "{total} from {count}");
        }
    }

    islands_of_a_partition_stay_below_the_bound: "parts of a partitioned fleet whose coordinators add up to more than the limit" => {
        for shares in [&[0.34, 0.33, 0.33][..], &[0.6, 0.4], &[0.8, 0.1, 0.1]] {
            let at = |(position, share): (usize, &f64)| limit(6.4, *share, position, shares.len());
            let limits: Vec<_> = shares.iter().enumerate().map(at).collect();
            let (most, _) = send_all(&limits);
            assert!(most <= allowed(6.4), "{most} with {shares:?}");
        }
    }

    an_entry_without_a_share_sends_nothing: "an entry that has just started and takes the whole limit for its own" => {
        let limit = LimitState::default();
        limit.warm_up.set_group_rate(Some(4.0));
        limit.warm_up.extend(START + COLD_TIME, START);
        assert_eq!(limit.permits(START), 0);
        assert!(!limit.try_take(START));
    }

    warm_targets_have_no_limit: "a limit that outlasts the cold period, or one that nobody stated" => {
        let cold = limit(6.4, 1.0, 0, 1);
        assert_eq!(cold.permits(START + COLD_TIME), u32::MAX);
        assert!(cold.warm_up.take_end(START + COLD_TIME));
        assert!(!cold.warm_up.take_end(START + COLD_TIME));
        let unlimited = LimitState::default();
        assert_eq!(unlimited.warm_up.extend(START + COLD_TIME, START), None);
        assert_eq!(unlimited.permits(START), u32::MAX);
    }

    health_responses_change_the_cold_period: "a target that is warm and still limited, or cold again and not limited" => {
        let limit = limit(6.4, 1.0, 0, 1).warm_up;
        let now = START + Duration::from_secs(1);
        // The check was sent before the target was known to be cold.
        assert_eq!(limit.record(Duration::ZERO, Timestamp(START.0 - 1), now), None);
        assert!(limit.is_cold(now));
        assert_eq!(limit.record(Duration::from_secs(2), now, now), None);
        assert_eq!(limit.time_left(now), Some(Duration::from_secs(2)));
        assert_eq!(limit.record(Duration::ZERO, now, now), Some(WarmUpChange::Ended));
        assert!(!limit.is_cold(now));
        let left = Duration::from_millis(1_500);
        assert_eq!(limit.record(left, now, now), Some(WarmUpChange::Started(left)));
        limit.record(Duration::MAX, now, now);
        assert_eq!(limit.time_left(now), Some(MAX_WARM_UP));
    }
}
