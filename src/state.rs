//! State that filters and controllers share: snapshots behind read-copy-update.

use std::sync::Arc;

use arc_swap::ArcSwap;
use zinniaport_core::clock::ClockSource;
use zinniaport_core::fleet::FleetSnapshot;

/// Snapshots that controllers publish and the request path reads without locks.
pub struct SharedState {
    /// Services and targets.
    pub fleet: ArcSwap<FleetSnapshot>,
    /// Clock of this entry.
    pub clock: Arc<dyn ClockSource>,
    /// Name of this entry.
    pub entry_name: Arc<str>,
    /// Data centre of this entry.
    pub data_centre: Arc<str>,
}

impl SharedState {
    /// Creates state with an empty fleet.
    pub fn new(clock: Arc<dyn ClockSource>, entry_name: &str, data_centre: &str) -> Self {
        Self {
            fleet: ArcSwap::default(),
            clock,
            entry_name: entry_name.into(),
            data_centre: data_centre.into(),
        }
    }
}
