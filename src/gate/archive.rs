//! Keeps crash records in an external store, for entries that hear of a crash from no other
//! entry: those that are partitioned from it, and those that start after all others ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use strum::Display;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use zinniaport_core::call::CallFingerprint;
use zinniaport_core::directory::StoreRevision;
use zinniaport_core::quarantine::CrashRecord;

use super::QuarantineGate;
use crate::state::SharedState;
use crate::store::StoreError;

/// Time after the start of an entry in which it hears from the others, so that only the
/// leaders read the archive.
const START_DELAY: Duration = Duration::from_secs(1);

/// Time between two checks for records that the archive lacks.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time after a failed call until the next one.
const FAILURE_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of records that are changed in one check, as losses of responses may look like
/// crashes.
const MAX_CHANGED: usize = 2;

/// Crash records of an archive.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ArchivedCrashes {
    /// Revision of the archive up to which the records are complete.
    pub revision: StoreRevision,
    /// Records.
    pub records: Vec<CrashRecord>,
}

/// A store of crash records that outlives the entries.
pub trait CrashArchive: Send + Sync {
    /// Lists all records. The response may be seconds old.
    fn list(&self) -> BoxFuture<'_, Result<ArchivedCrashes, StoreError>>;

    /// Waits for records that were added after `revision`. Returns none if none come before
    /// the time limit of the archive. Fails with [`StoreError::TooOld`] if the archive has come
    /// back from an older copy since then.
    fn watch(&self, revision: StoreRevision) -> BoxFuture<'_, Result<ArchivedCrashes, StoreError>>;

    /// Adds a record. Does nothing if there is one with this fingerprint.
    fn add<'a>(&'a self, record: &'a CrashRecord) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Replaces the record with this fingerprint. Does nothing if there is none.
    fn replace<'a>(&'a self, record: &'a CrashRecord) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Removes the record of a fingerprint.
    fn remove(&self, fingerprint: CallFingerprint) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Exchanges crash records between the quarantine and the archive while this entry is a leader.
pub struct ArchiveDriver {
    state: Arc<SharedState>,
    quarantine: Arc<QuarantineGate>,
    archive: Arc<dyn CrashArchive>,
    /// Records in the archive, as far as known.
    archived: HashMap<CallFingerprint, CrashRecord>,
    /// Era of the archive to which these records belong.
    era: u64,
    /// Time of the next attempt to change the archive after one that failed.
    next_change: Option<Instant>,
}

impl ArchiveDriver {
    /// Creates a driver.
    pub fn new(
        state: Arc<SharedState>,
        quarantine: Arc<QuarantineGate>,
        archive: Arc<dyn CrashArchive>,
    ) -> Self {
        Self { state, quarantine, archive, archived: HashMap::new(), era: 0, next_change: None }
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let archive = self.archive.clone();
        let mut checks = interval(CHECK_PERIOD);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut read = read_archive(archive.clone(), None, START_DELAY);
        let mut is_leading = true;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                result = &mut read, if is_leading => {
                    let (revision, delay) = self.apply(result).await;
                    read = read_archive(archive.clone(), revision, delay);
                }
                _ = checks.tick() => {
                    let was_leading = std::mem::replace(&mut is_leading, self.state.revisions.is_leader());
                    if is_leading && !was_leading {
                        read = read_archive(archive.clone(), None, Duration::ZERO);
                    }
                    if is_leading {
                        self.update_archive().await;
                    }
                }
            }
        }
    }

    /// Applies the records of a read. Returns the revision from which to watch, or `None` to
    /// list all records, and the time until then.
    async fn apply(
        &mut self,
        result: Result<ArchivedCrashes, StoreError>,
    ) -> (Option<StoreRevision>, Duration) {
        match result {
            // An outdated list from before a restore.
            Ok(ArchivedCrashes { revision, .. }) if revision.era < self.era => {
                (None, FAILURE_DELAY)
            }
            Ok(ArchivedCrashes { revision, records }) => {
                let now = self.state.clock.now();
                for record in records.iter().filter(|record| record.is_expired(now)) {
                    if let Err(error) = self.archive.remove(record.fingerprint).await {
                        log::warn!(fingerprint:% = record.fingerprint; "cannot remove an expired crash record from the archive: {error}");
                    }
                }
                if revision.era > self.era {
                    // The archive may have lost records, which are then added again.
                    self.era = revision.era;
                    self.archived.clear();
                }
                let known = records.iter().map(|record| (record.fingerprint, record.clone()));
                self.archived.extend(known);
                if self.quarantine.merge(&records) {
                    self.quarantine.crash_recorded.notify_one();
                }
                (Some(revision), Duration::ZERO)
            }
            // A list may be older than the history that is left, so a watch from it fails again.
            Err(StoreError::TooOld) => (None, FAILURE_DELAY),
            Err(error) => {
                log::warn!("cannot read the archive of crash records, retrying: {error}");
                (None, FAILURE_DELAY)
            }
        }
    }

    /// Adds records of several targets that the archive lacks, replaces those that have changed
    /// and removes those of requests to which a target has responded since.
    async fn update_archive(&mut self) {
        if self.next_change.is_some_and(|at| Instant::now() < at) {
            return;
        }
        let records = self.quarantine.crash_records();
        self.archived.retain(|fingerprint, _| {
            records.iter().any(|record| record.fingerprint == *fingerprint)
        });
        let changes = records.iter().filter_map(|record| {
            let change = ArchiveChange::of(record, self.archived.get(&record.fingerprint))?;
            Some((record, change))
        });
        let changes: Vec<_> = changes.take(MAX_CHANGED).collect();
        for (record, change) in changes {
            let result = match change {
                ArchiveChange::Add => self.archive.add(record).await,
                ArchiveChange::Replace => self.archive.replace(record).await,
                ArchiveChange::Remove => self.archive.remove(record.fingerprint).await,
            };
            match result {
                Ok(()) => {
                    match change {
                        ArchiveChange::Remove => self.archived.remove(&record.fingerprint),
                        _ => self.archived.insert(record.fingerprint, record.clone()),
                    };
                    log::info!(fingerprint:% = record.fingerprint, crashed = record.crash_count(), change:% = change; "archived a crash record");
                }
                Err(error) => {
                    log::warn!(fingerprint:% = record.fingerprint, change:% = change; "cannot archive a crash record, retrying: {error}");
                    self.next_change = Some(Instant::now() + FAILURE_DELAY);
                    return;
                }
            }
        }
    }
}

/// How the archive differs from what this entry knows.
#[derive(Clone, Copy, Debug, Display)]
#[strum(serialize_all = "kebab-case")]
enum ArchiveChange {
    Add,
    Replace,
    Remove,
}

impl ArchiveChange {
    /// Returns the change that brings the `archived` record, if any, up to date with `record`.
    fn of(record: &CrashRecord, archived: Option<&CrashRecord>) -> Option<Self> {
        match archived {
            None => record.is_repeated().then_some(Self::Add),
            Some(_) if record.crash_count() == 0 => Some(Self::Remove),
            Some(archived) => {
                let is_current =
                    archived.crashes == record.crashes && archived.last_trial == record.last_trial;
                (!is_current).then_some(Self::Replace)
            }
        }
    }
}

/// Lists the archive, or watches it from `revision`, after `delay`.
fn read_archive(
    archive: Arc<dyn CrashArchive>,
    revision: Option<StoreRevision>,
    delay: Duration,
) -> BoxFuture<'static, Result<ArchivedCrashes, StoreError>> {
    Box::pin(async move {
        sleep(delay).await;
        match revision {
            Some(revision) => archive.watch(revision).await,
            None => archive.list().await,
        }
    })
}
