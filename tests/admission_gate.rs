//! Slots and queue positions of the admission gate under concurrent requests.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use support::service_intent;
use zinniaport::gate::AdmissionGate;
use zinniaport_core::call::CallFacts;
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::intent::ServiceIntent;
use zinniaport_testing::test_cases;

fn fleet(slots: u32) -> FleetSnapshot {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut intent = ServiceIntent { max_queue_length: 1_000, ..service_intent([address]) };
    intent.targets[0].slots = slots;
    let mut fleet = FleetSnapshot::default();
    fleet.apply(intent, 1, Timestamp(1));
    fleet
}

fn service(fleet: &FleetSnapshot) -> &ServiceSnapshot {
    fleet.find("pump-history").unwrap().1
}

fn gate(fleet: &FleetSnapshot) -> (Arc<AdmissionGate>, CallFacts) {
    let clock = Arc::new(SystemClock::new());
    let deadline = clock.now() + Duration::from_secs(60);
    let gate = AdmissionGate::new(clock, service(fleet).counters.clone(), Arc::default());
    (Arc::new(gate), CallFacts { deadline, ..CallFacts::default() })
}

test_cases! {
    async every_request_is_admitted: "a wakeup that is lost if a slot is released while a request joins the queue" => {
        let fleet = Arc::new(fleet(3));
        let (gate, facts) = gate(&fleet);
        let (running, max_running) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let tasks: Vec<_> = (0..400).map(|_| {
            let (gate, fleet, running, max_running) = (gate.clone(), fleet.clone(), running.clone(), max_running.clone());
            tokio::spawn(async move {
                let (_, slot) = gate.admit(&fleet, service(&fleet), &facts).await.expect("the deadline is far");
                let now = running.fetch_add(1, Ordering::SeqCst) + 1;
                max_running.fetch_max(now, Ordering::SeqCst);
                tokio::task::yield_now().await;
                running.fetch_sub(1, Ordering::SeqCst);
                drop(slot);
            })
        }).collect();
        for task in tasks {
            task.await.unwrap();
        }
        assert!(max_running.load(Ordering::SeqCst) <= 3, "{max_running:?} requests ran in 3 slots");
        assert_eq!(service(&fleet).counters.in_flight.load(Ordering::SeqCst), 0);
    }

    async disconnected_callers_leave_the_queue: "a caller that disconnected but still occupies the queue or a slot" => {
        let fleet = Arc::new(fleet(1));
        let (gate, facts) = gate(&fleet);
        let (_, slot) = gate.admit(&fleet, service(&fleet), &facts).await.unwrap();
        for _ in 0..20 {
            let waiting = gate.admit(&fleet, service(&fleet), &facts);
            assert!(tokio::time::timeout(Duration::from_millis(1), waiting).await.is_err());
        }
        drop(slot);
        let (trace, _slot) = gate.admit(&fleet, service(&fleet), &facts).await.unwrap();
        assert_eq!(trace.queue_length, 0, "the dropped requests still wait");
    }
}
