//! Results of store calls as controllers see them.

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
