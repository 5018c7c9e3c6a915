//! Admission while more requests arrive than can be served, in simulated time.

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
const USUAL: Duration = Duration::from_millis(90);
const OBJECTIVE: Duration = Duration::from_millis(225);
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Outcomes of the requests of a run.
#[derive(Debug, Default)]
struct RunCounts {
    in_time: usize,
    served: usize,
}

/// Draws the time of work of a busy fleet: the usual one, half as much again on a full
/// target, and some twice as much beside a noisy neighbour.
fn work(random: &mut SmallRng) -> Duration {
    let pace = match random.random_range(0..10) {
        0..5 => 1.1,
        5..9 => 1.6,
        _ => 2.4,
    };
    USUAL.mul_f64(pace * random.random_range(0.75..1.25))
}

/// Sends `load` times what the slots can serve for 20 s and counts what comes of it.
/// `sure_time` says how much of a request's time has to be left when it starts.
fn overload(load: f64, sure_time: impl Fn(&RunQuantile) -> Duration) -> RunCounts {
    let mut random = SmallRng::seed_from_u64(7);
    let limits = AdmissionLimits { max_waiting: 256, max_overtakes: 8 };
    let mut queue: AdmissionQueue<Timestamp> = AdmissionQueue::new(limits);
    let (spread, mut counts) = (RunQuantile::default(), RunCounts::default());
    // Ends of running requests, with when they began and arrived.
    let mut running: BinaryHeap<Reverse<(u64, u64, u64)>> = BinaryHeap::new();
    let gap = USUAL.as_micros() as f64 * 1.43 / SLOTS as f64 / load;
    let (mut now, mut next_arrival) = (0_u64, 0_u64);
    while now < 20_000_000 {
        let end = running.peek().map_or(u64::MAX, |Reverse((end, _, _))| *end);
        now = end.min(next_arrival);
        if end <= next_arrival {
            let Some(Reverse((end, begun, arrived))) = running.pop() else { continue };
            spread.record(Duration::from_micros(end - begun), USUAL);
            counts.served += 1;
            counts.in_time += usize::from(end - arrived <= OBJECTIVE.as_micros() as u64);
        } else {
            next_arrival += (gap * random.random_range(0.0..2.0)) as u64 + 1;
            let arrived = Timestamp(now);
            let facts = CallFacts {
                arrived,
                deadline: arrived + DEADLINE,
                soft_deadline: Some(arrived + OBJECTIVE),
                ..CallFacts::default()
            };
            let useful_only = queue.len() as f32 > SLOTS as f32 * 0.34;
            let rate = ServiceRate {
                window: SLOTS as u32,
                service_time: USUAL,
                enforces_soft_deadline: useful_only,
            };
            let _ = queue.join(&facts, arrived, rate, arrived);
        }
        let sure = sure_time(&spread);
        while running.len() < SLOTS {
            match queue.take_next(Timestamp(now), sure) {
                Some(QueueDeparture::Admitted(_, arrived)) => {
                    let end = now + work(&mut random).as_micros() as u64;
                    running.push(Reverse((end, now, arrived.0)));
                }
                Some(QueueDeparture::Expired(_)) => {}
                None => break,
            }
        }
        let overloaded = queue.len() as f32 > SLOTS as f32 * 0.34;
        queue.remove_unservable(Timestamp(now), USUAL, overloaded);
    }
    counts
}

test_cases! {
    waits_leave_time_for_the_work: "requests that wait until their answers come just too late" => {
        let fixed = overload(1.5, |_| USUAL.mul_f32(1.3));
        let learnt = overload(1.5, |spread| spread.estimate(USUAL));
        // Slots stay as busy, and more of what they serve is of use.
        assert!(learnt.served * 100 >= fixed.served * 97, "{learnt:?} {fixed:?}");
        assert!(learnt.in_time * 4 >= fixed.in_time * 5, "{learnt:?} {fixed:?}");
    }

    calm_days_lose_nothing: "requests refused or delayed although slots are free" => {
        let fixed = overload(0.7, |_| USUAL.mul_f32(1.3));
        let learnt = overload(0.7, |spread| spread.estimate(USUAL));
        assert!(learnt.served * 1000 >= fixed.served * 999, "{learnt:?} {fixed:?}");
        assert!(learnt.in_time * 100 >= fixed.in_time * 99, "{learnt:?} {fixed:?}");
    }
}
