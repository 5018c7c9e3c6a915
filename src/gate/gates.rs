//! The admission gates of all services.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use zinniaport_core::admission::WaitingTenants;
use zinniaport_core::clock::ClockSource;
use zinniaport_core::fleet::ServiceSnapshot;
use zinniaport_core::placement::PartKey;

use super::admission::AdmissionGate;

/// The admission gates of all services and parts, created on demand.
pub struct AdmissionGates {
    clock: Arc<dyn ClockSource>,
    admissions: Arc<AtomicU64>,
    gates: ArcSwap<HashMap<PartKey, Arc<AdmissionGate>>>,
}

impl AdmissionGates {
    /// Creates an empty set of gates.
    pub fn new(clock: Arc<dyn ClockSource>) -> Self {
        Self { clock, admissions: Arc::default(), gates: ArcSwap::default() }
    }

    /// Returns the gate of a service or a part, which the first request for it creates. If the
    /// service has been divided otherwise since, a new gate takes the place of the one before,
    /// whose requests leave it as its slots become free.
    pub fn get_or_create(&self, key: PartKey, service: &ServiceSnapshot) -> Arc<AdmissionGate> {
        let is_current = |gate: &Arc<AdmissionGate>| gate.has_counters(&service.counters);
        if let Some(gate) = self.gates.load().get(&key).filter(|gate| is_current(gate)) {
            return gate.clone();
        }
        let (clock, counters) = (self.clock.clone(), service.counters.clone());
        let created = Arc::new(AdmissionGate::new(clock, counters, self.admissions.clone()));
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            if !gates.get(&key).is_some_and(is_current) {
                gates.insert(key, created.clone());
            }
            gates
        });
        self.gates.load().get(&key).cloned().unwrap_or(created)
    }

    /// Returns the largest numbers of tenants with waiting requests, and of waiting requests of
    /// one tenant, at one service.
    pub fn waiting_tenants(&self) -> WaitingTenants {
        let gates = self.gates.load();
        let waiting = gates.values().map(|gate| gate.waiting_tenants());
        waiting.fold(WaitingTenants::default(), |most, other| WaitingTenants {
            count: most.count.max(other.count),
            largest: most.largest.max(other.largest),
        })
    }

    /// Admits waiting requests of all services that now find a free slot, and refuses those
    /// that can no longer be served before their deadline.
    pub fn refresh(&self) {
        for gate in self.gates.load().values() {
            gate.refresh();
        }
    }
}
