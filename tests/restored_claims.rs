//! Idempotency keys at two entries whose store comes back from an older copy.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Request;
use http_body_util::Full;
use serde_json::json;
use support::{FakeTarget, read_request};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use uuid::Uuid;
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport_standin::platform::{PlatformSettings, StandinPlatform};
use zinniaport_testing::client::{get, send};
use zinniaport_testing::test_cases;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Starts a target that counts the requests that it runs.
async fn start_target(runs: Arc<AtomicUsize>) -> FakeTarget {
    FakeTarget::start(move |mut stream, _| {
        let runs = runs.clone();
        async move {
            while read_request(&mut stream).await.is_some_and(|head| head.starts_with("POST")) {
                runs.fetch_add(1, Ordering::SeqCst);
                if stream.write_all(RESPONSE).await.is_err() {
                    return;
                }
            }
        }
    })
    .await
}

/// Starts a platform with the intent of a service.
fn start_platform(target: SocketAddr) -> StandinPlatform {
    let platform = StandinPlatform::start(&PlatformSettings::builder().build()).unwrap();
    let kind = json!({ "name": "sign", "path_prefix": "/sign", "rank": 0,
        "idempotent": false, "deadline_ms": 20_000 });
    let service = json!({ "service": "roster-sign-up", "team": "poteca", "kinds": [kind],
        "targets": [{ "address": target, "data_centre": "a", "slots": 9 }] });
    let stored = json!({ "intent": service, "author": "luz", "applied": [] });
    platform.seed("intents/roster-sign-up", &stored.to_string());
    platform
}

async fn start_entry(name: &str, platform: SocketAddr) -> EntryRuntime {
    let settings = json!({ "name": name, "data_centre": "a", "listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0", "platform": { "address": platform } });
    let settings = EntrySettings::parse("entry".as_ref(), &settings.to_string()).unwrap();
    let entry = EntryRuntime::start(settings).await.unwrap();
    while get(entry.admin_address(), "/readyz").await.unwrap().status() != 200 {
        sleep(Duration::from_millis(5)).await;
    }
    entry
}

/// Sends a request with a key and returns the outcome in its response.
async fn call(entry: &EntryRuntime, key: &str) -> String {
    let request = Request::post("/roster-sign-up/sign").header("idempotency-key", key);
    let request = request.body(Full::default()).unwrap();
    let response = send(entry.caller_address(), request).await.unwrap();
    response.headers()["x-zinniaport-outcome"].to_str().unwrap().to_owned()
}

/// Sends requests with new keys until one runs. Keys of the first second after a restore may be
/// older than it.
async fn call_until_run(entry: &EntryRuntime) {
    while call(entry, &Uuid::now_v7().to_string()).await != "ran" {
        sleep(Duration::from_millis(100)).await;
    }
}

test_cases! {
    async lost_claims_run_nothing_twice: "a key that runs again at another entry after the store lost its claim, or is reported as not run" => {
        let runs = Arc::<AtomicUsize>::default();
        let target = start_target(runs.clone()).await;
        let mut platform = start_platform(target.address);
        let entries =
            [start_entry("entry-1", platform.address()).await, start_entry("entry-2", platform.address()).await];
        let backup = platform.snapshot();
        let keys = [Uuid::now_v7().to_string(), "visit-1".to_owned()];
        for key in &keys {
            assert_eq!(call(&entries[0], key).await, "ran");
        }
        platform.restart(backup).await.unwrap();
        for key in &keys {
            for entry in [1, 0, 1] {
                assert_ne!(call(&entries[entry], key).await, "not-run", "{key} at entry {entry}");
            }
        }
        assert_eq!(runs.load(Ordering::SeqCst), 2, "each key ran once");
        call_until_run(&entries[1]).await;
        assert_eq!(runs.load(Ordering::SeqCst), 3);
    }

    async entries_start_after_a_restore: "an entry that does not start, or never claims a key, on a store that was restored" => {
        let target = start_target(Arc::default()).await;
        let mut platform = start_platform(target.address);
        let backup = platform.snapshot();
        platform.restart(backup).await.unwrap();
        let entry = start_entry("entry-1", platform.address()).await;
        call_until_run(&entry).await;
    }
}
