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
const SOFT_DEADLINE: Duration = Duration::from_millis(225);
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Ratio of waiting requests to slots above which the service is overloaded, as in the
/// admission gate.
const OVERLOAD_RATIO: f32 = 0.34;

/// Mean of the slowdowns that [`service_time`] returns.
const MEAN_SLOWDOWN: f64 = 1.43;

/// Numbers of served requests and of those served before their soft deadline.
#[derive(Debug, Default)]
struct RunCounts {
    in_time: usize,
    served: usize,
}

/// Returns a random service time of a busy fleet: the nominal one, about 1.5 times as long
/// on a full target and more than twice as long beside a noisy neighbour.
fn service_time(random: &mut SmallRng) -> Duration {
    let slowdown = match random.random_range(0..10) {
        0..5 => 1.1,
        5..9 => 1.6,
        _ => 2.4,
    };
    NOMINAL.mul_f64(slowdown * random.random_range(0.75..1.25))
}

/// Sends `load` times the capacity of the slots for 20 s and counts the results. `run_time`
/// returns the time that must be left until the soft deadline when a request starts.
fn overload(load: f64, run_time: impl Fn(&RunQuantile) -> Duration) -> RunCounts {
    let mut random = SmallRng::seed_from_u64(7);
    let limits = AdmissionLimits { max_waiting: 256, max_overtakes: 8 };
    let mut queue: AdmissionQueue<Timestamp> = AdmissionQueue::new(limits);
    let (quantile, mut counts) = (RunQuantile::default(), RunCounts::default());
    // End, start and arrival of running requests.
    let mut running: BinaryHeap<Reverse<(u64, u64, u64)>> = BinaryHeap::new();
    let gap = NOMINAL.as_micros() as f64 * MEAN_SLOWDOWN / SLOTS as f64 / load;
    let (mut now, mut next_arrival) = (0_u64, 0_u64);
    while now < 20_000_000 {
        let end = running.peek().map_or(u64::MAX, |Reverse((end, _, _))| *end);
        now = end.min(next_arrival);
        if end <= next_arrival {
            let Some(Reverse((end, started, arrived))) = running.pop() else { continue };
            quantile.record(Duration::from_micros(end - started), NOMINAL);
            counts.served += 1;
            counts.in_time += usize::from(end - arrived <= SOFT_DEADLINE.as_micros() as u64);
        } else {
            next_arrival += (gap * random.random_range(0.0..2.0)) as u64 + 1;
            let arrived = Timestamp(now);
            let facts = CallFacts {
                arrived,
                deadline: arrived + DEADLINE,
                soft_deadline: Some(arrived + SOFT_DEADLINE),
                ..CallFacts::default()
            };
            let overloaded = queue.len() as f32 > SLOTS as f32 * OVERLOAD_RATIO;
            let rate = ServiceRate {
                window: SLOTS as u32,
                service_time: NOMINAL,
                enforces_soft_deadline: overloaded,
            };
            let _ = queue.join(&facts, arrived, rate, arrived);
        }
        let run_estimate = run_time(&quantile);
        while running.len() < SLOTS {
            match queue.take_next(Timestamp(now), run_estimate) {
                Some(QueueDeparture::Admitted(_, arrived)) => {
                    let end = now + service_time(&mut random).as_micros() as u64;
                    running.push(Reverse((end, now, arrived.0)));
                }
                Some(QueueDeparture::Expired(_)) => {}
                None => break,
            }
        }
        let overloaded = queue.len() as f32 > SLOTS as f32 * OVERLOAD_RATIO;
        queue.remove_unservable(Timestamp(now), NOMINAL, overloaded);
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
}
