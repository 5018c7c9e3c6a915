//! Guards against followers that overload the platform or miss changes when they read the
//! directory through leaders.

mod relay_world;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use relay_world::{
    CountingSource, PART, batch, follower, leader, relay_of_follower, starting, state, summarize,
};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};
use zinniaport::directory::{BatchOrigin, DirectorySource, ReadConsistency, RelayedDirectory};
use zinniaport::store::StoreError;
use zinniaport_core::directory::{DirectoryChange, DirectoryPart, StoreRevision};
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

test_cases! {
    async starting_entries_ask_other_entries: "a platform that each entry of a large deployment lists when it starts" => {
        let (address, relay) = relay_of_follower(Vec::new()).await;
        let (directory, source, _) = starting(1, &[address]);
        // The other entry has nothing yet, and its content comes from an entry as well.
        let list_later = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            relay.apply(PART, &mut batch(20, &[("i-1", 10), ("i-2", 12)]), BatchOrigin::ListedByPeer);
        };
        let (listed, ()) = tokio::join!(directory.list(PART), list_later);
        let listed = listed.unwrap();
        assert_eq!((listed.revision, summarize(&listed)), (20, vec![("i-1", 10, true), ("i-2", 12, true)]));
        assert_eq!(source.calls(), 0);
    }

    async starting_entries_are_referred: "an entry that sends the whole directory to hundreds of others at once" => {
        let (address, relay) = relay_of_follower(Vec::new()).await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::ListedByPeer);
        let mut served = 0;
        for number in 1..=12 {
            let path = format!("/directory?part=targets&hold=0&starting=127.0.0.2:{number}");
            served += usize::from(get(address, &path).await.unwrap().status() == 200);
        }
        assert!((1..=8).contains(&served), "{served} transfers");
    }

    async followers_are_referred_to_leaders: "a platform that is called by each entry that does not know the leaders yet" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        relay.apply(PART, &mut batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let (other, _) = relay_of_follower(vec![address]).await;
        let (directory, source) = follower(vec![other]);
        let watched = directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
        assert_eq!((summarize(&watched), source.calls()), (vec![("i-2", 30, true)], 0));
    }

    async leaders_of_the_own_data_centre_come_first: "directory content that every entry of a data centre gets from another one although a leader is near" => {
        let [(far, far_relay), (near, near_relay)] = [leader().await, leader().await];
        for (relay, revision) in [(&far_relay, 30), (&near_relay, 40)] {
            relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
            relay.apply(PART, &mut batch(revision, &[("i-2", revision)]), BatchOrigin::Watched);
        }
        for name in ["follower-1", "follower-2", "follower-3", "follower-4"] {
            let state = state(name);
            state.revisions.set_leaders(vec![far, near], false);
            let centres = [(far, "valle-b".into()), (near, "valle-a".into())];
            state.entry_locations.store(Arc::new(centres.into()));
            let directory = RelayedDirectory::new(state, Arc::new(CountingSource::default()), Arc::default());
            let read = directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
            assert_eq!(read.revision, 40, "{name}");
        }
    }

    async announced_changes_are_read_from_leaders: "a platform that every follower calls for a change which its leader announced" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        relay.apply(PART, &mut batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let state = state("follower");
        state.revisions.set_leaders(vec![address], false);
        state.revisions.observe_peer([30, 0, 0].map(StoreRevision::from));
        let source = Arc::new(CountingSource::default());
        let directory = RelayedDirectory::new(state.clone(), source.clone(), Arc::default());
        let read = directory.watch(PART, 20.into(), ReadConsistency::Current).await.unwrap();
        assert_eq!((summarize(&read), source.calls()), (vec![("i-2", 30, true)], 0));
        // A change that the leader does not know is read from the platform.
        state.revisions.observe_peer([50, 0, 0].map(StoreRevision::from));
        source.revision.store(50, Ordering::SeqCst);
        let read = directory.watch(PART, 30.into(), ReadConsistency::Current).await.unwrap();
        assert_eq!((read.revision, source.calls()), (50, 1));
    }

    async missing_entries_do_not_stop_a_start: "an entry that never serves because all others are gone, or because the platform is away" => {
        let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let (directory, source, _) = starting(1, &[gone]);
        source.down.store(true, Ordering::SeqCst);
        assert!(directory.list(PART).await.is_err());
        source.down.store(false, Ordering::SeqCst);
        assert!(directory.list(PART).await.is_ok());
        // One for a small directory, and one whole list that failed.
        assert_eq!(source.calls(), 3);
    }

    async small_directories_are_read_at_once: "an entry of a small deployment that waits for a seed without power although the platform responds" => {
        // An address that accepts connections and never responds.
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (directory, source, _) = starting(1, &[silent.local_addr().unwrap()]);
        source.revision.store(20, Ordering::SeqCst);
        let large = directory.list(PART);
        assert!(timeout(Duration::from_millis(700), large).await.is_err(), "only a small one is read at once");
        let source = Arc::new(CountingSource { is_small: true, ..CountingSource::default() });
        let state = state("starting");
        let directory = RelayedDirectory::new(state, source.clone(), Arc::default());
        let gone = SocketAddr::from(([127, 0, 0, 1], 9));
        let directory = directory.with_seeds(SocketAddr::from(([127, 0, 0, 2], 1)), &[gone]);
        let listed = timeout(Duration::from_millis(700), directory.list(PART)).await;
        assert!(listed.is_ok_and(|listed| listed.is_ok()), "the start waits for the seed");
        assert_eq!(source.calls(), 1);
    }

    async followers_spare_the_platform: "a platform that every entry of a large deployment calls for the same changes" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10), ("i-2", 12)]), BatchOrigin::Listed);
        let (directory, source) = follower(vec![address]);
        let listed = directory.list(PART).await.unwrap();
        assert_eq!((listed.revision, summarize(&listed)), (20, vec![("i-1", 10, true), ("i-2", 12, true)]));
        let watch = directory.watch(PART, 20.into(), ReadConsistency::Stale);
        let change_later = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut change = batch(31, &[("i-3", 30)]);
            change.changes.push(DirectoryChange { name: "i-1".to_owned(), revision: 31, item: None });
            relay.apply(PART, &mut change, BatchOrigin::Watched);
        };
        let (watched, ()) = tokio::join!(watch, change_later);
        let watched = watched.unwrap();
        assert_eq!((watched.revision, summarize(&watched)), (31, vec![("i-3", 30, true), ("i-1", 31, false)]));
        assert_eq!(source.calls(), 0);
    }

    async removals_missed_before_a_list_are_relayed: "a target that a follower keeps because it was removed while its leader had no history" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10), ("i-2", 12)]), BatchOrigin::Listed);
        let (directory, _) = follower(vec![address]);
        relay.apply(PART, &mut batch(40, &[("i-2", 12)]), BatchOrigin::Listed);
        let watched = directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
        assert_eq!(summarize(&watched), [("i-1", 40, false)]);
        // Changes before the first list may be missing, so the follower has to list.
        let older = directory.watch(PART, 15.into(), ReadConsistency::Stale).await;
        assert!(matches!(older, Err(StoreError::TooOld)), "{older:?}");
    }

    async partitioned_leader_is_bypassed: "changes that a follower misses because its leader cannot reach the platform" => {
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        let (directory, source) = follower(vec![address]);
        source.revision.store(50, Ordering::SeqCst);
        let started = Instant::now();
        let follow = async {
            loop {
                let batch = directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
                if batch.revision == 50 {
                    return;
                }
            }
        };
        timeout(Duration::from_secs(20), follow).await.expect("the follower never calls the platform");
        // The leader serves for a while after its last response, so that one slow response of
        // the platform does not make followers call it.
        assert!(started.elapsed() >= Duration::from_millis(1_000), "{:?}", started.elapsed());
    }

    async silent_leader_is_replaced: "followers that wait for a leader that crashed, is paused or cannot be reached" => {
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, relay) = leader().await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        relay.apply(PART, &mut batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let (directory, source) = follower(vec![silent.local_addr().unwrap(), address]);
        let (reversed, _) = follower(vec![address, silent.local_addr().unwrap()]);
        for directory in [directory, reversed] {
            let watched = directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
            assert_eq!(summarize(&watched), [("i-2", 30, true)]);
        }
        assert_eq!(source.calls(), 0);
        let (directory, source) = follower(vec![silent.local_addr().unwrap()]);
        directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
        assert_eq!(source.calls(), 1, "without a reachable leader it calls the platform");
        let stale_reads = source.stale_reads.load(Ordering::SeqCst);
        assert_eq!(stale_reads, 0, "an entry without a reachable leader must not use stale reads");
    }

    async substitutes_serve_for_refused_leaders: "every entry of a large deployment that calls a platform which refuses the leaders only" => {
        let (refused, _) = leader().await;
        // An entry that follows, whose own calls get responses.
        let (substitute, relay) = relay_of_follower(vec![refused]).await;
        let state = state("follower");
        state.revisions.set_leaders(vec![refused], false);
        state.revisions.set_substitutes(vec![substitute]);
        let source = Arc::new(CountingSource::default());
        let directory = RelayedDirectory::new(state, source.clone(), Arc::default());
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::Listed);
        relay.apply(PART, &mut batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let watched = directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
        assert_eq!((summarize(&watched), source.calls()), (vec![("i-2", 30, true)], 0));
        // One that only heard from another entry cannot rule out newer changes.
        let (stale, relay) = relay_of_follower(vec![refused]).await;
        relay.apply(PART, &mut batch(20, &[("i-1", 10)]), BatchOrigin::ListedByPeer);
        let (directory, source) = follower(vec![stale]);
        directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
        assert_eq!(source.calls(), 1);
    }

    async outage_limits_calls: "entries that each call a platform several times a second while it is down" => {
        // The leader has no response of the platform, as in a long outage.
        let (address, relay) = leader().await;
        let (directory, source) = follower(vec![address]);
        source.down.store(true, Ordering::SeqCst);
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(900) {
            assert!(directory.watch(PART, 20.into(), ReadConsistency::Stale).await.is_err());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(source.calls(), 1);
        // The follower notices the recovery through the leader, without a call of its own.
        relay.apply(PART, &mut batch(20, &[]), BatchOrigin::Listed);
        relay.apply(PART, &mut batch(30, &[("i-2", 30)]), BatchOrigin::Watched);
        let recover = async {
            loop {
                if let Ok(batch) = directory.watch(PART, 20.into(), ReadConsistency::Stale).await {
                    return batch;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let watched = timeout(Duration::from_secs(20), recover).await.expect("the follower never notices the recovery");
        assert_eq!((summarize(&watched), source.calls()), (vec![("i-2", 30, true)], 1));
    }

    async failed_call_is_repeated_soon: "a change that an entry without a leader reads seconds late because a connection was reset" => {
        let (directory, source) = follower(Vec::new());
        directory.watch(PART, 20.into(), ReadConsistency::Stale).await.unwrap();
        source.down.store(true, Ordering::SeqCst);
        assert!(directory.watch(PART, 20.into(), ReadConsistency::Stale).await.is_err());
        source.down.store(false, Ordering::SeqCst);
        source.revision.store(30, Ordering::SeqCst);
        let started = Instant::now();
        while directory.watch(PART, 20.into(), ReadConsistency::Stale).await.is_err() {
            assert!(started.elapsed() < Duration::from_secs(1), "a change must be known after two seconds");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async dropped_history_is_no_outage: "an entry that reads no changes for seconds because the platform dropped its history" => {
        let (directory, source) = follower(Vec::new());
        source.history_dropped.store(true, Ordering::SeqCst);
        let watched = directory.watch(PART, 20.into(), ReadConsistency::Stale).await;
        assert!(matches!(watched, Err(StoreError::TooOld)), "{watched:?}");
        source.history_dropped.store(false, Ordering::SeqCst);
        assert!(directory.watch(PART, 20.into(), ReadConsistency::Stale).await.is_ok());
        // A failed call for one part must not delay calls for the other.
        source.down.store(true, Ordering::SeqCst);
        assert!(directory.watch(PART, 20.into(), ReadConsistency::Stale).await.is_err());
        source.down.store(false, Ordering::SeqCst);
        assert!(directory.watch(DirectoryPart::Configuration, 20.into(), ReadConsistency::Stale).await.is_ok());
    }
}
