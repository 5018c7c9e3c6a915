//! Tags that identify targets and services between entries, whose arena keys differ.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use zinniaport_core::call::UNKNOWN_KIND;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::keys::{ServiceKey, TargetKey};
use zinniaport_core::placement::{KindTag, PartKey, part_tag};
use zinniaport_core::signals::{ServiceTag, TargetTag};

/// Tags and keys of the targets and services of one snapshot.
#[derive(Default)]
pub(super) struct TagTable {
    pub(super) fleet: Arc<FleetSnapshot>,
    targets: HashMap<TargetTag, TargetKey>,
    parts: HashMap<ServiceTag, PartKey>,
    part_tags: HashMap<PartKey, ServiceTag>,
    tags: HashMap<TargetKey, TargetTag>,
    /// Tags of the kinds of each service, in the order of its intent.
    kinds: HashMap<ServiceKey, Vec<KindTag>>,
}

impl TagTable {
    fn new(fleet: Arc<FleetSnapshot>) -> Self {
        let tags = fleet.targets.iter().map(|(key, target)| (key, TargetTag::of(target)));
        let tags: HashMap<_, _> = tags.collect();
        let targets = tags.iter().map(|(key, tag)| (*tag, *key)).collect();
        let mut table = Self { targets, tags, ..Self::default() };
        for (key, service) in &fleet.services {
            let kinds = service.intent.kinds.iter().map(|kind| KindTag::of(&kind.name)).collect();
            table.kinds.insert(key, kinds);
        }
        for (name, service) in &fleet.service_keys {
            let count =
                fleet.services.get(*service).map_or(0, |service| service.parts.len() as u16);
            table.add_service(name, *service, count);
        }
        Self { fleet, ..table }
    }

    pub(super) fn target(&self, tag: TargetTag) -> Option<TargetKey> {
        self.targets.get(&tag).copied()
    }

    /// Adds the tags of a service and its `count` parts. Those of half and twice as many parts
    /// are understood too, since entries may learn of further targets at different times.
    fn add_service(&mut self, name: &str, service: ServiceKey, count: u16) {
        let whole = PartKey::from(service);
        self.parts.insert(ServiceTag::of(name), whole);
        self.part_tags.insert(whole, ServiceTag::of(name));
        for other in [count / 2, count.saturating_mul(2), count] {
            for index in 0..other {
                let part = (u32::from(index) * u32::from(count) / u32::from(other)) as u16;
                let (part, tag) =
                    (PartKey { service, part: Some(part) }, part_tag(name, index, other));
                self.parts.insert(tag, part);
                self.part_tags.insert(part, tag);
            }
        }
    }

    /// Returns the service or part that a request with this tag is for.
    pub(super) fn part(&self, tag: ServiceTag) -> Option<PartKey> {
        self.parts.get(&tag).copied()
    }

    /// Returns the tag of a kind, or the default tag if there is no such kind.
    pub(super) fn tag_of_kind(&self, service: ServiceKey, kind: usize) -> KindTag {
        self.kinds.get(&service).and_then(|kinds| kinds.get(kind)).copied().unwrap_or_default()
    }

    /// Returns the index of the kind with this tag, or [`UNKNOWN_KIND`].
    pub(super) fn kind(&self, service: ServiceKey, tag: KindTag) -> usize {
        let kinds = self.kinds.get(&service);
        kinds.and_then(|kinds| kinds.iter().position(|kind| *kind == tag)).unwrap_or(UNKNOWN_KIND)
    }

    pub(super) fn tag_of_part(&self, part: PartKey) -> Option<ServiceTag> {
        self.part_tags.get(&part).copied()
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
