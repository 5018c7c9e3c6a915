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

/// A request with the steps at which it joined the queue and was admitted.
#[derive(Clone, Debug)]
struct RecordedCall {
    rank: u8,
    caller: usize,
    deadline: u64,
    joined: usize,
    admitted: Option<usize>,
}

fn queue(max_waiting: usize) -> AdmissionQueue<usize> {
    AdmissionQueue::new(AdmissionLimits { max_waiting, max_overtakes: MAX_OVERTAKES })
}

fn callers() -> Vec<CallerKey> {
    let mut arena: SlotMap<CallerKey, ()> = SlotMap::with_key();
    (0..4).map(|_| arena.insert(())).collect()
}

/// Generates joins (`Some`: rank, caller, deadline) and admissions (`None`) in any order.
fn steps() -> impl Strategy<Value = Vec<Option<(u8, usize, u64)>>> {
    let join = (0_u8..3, 0_usize..4, 1_000_u64..9_000);
    proptest::collection::vec(proptest::option::weighted(0.6, join), 1..120)
}

/// Runs the steps and returns all requests.
fn run_steps(steps: &[Option<(u8, usize, u64)>]) -> Vec<RecordedCall> {
    let (keys, mut queue, mut recorded) = (callers(), queue(1_000), Vec::<RecordedCall>::new());
    for (step, join) in steps.iter().enumerate() {
        if let Some((rank, caller, deadline)) = *join {
            let facts = CallFacts {
                rank,
                caller: keys[caller],
                deadline: Timestamp(deadline),
                ..CallFacts::default()
            };
            queue.join(&facts, recorded.len(), FAST, Timestamp(0)).unwrap();
            recorded.push(RecordedCall { rank, caller, deadline, joined: step, admitted: None });
        } else if let Some(QueueDeparture::Admitted(_, call)) =
            queue.take_next(Timestamp(1), Duration::ZERO)
        {
            recorded[call].admitted = Some(step);
        }
    }
    recorded
}

impl RecordedCall {
    fn waits_at(&self, step: usize) -> bool {
        self.joined < step && self.admitted.is_none_or(|admitted| admitted >= step)
    }
}

test_cases! {
    overtaking_is_bounded: "a rank that starves while requests of better ranks keep arriving" => {
        check_property(512, &steps(), |steps| {
            let recorded = run_steps(&steps);
            for rank in 0..3 {
                let mut ahead = 0;
                for step in 0..steps.len() {
                    let Some(admitted_call) = recorded.iter().find(|call| call.admitted == Some(step)) else {
                        continue;
                    };
                    let waits = recorded.iter().any(|call| call.rank == rank && call.waits_at(step));
                    ahead = match admitted_call.rank.cmp(&rank) {
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

    callers_take_turns: "a caller with many requests that starves another caller of the same rank" => {
        check_property(512, &steps(), |steps| {
            let recorded = run_steps(&steps);
            for waiting in &recorded {
                let end = waiting.admitted.unwrap_or(steps.len());
                let own = recorded.iter().filter(|call| call.rank == waiting.rank && call.caller == waiting.caller);
                let turns = 1 + own.filter(|call| call.admitted.is_some_and(|at| at > waiting.joined && at < end)).count();
                let mut others = HashMap::<usize, usize>::new();
                for call in recorded.iter().filter(|call| call.rank == waiting.rank && call.caller != waiting.caller) {
                    if call.admitted.is_some_and(|at| at > waiting.joined && at < end) {
                        *others.entry(call.caller).or_default() += 1;
                    }
                }
                prop_assert!(others.values().all(|count| *count <= turns), "{waiting:?} waited for {others:?}");
            }
            Ok(())
        });
    }

    earlier_deadlines_go_first: "a request that is admitted after one of the same caller and rank with a later deadline" => {
        check_property(512, &steps(), |steps| {
            let recorded = run_steps(&steps);
            for first in recorded.iter().filter(|call| call.admitted.is_some()) {
                let step = first.admitted.unwrap();
                let overtaken = recorded.iter().find(|call| {
                    call.caller == first.caller && call.rank == first.rank
                        && call.deadline < first.deadline && call.waits_at(step)
                });
                prop_assert!(overtaken.is_none(), "{first:?} went before {overtaken:?}");
            }
            Ok(())
        });
    }

    best_rank_goes_first: "a request that waits behind one of a worse rank although it was not overtaken too often" => {
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

    unreachable_deadlines_are_refused: "a request that waits although it cannot meet its deadline" => {
        let mut queue = queue(100);
        let rate = ServiceRate { window: 2, service_time: Duration::from_millis(10), enforces_soft_deadline: false };
        let facts = |deadline| CallFacts { deadline: Timestamp(deadline), ..CallFacts::default() };
        for call in 0..10 {
            queue.join(&facts(1_000_000), call, rate, Timestamp(0)).unwrap();
        }
        // 11 requests through 2 slots at 10 ms each, plus 10 ms for the request itself.
        let refusal = queue.join(&facts(65_000), 10, rate, Timestamp(0)).unwrap_err();
        assert_eq!(refusal.reason, ReasonCode::DeadlineUnreachable);
        assert_eq!(refusal.retry_after, Duration::from_millis(55));
        assert!(queue.join(&facts(66_000), 11, rate, Timestamp(0)).is_ok());
        assert!(matches!(queue.take_next(Timestamp(66_000), Duration::ZERO), Some(QueueDeparture::Expired(11))));
    }

    full_queue_accepts_other_callers: "a caller with many requests that fills the queue for all others" => {
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

    late_requests_give_way: "a request that cannot meet its soft deadline but is admitted before one that can" => {
        let mut queue = queue(100);
        let facts = |soft_deadline, deadline| CallFacts {
            soft_deadline: Some(Timestamp(soft_deadline)),
            deadline: Timestamp(deadline),
            ..CallFacts::default()
        };
        queue.join(&facts(20_000, 900_000), 1, FAST, Timestamp(0)).unwrap();
        queue.join(&facts(80_000, 800_000), 2, FAST, Timestamp(0)).unwrap();
        // With a service time of 30 ms the first would end after its soft deadline, the second
        // before.
        let service_time = Duration::from_millis(30);
        let mut next = || match queue.take_next(Timestamp(1), service_time) {
            Some(QueueDeparture::Admitted(_, call)) => Some(call),
            _ => None,
        };
        assert_eq!([next(), next(), next()], [Some(2), Some(1), None]);
    }

    overload_is_refused_early: "requests that wait until their deadline under overload instead of being refused early" => {
        let mut queue = queue(1_000);
        let overloaded = ServiceRate { window: 2, service_time: Duration::from_millis(100), enforces_soft_deadline: true };
        let facts = CallFacts {
            soft_deadline: Some(Timestamp(250_000)),
            deadline: Timestamp(1_200_000),
            ..CallFacts::default()
        };
        // A burst of requests: each waits 50 ms for every request ahead and runs for 100 ms.
        let joined = (0..20).filter(|call| queue.join(&facts, *call, overloaded, Timestamp(0)).is_ok()).count();
        assert_eq!(joined, 2, "requests that start within 150 ms");
        assert!(queue.remove_unservable(Timestamp(100_000), Duration::from_millis(100), true).is_empty());
        assert_eq!(queue.remove_unservable(Timestamp(160_000), Duration::from_millis(100), false).len(), 0);
        assert_eq!(queue.remove_unservable(Timestamp(160_000), Duration::from_millis(100), true).len(), 2);
        assert!(queue.is_empty());
    }
}
