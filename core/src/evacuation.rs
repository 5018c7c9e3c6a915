//! Data centres whose targets take no new requests because the operator evacuates them.
//!
//! Designed for the loss of a third of the targets at once under full load, and for their
//! return, also while entries restart and responses of the store are lost or arrive late.

use indexmap::IndexMap;

use crate::directory::{DirectoryBatch, StoreRevision};

/// Greatest number of data centres that are remembered; those whose evacuation ended longest ago
/// are dropped first. A region has a few.
const MAX_REMEMBERED: usize = 1_024;

/// Start or end of an evacuation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Data centre.
    pub data_centre: String,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// Whether the data centre is evacuated from now on.
    pub is_evacuated: bool,
}

/// What is known about a data centre.
#[derive(Clone, Copy, Debug)]
struct EvacuationRecord {
    revision: StoreRevision,
    is_evacuated: bool,
}

/// Data centres that are evacuated, and those that were. A stale read never brings back an
/// earlier state.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    records: IndexMap<String, EvacuationRecord>,
}

impl EvacuationTable {
    /// Returns `true` if the targets of a data centre take no new requests.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.records.get(data_centre).is_some_and(|record| record.is_evacuated)
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.records.iter().filter(|(_, record)| record.is_evacuated);
        evacuated.map(|(name, _)| name.as_str())
    }

    /// Applies a batch, of all evacuations if it is a list. Returns the changes. If
    /// `keeps_earlier`, evacuations of earlier eras that a list lacks stay in force, as their
    /// objects may be newer than the copy from which the store came back.
    pub fn apply(
        &mut self,
        batch: &DirectoryBatch,
        is_list: bool,
        keeps_earlier: bool,
    ) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        if is_list {
            let listed = |name: &str| batch.changes.iter().any(|change| change.name == name);
            let ends = |record: &EvacuationRecord| {
                record.is_evacuated && !(keeps_earlier && record.revision.era < batch.era)
            };
            let unlisted = self.records.iter().filter(|(name, _)| !listed(name));
            let ended = unlisted.filter(|(_, record)| ends(record)).map(|(name, _)| name.clone());
            changes.extend(self.end(ended.collect(), batch.position()));
        }
        for change in &batch.changes {
            let (revision, is_evacuated) = (batch.change_position(change), change.item.is_some());
            let record = EvacuationRecord { revision, is_evacuated };
            changes.extend(self.set(&change.name, record));
        }
        changes
    }

    /// Ends the evacuations that were not listed or changed in the era of `position`. Returns the
    /// changes.
    pub fn end_unlisted(&mut self, position: StoreRevision) -> Vec<EvacuationChange> {
        let is_older = |record: &EvacuationRecord| record.revision.era < position.era;
        let records = self.records.iter();
        let ended = records.filter(|(_, record)| record.is_evacuated && is_older(record));
        let ended = ended.map(|(name, _)| name.clone()).collect();
        self.end(ended, position)
    }

    fn end(&mut self, names: Vec<String>, revision: StoreRevision) -> Vec<EvacuationChange> {
        let record = EvacuationRecord { revision, is_evacuated: false };
        names.into_iter().filter_map(|name| self.set(&name, record)).collect()
    }

    /// Records the state of a data centre unless a newer one is known. Returns the change.
    fn set(&mut self, data_centre: &str, record: EvacuationRecord) -> Option<EvacuationChange> {
        let known = self.records.get(data_centre).copied();
        if known.is_some_and(|known| known.revision >= record.revision) {
            return None;
        }
        self.records.shift_remove(data_centre);
        self.records.insert(data_centre.to_owned(), record);
        self.drop_oldest();
        let EvacuationRecord { revision, is_evacuated } = record;
        let was_evacuated = known.is_some_and(|known| known.is_evacuated);
        let data_centre = data_centre.to_owned();
        (was_evacuated != is_evacuated).then_some(EvacuationChange {
            data_centre,
            revision,
            is_evacuated,
        })
    }

    fn drop_oldest(&mut self) {
        if self.records.len() > MAX_REMEMBERED
            && let Some(oldest) = self.records.values().position(|record| !record.is_evacuated)
        {
            self.records.shift_remove_index(oldest);
        }
    }
}
