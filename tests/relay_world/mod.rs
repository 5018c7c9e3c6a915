//! Entries that read the directory through others, and a platform that counts its calls.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use zinniaport::admin::AdminRouter;
use zinniaport::directory::{
    DirectoryRelay, DirectorySource, ReadConsistency, RelayHandler, RelayedDirectory,
};
use zinniaport::state::SharedState;
use zinniaport::store::StoreError;
use zinniaport_core::clock::SystemClock;
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, StoreRevision,
};

pub const PART: DirectoryPart = DirectoryPart::Targets;

/// A platform that counts its calls and returns its current revision, unless it is down.
#[derive(Default)]
pub struct CountingSource {
    pub calls: AtomicUsize,
    pub revision: AtomicU64,
    pub down: AtomicBool,
    pub stale_reads: AtomicUsize,
    pub history_dropped: AtomicBool,
    /// Whether one call returns all objects.
    pub is_small: bool,
}

impl CountingSource {
    pub fn respond(&self) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let revision = self.revision.load(Ordering::SeqCst);
        let down = self.down.load(Ordering::SeqCst);
        let cause = "the platform is down".to_owned();
        let history_dropped = self.history_dropped.load(Ordering::SeqCst);
        Box::pin(async move {
            if history_dropped {
                return Err(StoreError::TooOld);
            }
            if down { Err(StoreError::Refused { cause }) } else { Ok(batch(revision, &[])) }
        })
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

impl DirectorySource for CountingSource {
    fn list(&self, _part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        self.respond()
    }

    fn list_small(
        &self,
        _part: DirectoryPart,
    ) -> BoxFuture<'_, Result<Option<DirectoryBatch>, StoreError>> {
        let listed = self.respond();
        Box::pin(async move { listed.await.map(|batch| self.is_small.then_some(batch)) })
    }

    fn watch(
        &self,
        _part: DirectoryPart,
        _revision: StoreRevision,
        consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        self.stale_reads
            .fetch_add(usize::from(consistency == ReadConsistency::Stale), Ordering::SeqCst);
        self.respond()
    }
}

/// Returns a batch of objects without usable content, each with its revision.
pub fn batch(revision: u64, changes: &[(&str, u64)]) -> DirectoryBatch {
    let change = |(name, revision): &(&str, u64)| {
        let item = Some(DirectoryItem::Unusable);
        DirectoryChange { name: (*name).to_owned(), revision: *revision, item }
    };
    DirectoryBatch { era: 0, revision, changes: changes.iter().map(change).collect() }
}

/// Returns the name and the revision of each change, and whether the object still exists.
pub fn summarize(batch: &DirectoryBatch) -> Vec<(&str, u64, bool)> {
    batch
        .changes
        .iter()
        .map(|change| (change.name.as_str(), change.revision, change.item.is_some()))
        .collect()
}

/// Starts the relay of a leader, whose content the test sets.
pub async fn leader() -> (SocketAddr, Arc<DirectoryRelay>) {
    let relay = Arc::new(DirectoryRelay::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = RelayHandler::new(state("leader"), relay.clone());
    let router = AdminRouter::new(vec![Arc::new(handler)]);
    tokio::spawn(router.serve(listener, CancellationToken::new()));
    (address, relay)
}

pub fn state(name: &str) -> Arc<SharedState> {
    Arc::new(SharedState::new(Arc::new(SystemClock::new()), name, "valle-a"))
}

/// Returns the directory of an entry that follows these leaders.
pub fn follower(leaders: Vec<SocketAddr>) -> (RelayedDirectory, Arc<CountingSource>) {
    let (state, source) = (state("follower"), Arc::new(CountingSource::default()));
    state.revisions.set_leaders(leaders, false);
    (RelayedDirectory::new(state, source.clone(), Arc::default()), source)
}

/// Starts the relay of an entry that follows these leaders, and returns its address.
pub async fn relay_of_follower(leaders: Vec<SocketAddr>) -> (SocketAddr, Arc<DirectoryRelay>) {
    let relay = Arc::new(DirectoryRelay::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let state = state("other-follower");
    state.revisions.set_leaders(leaders, false);
    let router = AdminRouter::new(vec![Arc::new(RelayHandler::new(state, relay.clone()))]);
    tokio::spawn(router.serve(listener, CancellationToken::new()));
    (address, relay)
}

/// Returns the directory of an entry that starts and knows these seeds. `number` makes up its
/// address.
pub fn starting(
    number: u16,
    seeds: &[SocketAddr],
) -> (RelayedDirectory, Arc<CountingSource>, Arc<DirectoryRelay>) {
    let (state, source) = (state("starting"), Arc::new(CountingSource::default()));
    state.revisions.set_leaders(Vec::new(), false);
    let relay = Arc::new(DirectoryRelay::default());
    let directory = RelayedDirectory::new(state, source.clone(), relay.clone());
    let own_address = SocketAddr::from(([127, 0, 0, 2], number));
    (directory.with_seeds(own_address, seeds), source, relay)
}
