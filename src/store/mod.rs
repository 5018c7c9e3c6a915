//! Access to the platform's object store and its list of VMs.

mod client;
mod connection;
mod http;

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
pub use client::StoreClient;
pub use connection::{ApiClient, no_response, refused};
use derive_more::{Display, Error};
use futures::future::BoxFuture;
pub use http::HttpStore;
use serde::{Deserialize, Serialize};
use zinniaport_core::controllers::StoreEra;

/// An object with the version of its last change. Versions come from one counter for
/// the whole store, so they also order changes of different objects.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Name of the object, such as `intents/pump-history`.
    pub name: String,
    /// Version of its last change.
    pub version: u64,
    /// Content; `None` for a deleted object.
    pub content: Option<String>,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// No object of that name exists.
    Absent,
    /// The object is at this version.
    AtVersion(u64),
}

/// Changes that a list or a watch returns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Store version up to which the batch is complete.
    pub version: u64,
    /// Objects that changed, oldest change first.
    pub changes: Vec<StoredObject>,
}

/// Why a store call failed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum StoreError {
    /// The condition of a write did not hold; nothing changed.
    #[display("the object has changed and is at version {version}; read it and decide again")]
    Conflict {
        /// Current version; 0 if the object does not exist.
        version: u64,
    },
    /// The store refused the call; nothing changed.
    #[display("the store refused the call: {cause}; try again later")]
    Refused {
        /// The store's reason, or why the request was not sent.
        #[error(not(source))]
        cause: String,
    },
    /// No valid response arrived; a write may have taken effect.
    #[display(
        "no response from the store: {cause}; read the object to learn whether the write took effect"
    )]
    NoResponse {
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
    /// The watch starts before the oldest change that the store keeps.
    #[display("the store no longer keeps these changes; list the objects, then watch from there")]
    TooOld,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedVm {
    /// IP address.
    pub address: IpAddr,
    /// State at the platform, such as `live` or `leaving`.
    pub state: String,
}

impl ListedVm {
    /// Returns `true` if the platform is about to remove the VM.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// The platform's list of VMs. It may be outdated.
pub trait VmDirectory: Send + Sync {
    /// Lists all VMs, live and leaving.
    fn list_vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, StoreError>>;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn read<'a>(&'a self, name: &'a str)
    -> BoxFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Lists the objects whose names start with `prefix`, with the store version.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<WatchBatch, StoreError>>;

    /// Writes an object if `condition` holds, and returns its new version.
    fn write<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
        condition: WriteCondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Returns the highest era that a response named, or `None` if none did. It rises each time
    /// the store comes back from an older copy and gives versions out again. A response of an
    /// earlier era counts as none.
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Writes an object if `condition` holds and the store is in `era`, and returns its new
    /// version. A store without eras ignores `era`.
    fn write_in_era<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
        condition: WriteCondition,
        _era: StoreEra,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        self.write(name, content, condition)
    }

    /// Deletes an object if it is at `version`.
    fn delete<'a>(&'a self, name: &'a str, version: u64) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits up to `limit` for changes after `version` under `prefix`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        version: u64,
        limit: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>>;
}
