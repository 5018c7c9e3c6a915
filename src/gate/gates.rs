//! The admission gates of all services.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use zinniaport_core::clock::ClockSource;
use zinniaport_core::fleet::ServiceSnapshot;
use zinniaport_core::keys::ServiceKey;

use super::admission::AdmissionGate;

/// The gates of all services.
pub struct AdmissionGates {
    clock: Arc<dyn ClockSource>,
    admissions: Arc<AtomicU64>,
    gates: ArcSwap<HashMap<ServiceKey, Arc<AdmissionGate>>>,
}

impl AdmissionGates {
    /// Creates gates on demand.
    pub fn new(clock: Arc<dyn ClockSource>) -> Self {
        Self { clock, admissions: Arc::default(), gates: ArcSwap::default() }
    }

    /// Finds the gate of a service; the first request for a service adds it.
    pub fn get_or_create(&self, key: ServiceKey, service: &ServiceSnapshot) -> Arc<AdmissionGate> {
        if let Some(gate) = self.gates.load().get(&key) {
            return gate.clone();
        }
        let (clock, counters) = (self.clock.clone(), service.counters.clone());
        let created = Arc::new(AdmissionGate::new(clock, counters, self.admissions.clone()));
        self.gates.rcu(|gates| {
            let mut gates = HashMap::clone(gates);
            gates.entry(key).or_insert_with(|| created.clone());
            gates
        });
        self.gates.load().get(&key).cloned().unwrap_or(created)
    }

    /// Looks again for room for all requests that wait, and refuses those that cannot
    /// be served any more.
    pub fn refresh(&self) {
        for gate in self.gates.load().values() {
            gate.refresh();
        }
    }
}
