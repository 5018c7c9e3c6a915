//! When the admission gate orders requests by the cost of a delay.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use slotmap::SlotMap;
use support::service_intent;
use zinniaport::gate::AdmissionGate;
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::{ClockSource, ManualClock, Timestamp};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{KindIntent, ServiceIntent};
use zinniaport_core::keys::CallerKey;
use zinniaport_core::policy::EntryView;
use zinniaport_core::tenants::{TenantIntent, TenantTable};
use zinniaport_testing::test_cases;

const START: Timestamp = Timestamp(1_000_000);

/// Returns a fleet whose service has kinds of these ranks and one target with a single usable slot.
fn fleet(ranks: &[u8], tenants: &[&str], is_coordinated: bool) -> FleetSnapshot {
    let kind = |rank: &u8| KindIntent {
        name: format!("kind-{rank}"),
        methods: Vec::new(),
        path_prefix: String::new(),
        rank: *rank,
        idempotent: true,
        max_runs: 1,
        deadline_ms: 60_000,
        require_key: false,
        objective_percent: 99.0,
        target_latency_ms: None,
        max_dispatches: None,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let kinds = ranks.iter().map(kind).collect();
    let mut intent = ServiceIntent { kinds, ..service_intent([address]) };
    // Until it is known that full targets are not slower, a coordinator leaves a fifth free.
    intent.targets[0].slots = if is_coordinated { 2 } else { 1 };
    let view = EntryView { is_coordinated, ..EntryView::default() };
    let mut fleet = FleetSnapshot { view, ..FleetSnapshot::default() };
    fleet.apply(intent, 1, START);
    let tenant = |name: &&str| TenantIntent {
        name: (*name).to_owned(),
        api_keys: Vec::new(),
        rank: None,
        limit: None,
    };
    let tenants: Vec<_> = tenants.iter().map(tenant).collect();
    fleet.tenants = Some(Arc::new(TenantTable::default().next(&tenants)));
    fleet
}

/// Returns the index of the request that is admitted first: one that joined first and has plenty
/// of time, or one of another caller that is near its soft deadline.
async fn first_admitted(fleet: &FleetSnapshot) -> (usize, ReasonCode) {
    let clock = Arc::new(ManualClock::default());
    clock.advance(Duration::from_micros(START.0));
    let service = fleet.find("pump-history").unwrap().1;
    let gate =
        Arc::new(AdmissionGate::new(clock.clone(), service.counters.clone(), Arc::default()));
    let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
    let kinds: Vec<_> = service.kinds.iter().map(|(key, _)| key).collect();
    let mut facts = |kind: usize, soft_deadline_ms| CallFacts {
        kind: kinds[kind],
        caller: callers.insert(()),
        deadline: START + Duration::from_secs(60),
        soft_deadline: Some(clock.now() + Duration::from_millis(soft_deadline_ms)),
        ..CallFacts::default()
    };
    let (running, patient, urgent) = (facts(0, 900), facts(0, 900), facts(1, 300));
    let (_, slot) = gate.admit(fleet, service, &running).await.unwrap();
    let mut waiting = [
        Box::pin(gate.admit(fleet, service, &patient)),
        Box::pin(gate.admit(fleet, service, &urgent)),
    ];
    for request in &mut waiting {
        assert!(request.as_mut().now_or_never().is_none(), "the slot is taken");
    }
    drop(slot);
    for (index, request) in waiting.iter_mut().enumerate() {
        if let Some(admitted) = request.as_mut().now_or_never() {
            return (index, admitted.unwrap().0.rule);
        }
    }
    panic!("no request was admitted");
}

test_cases! {
    async tenants_turn_it_on: "a service with tenants whose requests near their soft deadline wait behind others" => {
        assert_eq!(first_admitted(&fleet(&[1, 1], &["north", "south"], true)).await.0, 1);
    }

    async ranks_turn_it_on: "a service with kinds of different rank whose requests near their soft deadline wait behind others" => {
        assert_eq!(first_admitted(&fleet(&[0, 1], &[], true)).await.0, 1);
    }

    async others_take_turns: "a service of a single rank without tenants whose order changes" => {
        assert_eq!(first_admitted(&fleet(&[1, 1], &[], true)).await, (0, ReasonCode::CallerTurn));
    }

    async uncoordinated_services_take_turns: "a service without a coordinator whose order changes" => {
        assert_eq!(first_admitted(&fleet(&[0, 1], &["north"], false)).await, (0, ReasonCode::CallerTurn));
    }
}
