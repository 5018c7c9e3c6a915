//! Crash records of entries that do not reach each other.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use zinniaport::gate::{
    ArchiveDriver, ArchivedCrashes, CrashArchive, FingerprintedCall, PermitHandle, QuarantineGate,
};
use zinniaport::state::SharedState;
use zinniaport::store::{StoreError, refused};
use zinniaport_core::call::CallFingerprint;
use zinniaport_core::clock::{ClockSource, ManualClock, Timestamp};
use zinniaport_core::directory::StoreRevision;
use zinniaport_core::quarantine::{
    CrashRecord, QUARANTINE_TIME, RunEnd, TargetCrash, TargetProcess,
};
use zinniaport_testing::test_cases;

const CALL: FingerprintedCall =
    FingerprintedCall { fingerprint: CallFingerprint(7), max_crashed_targets: 2 };
const LIMIT: Duration = Duration::from_secs(1);

/// An archive in memory, which refuses the first calls.
#[derive(Default)]
struct MemoryArchive {
    records: Mutex<Vec<CrashRecord>>,
    refusals: AtomicUsize,
    /// Whether watches start before the history that is left.
    forgets: AtomicBool,
    lists: AtomicUsize,
    adds: AtomicUsize,
    replaces: AtomicUsize,
    /// Number of times that it came back from an older copy.
    era: AtomicU64,
}

impl MemoryArchive {
    fn revision(&self, records: &[CrashRecord]) -> StoreRevision {
        StoreRevision { era: self.era.load(Ordering::SeqCst), number: records.len() as u64 }
    }

    /// Comes back from a copy without records.
    fn restore_empty(&self) {
        self.era.fetch_add(1, Ordering::SeqCst);
        self.records.lock().unwrap().clear();
    }

    fn records(&self) -> Vec<CrashRecord> {
        self.records.lock().unwrap().clone()
    }

    fn check(&self) -> Result<(), StoreError> {
        let take = |left: usize| left.checked_sub(1);
        match self.refusals.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take) {
            Ok(_) => Err(refused("down")),
            Err(_) => Ok(()),
        }
    }
}

impl CrashArchive for MemoryArchive {
    fn list(&self) -> BoxFuture<'_, Result<ArchivedCrashes, StoreError>> {
        Box::pin(async {
            self.check()?;
            self.lists.fetch_add(1, Ordering::SeqCst);
            let records = self.records();
            Ok(ArchivedCrashes { revision: self.revision(&records), records })
        })
    }

    fn watch(&self, revision: StoreRevision) -> BoxFuture<'_, Result<ArchivedCrashes, StoreError>> {
        Box::pin(async move {
            self.check()?;
            if self.forgets.load(Ordering::SeqCst) {
                return Err(StoreError::TooOld);
            }
            sleep(Duration::from_millis(100)).await;
            let records = self.records();
            if self.era.load(Ordering::SeqCst) != revision.era {
                return Err(StoreError::TooOld);
            }
            let added = records.get(revision.number as usize..).unwrap_or_default().to_vec();
            Ok(ArchivedCrashes { revision: self.revision(&records), records: added })
        })
    }

    fn add<'a>(&'a self, record: &'a CrashRecord) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            self.check()?;
            self.adds.fetch_add(1, Ordering::SeqCst);
            self.records.lock().unwrap().push(record.clone());
            Ok(())
        })
    }

    fn replace<'a>(&'a self, record: &'a CrashRecord) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            self.check()?;
            self.replaces.fetch_add(1, Ordering::SeqCst);
            let mut records = self.records.lock().unwrap();
            let old = records.iter_mut().filter(|old| old.fingerprint == record.fingerprint);
            old.for_each(|old| old.clone_from(record));
            Ok(())
        })
    }

    fn remove(&self, fingerprint: CallFingerprint) -> BoxFuture<'_, Result<(), StoreError>> {
        Box::pin(async move {
            self.records.lock().unwrap().retain(|record| record.fingerprint != fingerprint);
            Ok(())
        })
    }
}

/// Starts an entry that no other entry reaches, so that it is a leader.
fn start_entry(archive: &Arc<MemoryArchive>, clock: &Arc<dyn ClockSource>) -> Arc<QuarantineGate> {
    let state = Arc::new(SharedState::new(clock.clone(), "entry-1", "valle-a"));
    let quarantine = Arc::new(QuarantineGate::new(clock.clone()));
    let driver = ArchiveDriver::new(state, quarantine.clone(), archive.clone());
    tokio::spawn(driver.run(CancellationToken::new()));
    quarantine
}

fn clock() -> Arc<dyn ClockSource> {
    let clock = ManualClock::default();
    clock.advance(2 * QUARANTINE_TIME);
    Arc::new(clock)
}

fn target(index: u16) -> TargetProcess {
    SocketAddr::from(([10, 0, 0, 1], index)).into()
}

/// Runs the request once at an entry and lets it crash a target. Returns `false` if the
/// entry refused it.
async fn crash(quarantine: &Arc<QuarantineGate>, index: u16) -> bool {
    let Ok(permit) = quarantine.enter(CALL, LIMIT).await else { return false };
    PermitHandle::new(permit).record_crash(target(index));
    true
}

test_cases! {
    paused partitioned_entries_learn_of_crashes: "a request that crashes two more targets at each entry that is partitioned from the others" => {
        let (archive, clock) = (Arc::default(), clock());
        let first = start_entry(&archive, &clock);
        let second = start_entry(&archive, &clock);
        sleep(Duration::from_secs(2)).await;
        assert!(crash(&first, 1).await && crash(&first, 2).await);
        sleep(Duration::from_secs(2)).await;
        assert!(!crash(&second, 3).await, "the second entry runs a request that crashed two targets");
    }

    paused entries_that_start_learn_of_crashes: "a request that crashes further targets after all entries were replaced" => {
        let (archive, clock) = (Arc::default(), clock());
        let first = start_entry(&archive, &clock);
        assert!(crash(&first, 1).await && crash(&first, 2).await);
        sleep(Duration::from_secs(2)).await;
        drop(first);
        let second = start_entry(&archive, &clock);
        sleep(Duration::from_secs(2)).await;
        assert!(!crash(&second, 3).await);
    }

    paused single_losses_are_not_archived: "a store call for each lost response" => {
        let (archive, clock) = (Arc::<MemoryArchive>::default(), clock());
        let first = start_entry(&archive, &clock);
        assert!(crash(&first, 1).await);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(archive.records(), []);
    }

    paused refused_calls_are_repeated_slowly: "calls without pause to a store that is down, or a record that is never archived" => {
        let (archive, clock) = (Arc::<MemoryArchive>::default(), clock());
        archive.refusals.store(8, Ordering::SeqCst);
        let first = start_entry(&archive, &clock);
        assert!(crash(&first, 1).await && crash(&first, 2).await);
        sleep(Duration::from_secs(5)).await;
        assert!(archive.refusals.load(Ordering::SeqCst) > 0, "more than 8 calls in 5 s");
        sleep(Duration::from_secs(20)).await;
        assert_eq!(archive.adds.load(Ordering::SeqCst), 1);
    }

    paused lost_history_causes_few_calls: "lists without pause while a list is older than the history that is left" => {
        let (archive, clock) = (Arc::<MemoryArchive>::default(), clock());
        archive.forgets.store(true, Ordering::SeqCst);
        let first = start_entry(&archive, &clock);
        sleep(Duration::from_secs(10)).await;
        let lists = archive.lists.load(Ordering::SeqCst);
        assert!((2..=6).contains(&lists), "{lists} lists in 10 s");
        drop(first);
    }

    paused responses_remove_records: "a request that is refused after a restart of all entries although a target responded to it" => {
        let (archive, clock) = (Arc::<MemoryArchive>::default(), clock());
        let first = start_entry(&archive, &clock);
        let running = PermitHandle::new(first.enter(CALL, LIMIT).await.unwrap());
        assert!(crash(&first, 1).await);
        assert!(first.merge(&[CrashRecord::new(CALL.fingerprint, [TargetCrash { at: clock.now(), process: target(2) }])]));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(archive.records().len(), 1);
        running.end(RunEnd::Answered);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(archive.records(), []);
    }

    paused further_crashes_replace_records: "a request that crashes one more target after each restart of all entries" => {
        let (archive, manual) = (Arc::<MemoryArchive>::default(), Arc::new(ManualClock::default()));
        manual.advance(2 * QUARANTINE_TIME);
        let clock: Arc<dyn ClockSource> = manual.clone();
        let first = start_entry(&archive, &clock);
        assert!(crash(&first, 1).await && crash(&first, 2).await);
        sleep(Duration::from_secs(2)).await;
        manual.advance(Duration::from_secs(10));
        assert!(crash(&first, 3).await, "no trial after 10 s");
        sleep(Duration::from_secs(1)).await;
        assert_eq!(archive.records()[0].crash_count(), 3);
        assert_eq!((archive.adds.load(Ordering::SeqCst), archive.replaces.load(Ordering::SeqCst)), (1, 1));
        drop(first);
        let second = start_entry(&archive, &clock);
        sleep(Duration::from_secs(2)).await;
        manual.advance(Duration::from_secs(10));
        assert!(!crash(&second, 4).await, "a second trial 10 s after the first");
    }

    paused records_lost_in_a_restore_are_added_again: "a request that crashes two more targets after the archive lost its record and all entries were replaced" => {
        let (archive, clock) = (Arc::<MemoryArchive>::default(), clock());
        let first = start_entry(&archive, &clock);
        assert!(crash(&first, 1).await && crash(&first, 2).await);
        sleep(Duration::from_secs(2)).await;
        archive.restore_empty();
        sleep(Duration::from_secs(4)).await;
        drop(first);
        let second = start_entry(&archive, &clock);
        sleep(Duration::from_secs(2)).await;
        assert!(!crash(&second, 3).await);
    }

    paused expired_records_are_removed: "an archive that grows without bound" => {
        let (archive, clock) = (Arc::<MemoryArchive>::default(), clock());
        let crashes = [1, 2].map(|index| TargetCrash { at: Timestamp(1), process: target(index) });
        let expired = CrashRecord::new(CALL.fingerprint, crashes);
        archive.records.lock().unwrap().push(expired);
        let first = start_entry(&archive, &clock);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(archive.records(), []);
        assert!(crash(&first, 1).await);
    }
}
