//! Model of the platform's store, with the responses that the platform's client returns.

use indexmap::IndexMap;
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, StoreRevision,
};

/// Number of restores, lost histories and lists of a store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreCounts {
    pub restores: usize,
    pub lost_histories: usize,
    pub lists: usize,
}

#[derive(Clone, Debug)]
struct StoredObject {
    part: DirectoryPart,
    revision: u64,
    item: DirectoryItem,
}

#[derive(Clone, Debug, Default)]
struct StoreCopy {
    number: u64,
    objects: IndexMap<String, StoredObject>,
}

/// Which revisions a restored store gives out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Numbering {
    /// Any of those that it had given out, also to the same object.
    Repeated,
    /// Lower ones than before, but none that the same object had in an earlier era.
    Distinct,
}

/// Number of eras in which no object gets a revision that it had in another one, if numbers are
/// distinct. Exceeds the number of steps of a world.
const DISTINCT_ERAS: u64 = 64;

/// Store that can be restored from a copy of each state that it had.
#[derive(Debug)]
pub struct RestoredStore {
    era: u64,
    numbering: Numbering,
    state: StoreCopy,
    /// Earlier states, the oldest first.
    copies: Vec<StoreCopy>,
    events: Vec<(DirectoryPart, DirectoryChange)>,
    /// Revision after which all events are kept.
    kept_since: u64,
    pub counts: StoreCounts,
}

impl RestoredStore {
    pub fn new(era: u64, numbering: Numbering) -> Self {
        Self {
            era,
            numbering,
            state: StoreCopy::default(),
            copies: Vec::new(),
            events: Vec::new(),
            kept_since: 0,
            counts: StoreCounts::default(),
        }
    }

    /// Returns the content of an object.
    pub fn item(&self, name: &str) -> Option<&DirectoryItem> {
        self.state.objects.get(name).map(|object| &object.item)
    }

    /// Writes an object, or removes it if there is no content.
    pub fn write(&mut self, part: DirectoryPart, name: &str, item: Option<DirectoryItem>) {
        if item.is_none() && !self.state.objects.contains_key(name) {
            return;
        }
        self.raise(1);
        if self.numbering == Numbering::Distinct {
            let remainder = self.state.number.saturating_sub(self.era) % DISTINCT_ERAS;
            self.state.number = self.state.number.max(self.era);
            self.state.number += (DISTINCT_ERAS - remainder) % DISTINCT_ERAS;
        }
        let revision = self.state.number;
        match item.clone() {
            Some(item) => {
                let object = StoredObject { part, revision, item };
                self.state.objects.insert(name.to_owned(), object);
            }
            None => {
                self.state.objects.shift_remove(name);
            }
        }
        self.events.push((part, DirectoryChange { name: name.to_owned(), revision, item }));
    }

    /// Replaces content without a new revision, as a target does that repeats its state.
    pub fn repeat(&mut self, name: &str, item: DirectoryItem) {
        if let Some(object) = self.state.objects.get_mut(name) {
            object.item = item;
        }
    }

    /// Raises the counter by writes of other kinds.
    pub fn raise(&mut self, count: u64) {
        self.copies.push(self.state.clone());
        self.state.number += count;
    }

    /// Comes back from the copy that was made before the last `writes` writes.
    pub fn restore(&mut self, writes: usize) {
        let Some(index) = self.copies.len().checked_sub(writes.max(1)) else { return };
        self.state = self.copies[index].clone();
        self.copies.truncate(index);
        self.era += 1;
        self.counts.restores += 1;
        self.drop_events();
    }

    /// Discards all events.
    pub fn lose_history(&mut self) {
        self.counts.lost_histories += 1;
        self.drop_events();
    }

    fn drop_events(&mut self) {
        self.events.clear();
        self.kept_since = self.state.number;
    }

    /// Returns all objects of a part.
    pub fn list(&mut self, part: DirectoryPart) -> DirectoryBatch {
        self.counts.lists += 1;
        let objects = self.state.objects.iter().filter(|(_, object)| object.part == part);
        let changes = objects.map(|(name, object)| {
            let item = Some(object.item.clone());
            DirectoryChange { name: name.clone(), revision: object.revision, item }
        });
        DirectoryBatch { era: self.era, revision: self.state.number, changes: changes.collect() }
    }

    /// Returns the changes of a part after a revision, or `None` if they are gone or the revision
    /// is of another era.
    pub fn watch(&self, part: DirectoryPart, after: StoreRevision) -> Option<DirectoryBatch> {
        if after.era != self.era || after.number < self.kept_since {
            return None;
        }
        let events = self
            .events
            .iter()
            .filter(|(event_part, change)| *event_part == part && change.revision > after.number);
        let changes = events.map(|(_, change)| change.clone()).collect();
        Some(DirectoryBatch { era: self.era, revision: self.state.number, changes })
    }
}
