//! Answers of the store as controllers see them.

/// Answer to a read.
#[derive(Clone, Debug)]
pub enum ReadReply<T> {
    /// The object with its version.
    Found {
        /// Content.
        content: T,
        /// Version.
        version: u64,
    },
    /// No object has the name.
    Absent,
    /// No usable answer came.
    Unavailable,
}

impl<T> ReadReply<T> {
    /// Gives the version, 0 for no object, or none without an answer.
    pub fn version(&self) -> Option<u64> {
        match self {
            Self::Found { version, .. } => Some(*version),
            Self::Absent => Some(0),
            Self::Unavailable => None,
        }
    }
}

/// Answer to a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteReply {
    /// The write took effect at this version.
    Written(u64),
    /// The condition did not hold; the object is at this version, 0 for none.
    Conflict(u64),
    /// The store refused the write; nothing changed.
    Refused,
    /// No answer came; the write may have taken effect or may still do so.
    NoResponse,
}
