//! Callers known to an entry, by name and by key.

use std::sync::Arc;

use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::keys::CallerKey;

/// Bounded table of callers. When it is full, adding a caller removes the oldest one, whose
/// key is no longer valid.
#[derive(Debug)]
pub struct CallerTable {
    names: SlotMap<CallerKey, Arc<str>>,
    keys: IndexMap<Arc<str>, CallerKey>,
    capacity: usize,
}

impl CallerTable {
    /// Creates a table for at most `capacity` callers.
    pub fn new(capacity: usize) -> Self {
        Self { names: SlotMap::with_key(), keys: IndexMap::new(), capacity: capacity.max(1) }
    }

    /// Returns the key of a caller. Adds the caller if it is new.
    pub fn intern(&mut self, name: &str) -> CallerKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        if self.keys.len() == self.capacity
            && let Some((_, oldest)) = self.keys.shift_remove_index(0)
        {
            self.names.remove(oldest);
        }
        let name: Arc<str> = name.into();
        let key = self.names.insert(name.clone());
        self.keys.insert(name, key);
        key
    }

    /// Returns the name of a caller that is still in the table.
    pub fn name(&self, key: CallerKey) -> Option<Arc<str>> {
        self.names.get(key).cloned()
    }
}
