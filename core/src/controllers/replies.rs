//! Results of store calls as controllers see them.

use serde::{Deserialize, Serialize};

/// Number by which versions in force rise with each era of the store. At 1,000 writes a second
/// a store takes 34 years to give out as many versions.
const ERA_VERSIONS: u64 = 1 << 40;

/// Number of times that the store came back from an older copy, from which on it gives versions
/// out again; 0 if the store does not report it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Returns the number that is added to the versions of this era, so that they exceed those of
    /// all eras before.
    pub fn first_version(self) -> u64 {
        self.0.saturating_mul(ERA_VERSIONS)
    }
}

/// Result of a read.
#[derive(Clone, Debug)]
pub enum ReadReply<T> {
    /// The object and its version.
    Found {
        /// Content of the object.
        content: T,
        /// Version of the object.
        version: u64,
    },
    /// No object has the name.
    Absent,
    /// No usable response arrived.
    Unavailable,
}

impl<T> ReadReply<T> {
    /// Returns the version, 0 if there is no object, or `None` without a usable response.
    pub fn version(&self) -> Option<u64> {
        match self {
            Self::Found { version, .. } => Some(*version),
            Self::Absent => Some(0),
            Self::Unavailable => None,
        }
    }
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteReply {
    /// The write took effect at this version.
    Written(u64),
    /// The condition did not hold. The object is at this version, 0 if there is none.
    Conflict(u64),
    /// The store refused the write; nothing changed.
    Refused,
    /// No response arrived. The write may have taken effect or may still do so.
    NoResponse,
}
