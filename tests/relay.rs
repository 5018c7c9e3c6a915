//! The directory read through the entries that watch it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use zinniaport::admin::AdminRouter;
use zinniaport::directory::{
    BatchOrigin, DirectoryRelay, DirectorySource, ReadConsistency, RelayHandler, RelayedDirectory,
};
use zinniaport::state::SharedState;
use zinniaport::store::StoreError;
use zinniaport_core::clock::SystemClock;
use zinniaport_core::directory::{DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart};
use zinniaport_testing::test_cases;

const PART: DirectoryPart = DirectoryPart::Targets;

/// A platform that counts its calls and answers with its present revision, unless it is
/// away.
#[derive(Default)]
struct CountedSource {
    calls: AtomicUsize,
    revision: AtomicU64,
    away: AtomicBool,
    lagging: AtomicUsize,
    forgets: AtomicBool,
}

impl CountedSource {
    fn answer(&self) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let revision = self.revision.load(Ordering::SeqCst);
        let away = self.away.load(Ordering::SeqCst);
        let cause = "it is away".to_owned();
        let forgets = self.forgets.load(Ordering::SeqCst);
        Box::pin(async move {
            if forgets {
                return Err(StoreError::TooOld);
            }
            if away { Err(StoreError::Refused { cause }) } else { Ok(batch(revision, &[])) }
        })
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

impl DirectorySource for CountedSource {
    fn list(&self, _part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        self.answer()
    }

    fn watch(
        &self,
        _part: DirectoryPart,
        _revision: u64,
        age: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        self.lagging.fetch_add(usize::from(age == ReadConsistency::Stale), Ordering::SeqCst);
        self.answer()
    }
}

/// Makes a batch of objects that name nothing, each with its revision.
fn batch(revision: u64, changes: &[(&str, u64)]) -> DirectoryBatch {
    let change = |(name, revision): &(&str, u64)| {
        let item = Some(DirectoryItem::Unusable);
        DirectoryChange { name: (*name).to_owned(), revision: *revision, item }
    };
    DirectoryBatch { revision, changes: changes.iter().map(change).collect() }
}

fn names(batch: &DirectoryBatch) -> Vec<(&str, u64, bool)> {
    let name = |change: &DirectoryChange| (change.revision, change.item.is_some());
    batch
        .changes
        .iter()
        .map(|change| (change.name.as_str(), name(change).0, name(change).1))
        .collect()
}

/// An entry that watches and answers others, fed by the test.
async fn leader() -> (SocketAddr, Arc<DirectoryRelay>) {
    let relay = Arc::new(DirectoryRelay::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = RelayHandler::new(state("leader"), relay.clone());
    let router = AdminRouter::new(vec![Arc::new(handler)]);
    tokio::spawn(router.serve(listener, CancellationToken::new()));
    (address, relay)
}

fn state(name: &str) -> Arc<SharedState> {
    Arc::new(SharedState::new(Arc::new(SystemClock::new()), name, "valle-a"))
}

/// An entry that follows these leaders.
fn follower(leaders: Vec<SocketAddr>) -> (RelayedDirectory, Arc<CountedSource>) {
    let (state, source) = (state("follower"), Arc::new(CountedSource::default()));
    state.revisions.set_leaders(leaders, false);
    (RelayedDirectory::new(state, source.clone(), Arc::default()), source)
}

test_cases! {
    async followers_spare_the_platform: "each entry of a large fleet asking the platform for the same changes" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &batch(20, &[("i-1", 10), ("i-2", 12)]), BatchOrigin::Listed);
        let (directory, source) = follower(vec![address]);
        let listed = directory.list(PART).await.unwrap();
        assert_eq!((listed.revision, names(&listed)), (20, vec![("i-1", 10, true), ("i-2", 12, true)]));
        let watch = directory.watch(PART, 20, ReadConsistency::Stale);
        let news = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut change = batch(31, &[("i-3", 30)]);
            change.changes.push(DirectoryChange { name: "i-1".to_owned(), revision: 31, item: None });
            relay.apply(PART, &change, BatchOrigin::Watched);
        };
        let (watched, ()) = tokio::join!(watch, news);
        let watched = watched.unwrap();
        assert_eq!((watched.revision, names(&watched)), (31, vec![("i-3", 30, true), ("i-1", 31, false)]));
        assert_eq!(source.calls(), 0);
    }

    async removals_missed_before_a_list_are_told: "a target that a follower keeps because it went while its leader had lost the history" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &batch(20, &[("i-1", 10), ("i-2", 12)]), BatchOrigin::Listed);
        let (directory, _) = follower(vec![address]);
        relay.apply(PART, &batch(40, &[("i-2", 12)]), BatchOrigin::Listed);
        let watched = directory.watch(PART, 20, ReadConsistency::Stale).await.unwrap();
        assert_eq!(names(&watched), [("i-1", 40, false)]);
        // From before the first list something may be missing, so a list is due.
        let older = directory.watch(PART, 15, ReadConsistency::Stale).await;
        assert!(matches!(older, Err(StoreError::TooOld)), "{older:?}");
    }

    async cut_off_leader_is_not_believed: "changes that stay unknown because the entry that watches has lost the platform" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        let (directory, source) = follower(vec![address]);
        source.revision.store(50, Ordering::SeqCst);
        let started = Instant::now();
        let ask = async {
            loop {
                let batch = directory.watch(PART, 20, ReadConsistency::Stale).await.unwrap();
                if batch.revision == 50 {
                    return;
                }
            }
        };
        timeout(Duration::from_secs(20), ask).await.expect("the follower never asks the platform itself");
        // The leader vouches for what it knows for a while, so that a slow answer moves nobody.
        assert!(started.elapsed() >= Duration::from_millis(1_000), "{:?}", started.elapsed());
    }

    async silent_leader_is_replaced: "followers that wait for a leader that is gone, paused or cut off" => {
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, relay) = leader().await;
        relay.apply(PART, &batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        relay.apply(PART, &batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let (directory, source) = follower(vec![silent.local_addr().unwrap(), address]);
        let (reversed, _) = follower(vec![address, silent.local_addr().unwrap()]);
        for directory in [directory, reversed] {
            let watched = directory.watch(PART, 20, ReadConsistency::Stale).await.unwrap();
            assert_eq!(names(&watched), [("i-2", 30, true)]);
        }
        assert_eq!(source.calls(), 0);
        let (directory, source) = follower(vec![silent.local_addr().unwrap()]);
        directory.watch(PART, 20, ReadConsistency::Stale).await.unwrap();
        assert_eq!(source.calls(), 1, "without any leader it asks the platform");
        let lagging = source.lagging.load(Ordering::SeqCst);
        assert_eq!(lagging, 0, "an entry that is cut off from the others waits seconds for a change");
    }

    async outage_is_not_hammered: "a fleet whose every entry calls a platform that is away several times a second" => {
        // Its leader has never had an answer, as when all lost the platform long ago.
        let (address, relay) = leader().await;
        let (directory, source) = follower(vec![address]);
        source.away.store(true, Ordering::SeqCst);
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(900) {
            assert!(directory.watch(PART, 20, ReadConsistency::Stale).await.is_err());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(source.calls(), 1);
        // The return is learnt from the leader at once, without a call of its own.
        relay.apply(PART, &batch(20, &[]), BatchOrigin::Listed);
        relay.apply(PART, &batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let back = async {
            loop {
                if let Ok(batch) = directory.watch(PART, 20, ReadConsistency::Stale).await {
                    return batch;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let watched = timeout(Duration::from_secs(20), back).await.expect("the return is never learnt");
        assert_eq!((names(&watched), source.calls()), (vec![("i-2", 30, true)], 1));
    }

    async lost_call_is_repeated_soon: "a change that an entry without a leader reads seconds late because one of its connections was reset" => {
        let (directory, source) = follower(Vec::new());
        directory.watch(PART, 20, ReadConsistency::Stale).await.unwrap();
        source.away.store(true, Ordering::SeqCst);
        assert!(directory.watch(PART, 20, ReadConsistency::Stale).await.is_err());
        source.away.store(false, Ordering::SeqCst);
        source.revision.store(30, Ordering::SeqCst);
        let started = Instant::now();
        while directory.watch(PART, 20, ReadConsistency::Stale).await.is_err() {
            assert!(started.elapsed() < Duration::from_secs(1), "a change counts after two");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async dropped_history_is_no_outage: "an entry that reads no change for seconds because its platform has forgotten the older ones" => {
        let (directory, source) = follower(Vec::new());
        source.forgets.store(true, Ordering::SeqCst);
        let watched = directory.watch(PART, 20, ReadConsistency::Stale).await;
        assert!(matches!(watched, Err(StoreError::TooOld)), "{watched:?}");
        source.forgets.store(false, Ordering::SeqCst);
        assert!(directory.watch(PART, 20, ReadConsistency::Stale).await.is_ok());
        // One part without an answer says nothing about the other.
        source.away.store(true, Ordering::SeqCst);
        assert!(directory.watch(PART, 20, ReadConsistency::Stale).await.is_err());
        source.away.store(false, Ordering::SeqCst);
        assert!(directory.watch(DirectoryPart::Configuration, 20, ReadConsistency::Stale).await.is_ok());
    }
}
