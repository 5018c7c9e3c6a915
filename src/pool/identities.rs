//! Identities of the requests that were sent on a connection.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of identities that a connection remembers: 8 KiB. It carries no further requests
/// then, so a long-lived connection is replaced once in so many requests.
pub(super) const MAX_SENT_IDENTITIES: usize = 1024;

/// Digest of the identity that a target repeats in its response to a request. Requests without
/// an identity have the digest of an empty one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdentityTag(u64);

impl IdentityTag {
    /// Returns the digest of an identity.
    pub fn of(identity: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        identity.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// The identities of the requests that were sent on one connection. None is sent twice: a late
/// copy of the first response could not be told from the response to the second request.
#[derive(Debug, Default)]
pub(super) struct SentIdentities(Vec<IdentityTag>);

impl SentIdentities {
    /// Returns `true` if a request with this identity was sent.
    pub(super) fn contains(&self, tag: IdentityTag) -> bool {
        self.0.contains(&tag)
    }

    /// Returns `true` if no further identity can be remembered.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_SENT_IDENTITIES
    }

    /// Records that a request with this identity is sent.
    pub(super) fn record(&mut self, tag: IdentityTag) {
        self.0.push(tag);
    }
}
