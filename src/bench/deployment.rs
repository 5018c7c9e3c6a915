//! Sizes of the two deployments that the benchmarks start on loopback.

use std::time::Duration;

/// Size and workload of one service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServiceProfile {
    /// Service name.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Mean service time, in milliseconds: how long a request occupies a slot.
    pub mean_service_time_ms: u64,
    /// Rank of the requests.
    pub rank: u8,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
}

/// Entries, targets and services of an operator.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of entries behind the platform's balancer.
    pub entries: usize,
    /// Number of slots of each target.
    pub slots: u32,
    /// Time that a probe occupies a slot, in milliseconds.
    pub probe_cost_ms: u64,
    /// Services of the operator.
    pub services: &'static [ServiceProfile],
}

/// The co-operative: 35 targets with 3 slots each, 15 entries.
pub const CO_OPERATIVE: Deployment = Deployment {
    name: "co-operative",
    entries: 15,
    slots: 3,
    probe_cost_ms: 1,
    services: &[
        ServiceProfile {
            name: "pump-history",
            targets: 15,
            mean_service_time_ms: 16,
            rank: 0,
            idempotent: true,
        },
        ServiceProfile {
            name: "visit-ledger",
            targets: 8,
            mean_service_time_ms: 24,
            rank: 1,
            idempotent: false,
        },
        ServiceProfile {
            name: "media-intake",
            targets: 6,
            mean_service_time_ms: 60,
            rank: 2,
            idempotent: false,
        },
        ServiceProfile {
            name: "storm-status",
            targets: 6,
            mean_service_time_ms: 10,
            rank: 0,
            idempotent: true,
        },
    ],
};

/// Poteca: 42 of its about 45 targets with 4 slots each, 15 entries, 6 ms for a probe.
pub const POTECA: Deployment = Deployment {
    name: "poteca",
    entries: 15,
    slots: 4,
    probe_cost_ms: 6,
    services: &[
        ServiceProfile {
            name: "calendar",
            targets: 20,
            mean_service_time_ms: 16,
            rank: 0,
            idempotent: true,
        },
        ServiceProfile {
            name: "roster-sign-up",
            targets: 10,
            mean_service_time_ms: 24,
            rank: 1,
            idempotent: false,
        },
        ServiceProfile {
            name: "photo-archive",
            targets: 6,
            mean_service_time_ms: 60,
            rank: 2,
            idempotent: false,
        },
        ServiceProfile {
            name: "tool-inventory",
            targets: 6,
            mean_service_time_ms: 16,
            rank: 0,
            idempotent: true,
        },
    ],
};

impl ServiceProfile {
    /// Returns the requests per second at which targets with `slots` slots have the given
    /// `utilisation`, a fraction.
    pub fn request_rate(&self, slots: u32, utilisation: f64) -> f64 {
        let capacity = (self.targets as u32 * slots) as f64;
        utilisation * capacity / self.mean_service_time().as_secs_f64()
    }

    /// Returns the mean service time.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_millis(self.mean_service_time_ms)
    }
}
