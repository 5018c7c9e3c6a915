//! Measures the cost of a pick for each policy and of an admission.
//!
//! `cargo run --release -p zinniaport-core --example decision_cost`

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use zinniaport_core::admission::window::concurrency_window;
use zinniaport_core::admission::{
    AdmissionLimits, AdmissionOrder, AdmissionQueue, CallDemand, CostQueue, ExpectedWork,
    KindTerms, ServiceRate,
};
use zinniaport_core::call::CallFacts;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{DesiredState, MeasuringIntent, ServiceIntent, TargetIntent};
use zinniaport_core::keys::{CallerKey, KindKey, TenantKey};
use zinniaport_core::policy::{EntryView, MEAN_SLOWDOWN, TargetQuery, policies};

/// Numbers of targets: as in `examples/co-operative.yaml`, ten times as many, and the design
/// scale.
const TARGETS: [usize; 3] = [35, 350, 4_100];

/// Number of live entries of that deployment.
const ENTRIES: usize = 19;

/// Number of interleaved rounds; their median is printed.
const ROUNDS: usize = 15;

/// Limits of the queues; no more than 256 requests wait at once.
const LIMITS: AdmissionLimits = AdmissionLimits { max_waiting: 256, max_overtakes: 8 };

/// Number of operations in one round.
const OPERATIONS: u32 = 20_000;

fn main() {
    let fleets = TARGETS.map(fleet);
    let mut results = BTreeMap::<(String, usize), Vec<f64>>::new();
    for round in 0..ROUNDS {
        for (fleet, targets) in fleets.iter().zip(TARGETS) {
            for (name, policy) in policies() {
                let query = query(fleet);
                let mut random = SmallRng::seed_from_u64(round as u64);
                let nanos = time(|| {
                    black_box(policy.pick(&query, &mut random));
                });
                results.entry((format!("pick, {name}"), targets)).or_default().push(nanos);
            }
            let table = &query(fleet).service.table;
            let nanos = time(|| {
                black_box(concurrency_window(table, 6, Timestamp(2_000_000)));
            });
            results.entry(("window".to_owned(), targets)).or_default().push(nanos);
        }
        for waiting in [1, 16, 255] {
            let orders: [(&str, Box<dyn AdmissionOrder<u64>>); 2] = [
                ("join and leave a queue of", Box::new(AdmissionQueue::new(LIMITS))),
                ("the same, ordered by cost", Box::new(CostQueue::new(LIMITS))),
            ];
            for (name, order) in orders {
                let nanos = admission_cost(order, waiting);
                results.entry((name.to_owned(), waiting)).or_default().push(nanos);
            }
        }
    }
    println!("{:<28} {:>8} {:>10}", "decision", "size", "ns");
    for ((name, size), mut rounds) in results {
        rounds.sort_by(f64::total_cmp);
        println!("{name:<28} {size:>8} {:>10.0}", rounds[ROUNDS / 2]);
    }
}

fn time(mut operation: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..OPERATIONS {
        operation();
    }
    start.elapsed().as_nanos() as f64 / f64::from(OPERATIONS)
}

fn admission_cost(mut queue: Box<dyn AdmissionOrder<u64>>, waiting: usize) -> f64 {
    let service_time = Duration::from_micros(100);
    let rate = ServiceRate { window: 6, service_time, enforces_soft_deadline: false };
    let mut arena: SlotMap<CallerKey, ()> = SlotMap::with_key();
    let callers: Vec<_> = (0..20).map(|_| arena.insert(())).collect();
    let mut arena: SlotMap<TenantKey, ()> = SlotMap::with_key();
    let tenants: Vec<_> = (0..20).map(|_| arena.insert(())).collect();
    let mut arena: SlotMap<KindKey, ()> = SlotMap::with_key();
    let kinds: Vec<_> = (0..3).map(|_| arena.insert(())).collect();
    let demand = |call: u64| {
        let facts = CallFacts {
            rank: (call % 3) as u8,
            kind: kinds[(call % 3) as usize],
            caller: callers[(call % 20) as usize],
            tenant: tenants[(call % 20) as usize],
            deadline: Timestamp(1_000_000 + call * 7 % 1_000),
            ..CallFacts::default()
        };
        let work = ExpectedWork { mean: service_time, run_time: service_time };
        let kind = KindTerms::with_rank(facts.rank);
        CallDemand { facts, kind, work, entitlement: Some(1.0), is_repeated: false }
    };
    let mut joined = 0;
    let mut join = |queue: &mut dyn AdmissionOrder<u64>| {
        joined += 1;
        queue.join(&demand(joined), joined, rate, Timestamp(1)).is_ok()
    };
    (0..waiting).for_each(|_| assert!(join(&mut *queue)));
    time(|| {
        assert!(join(&mut *queue));
        black_box(queue.take_next(Timestamp(2), Duration::ZERO));
    })
}

fn fleet(targets: usize) -> FleetSnapshot {
    let target = |index: usize| TargetIntent {
        address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
        data_centre: format!("valle-{}", ["a", "b", "c"][index % 3]),
        slots: 3,
        state: DesiredState::Serving,
        instance: None,
    };
    let intent = ServiceIntent {
        service: "pump-history".to_owned(),
        team: "co-operative".to_owned(),
        kinds: Vec::new(),
        targets: (0..targets).map(target).collect(),
        measuring: MeasuringIntent::default(),
        max_queue_length: 256,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    };
    let view = EntryView {
        name: "entry-0".into(),
        data_centre: "valle-a".into(),
        members: (0..ENTRIES).map(|entry| format!("entry-{entry}").into()).collect(),
        is_coordinated: false,
    };
    let mut fleet = FleetSnapshot { view, ..FleetSnapshot::default() };
    fleet.apply(intent, 1, Timestamp(1));
    let service = fleet.find("pump-history").expect("the service was applied").1;
    for (index, target) in service.table.available.iter().enumerate() {
        let now = Timestamp(1_990_000);
        // Most targets are full, so that the home-slots policy examines more than one.
        target.counters.record_report((2 + index as u32 % 4).into(), now);
        target.counters.record_success(Duration::from_millis(5));
        service.counters.probes.add(target.key, index as u32 % 4, Duration::from_millis(5), now);
    }
    fleet
}

fn query(fleet: &FleetSnapshot) -> TargetQuery<'_> {
    TargetQuery {
        fleet,
        service: fleet.find("pump-history").expect("the service was applied").1,
        data_centre: &fleet.view.data_centre,
        affinity: None,
        assumed_slowdown: MEAN_SLOWDOWN,
        members: &fleet.view.members,
        excluded: &[],
        remote_cost: 0.0,
        now: Timestamp(2_000_000),
    }
}
