//! Identities of the requests that an entry sends on its own.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use uuid::Uuid;

use crate::dialect::HeaderDialect;

/// Identity of a probe or of a check of a connection. With it, a target that repeats identities
/// names each of its responses, so that none passes for the response to another request.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    header: HeaderName,
    /// `None` if targets take only identities of callers.
    value: Option<HeaderValue>,
}

impl OwnIdentity {
    /// Creates an identity that no other request has.
    pub fn new(dialect: &dyn HeaderDialect) -> Self {
        let adds_identity = dialect.adds_request_id();
        let value = adds_identity.then(|| HeaderValue::try_from(Uuid::now_v7().to_string()).ok());
        let value = value.flatten();
        Self { header: dialect.request_id_header().clone(), value }
    }

    /// Adds the identity to the headers of a request.
    pub fn insert(&self, headers: &mut HeaderMap) {
        if let Some(value) = &self.value {
            headers.insert(&self.header, value.clone());
        }
    }

    /// Returns `true` unless a response names another request.
    pub fn matches(&self, headers: &HeaderMap) -> bool {
        headers.get(&self.header).is_none_or(|named| self.value.as_ref() == Some(named))
    }
}
