//! Guards against entries that read the directory from others which know another era of the
//! store, or none.

mod relay_world;

use std::sync::Arc;

use relay_world::{CountingSource, PART, batch, follower, leader, state, summarize};
use tokio::time::Instant;
use zinniaport::directory::{
    BatchOrigin, DirectoryRelay, DirectorySource, ReadConsistency, RelayedDirectory,
};
use zinniaport::store::StoreError;
use zinniaport_core::directory::{DirectoryBatch, StoreRevision};
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

/// Returns a list of the first era after a restore.
fn restored(revision: u64, changes: &[(&str, u64)]) -> DirectoryBatch {
    DirectoryBatch { era: 1, ..batch(revision, changes) }
}

test_cases! {
    async followers_list_in_a_new_era: "a follower that misses changes below its revision, or waits for them, after its leader saw a restore" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(50, &[("i-1", 40)]), BatchOrigin::Listed);
        let (directory, source) = follower(vec![address]);
        directory.list(PART).await.unwrap();
        relay.apply(PART, &mut restored(30, &[("i-2", 25)]), BatchOrigin::Listed);
        let watched = directory.watch(PART, 50.into(), ReadConsistency::Stale).await;
        assert_eq!(watched.unwrap_err(), StoreError::TooOld);
        let listed = directory.list(PART).await.unwrap();
        assert_eq!((listed.era, listed.revision, summarize(&listed)), (1, 30, vec![("i-2", 25, true)]));
        relay.apply(PART, &mut restored(32, &[("i-3", 31)]), BatchOrigin::Watched);
        let watched = directory.watch(PART, listed.position(), ReadConsistency::Stale).await.unwrap();
        assert_eq!((watched.era, summarize(&watched)), (1, vec![("i-3", 31, true)]));
        assert_eq!(source.calls(), 0);
    }

    async leaders_behind_a_restore_confirm_nothing: "a follower that takes the empty response of a leader for news of an era that the leader does not know" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(50, &[("i-1", 40)]), BatchOrigin::Listed);
        let (directory, source) = follower(vec![address]);
        let known = StoreRevision { era: 1, number: 30 };
        let asked = Instant::now();
        directory.watch(PART, known, ReadConsistency::Stale).await.unwrap();
        assert_eq!(source.calls(), 1, "the platform itself, after {:?}", asked.elapsed());
    }

    async entries_without_eras_are_served: "an entry of an earlier version that lists without pause because it names no era" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut restored(30, &[("i-2", 25)]), BatchOrigin::Listed);
        let watched = get(address, "/directory?part=targets&after=30&hold=0").await.unwrap();
        assert_eq!(watched.status(), 200);
        let ahead = get(address, "/directory?part=targets&after=30&era=2&hold=0").await.unwrap();
        assert_eq!(ahead.status(), 503);
    }

    async leaders_without_eras_are_passed_over: "a follower that knows an era and waits for an entry of an earlier version to tell it of changes" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(60, &[("i-2", 25)]), BatchOrigin::Listed);
        let (state, source) = (state("follower"), Arc::new(CountingSource::default()));
        state.revisions.set_leaders(vec![address], false);
        let known = Arc::new(DirectoryRelay::default());
        known.apply(PART, &mut restored(30, &[("i-2", 25)]), BatchOrigin::ListedByPeer);
        let directory = RelayedDirectory::new(state, source.clone(), known);
        directory.list(PART).await.unwrap();
        assert_eq!(source.calls(), 1, "the list of the platform itself");
    }
}
