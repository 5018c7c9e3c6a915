//! Admission under overload, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use zinniaport_core::admission::{
    AdmissionLimits, AdmissionQueue, QueueDeparture, RunQuantile, ServiceRate,
};
use zinniaport_core::call::CallFacts;
use zinniaport_core::clock::Timestamp;
use zinniaport_testing::test_cases;

const SLOTS: usize = 30;
const NOMINAL: Duration = Duration::from_millis(90);

/// The only kind of request of a service.
const SINGLE_KIND: [KindLoad; 1] = [KindLoad {
    rank: 0,
    share: 1.0,
    nominal: NOMINAL,
    soft_deadline: Duration::from_millis(225),
    deadline: Duration::from_millis(1_200),
}];

/// The kinds of a service that uploads and filings are sent to besides its own lookups, as the
/// court gateway does at times. The shares are those of its traffic.
const SHARED_KINDS: [KindLoad; 3] = [
    KindLoad {
        rank: 2,
        share: 0.84,
        nominal: Duration::from_millis(120),
        soft_deadline: Duration::from_millis(275),
        deadline: Duration::from_millis(1_000),
    },
    KindLoad {
        rank: 1,
        share: 0.08,
        nominal: Duration::from_millis(140),
        soft_deadline: Duration::from_millis(475),
        deadline: Duration::from_millis(1_200),
    },
    KindLoad {
        rank: 2,
        share: 0.08,
        nominal: Duration::from_millis(96),
        soft_deadline: Duration::from_millis(225),
        deadline: Duration::from_millis(800),
    },
];

/// A kind of request and its share of the requests.
struct KindLoad {
    rank: u8,
    share: f64,
    nominal: Duration,
    soft_deadline: Duration,
    deadline: Duration,
}

/// Ratio of waiting requests to slots above which the service is overloaded, as in the
/// admission gate.
const OVERLOAD_RATIO: f32 = 0.34;

/// Mean of the slowdowns that [`service_time`] returns.
const MEAN_SLOWDOWN: f64 = 1.43;

/// Numbers of served requests and of those served before their soft deadline.
#[derive(Clone, Copy, Debug, Default)]
struct RunCounts {
    asked: usize,
    in_time: usize,
    served: usize,
}

impl RunCounts {
    /// Returns the served requests of 100.
    fn served_percent(self) -> f64 {
        self.served as f64 * 100.0 / self.asked as f64
    }
}

/// Returns a random service time of a busy fleet: the nominal one, about 1.5 times as long
/// on a full target and more than twice as long beside a noisy neighbour.
fn service_time(nominal: Duration, random: &mut SmallRng) -> Duration {
    let slowdown = match random.random_range(0..10) {
        0..5 => 1.1,
        5..9 => 1.6,
        _ => 2.4,
    };
    nominal.mul_f64(slowdown * random.random_range(0.75..1.25))
}

/// Sends `load` times the capacity of the slots for 20 s and counts the results. `run_time`
/// returns the time that must be left until the soft deadline when a request starts.
fn overload(load: f64, run_time: impl Fn(&RunQuantile) -> Duration) -> RunCounts {
    overload_kinds(&SINGLE_KIND, load, run_time)[0]
}

/// Returns a random kind by its share.
fn random_kind(kinds: &[KindLoad], random: &mut SmallRng) -> usize {
    let mut drawn: f64 = random.random();
    let found = kinds.iter().position(|kind| {
        drawn -= kind.share;
        drawn < 0.0
    });
    found.unwrap_or(0)
}

/// Sends requests of several kinds to one service, like [`overload`].
fn overload_kinds(
    kinds: &[KindLoad],
    load: f64,
    run_time: impl Fn(&RunQuantile) -> Duration,
) -> Vec<RunCounts> {
    let mean_us: f64 = kinds.iter().map(|kind| kind.nominal.as_micros() as f64 * kind.share).sum();
    let nominal = Duration::from_micros(mean_us as u64);
    let mut random = SmallRng::seed_from_u64(7);
    let limits = AdmissionLimits { max_waiting: 256, max_overtakes: 8 };
    let mut queue: AdmissionQueue<(Timestamp, usize)> = AdmissionQueue::new(limits);
    let quantile = RunQuantile::default();
    let mut counts = vec![RunCounts::default(); kinds.len()];
    // End, start, arrival and kind of running requests.
    let mut running: BinaryHeap<Reverse<(u64, u64, u64, usize)>> = BinaryHeap::new();
    let gap = mean_us * MEAN_SLOWDOWN / SLOTS as f64 / load;
    let (mut now, mut next_arrival) = (0_u64, 0_u64);
    while now < 20_000_000 {
        let end = running.peek().map_or(u64::MAX, |Reverse((end, ..))| *end);
        now = end.min(next_arrival);
        if end <= next_arrival {
            let Some(Reverse((end, started, arrived, kind))) = running.pop() else { continue };
            quantile.record(Duration::from_micros(end - started), nominal);
            let soft_deadline_us = kinds[kind].soft_deadline.as_micros() as u64;
            counts[kind].served += 1;
            counts[kind].in_time += usize::from(end - arrived <= soft_deadline_us);
        } else {
            next_arrival += (gap * random.random_range(0.0..2.0)) as u64 + 1;
            let arrived = Timestamp(now);
            let kind = random_kind(kinds, &mut random);
            counts[kind].asked += 1;
            let facts = CallFacts {
                arrived,
                rank: kinds[kind].rank,
                deadline: arrived + kinds[kind].deadline,
                soft_deadline: Some(arrived + kinds[kind].soft_deadline),
                ..CallFacts::default()
            };
            let overloaded = queue.len() as f32 > SLOTS as f32 * OVERLOAD_RATIO;
            let rate = ServiceRate {
                window: SLOTS as u32,
                service_time: nominal,
                enforces_soft_deadline: overloaded,
            };
            let _ = queue.join(&facts, (arrived, kind), rate, arrived);
        }
        let run_estimate = run_time(&quantile);
        while running.len() < SLOTS {
            match queue.take_next(Timestamp(now), run_estimate) {
                Some(QueueDeparture::Admitted(_, (arrived, kind))) => {
                    let time = service_time(kinds[kind].nominal, &mut random);
                    let end = now + time.as_micros() as u64;
                    running.push(Reverse((end, now, arrived.0, kind)));
                }
                Some(QueueDeparture::Expired(_)) => {}
                None => break,
            }
        }
        let overloaded = queue.len() as f32 > SLOTS as f32 * OVERLOAD_RATIO;
        queue.remove_unservable(Timestamp(now), nominal, overloaded);
    }
    counts
}

test_cases! {
    waits_leave_time_to_run: "requests that wait so long that they end just after their soft deadline" => {
        let constant = overload(1.5, |_| NOMINAL.mul_f32(1.3));
        let learned = overload(1.5, |quantile| quantile.estimate(NOMINAL));
        // The slots stay as busy, and more of the served requests end before the soft deadline.
        assert!(learned.served * 100 >= constant.served * 97, "{learned:?} {constant:?}");
        assert!(learned.in_time * 4 >= constant.in_time * 5, "{learned:?} {constant:?}");
    }

    low_load_is_unaffected: "requests that are refused or delayed although slots are free" => {
        let constant = overload(0.7, |_| NOMINAL.mul_f32(1.3));
        let learned = overload(0.7, |quantile| quantile.estimate(NOMINAL));
        assert!(learned.served * 1000 >= constant.served * 999, "{learned:?} {constant:?}");
        assert!(learned.in_time * 100 >= constant.in_time * 99, "{learned:?} {constant:?}");
    }

    shared_services_starve_no_kind: "uploads or filings that hardly run at a service whose lookups take its slots, or the reverse" => {
        for load in [1.2, 1.5, 1.7, 3.0] {
            let counts = overload_kinds(&SHARED_KINDS, load, |quantile| quantile.estimate(NOMINAL));
            let (asked, served) = counts.iter().fold((0, 0), |(asked, served), kind| {
                (asked + kind.asked, served + kind.served)
            });
            let all_percent = served as f64 * 100.0 / asked as f64;
            for kind in &counts {
                // The operators' bound: a quarter of what all kinds together get.
                assert!(kind.served_percent() * 4.0 >= all_percent, "load {load}: {counts:?}");
            }
        }
    }

    better_ranks_are_served_more_often: "urgent uploads that are refused more often than the lookups of the service that they share" => {
        for load in [1.2, 1.5, 1.7] {
            let counts = overload_kinds(&SHARED_KINDS, load, |quantile| quantile.estimate(NOMINAL));
            let uploads = counts[1].served_percent();
            for worse in [counts[0], counts[2]] {
                // The operators' bound on how much rarer a more urgent kind may be served.
                assert!(uploads + 5.0 >= worse.served_percent(), "load {load}: {counts:?}");
            }
        }
    }
}
