//! Order of the changes of a store that may come back from an older copy.

use derive_more::Display;

/// Revision of a store. A store that comes back from an older copy starts a new era and gives the
/// numbers out again that it had given out after the copy was made.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{era}.{number}")]
pub struct StoreRevision {
    /// Number of times that the store has come back from an older copy, or a number that rises by
    /// one each time; 0 if the store does not state it.
    pub era: u64,
    /// Counter of the changes in the store.
    pub number: u64,
}

impl From<u64> for StoreRevision {
    /// Returns a revision of a store that does not state an era.
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

/// Position of an object's content in the order in which its writer wrote it. It does not change
/// when the store comes back from an older copy.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WriterOrder {
    /// Unix time at which the process of the writer started, in milliseconds.
    pub started_ms: u64,
    /// Number of the content among those that the process wrote.
    pub sequence: u64,
}
