//! What the coordinator of a part announces of its admission gate.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use zinniaport_core::fleet::{ServiceCounters, ServiceSnapshot};
use zinniaport_core::placement::PartHeadroom;
use zinniaport_core::signals::ServiceTag;

use super::admission::AdmissionGate;

impl AdmissionGate {
    /// Returns `true` if the gate was created for these counters.
    pub(super) fn has_counters(&self, counters: &Arc<ServiceCounters>) -> bool {
        Arc::ptr_eq(&self.counters, counters)
    }

    /// Returns the headroom of a part, without its tag.
    pub fn announced_headroom(&self, part: &ServiceSnapshot) -> PartHeadroom {
        let admitted = self.counters.in_flight.load(Ordering::SeqCst);
        let headroom = self.headroom(&part.table, admitted);
        let clamp = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
        PartHeadroom {
            part: ServiceTag::default(),
            free: clamp(headroom.free),
            waiting: clamp(self.waiting.load(Ordering::SeqCst)),
            usable: clamp(headroom.usable),
            service_time_ms: clamp(self.nominal_service_time().as_millis() as u32),
        }
    }
}
