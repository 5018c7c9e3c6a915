//! Division of the targets of a service into parts.

use std::sync::Arc;

use slotmap::SlotMap;

use super::{part_count, part_data_centres, part_of};
use crate::fleet::{ServiceSnapshot, TargetSnapshot};
use crate::keys::TargetKey;
use crate::policy::hash_address;

impl ServiceSnapshot {
    /// Returns the groups of targets that are compared with each other: its parts, or the whole
    /// service if it has none.
    pub fn groups(&self) -> &[Self] {
        if self.parts.is_empty() { std::slice::from_ref(self) } else { &self.parts }
    }

    /// Returns the group that a target belongs to.
    pub fn group_of(&self, target: &TargetSnapshot) -> &Self {
        self.part(Some(self.part_of_target(target)))
    }

    fn part_of_target(&self, target: &TargetSnapshot) -> u16 {
        let count = self.parts.len() as u16;
        part_of_target(target, &self.part_data_centres, count)
    }

    /// Divides the service into parts. Keeps the counters of those before, unless their number
    /// or their data centres change.
    pub(crate) fn divide(
        &mut self,
        targets: &SlotMap<TargetKey, TargetSnapshot>,
        by_data_centre: bool,
    ) {
        let members = || self.targets.iter().map(|key| &targets[*key]);
        let data_centres = match by_data_centre && self.table.is_coordinated {
            true => part_data_centres(members().map(|target| &target.data_centre)),
            false => Arc::default(),
        };
        let count = match data_centres.len() {
            0 => part_count(self.targets.len()),
            count => count as u16,
        };
        if count == 1 || !self.table.is_coordinated {
            self.parts = Arc::default();
            self.part_data_centres = Arc::default();
            return;
        }
        let part_of_key = |key: &TargetKey| part_of_target(&targets[*key], &data_centres, count);
        let is_same_division = self.part_data_centres == data_centres;
        let keeps_counters = is_same_division && self.parts.len() == usize::from(count);
        let tables = self.table.split(&data_centres, count);
        let parts = tables.into_iter().zip(0..).map(|(table, part)| Self {
            targets: self.targets.iter().copied().filter(|key| part_of_key(key) == part).collect(),
            counters: match keeps_counters {
                true => self.parts[usize::from(part)].counters.clone(),
                false => Arc::default(),
            },
            table: Arc::new(table),
            parts: Arc::default(),
            part_data_centres: Arc::default(),
            ..self.clone()
        });
        self.parts = parts.collect();
        self.part_data_centres = data_centres;
    }
}

/// Returns the part, one of `count`, that a target belongs to: that of its data centre, or that of
/// the hash of its address if the parts are not divided by data centre.
fn part_of_target(target: &TargetSnapshot, data_centres: &[Arc<str>], count: u16) -> u16 {
    let position = data_centres.iter().position(|name| *name == target.data_centre);
    let by_address = || part_of(hash_address(target.address), count);
    position.map_or_else(by_address, |position| position as u16)
}
