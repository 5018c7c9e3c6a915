//! Shapes of the two deployments.

use std::time::Duration;

/// One service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: &'static str,
    /// Number of its targets.
    pub targets: usize,
    /// Mean time that a request holds a slot, in milliseconds.
    pub mean_service_ms: u64,
    /// Rank of its requests.
    pub rank: u8,
    /// Whether its requests are idempotent.
    pub idempotent: bool,
}

/// The servers of an operator.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name used on the command line.
    pub name: &'static str,
    /// Entries behind the platform's balancer.
    pub entries: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Slot time of one probe, in milliseconds.
    pub probe_cost_ms: u64,
    /// Services.
    pub services: &'static [ServiceShape],
}

/// The co-operative: 35 servers of 3 slots, 15 entries.
pub const CO_OPERATIVE: Deployment = Deployment {
    name: "co-operative",
    entries: 15,
    slots: 3,
    probe_cost_ms: 1,
    services: &[
        ServiceShape {
            name: "pump-history",
            targets: 15,
            mean_service_ms: 16,
            rank: 0,
            idempotent: true,
        },
        ServiceShape {
            name: "visit-ledger",
            targets: 8,
            mean_service_ms: 24,
            rank: 1,
            idempotent: false,
        },
        ServiceShape {
            name: "media-intake",
            targets: 6,
            mean_service_ms: 60,
            rank: 2,
            idempotent: false,
        },
        ServiceShape {
            name: "storm-status",
            targets: 6,
            mean_service_ms: 10,
            rank: 0,
            idempotent: true,
        },
    ],
};

/// Poteca: 42 of its about 45 servers, 4 slots each, 15 entries, 6 ms a probe.
pub const POTECA: Deployment = Deployment {
    name: "poteca",
    entries: 15,
    slots: 4,
    probe_cost_ms: 6,
    services: &[
        ServiceShape {
            name: "calendar",
            targets: 20,
            mean_service_ms: 16,
            rank: 0,
            idempotent: true,
        },
        ServiceShape {
            name: "roster-sign-up",
            targets: 10,
            mean_service_ms: 24,
            rank: 1,
            idempotent: false,
        },
        ServiceShape {
            name: "photo-archive",
            targets: 6,
            mean_service_ms: 60,
            rank: 2,
            idempotent: false,
        },
        ServiceShape {
            name: "tool-inventory",
            targets: 6,
            mean_service_ms: 16,
            rank: 0,
            idempotent: true,
        },
    ],
};

impl ServiceShape {
    /// Gives the requests a second at which the slots are busy for `utilisation`
    /// of the time.
    pub fn rate(&self, slots: u32, utilisation: f64) -> f64 {
        let capacity = (self.targets as u32 * slots) as f64;
        utilisation * capacity / self.mean_service().as_secs_f64()
    }

    /// Gives the mean time that a request holds a slot.
    pub fn mean_service(&self) -> Duration {
        Duration::from_millis(self.mean_service_ms)
    }
}
