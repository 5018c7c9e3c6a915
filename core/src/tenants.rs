//! Tenants: customers of the operator whose requests carry an API key.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use derive_more::{Display, Error};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::digest::ShortDigest;
use crate::keys::TenantKey;

/// Maximum number of API keys of all tenants together, about 5 MB of memory.
pub const MAX_API_KEYS: usize = 100_000;

/// Digest of an API key. Only digests are kept and passed on, so that no log line, record or
/// message can contain a key, and so that the time of a lookup does not depend on how much of a
/// guessed key is correct.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ApiKeyDigest(ShortDigest);

impl ApiKeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(ShortDigest::of(&[b"api-key", key]))
    }
}

/// Identifies a tenant in messages between entries, whose keys differ.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TenantTag(pub u32);

impl TenantTag {
    /// Derives the tag of a tenant from its name.
    pub fn of(name: &str) -> Self {
        Self(ShortDigest::of(&[b"tenant", name.as_bytes()]).high_bits() as u32)
    }
}

/// Limit on the requests of a tenant over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantLimit {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Requests beyond the rate that accumulate while the tenant sends fewer.
    pub burst: f64,
}

/// Tenant as the operator defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantIntent {
    /// Name, which targets receive in place of the API key.
    pub name: String,
    /// Digests of its API keys.
    pub api_keys: Vec<ApiKeyDigest>,
    /// Rank of its requests, which takes precedence over the rank of their kind.
    #[serde(default)]
    pub rank: Option<u8>,
    /// Limit on its requests; `None` if there is none.
    #[serde(default)]
    pub limit: Option<TenantLimit>,
}

/// Tenant as decisions use it.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSnapshot {
    /// Name.
    pub name: Arc<str>,
    /// Identity in messages between entries.
    pub tag: TenantTag,
    /// Rank of its requests, if it has one.
    pub rank: Option<u8>,
    /// Limit on its requests, if it has one.
    pub limit: Option<TenantLimit>,
}

/// Error of a list of tenants that cannot be used.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum TenantError {
    /// Two tenants hold the same API key, so that a request cannot be attributed.
    #[display(
        "tenants {first:?} and {second:?} hold the same API key; give each key to one tenant"
    )]
    SharedKey {
        /// Name of one tenant.
        first: String,
        /// Name of the other one.
        second: String,
    },
    /// Two tenants have the same name.
    #[display("two tenants are named {name:?}; name each tenant once")]
    RepeatedName {
        /// The name.
        name: String,
    },
    /// There are too many API keys.
    #[display("{count} API keys exceed the limit of {MAX_API_KEYS}; remove unused keys")]
    TooManyKeys {
        /// Number of keys.
        count: usize,
    },
}

/// All tenants of one version of the configuration, by key and by API key.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    tenants: SlotMap<TenantKey, TenantSnapshot>,
    names: IndexMap<Arc<str>, TenantKey>,
    tags: HashMap<TenantTag, TenantKey>,
    api_keys: HashMap<ApiKeyDigest, TenantKey>,
}

/// Checks that the tenants can be told apart.
///
/// # Errors
///
/// Returns an error if two tenants share a name or an API key, or if there are too many keys.
pub fn check_tenants(intents: &[TenantIntent]) -> Result<(), TenantError> {
    let count = intents.iter().map(|intent| intent.api_keys.len()).sum();
    if count > MAX_API_KEYS {
        return Err(TenantError::TooManyKeys { count });
    }
    let mut holders: HashMap<ApiKeyDigest, &str> = HashMap::with_capacity(count);
    let mut names: HashSet<&str> = HashSet::with_capacity(intents.len());
    for TenantIntent { name, api_keys, .. } in intents {
        if !names.insert(name) {
            return Err(TenantError::RepeatedName { name: name.clone() });
        }
        for api_key in api_keys {
            if let Some(other) = holders.insert(*api_key, name)
                && other != name
            {
                let (first, second) = (other.to_owned(), name.clone());
                return Err(TenantError::SharedKey { first, second });
            }
        }
    }
    Ok(())
}

impl TenantTable {
    /// Creates the table of the next version. Tenants that remain keep their keys, so that a
    /// request in progress refers to the same tenant.
    pub fn next(&self, intents: &[TenantIntent]) -> Self {
        let mut next = Self { tenants: self.tenants.clone(), ..Self::default() };
        for intent in intents {
            let tenant = TenantSnapshot {
                name: intent.name.as_str().into(),
                tag: TenantTag::of(&intent.name),
                rank: intent.rank,
                limit: intent.limit,
            };
            let (name, tag) = (tenant.name.clone(), tenant.tag);
            let key = match self.names.get(&*name) {
                Some(key) => {
                    next.tenants[*key] = tenant;
                    *key
                }
                None => next.tenants.insert(tenant),
            };
            next.names.insert(name, key);
            next.tags.insert(tag, key);
            next.api_keys.extend(intent.api_keys.iter().map(|api_key| (*api_key, key)));
        }
        let names = &next.names;
        next.tenants.retain(|key, tenant| names.get(&tenant.name) == Some(&key));
        next
    }

    /// Returns the tenant that holds an API key.
    pub fn find(&self, api_key: &[u8]) -> Option<(TenantKey, &TenantSnapshot)> {
        let key = *self.api_keys.get(&ApiKeyDigest::of(api_key))?;
        Some((key, self.tenants.get(key)?))
    }

    /// Returns a tenant.
    pub fn get(&self, key: TenantKey) -> Option<&TenantSnapshot> {
        self.tenants.get(key)
    }

    /// Returns the key of the tenant with this tag.
    pub fn key_of(&self, tag: TenantTag) -> Option<TenantKey> {
        self.tags.get(&tag).copied()
    }

    /// Returns all tenants.
    pub fn iter(&self) -> impl Iterator<Item = (TenantKey, &TenantSnapshot)> {
        self.tenants.iter()
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns `true` if there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
