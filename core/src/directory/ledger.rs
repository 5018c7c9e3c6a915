//! Newest known state of one part of a directory, also after the store came back from an older
//! copy.
//!
//! The first list of an era shows the state of the copy, and what has been written since. State
//! that is newer than the copy stays in force until its writer has written again.

use std::collections::{HashSet, VecDeque};

use indexmap::IndexMap;

use super::{
    BatchOrigin, DirectoryBatch, DirectoryChange, DirectoryItem, RegisteredTarget, StoreRevision,
    WriterOrder,
};

/// Removals kept; the oldest are dropped first.
const MAX_REMOVED: usize = 1024;

/// Lists after a lost history that are remembered. Entries lag by a few seconds at most.
const MAX_GAPS: usize = 16;

/// What is known of one object.
#[derive(Clone, Debug)]
struct ObjectRecord {
    /// Revision of the last change, in the era of the ledger for each object that exists.
    position: StoreRevision,
    /// Newest content; `None` if the object was removed.
    item: Option<DirectoryItem>,
    /// Content of a removed object before its removal.
    removed_item: Option<DirectoryItem>,
    /// Position of the newest content that was known, also of a removed object.
    order: Option<WriterOrder>,
    /// Revision at which that content was written.
    written: StoreRevision,
    /// Whether the content is from an earlier era and has not been written again.
    is_carried: bool,
}

impl ObjectRecord {
    /// Returns the record of an object that was written or removed at a revision.
    fn written_at(
        position: StoreRevision,
        item: Option<DirectoryItem>,
        known: Option<&Self>,
    ) -> Self {
        let is_carried = false;
        match (item, known) {
            (Some(item), _) => {
                let (order, written) = (item.writer_order(), position);
                let (item, removed_item) = (Some(item), None);
                Self { position, item, removed_item, order, written, is_carried }
            }
            (None, Some(known)) => {
                let removed_item = known.item.clone().or_else(|| known.removed_item.clone());
                Self { position, item: None, removed_item, is_carried, ..known.clone() }
            }
            (None, None) => {
                let (item, removed_item, order, written) = (None, None, None, position);
                Self { position, item, removed_item, order, written, is_carried }
            }
        }
    }

    /// Returns the record of an object that keeps its content although a copy has it at a revision
    /// of the current era, with content of the given order.
    fn carried_to(&self, position: StoreRevision, order: Option<WriterOrder>) -> Self {
        // What the copy has of a removed object is no news if it is listed again.
        let order = if self.item.is_none() { self.order.max(order) } else { self.order };
        Self { position, order, is_carried: true, ..self.clone() }
    }

    /// Returns `true` if the content of a change is older than what is known although its revision
    /// is higher. If it is listed for the first time in an era, it may be as old as the copy; later,
    /// only an object that its writer has not written again can be touched by another writer.
    fn outdates(&self, change: &DirectoryChange, may_be_copied: bool) -> bool {
        let order = change.item.as_ref().and_then(DirectoryItem::writer_order);
        let (Some(order), Some(known_order)) = (order, self.order) else { return false };
        if !may_be_copied {
            let is_usable = change.item != Some(DirectoryItem::Unusable);
            return self.is_carried && is_usable && order < known_order;
        }
        // A registration keeps its revision while its target only raises its sequence, so that of a
        // target that was removed may have a higher sequence in the copy than was known.
        let has_number = change.revision == self.written.number;
        let is_copy = order == known_order || (has_number && self.repeats_removed(change));
        order < known_order || (self.item.is_none() && is_copy)
    }

    /// Returns `true` if a change has the content that a removed object had, apart from the
    /// sequence of a target.
    fn repeats_removed(&self, change: &DirectoryChange) -> bool {
        match (&change.item, &self.removed_item) {
            (Some(DirectoryItem::Target(target)), Some(DirectoryItem::Target(removed))) => {
                *target == RegisteredTarget { sequence: target.sequence, ..removed.clone() }
            }
            (item, removed_item) => item == removed_item,
        }
    }

    /// Returns `true` if a list has newer content at the revision that is known: the target of a
    /// registration that was taken for removed goes on to report, or a peer has kept what the
    /// store lost before this entry listed it.
    fn is_newer_at(
        &self,
        position: StoreRevision,
        order: Option<WriterOrder>,
        origin: BatchOrigin,
    ) -> bool {
        let is_withheld = self.is_carried && self.item.is_none();
        let counts = match origin {
            BatchOrigin::Listed => is_withheld,
            BatchOrigin::ListedByPeer => true,
            BatchOrigin::Watched | BatchOrigin::WatchedByPeer => false,
        };
        counts && self.position == position && order > self.order
    }
}

/// Newest known state of one part of a directory.
#[derive(Debug, Default)]
pub struct PartLedger {
    records: IndexMap<String, ObjectRecord>,
    /// Revision up to which the records are complete.
    position: StoreRevision,
    /// Revision after which no change is missing; `None` before the first list.
    complete_since: Option<StoreRevision>,
    /// Revisions between which changes may be missing, each before a list that replaced a lost
    /// history. An entry that read the store in between may know an object that was removed again.
    gaps: VecDeque<(StoreRevision, StoreRevision)>,
}

impl PartLedger {
    /// Returns the revision up to which the records are complete.
    pub fn position(&self) -> StoreRevision {
        self.position
    }

    /// Returns `true` if the ledger can tell all changes after a revision.
    pub fn covers(&self, after: StoreRevision) -> bool {
        let is_missing =
            |(from, until): &(StoreRevision, StoreRevision)| after > *from && after < *until;
        self.complete_since.is_some_and(|since| after >= since)
            && after.era == self.position.era
            && !self.gaps.iter().any(is_missing)
    }

    /// Returns `true` if there are changes after a revision.
    pub fn has_changes(&self, after: StoreRevision) -> bool {
        self.records.values().any(|record| record.position > after)
    }

    /// Returns the changes after a revision, or all objects, oldest first.
    pub fn batch(&self, after: Option<StoreRevision>) -> DirectoryBatch {
        let is_wanted = |(_, record): &(&String, &ObjectRecord)| match after {
            Some(after) => record.position > after,
            None => record.item.is_some(),
        };
        let wanted = self.records.iter().filter(is_wanted);
        let change = |(name, record): (&String, &ObjectRecord)| DirectoryChange {
            name: name.clone(),
            revision: record.position.number,
            item: record.item.clone(),
        };
        let mut changes: Vec<_> = wanted.map(change).collect();
        changes.sort_by_key(|change| change.revision);
        let StoreRevision { era, number: revision } = self.position;
        DirectoryBatch { era, revision, changes }
    }

    /// Applies a batch and replaces outdated content in it by what is in force. Returns `false` if
    /// the batch changes nothing because the store has come back from an older copy since, or
    /// because it holds only the changes of an era of which nothing has been listed.
    pub fn apply(&mut self, batch: &mut DirectoryBatch, origin: BatchOrigin) -> bool {
        let is_list = origin.is_list();
        let starts_era = batch.era > self.position.era;
        if batch.era < self.position.era || (starts_era && !is_list && self.is_complete()) {
            return false;
        }
        if is_list {
            self.remove_unlisted(batch, starts_era);
            self.record_list(batch.position(), starts_era);
        }
        let position = batch.position();
        for change in &mut batch.changes {
            self.apply_change(change, position, origin);
        }
        self.position = self.position.max(batch.position());
        self.drop_old_removals();
        true
    }

    /// Applies a change of a batch that is complete up to `batch_position`, and replaces it by what
    /// is in force.
    fn apply_change(
        &mut self,
        change: &mut DirectoryChange,
        batch_position: StoreRevision,
        origin: BatchOrigin,
    ) {
        let at_number = |number| StoreRevision { number, ..batch_position };
        let order = change.item.as_ref().and_then(DirectoryItem::writer_order);
        let mut position = at_number(change.revision);
        let known = self.records.get(&change.name);
        let is_newer = known.is_some_and(|known| known.is_newer_at(position, order, origin));
        if is_newer {
            // A higher revision, so that the entries which read from this one get it.
            position = batch_position;
        } else if let Some(known) = known.filter(|known| known.position >= position) {
            change.revision = known.position.number;
            change.item.clone_from(&known.item);
            return;
        }
        let is_outdated = |known: &&ObjectRecord| {
            let may_be_copied = origin.is_list() && known.position.era < position.era;
            !is_newer && known.outdates(change, may_be_copied)
        };
        let record = match known.filter(is_outdated) {
            Some(known) => known.carried_to(position, order),
            None => ObjectRecord::written_at(position, change.item.clone(), known),
        };
        change.revision = position.number;
        change.item.clone_from(&record.item);
        self.records.insert(change.name.clone(), record);
    }

    /// Returns `true` once all objects are known.
    pub fn is_complete(&self) -> bool {
        self.complete_since.is_some()
    }

    /// Records that all objects are known as of a revision.
    fn record_list(&mut self, position: StoreRevision, starts_era: bool) {
        if starts_era || !self.is_complete() {
            self.gaps.clear();
            self.complete_since = Some(position);
        } else if position > self.position {
            self.gaps.push_back((self.position, position));
        }
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.pop_front().map(|(_, until)| until);
            self.complete_since = self.complete_since.max(oldest);
        }
    }

    /// Records the removal of objects that a list no longer contains. The first list of an era
    /// proves nothing of a configuration that was written after the copy was made, which stays.
    fn remove_unlisted(&mut self, batch: &mut DirectoryBatch, starts_era: bool) {
        let position = batch.position();
        let listed: HashSet<&str> =
            batch.changes.iter().map(|change| change.name.as_str()).collect();
        let unlisted = self.records.iter_mut().filter(|(name, record)| {
            record.item.is_some() && record.position <= position && !listed.contains(name.as_str())
        });
        let mut carried = Vec::new();
        for (name, record) in unlisted {
            record.position = position;
            if starts_era && let Some(DirectoryItem::Configuration(_)) = &record.item {
                record.is_carried = true;
                let (name, item) = (name.clone(), record.item.clone());
                carried.push(DirectoryChange { name, revision: position.number, item });
                continue;
            }
            record.removed_item = record.item.take();
            record.is_carried = starts_era;
        }
        batch.changes.extend(carried);
    }

    fn drop_old_removals(&mut self) {
        let removed = self.records.values().filter(|record| record.item.is_none());
        let mut positions: Vec<StoreRevision> = removed.map(|record| record.position).collect();
        let Some(excess) = positions.len().checked_sub(MAX_REMOVED).filter(|excess| *excess > 0)
        else {
            return;
        };
        positions.sort_unstable();
        let oldest = positions[excess - 1];
        self.records.retain(|_, record| record.item.is_some() || record.position > oldest);
        self.complete_since = self.complete_since.map(|since| since.max(oldest));
    }
}
