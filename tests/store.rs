//! Guards against a store client that loses updates or changes, or reports a wrong result.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use zinniaport::store::{
    HttpStore, ObjectStore, StoreError, StoredObject, WatchBatch, WriteCondition,
};
use zinniaport_standin::platform::{CallKind, PlatformFaults, PlatformSettings, StandinPlatform};
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

const LIMIT: Duration = Duration::from_secs(30);

fn start(history_limit: usize) -> (StandinPlatform, Arc<HttpStore>) {
    let settings = PlatformSettings::builder().history_limit(history_limit).build();
    let platform = StandinPlatform::start(&settings).unwrap();
    let store = HttpStore::builder().address(platform.address()).call_limit(LIMIT).build();
    (platform, Arc::new(store))
}

fn is_no_response<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::NoResponse { .. }))
}

fn is_refused<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::Refused { .. }))
}

/// Adds one to the number in an object, and repeats the attempt after each conflict.
async fn increment(store: &HttpStore, name: &str) {
    loop {
        let object = store.read(name).await.unwrap().unwrap();
        let number: u64 = object.content.unwrap().parse().unwrap();
        let content = Bytes::from((number + 1).to_string());
        match store.write(name, content, WriteCondition::AtVersion(object.version)).await {
            Ok(_) => return,
            Err(StoreError::Conflict { version }) => assert!(version > object.version),
            Err(error) => panic!("{error}"),
        }
    }
}

fn apply(objects: &mut BTreeMap<String, StoredObject>, batch: WatchBatch) -> u64 {
    for change in batch.changes {
        objects.insert(change.name.clone(), change);
    }
    batch.version
}

test_cases! {
    async responses_map_to_errors: "a response that is mapped to the wrong error" => {
        let (platform, store) = start(100);
        assert_eq!(store.read("intents/a").await, Ok(None));
        let absent = WriteCondition::Absent;
        assert_eq!(store.write("intents/a", Bytes::from("1"), absent).await, Ok(1));
        let object = store.read("intents/a").await.unwrap().unwrap();
        assert_eq!((object.version, object.content.as_deref()), (1, Some("1")));
        let conflict = Err(StoreError::Conflict { version: 1 });
        assert_eq!(store.write("intents/a", Bytes::from("2"), absent).await, conflict);
        assert_eq!(store.delete("intents/a", 7).await, Err(StoreError::Conflict { version: 1 }));
        assert_eq!(store.delete("intents/a", 1).await, Ok(()));
        let absent_delete = store.delete("intents/a", 1).await;
        assert_eq!(absent_delete, Err(StoreError::Conflict { version: 0 }));
        let large = |extra: usize| Bytes::from("x".repeat((1 << 20) + extra));
        assert!(is_refused(&store.write("large", large(1), absent).await));
        assert_eq!(store.write("large", large(0), absent).await, Ok(3));
        assert!(is_refused(&store.read("bad name?").await));
        platform.set_faults(PlatformFaults { calls_per_second: Some(0), ..Default::default() });
        assert!(is_refused(&store.read("large").await));
        assert_eq!(platform.counts().limited, 1);
    }

    async races_lose_no_update: "two writers that both succeed in changing the same version" => {
        let (platform, store) = start(10_000);
        platform.seed("counter", "0");
        let writers = 8;
        let rounds = 25;
        let tasks: Vec<_> = (0..writers)
            .map(|_| {
                let store = store.clone();
                tokio::spawn(async move {
                    for _ in 0..rounds {
                        increment(&store, "counter").await;
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.unwrap();
        }
        let object = store.read("counter").await.unwrap().unwrap();
        assert_eq!(object.content.unwrap(), (writers * rounds).to_string());
        assert_eq!(object.version, 1 + writers * rounds);
    }

    async lost_response_is_not_a_refusal: "a write that took effect and is reported as refused" => {
        let (platform, store) = start(100);
        // Opens a connection, so that the response is lost on a reused one.
        assert_eq!(store.read("plan").await, Ok(None));
        platform.set_faults(PlatformFaults { lost_answers: 1, ..PlatformFaults::default() });
        let lost = store.write("plan", Bytes::from("p1"), WriteCondition::Absent).await;
        assert!(is_no_response(&lost), "{lost:?}");
        let object = store.read("plan").await.unwrap().unwrap();
        assert_eq!(object.content.as_deref(), Some("p1"));
        assert_eq!(platform.counts().of(CallKind::Write), 1, "the client sent the write once");
        assert_eq!(store.write("plan", "p2".into(), WriteCondition::AtVersion(1)).await, Ok(2));
    }

    async client_recovers_after_outage: "a client that keeps using a dead connection after an outage" => {
        let (mut platform, store) = start(100);
        platform.seed("a", "1");
        assert!(store.read("a").await.unwrap().is_some());
        platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        assert!(is_no_response(&store.read("a").await));
        platform.set_faults(PlatformFaults::default());
        assert!(store.read("a").await.unwrap().is_some());
        let backup = platform.snapshot();
        platform.seed("a", "2");
        platform.stop().await;
        // The client may not have noticed yet that its old connection is closed.
        assert!(store.write("b", "1".into(), WriteCondition::Absent).await.is_err());
        let fresh = HttpStore::builder().address(platform.address()).call_limit(LIMIT).build();
        let not_sent = fresh.write("b", "1".into(), WriteCondition::Absent).await;
        assert!(is_refused(&not_sent), "{not_sent:?}");
        platform.restart(backup).await.unwrap();
        assert_eq!(store.read("a").await.unwrap().unwrap().content.as_deref(), Some("1"));
        assert_eq!(store.watch("", 2, LIMIT).await.unwrap_err(), StoreError::TooOld);
    }

    async earlier_eras_are_refused: "a write that takes effect because a restored store gave its version out again" => {
        let (mut platform, store) = start(100);
        platform.seed("a", "1");
        let backup = platform.snapshot();
        platform.seed("a", "2");
        assert_eq!(store.read("a").await.unwrap().unwrap().version, 2);
        let before = store.era().unwrap();
        let at = WriteCondition::AtVersion;
        platform.restart(backup).await.unwrap();
        platform.seed("a", "3");
        // The client may not have noticed yet that its old connection is closed.
        while store.read("a").await.is_err() {}
        let refused = store.write_in_era("a", "4".into(), at(2), before).await;
        assert!(is_refused(&refused), "{refused:?}");
        let era = store.era().unwrap();
        assert_eq!(era.0, before.0 + 1);
        assert_eq!(store.write_in_era("a", "4".into(), at(2), era).await, Ok(3));
        assert_eq!(store.write("a", "5".into(), at(3)).await, Ok(4));
    }

    async watch_and_list_miss_nothing: "a change that is lost between a list and the watch after it" => {
        // With such a short history the reader falls behind and has to list again.
        let (platform, store) = start(4);
        let changes = 300;
        let last = format!("{changes}");
        let writer = {
            let store = store.clone();
            tokio::spawn(async move {
                for number in 1..=changes {
                    let name = format!("intents/{}", number % 7);
                    let content = Bytes::from(number.to_string());
                    let present = store.read(&name).await.unwrap();
                    let condition = present.map_or(WriteCondition::Absent, |object| {
                        WriteCondition::AtVersion(object.version)
                    });
                    store.write(&name, content, condition).await.unwrap();
                }
            })
        };
        let mut objects = BTreeMap::new();
        let mut version = apply(&mut objects, store.list("intents/").await.unwrap());
        // Makes the first watch start before the history that the platform keeps.
        while platform.counts().of(CallKind::Write) < version + 5 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut lists = 1;
        let is_last = |object: &StoredObject| object.content.as_ref() == Some(&last);
        while !objects.values().any(is_last) {
            version = match store.watch("intents/", version, LIMIT).await {
                Ok(batch) => apply(&mut objects, batch),
                Err(StoreError::TooOld) => {
                    lists += 1;
                    apply(&mut objects, store.list("intents/").await.unwrap())
                }
                Err(error) => panic!("{error}"),
            };
        }
        writer.await.unwrap();
        let listed = store.list("intents/").await.unwrap();
        let listed: BTreeMap<_, _> =
            listed.changes.into_iter().map(|object| (object.name.clone(), object)).collect();
        assert_eq!(objects, listed);
        assert!(lists > 1, "the reader did not have to list again");
        assert_eq!(platform.counts().of(CallKind::List), lists + 1);
    }

    async silent_watch_ends: "a watch that hangs forever because the platform is silent" => {
        let (platform, store) = start(100);
        platform.set_faults(PlatformFaults { silent_watches: true, ..PlatformFaults::default() });
        let silent = store.watch("", 0, Duration::from_millis(20)).await;
        assert!(is_no_response(&silent), "{silent:?}");
        platform.seed("a", "1");
        platform.set_faults(PlatformFaults::default());
        let batch = store.watch("", 0, LIMIT).await.unwrap();
        assert_eq!((batch.version, batch.changes.len()), (1, 1));
        let quiet = get(platform.address(), "/watch?prefix=&after=1&timeout_ms=20").await.unwrap();
        let batch: WatchBatch = serde_json::from_slice(quiet.body()).unwrap();
        assert_eq!((batch.version, batch.changes.len()), (1, 0));
    }

    async outage_ends_waiting_watches: "a watch that hangs after the platform has closed its connection" => {
        let (platform, store) = start(100);
        let watch = tokio::spawn(async move { store.watch("", 0, LIMIT * 100).await });
        while platform.counts().waiting_watches == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        assert!(is_no_response(&watch.await.unwrap()));
        assert_eq!(platform.counts().waiting_watches, 0);
    }
}
