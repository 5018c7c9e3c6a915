//! Tags that identify targets and services between entries, whose arena keys differ.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::keys::{ServiceKey, TargetKey};
use zinniaport_core::signals::{ServiceTag, TargetTag};

/// Tags and keys of the targets and services of one snapshot.
#[derive(Default)]
pub(super) struct TagTable {
    pub(super) fleet: Arc<FleetSnapshot>,
    targets: HashMap<TargetTag, TargetKey>,
    services: HashMap<ServiceTag, ServiceKey>,
    tags: HashMap<TargetKey, TargetTag>,
}

impl TagTable {
    fn new(fleet: Arc<FleetSnapshot>) -> Self {
        let tags = fleet.targets.iter().map(|(key, target)| (key, TargetTag::of(target)));
        let tags: HashMap<_, _> = tags.collect();
        let targets = tags.iter().map(|(key, tag)| (*tag, *key)).collect();
        let services = fleet.service_keys.iter().map(|(name, key)| (ServiceTag::of(name), *key));
        Self { targets, services: services.collect(), tags, fleet }
    }

    pub(super) fn target(&self, tag: TargetTag) -> Option<TargetKey> {
        self.targets.get(&tag).copied()
    }

    pub(super) fn service(&self, tag: ServiceTag) -> Option<ServiceKey> {
        self.services.get(&tag).copied()
    }

    pub(super) fn tag_of(&self, target: TargetKey) -> Option<TargetTag> {
        self.tags.get(&target).copied()
    }
}

/// Cached table of the newest snapshot.
#[derive(Default)]
pub(super) struct TagCache(ArcSwap<TagTable>);

impl TagCache {
    /// Returns the table of a snapshot. If it is not the cached one, it replaces that one.
    pub(super) fn table_for(&self, fleet: &Arc<FleetSnapshot>) -> Arc<TagTable> {
        let table = self.0.load_full();
        if Arc::ptr_eq(&table.fleet, fleet) {
            return table;
        }
        let table = Arc::new(TagTable::new(fleet.clone()));
        self.0.store(table.clone());
        table
    }
}
