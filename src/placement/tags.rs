//! Tags that identify targets and services between entries, whose arena keys differ.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use indexmap::IndexSet;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::keys::{KindKey, ServiceKey, TargetKey};
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
    kinds: HashMap<(ServiceKey, KindTag), KindKey>,
    kind_tags: HashMap<(ServiceKey, KindKey), KindTag>,
}

impl TagTable {
    fn new(fleet: Arc<FleetSnapshot>) -> Self {
        let tags = fleet.targets.iter().map(|(key, target)| (key, TargetTag::of(target)));
        let tags: HashMap<_, _> = tags.collect();
        let targets = tags.iter().map(|(key, tag)| (*tag, *key)).collect();
        let mut table = Self { targets, tags, ..Self::default() };
        for (key, service) in &fleet.services {
            for (kind, intent) in service.kinds.iter() {
                let tag = KindTag::of(&intent.name);
                table.kinds.insert((key, tag), kind);
                table.kind_tags.insert((key, kind), tag);
            }
        }
        for (name, service) in &fleet.service_keys {
            let Some(snapshot) = fleet.services.get(*service) else { continue };
            let divided_by_address = snapshot.part_data_centres.is_empty();
            let count = if divided_by_address { snapshot.parts.len() as u16 } else { 0 };
            table.add_service(name, *service, count);
            table.add_data_centres(name, *service, snapshot, &fleet);
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

    /// Adds the tags of the parts by data centre. While an entry does not divide a service by data
    /// centre and another one does, requests of the latter for a part are placed in the service
    /// or in one of its parts by address.
    fn add_data_centres(
        &mut self,
        name: &str,
        service: ServiceKey,
        snapshot: &ServiceSnapshot,
        fleet: &FleetSnapshot,
    ) {
        let targets = snapshot.targets.iter().filter_map(|key| fleet.targets.get(*key));
        let names: IndexSet<_> = targets.map(|target| &target.data_centre).collect();
        for (data_centre, position) in names.into_iter().zip(0_u16..) {
            let tag = ServiceTag::of_data_centre(name, data_centre);
            let own = snapshot.part_data_centres.iter().position(|own| own == data_centre);
            let by_address =
                (!snapshot.parts.is_empty()).then(|| position % snapshot.parts.len().max(1) as u16);
            let part = PartKey { service, part: own.map(|own| own as u16).or(by_address) };
            self.parts.insert(tag, part);
            if own.is_some() {
                self.part_tags.insert(part, tag);
            }
        }
    }

    /// Returns the service or part that a request with this tag is for.
    pub(super) fn part(&self, tag: ServiceTag) -> Option<PartKey> {
        self.parts.get(&tag).copied()
    }

    /// Returns the tag of a kind, or the default tag if there is no such kind.
    pub(super) fn tag_of_kind(&self, service: ServiceKey, kind: KindKey) -> KindTag {
        self.kind_tags.get(&(service, kind)).copied().unwrap_or_default()
    }

    /// Returns the kind with this tag, or the null key if this entry does not know it.
    pub(super) fn kind(&self, service: ServiceKey, tag: KindTag) -> KindKey {
        self.kinds.get(&(service, tag)).copied().unwrap_or_default()
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
