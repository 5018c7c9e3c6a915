//! Order of admission by cost: single decisions, and a comparison with other orders under the same
//! offered load in simulated time.

mod overload_trial;

use std::time::Duration;

use overload_trial::{
    KindLoad, OrderName, POLLED, PORTAL, PREVIEWED, TrialInput, TrialResult, run_trial,
};
use slotmap::SlotMap;
use strum::IntoEnumIterator;
use zinniaport_core::admission::{
    AdmissionLimits, AdmissionOrder, AdmissionRefusal, CallDemand, CostQueue, ExpectedWork,
    KindTerms, QueueDeparture, ServiceRate,
};
use zinniaport_core::call::CallFacts;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::keys::{KindKey, TenantKey};
use zinniaport_testing::test_cases;

/// Loads of the comparison, as factors on what the targets serve.
const LOADS: [f64; 3] = [1.5, 2.0, 2.5];

/// Title, kinds, tenants and factor on the requests of one tenant.
type Setup = (&'static str, &'static [KindLoad], usize, f64);

const SETUPS: [Setup; 4] = [
    ("portal", &PORTAL, 82, 1.0),
    ("portal, burst of a tenant", &PORTAL, 82, 7.5),
    ("polled", &POLLED, 0, 1.0),
    ("previewed", &PREVIEWED, 0, 1.0),
];

fn trial(setup: Setup, order: OrderName, load: f64, gives_up: bool) -> TrialResult {
    let (_, kinds, tenants, burst) = setup;
    run_trial(&TrialInput { kinds, order, load, tenants, burst, gives_up })
}

/// Returns each setup at each load with callers that give up and with callers that do not.
fn all_cases() -> impl Iterator<Item = (Setup, f64, bool)> {
    let loads = SETUPS.into_iter().flat_map(|setup| LOADS.map(|load| (setup, load)));
    loads.flat_map(|(setup, load)| [true, false].map(|gives_up| (setup, load, gives_up)))
}

fn percent(share: f64) -> String {
    format!("{:.0}", share * 100.0)
}

/// Prints a row of the table in `docs/design/admission-order.md`.
fn print_row(
    (title, kinds, ..): Setup,
    load: f64,
    order: OrderName,
    gives_up: bool,
    result: &TrialResult,
) {
    let by_kind = kinds.iter().zip(&result.kinds).map(|(kind, counts)| {
        let (in_time, served) = (counts.in_time_share(), counts.served_share());
        format!("{} {}/{}", kind.name, percent(in_time), percent(served))
    });
    let callers = if gives_up { "" } else { ", callers return" };
    println!(
        "| {title} | {load} | {order}{callers} | {:.3} | {}/{} | {} | {} | {} |",
        result.value,
        percent(result.all.in_time_share()),
        percent(result.all.served_share()),
        by_kind.collect::<Vec<_>>().join(", "),
        percent(result.least_tenant_share()),
        percent(result.refused_again_share()),
    );
}

/// Returns a request of 200 ms with a soft deadline after 500 ms and a deadline after 4 s.
fn demand(now: Timestamp) -> CallDemand {
    let facts = CallFacts {
        deadline: now + Duration::from_millis(4_000),
        soft_deadline: Some(now + Duration::from_millis(500)),
        ..CallFacts::default()
    };
    let (mean, run_time) = (Duration::from_millis(200), Duration::from_millis(260));
    CallDemand {
        facts,
        kind: KindTerms::with_rank(facts.rank),
        work: ExpectedWork { mean, run_time },
        entitlement: None,
        is_repeated: false,
    }
}

/// Returns the key of a kind other than that of [`demand`].
fn other_kind() -> KindKey {
    SlotMap::with_key().insert(())
}

fn with_rank(rank: u8, demand: CallDemand) -> CallDemand {
    CallDemand {
        facts: CallFacts { rank, ..demand.facts },
        kind: KindTerms::with_rank(rank),
        ..demand
    }
}

fn with_tenant(tenant: TenantKey, demand: CallDemand) -> CallDemand {
    let facts = CallFacts { tenant, ..demand.facts };
    CallDemand { facts, entitlement: Some(10.0), ..demand }
}

/// A queue of a service with 10 slots that is overloaded.
struct OverloadedQueue {
    queue: CostQueue<usize>,
    rate: ServiceRate,
}

impl OverloadedQueue {
    fn new() -> Self {
        let queue = CostQueue::new(AdmissionLimits { max_waiting: 100, max_overtakes: 8 });
        let service_time = Duration::from_millis(200);
        let rate = ServiceRate { window: 10, service_time, enforces_soft_deadline: true };
        Self { queue, rate }
    }

    fn join(
        &mut self,
        demand: &CallDemand,
        name: usize,
        now: Timestamp,
    ) -> Result<(), AdmissionRefusal> {
        self.queue.join(demand, name, self.rate, now).map(drop)
    }

    /// Admits all waiting requests at `now` and returns their names in this order.
    fn drain(&mut self, now: Timestamp) -> Vec<usize> {
        let admitted = std::iter::from_fn(|| match self.queue.take_next(now, Duration::ZERO)? {
            QueueDeparture::Admitted(_, name) | QueueDeparture::Expired(name) => Some(name),
        });
        admitted.collect()
    }
}

test_cases! {
    chosen_order_yields_most: "an order of admission that is worth less to the callers than a simple one" => {
        for setup in SETUPS {
            for load in LOADS {
                let results: Vec<_> = OrderName::iter().map(|order| (order, trial(setup, order, load, true))).collect();
                results.iter().for_each(|(order, result)| print_row(setup, load, *order, true, result));
                let most = results.iter().map(|(_, result)| result.value).fold(0.0, f64::max);
                assert_eq!(results.last().map(|(_, result)| result.value), Some(most), "{} {load}", setup.0);
            }
        }
    }

    urgent_kinds_are_served_no_worse: "a less urgent kind that is served better than a more urgent one of its service" => {
        for (setup, load, gives_up) in all_cases() {
            let result = trial(setup, OrderName::Chosen, load, gives_up);
            print_row(setup, load, OrderName::Chosen, gives_up, &result);
            for (urgent, urgent_counts) in setup.1.iter().zip(&result.kinds) {
                for (other, counts) in setup.1.iter().zip(&result.kinds) {
                    let is_more_urgent = urgent.rank < other.rank;
                    let served_gap = counts.served_share() - urgent_counts.served_share();
                    let in_time_gap = counts.in_time_share() - urgent_counts.in_time_share();
                    // The operators' bounds.
                    assert!(
                        !is_more_urgent || (served_gap <= 0.05 && in_time_gap <= 0.15),
                        "{} {load} {gives_up}: {} {served_gap} {in_time_gap}", setup.0, other.name
                    );
                }
            }
        }
    }

    no_kind_or_tenant_starves: "a kind or tenant that gets less than a quarter of what all get" => {
        for (setup, load, gives_up) in all_cases() {
            let result = trial(setup, OrderName::Chosen, load, gives_up);
            let all = result.all.served_share();
            for (kind, counts) in setup.1.iter().zip(&result.kinds) {
                assert!(counts.served_share() >= all / 4.0, "{} {load}: {}", setup.0, kind.name);
            }
            let least = result.least_tenant_share();
            assert!(least >= 0.25, "{} {load}: {least}", setup.0);
        }
    }

    near_deadlines_go_first: "a request near its soft deadline that waits behind one of its rank with plenty of time" => {
        let (mut queue, now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        let unhurried = demand(now);
        let facts = CallFacts { kind: other_kind(), soft_deadline: Some(now + Duration::from_millis(2_500)), ..unhurried.facts };
        queue.join(&CallDemand { facts, ..unhurried }, 1, now).unwrap();
        queue.join(&demand(now), 2, now).unwrap();
        queue.join(&with_rank(1, demand(now)), 3, now).unwrap();
        queue.join(&with_rank(0, demand(now)), 4, now).unwrap();
        assert_eq!(queue.drain(now), [2, 4, 1, 3]);
    }

    short_requests_pass_long_ones: "a short request of a good rank that waits behind long ones of a worse rank" => {
        let (mut queue, now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        let long = ExpectedWork { mean: Duration::from_millis(750), run_time: Duration::from_millis(900) };
        for name in 0..5 {
            let facts = CallFacts { kind: other_kind(), rank: 2, soft_deadline: Some(now + Duration::from_secs(3)), ..demand(now).facts };
            queue.join(&CallDemand { facts, work: long, ..demand(now) }, name, now).unwrap();
        }
        queue.join(&demand(now), 9, now).unwrap();
        assert_eq!(queue.drain(now)[0], 9);
    }

    hopeless_requests_are_refused_at_once: "a request that waits although it cannot be served in time" => {
        let (mut queue, now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        let results: Vec<_> = (0..60).map(|name| queue.join(&demand(now), name, now)).collect();
        let joined = results.iter().filter(|result| result.is_ok()).count();
        // 240 ms may pass, in which 10 slots begin 12 requests of 200 ms.
        assert_eq!(joined, 12);
        let delays: Vec<_> = results.iter().filter_map(|result| result.as_ref().err()).map(|refusal| refusal.retry_after).collect();
        assert!(delays[0] >= Duration::from_millis(240), "before the backlog is served: {delays:?}");
        assert!(delays.is_sorted(), "room that is promised twice: {delays:?}");
    }

    returned_requests_are_admitted: "a request that is refused again while new ones of its rank are admitted" => {
        let (mut queue, now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        for name in 0..12 {
            queue.join(&demand(now), name, now).unwrap();
        }
        assert!(queue.join(&demand(now), 90, now).is_err());
        // It comes back after 100 ms with a deadline that is shorter by as much. Its soft deadline
        // counts from when it was first sent.
        let returned = CallDemand { facts: CallFacts { deadline: now + Duration::from_millis(3_900), ..demand(now).facts }, ..demand(now) };
        queue.join(&returned, 91, now).unwrap();
        assert_eq!(queue.drain(now)[0], 91);
    }

    late_returns_take_turns: "returned requests that take all slots although they are too late, or get none" => {
        let (mut queue, now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        queue.queue.record_admission(&demand(now), now);
        for name in 0..2 {
            let facts = CallFacts { deadline: now + Duration::from_millis(3_000), ..demand(now).facts };
            queue.join(&CallDemand { facts, ..demand(now) }, 100 + name, now).unwrap();
        }
        for name in 0..10 {
            queue.join(&demand(now), name, now).unwrap();
        }
        let order = queue.drain(now);
        let positions: Vec<_> = (0..order.len()).filter(|position| order[*position] >= 100).collect();
        assert_eq!(positions, [7, 11]);
    }

    bursts_get_what_is_left: "a tenant that sends many times its usual rate and delays the others" => {
        let mut arena: SlotMap<TenantKey, ()> = SlotMap::with_key();
        let (busy, other) = (arena.insert(()), arena.insert(()));
        let (mut queue, mut now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        for _ in 0..60 {
            now = now + Duration::from_millis(20);
            queue.queue.record_admission(&with_tenant(busy, demand(now)), now);
        }
        for _ in 0..3 {
            queue.queue.record_admission(&with_tenant(other, demand(now)), now);
        }
        now = now + Duration::from_millis(130);
        queue.join(&with_tenant(busy, demand(now)), 1, now).unwrap();
        queue.join(&with_tenant(other, demand(now)), 2, now).unwrap();
        assert_eq!(queue.drain(now), [2, 1]);
    }

    retries_are_charged: "retries and hedges that give a tenant more than its part" => {
        let mut arena: SlotMap<TenantKey, ()> = SlotMap::with_key();
        let (busy, other) = (arena.insert(()), arena.insert(()));
        let (mut queue, mut now) = (OverloadedQueue::new(), Timestamp(1_000_000));
        for _ in 0..30 {
            now = now + Duration::from_millis(20);
            for (tenant, is_repeated) in [(busy, false), (other, false), (busy, true), (busy, true)] {
                let demand = CallDemand { is_repeated, ..with_tenant(tenant, demand(now)) };
                queue.queue.record_admission(&demand, now);
            }
        }
        now = now + Duration::from_millis(130);
        queue.join(&with_tenant(busy, demand(now)), 1, now).unwrap();
        queue.join(&with_tenant(other, demand(now)), 2, now).unwrap();
        assert_eq!(queue.drain(now), [2, 1]);
    }
}
