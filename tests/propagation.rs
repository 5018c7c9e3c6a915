//! Guards against entries that stop receiving intents during or after failures of the store.

mod memory_store;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use memory_store::MemoryStore;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use zinniaport::propagation::{IntentAnnouncer, PropagationHandle, PropagationParts, follow_store};
use zinniaport::state::SharedState;
use zinniaport::store::{ObjectStore, StoreClient, WriteCondition};
use zinniaport::targets::TargetsDriver;
use zinniaport_core::clock::{ClockSource, Timestamp};
use zinniaport_core::controllers::{EntryLocation, IntentsMessage, VersionedIntent};
use zinniaport_core::intent::ServiceIntent;
use zinniaport_testing::test_cases;

/// A clock that follows the paused time of the test.
struct PausedClock(tokio::time::Instant);

impl ClockSource for PausedClock {
    fn now(&self) -> Timestamp {
        Timestamp(1_000_000) + self.0.elapsed()
    }
}

struct NoPeers;

impl IntentAnnouncer for NoPeers {
    fn announce(&self, _intent: &VersionedIntent) {}
}

fn intent_json(service: &str) -> serde_json::Value {
    json!({ "service": service, "team": "poteca", "kinds": [], "targets": [] })
}

async fn change(store: &MemoryStore, service: &str) -> u64 {
    let name = format!("intents/{service}");
    let condition = match store.read(&name).await.unwrap() {
        Some(object) => WriteCondition::AtVersion(object.version),
        None => WriteCondition::Absent,
    };
    let content = json!({ "intent": intent_json(service), "author": "luz", "applied": [] });
    store.write(&name, Bytes::from(content.to_string()), condition).await.unwrap()
}

async fn start(store: &Arc<MemoryStore>) -> (Arc<SharedState>, PropagationHandle) {
    let clock = Arc::new(PausedClock(tokio::time::Instant::now()));
    let state = Arc::new(SharedState::new(clock, "entry-1", "south-a"));
    let location = EntryLocation { name: "entry-1".to_owned(), region: String::new() };
    let (driver, targets) = TargetsDriver::new(state.clone());
    tokio::spawn(driver.run(CancellationToken::new()));
    let parts = PropagationParts {
        targets,
        store: StoreClient::new(store.clone(), Duration::from_secs(1)),
        watch_timeout: Duration::from_millis(1500),
        state: state.clone(),
        location: location.clone(),
        announcer: Arc::new(NoPeers),
    };
    let handle = follow_store(parts, CancellationToken::new());
    handle.send(IntentsMessage::Members(vec![location])).await;
    (state, handle)
}

fn version(state: &SharedState, service: &str) -> u64 {
    state.fleet.load().find(service).map_or(0, |(_, service)| service.version)
}

async fn advance(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

test_cases! {
    paused changes_arrive_through_faults: "an entry that misses changes after an outage or a lost history of the store" => {
        let store = Arc::new(MemoryStore::default());
        let first = change(&store, "calendar").await;
        let (state, handle) = start(&store).await;
        assert!(!handle.status().ready());
        advance(2).await;
        assert!(handle.status().ready());
        assert_eq!(version(&state, "calendar"), first);

        let second = change(&store, "calendar").await;
        advance(1).await;
        assert_eq!(version(&state, "calendar"), second);

        store.too_old.store(true, Ordering::SeqCst);
        advance(2).await;
        let third = change(&store, "calendar").await;
        advance(2).await;
        assert_eq!(version(&state, "calendar"), third);

        store.down.store(true, Ordering::SeqCst);
        advance(60).await;
        assert!(handle.status().ready(), "an entry without peers serves through an outage");
        let confirmed = handle.status().confirmed_at();
        assert!(state.clock.now().since(confirmed) > Duration::from_secs(50));
        store.down.store(false, Ordering::SeqCst);
        let fourth = change(&store, "calendar").await;
        advance(6).await;
        assert_eq!(version(&state, "calendar"), fourth);
    }

    paused silent_watches_are_replaced: "a watch that is kept although it returns nothing while peers have newer intents" => {
        let store = Arc::new(MemoryStore::default());
        change(&store, "calendar").await;
        let (state, handle) = start(&store).await;
        advance(2).await;
        store.silent_watch.store(true, Ordering::SeqCst);
        let hidden = change(&store, "photo-archive").await;
        let announced = change(&store, "calendar").await;
        advance(10).await;
        assert_eq!(version(&state, "photo-archive"), 0);
        let intent: ServiceIntent = serde_json::from_value(intent_json("calendar")).unwrap();
        handle.send(IntentsMessage::Accepted { intent, version: announced }).await;
        advance(8).await;
        assert_eq!(version(&state, "photo-archive"), hidden);
    }

    paused watches_are_bounded: "watches that are repeated without a pause when they return at once" => {
        let store = Arc::new(MemoryStore::default());
        let (_state, _handle) = start(&store).await;
        advance(2).await;
        let before = store.calls.load(Ordering::SeqCst);
        advance(60).await;
        let calls = store.calls.load(Ordering::SeqCst) - before;
        assert!(calls <= 60, "{calls} calls in a minute without changes");
    }
}
