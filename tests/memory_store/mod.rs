//! An in-memory object store with faults that tests switch on and off.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use tokio::sync::Notify;
use zinniaport::store::{ObjectStore, StoreError, StoredObject, WatchBatch, WriteCondition};

#[derive(Default)]
struct Objects {
    version: u64,
    by_name: BTreeMap<String, StoredObject>,
}

/// An in-memory object store with injected faults.
#[derive(Default)]
pub struct MemoryStore {
    objects: Mutex<Objects>,
    changed: Notify,
    /// Whether calls get no response.
    pub down: AtomicBool,
    /// Number of further writes that take effect but get no response.
    pub lost_answers: AtomicUsize,
    /// Whether watches end without returning changes.
    pub silent_watch: AtomicBool,
    /// Whether the next watch is refused because its version is too old.
    pub too_old: AtomicBool,
    /// Number of calls so far.
    pub calls: AtomicUsize,
}

impl MemoryStore {
    /// Counts a call; fails if the store is down.
    fn begin_call(&self) -> Result<(), StoreError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) { Err(no_response()) } else { Ok(()) }
    }

    /// Sets the content of an object, or deletes it without one, and returns the new version.
    fn set_content(&self, name: &str, content: Option<String>) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.version += 1;
        let version = objects.version;
        let object = StoredObject { name: name.to_owned(), version, content };
        objects.by_name.insert(name.to_owned(), object);
        self.changed.notify_waiters();
        version
    }

    /// Returns an object unless it is absent or deleted.
    fn find(&self, name: &str) -> Option<StoredObject> {
        let objects = self.objects.lock().unwrap();
        objects.by_name.get(name).filter(|object| object.content.is_some()).cloned()
    }

    /// Returns the objects with a prefix that changed after `version`, deleted ones included.
    fn changes_since(&self, prefix: &str, version: u64) -> WatchBatch {
        let objects = self.objects.lock().unwrap();
        let matching = objects.by_name.values().filter(|object| object.name.starts_with(prefix));
        let mut changes: Vec<_> =
            matching.filter(|object| object.version > version).cloned().collect();
        changes.sort_by_key(|object| object.version);
        WatchBatch { version: objects.version, changes }
    }
}

fn no_response() -> StoreError {
    StoreError::NoResponse { cause: "switched off by the test".to_owned() }
}

impl ObjectStore for MemoryStore {
    fn read<'a>(
        &'a self,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoredObject>, StoreError>> {
        Box::pin(async move { self.begin_call().map(|()| self.find(name)) })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        Box::pin(async move {
            self.begin_call()?;
            let mut batch = self.changes_since(prefix, 0);
            batch.changes.retain(|object| object.content.is_some());
            Ok(batch)
        })
    }

    fn write<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
        condition: WriteCondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.begin_call()?;
            let current = self.find(name).map_or(0, |object| object.version);
            let expected = match condition {
                WriteCondition::Absent => 0,
                WriteCondition::AtVersion(version) => version,
            };
            if current != expected {
                return Err(StoreError::Conflict { version: current });
            }
            let version = self.set_content(name, String::from_utf8(content.to_vec()).ok());
            let lost = self
                .lost_answers
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
            if lost.is_ok() { Err(no_response()) } else { Ok(version) }
        })
    }

    fn delete<'a>(&'a self, name: &'a str, version: u64) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            self.begin_call()?;
            match self.find(name).map_or(0, |object| object.version) {
                current if current == version => {
                    self.set_content(name, None);
                    Ok(())
                }
                version => Err(StoreError::Conflict { version }),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        version: u64,
        limit: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        Box::pin(async move {
            self.begin_call()?;
            if self.too_old.swap(false, Ordering::SeqCst) {
                return Err(StoreError::TooOld);
            }
            let end = tokio::time::Instant::now() + limit;
            loop {
                let changed = self.changed.notified();
                let batch = self.changes_since(prefix, version);
                let silent = self.silent_watch.load(Ordering::SeqCst);
                if !silent && !batch.changes.is_empty() {
                    return Ok(batch);
                }
                if tokio::time::timeout_at(end, changed).await.is_err() {
                    return Ok(if silent {
                        WatchBatch { version, changes: Vec::new() }
                    } else {
                        batch
                    });
                }
            }
        })
    }
}
