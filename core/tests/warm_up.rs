//! Guards against cold targets that get more requests than they take, from one coordinator, from
//! two at once, and from entries that place requests alone.

use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::request_limit::LimitState;
use zinniaport_core::warm_up::{MAX_WARM_UP, WarmUpBound, WarmUpChange};
use zinniaport_testing::test_cases;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;

/// Time at which the targets of the tests become cold.
const START: Timestamp = Timestamp(1_700_000_000 * SECOND);

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
    let in_second = |start: &Timestamp| {
        times.iter().filter(|time| **time >= *start && time.0 < start.0 + SECOND).count()
    };
    (times.iter().map(in_second).max().unwrap_or(0), times.len())
}

fn allowed(per_second: f64) -> usize {
    (per_second * 1.5 + 8.0) as usize
}

/// Entries that place alone, each with an equal share.
fn lone_entries(per_second: f64, count: usize) -> Vec<LimitState> {
    let share = 1.0 / count as f64;
    (0..count).map(|position| limit(per_second, share, position, count)).collect()
}

test_cases! {
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
