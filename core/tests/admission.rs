//! Order, bounds and deadlines of the admission queue.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use slotmap::SlotMap;
use zinniaport_core::admission::{AdmissionLimits, AdmissionQueue, QueueDeparture, ServiceRate};
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::keys::CallerKey;
use zinniaport_testing::{check_property, test_cases};

const MAX_OVERTAKES: u32 = 3;
const FAST: ServiceRate = ServiceRate {
    window: 4,
    service_time: Duration::from_micros(1),
    enforces_soft_deadline: false,
};

/// A request as the test sees it; `departed` is its position among admissions.
#[derive(Clone, Debug)]
struct SeenCall {
    rank: u8,
    caller: usize,
    deadline: u64,
    joined: usize,
    departed: Option<usize>,
}

fn queue(max_waiting: usize) -> AdmissionQueue<usize> {
    AdmissionQueue::new(AdmissionLimits { max_waiting, max_overtakes: MAX_OVERTAKES })
}

fn callers() -> Vec<CallerKey> {
    let mut arena: SlotMap<CallerKey, ()> = SlotMap::with_key();
    (0..4).map(|_| arena.insert(())).collect()
}

/// Joins (`Some`) and admissions (`None`) in any order.
fn steps() -> impl Strategy<Value = Vec<Option<(u8, usize, u64)>>> {
    let join = (0_u8..3, 0_usize..4, 1_000_u64..9_000);
    proptest::collection::vec(proptest::option::weighted(0.6, join), 1..120)
}

/// Runs the steps and returns every request with the moment it joined and left,
/// counted in steps.
fn run(steps: &[Option<(u8, usize, u64)>]) -> Vec<SeenCall> {
    let (keys, mut queue, mut seen) = (callers(), queue(1_000), Vec::<SeenCall>::new());
    for (step, join) in steps.iter().enumerate() {
        if let Some((rank, caller, deadline)) = *join {
            let facts = CallFacts {
                rank,
                caller: keys[caller],
                deadline: Timestamp(deadline),
                ..CallFacts::default()
            };
            queue.join(&facts, seen.len(), FAST, Timestamp(0)).unwrap();
            seen.push(SeenCall { rank, caller, deadline, joined: step, departed: None });
        } else if let Some(QueueDeparture::Admitted(_, call)) =
            queue.take_next(Timestamp(1), Duration::ZERO)
        {
            seen[call].departed = Some(step);
        }
    }
    seen
}

impl SeenCall {
    fn waits_at(&self, step: usize) -> bool {
        self.joined < step && self.departed.is_none_or(|departed| departed >= step)
    }
}

test_cases! {
    overtaking_is_bounded: "a rank that starves while better ranks keep arriving" => {
        check_property(512, &steps(), |steps| {
            let seen = run(&steps);
            for rank in 0..3 {
                let mut ahead = 0;
                for step in 0..steps.len() {
                    let Some(gone) = seen.iter().find(|call| call.departed == Some(step)) else {
                        continue;
                    };
                    let waits = seen.iter().any(|call| call.rank == rank && call.waits_at(step));
                    ahead = match gone.rank.cmp(&rank) {
                        _ if !waits => 0,
                        Ordering::Less => ahead + 1,
                        Ordering::Equal => 0,
                        Ordering::Greater => ahead,
                    };
                    prop_assert!(ahead <= MAX_OVERTAKES, "rank {rank} was overtaken {ahead} times");
                }
            }
            Ok(())
        });
    }

    callers_take_turns: "one caller's uploads that starve another caller of the same kind" => {
        check_property(512, &steps(), |steps| {
            let seen = run(&steps);
            for waiting in &seen {
                let until = waiting.departed.unwrap_or(steps.len());
                let own = seen.iter().filter(|call| call.rank == waiting.rank && call.caller == waiting.caller);
                let turns = 1 + own.filter(|call| call.departed.is_some_and(|at| at > waiting.joined && at < until)).count();
                let mut others = HashMap::<usize, usize>::new();
                for call in seen.iter().filter(|call| call.rank == waiting.rank && call.caller != waiting.caller) {
                    if call.departed.is_some_and(|at| at > waiting.joined && at < until) {
                        *others.entry(call.caller).or_default() += 1;
                    }
                }
                prop_assert!(others.values().all(|count| *count <= turns), "{waiting:?} waited for {others:?}");
            }
            Ok(())
        });
    }

    order_within_a_caller: "a request that goes after one of the same caller with a later deadline" => {
        check_property(512, &steps(), |steps| {
            let seen = run(&steps);
            for first in seen.iter().filter(|call| call.departed.is_some()) {
                let step = first.departed.unwrap();
                let passed = seen.iter().find(|call| {
                    call.caller == first.caller && call.rank == first.rank
                        && call.deadline < first.deadline && call.waits_at(step)
                });
                prop_assert!(passed.is_none(), "{first:?} went before {passed:?}");
            }
            Ok(())
        });
    }

    best_rank_goes_first: "a lookup that waits behind an upload without cause" => {
        let keys = callers();
        let mut queue = queue(10);
        for (call, rank) in [2, 0, 1].into_iter().enumerate() {
            let facts = CallFacts { rank, caller: keys[0], deadline: Timestamp(9_000), ..CallFacts::default() };
            queue.join(&facts, call, FAST, Timestamp(0)).unwrap();
        }
        let order: Vec<_> = std::iter::from_fn(|| match queue.take_next(Timestamp(1), Duration::ZERO)? {
            QueueDeparture::Admitted(trace, call) => Some((call, trace.rule, trace.overtaken)),
            QueueDeparture::Expired(_) => None,
        }).collect();
        assert_eq!(order, [(1, ReasonCode::RankFirst, 0), (2, ReasonCode::RankFirst, 0), (0, ReasonCode::AdmittedAfterWait, 2)]);
    }

    unreachable_deadlines_are_refused: "a request that waits although it cannot be served in time" => {
        let mut queue = queue(100);
        let rate = ServiceRate { window: 2, service_time: Duration::from_millis(10), enforces_soft_deadline: false };
        let facts = |deadline| CallFacts { deadline: Timestamp(deadline), ..CallFacts::default() };
        for call in 0..10 {
            queue.join(&facts(1_000_000), call, rate, Timestamp(0)).unwrap();
        }
        // 11 requests through 2 slots of 10 ms, then 10 ms of its own.
        let refusal = queue.join(&facts(65_000), 10, rate, Timestamp(0)).unwrap_err();
        assert_eq!(refusal.reason, ReasonCode::DeadlineUnreachable);
        assert_eq!(refusal.retry_after, Duration::from_millis(55));
        assert!(queue.join(&facts(66_000), 11, rate, Timestamp(0)).is_ok());
        assert!(matches!(queue.take_next(Timestamp(66_000), Duration::ZERO), Some(QueueDeparture::Expired(11))));
    }

    full_queue_keeps_room_for_others: "one caller's uploads that fill the queue for everyone" => {
        let keys = callers();
        let mut queue = queue(4);
        let facts = |rank, caller: usize| CallFacts { rank, caller: keys[caller], deadline: Timestamp(9_000), ..CallFacts::default() };
        for call in 0..4 {
            queue.join(&facts(1, 0), call, FAST, Timestamp(0)).unwrap();
        }
        assert_eq!(queue.join(&facts(1, 0), 4, FAST, Timestamp(0)).unwrap_err().reason, ReasonCode::QueueFull);
        assert_eq!(queue.join(&facts(1, 1), 5, FAST, Timestamp(0)).unwrap().displaced, Some(3));
        assert_eq!(queue.join(&facts(0, 2), 6, FAST, Timestamp(0)).unwrap().displaced, Some(2));
        assert_eq!(queue.len(), 4);
    }

    late_requests_give_way: "a request whose answer comes too late to be worth much that displaces one which is not" => {
        let mut queue = queue(100);
        let facts = |useful, deadline| CallFacts {
            soft_deadline: Some(Timestamp(useful)),
            deadline: Timestamp(deadline),
            ..CallFacts::default()
        };
        queue.join(&facts(20_000, 900_000), 1, FAST, Timestamp(0)).unwrap();
        queue.join(&facts(80_000, 800_000), 2, FAST, Timestamp(0)).unwrap();
        // Work takes 30 ms: the first would end after 20 ms, the second in time.
        let work = Duration::from_millis(30);
        let mut next = || match queue.take_next(Timestamp(1), work) {
            Some(QueueDeparture::Admitted(_, call)) => Some(call),
            _ => None,
        };
        assert_eq!([next(), next(), next()], [Some(2), Some(1), None]);
    }

    overload_is_refused_at_once: "requests held to the end of their time while more arrive than can be served" => {
        let mut queue = queue(1_000);
        let overloaded = ServiceRate { window: 2, service_time: Duration::from_millis(100), enforces_soft_deadline: true };
        let facts = CallFacts {
            soft_deadline: Some(Timestamp(250_000)),
            deadline: Timestamp(1_200_000),
            ..CallFacts::default()
        };
        // A burst of requests in one moment: 50 ms for each that is ahead, 100 ms of work.
        let joined = (0..20).filter(|call| queue.join(&facts, *call, overloaded, Timestamp(0)).is_ok()).count();
        assert_eq!(joined, 2, "those that begin within 150 ms");
        assert!(queue.remove_unservable(Timestamp(100_000), Duration::from_millis(100), true).is_empty());
        assert_eq!(queue.remove_unservable(Timestamp(160_000), Duration::from_millis(100), false).len(), 0);
        assert_eq!(queue.remove_unservable(Timestamp(160_000), Duration::from_millis(100), true).len(), 2);
        assert!(queue.is_empty());
    }
}
