//! Store calls with a time limit, and their results in the form that controllers expect.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use zinniaport_core::controllers::{ReadReply, StoreEra, WriteReply};

use super::{ObjectStore, StoreError, WatchBatch, WriteCondition};

/// Makes calls to a store, each with a time limit.
#[derive(Clone)]
pub struct StoreClient {
    store: Arc<dyn ObjectStore>,
    limit: Duration,
}

impl StoreClient {
    /// Creates a client that cancels each call after `limit`.
    pub fn new(store: Arc<dyn ObjectStore>, limit: Duration) -> Self {
        Self { store, limit }
    }

    /// Reads an object with JSON content.
    pub async fn read<T: DeserializeOwned>(&self, name: &str) -> ReadReply<T> {
        let object = match timeout(self.limit, self.store.read(name)).await {
            Ok(Ok(Some(object))) => object,
            Ok(Ok(None)) => return ReadReply::Absent,
            Ok(Err(_)) | Err(_) => return ReadReply::Unavailable,
        };
        let Some(text) = object.content else { return ReadReply::Absent };
        match serde_json::from_str(&text) {
            Ok(content) => ReadReply::Found { content, version: object.version },
            Err(error) => {
                log::error!(
                    "cannot decode {name} at version {}: {error}; \
                     check whether an entry of another version wrote it",
                    object.version
                );
                ReadReply::Unavailable
            }
        }
    }

    /// Writes an object with JSON content if it is at `base_version`; 0 means that it
    /// must not exist.
    pub async fn write<T: Serialize>(
        &self,
        name: &str,
        content: &T,
        base_version: u64,
    ) -> WriteReply {
        let condition = condition_of(base_version);
        let Ok(content) = serde_json::to_vec(content) else { return WriteReply::Refused };
        let call = self.store.write(name, Bytes::from(content), condition);
        write_reply(&timeout(self.limit, call).await)
    }

    /// Returns the highest era that a response named, the first one if none did.
    pub fn era(&self) -> StoreEra {
        self.store.era().unwrap_or_default()
    }

    /// Makes a call and returns its result with the era of the response, or without one if
    /// another response named a higher era meanwhile, so that the era of this one is not known.
    async fn observe_era<T>(&self, call: impl Future<Output = T>) -> (Option<StoreEra>, T) {
        let before = self.store.era();
        let result = call.await;
        let is_known = before.is_none() || self.store.era() == before;
        (is_known.then(|| self.era()), result)
    }

    /// Reads an object with JSON content and returns the era of the response.
    pub async fn read_in_era<T: DeserializeOwned>(&self, name: &str) -> (StoreEra, ReadReply<T>) {
        match self.observe_era(self.read(name)).await {
            (Some(era), reply) => (era, reply),
            (None, _) => (self.era(), ReadReply::Unavailable),
        }
    }

    /// Writes an object as [`Self::write`] does if the store is in `era`, and returns the era of
    /// the response. A store that reports no era writes in any.
    pub async fn write_in_era<T: Serialize>(
        &self,
        name: &str,
        content: &T,
        era: StoreEra,
        base_version: u64,
    ) -> (StoreEra, WriteReply) {
        let condition = condition_of(base_version);
        let Ok(content) = serde_json::to_vec(content) else { return (era, WriteReply::Refused) };
        let call = self.store.write_in_era(name, Bytes::from(content), condition, era);
        match self.observe_era(timeout(self.limit, call)).await {
            (Some(era), result) => (era, write_reply(&result)),
            (None, _) => (self.era(), WriteReply::NoResponse),
        }
    }

    /// Lists the objects under `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store refuses the call or does not respond in time.
    pub async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        timeout(self.limit, self.store.list(prefix)).await.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Lists the objects under `prefix` as [`Self::list`] does, and returns the era of the list.
    ///
    /// # Errors
    ///
    /// Returns an error in the cases of [`Self::list`], and when the era rises meanwhile.
    pub async fn list_in_era(&self, prefix: &str) -> Result<(StoreEra, WatchBatch), StoreError> {
        let (era, result) = self.observe_era(self.list(prefix)).await;
        Ok((era.ok_or_else(era_rose)?, result?))
    }

    /// Waits for changes as [`Self::watch`] does, and returns the era of the changes.
    ///
    /// # Errors
    ///
    /// Returns an error in the cases of [`Self::watch`], and when the era rises meanwhile.
    pub async fn watch_in_era(
        &self,
        prefix: &str,
        version: u64,
        watch_timeout: Duration,
    ) -> Result<(StoreEra, WatchBatch), StoreError> {
        let call = self.watch(prefix, version, watch_timeout);
        let (era, result) = self.observe_era(call).await;
        Ok((era.ok_or_else(era_rose)?, result?))
    }

    /// Waits up to `watch_timeout` for changes under `prefix` after `version`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store no longer keeps the changes, refuses the call, or
    /// does not respond within the sum of `watch_timeout` and the call limit.
    pub async fn watch(
        &self,
        prefix: &str,
        version: u64,
        watch_timeout: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let call = self.store.watch(prefix, version, watch_timeout);
        timeout(watch_timeout + self.limit, call).await.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Deletes an object if it is at `version`. A failure is ignored.
    pub async fn delete(&self, name: &str, version: u64) {
        let _ = timeout(self.limit, self.store.delete(name, version)).await;
    }
}

fn condition_of(base_version: u64) -> WriteCondition {
    match base_version {
        0 => WriteCondition::Absent,
        version => WriteCondition::AtVersion(version),
    }
}

fn write_reply(result: &Result<Result<u64, StoreError>, Elapsed>) -> WriteReply {
    match result {
        Ok(Ok(version)) => WriteReply::Written(*version),
        Ok(Err(StoreError::Conflict { version })) => WriteReply::Conflict(*version),
        Ok(Err(StoreError::Refused { .. })) => WriteReply::Refused,
        Ok(Err(StoreError::NoResponse { .. } | StoreError::TooOld)) | Err(_) => {
            WriteReply::NoResponse
        }
    }
}

fn era_rose() -> StoreError {
    StoreError::NoResponse { cause: "the store was restored during the call".to_owned() }
}

fn timed_out() -> StoreError {
    StoreError::NoResponse { cause: "the time limit of the call passed".to_owned() }
}
