//! Callers known to an entry, by name and by key.

use std::sync::Arc;

use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::keys::CallerKey;

/// A bounded table of callers. When it is full, the oldest caller makes room;
/// its key then finds nothing.
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

    /// Finds the key of a caller, adding the caller if it is new.
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

    /// Gives the name of a caller that is still known.
    pub fn name(&self, key: CallerKey) -> Option<Arc<str>> {
        self.names.get(key).cloned()
    }
}
