//! Idempotency keys at one entry, for kinds that are idempotent, that are not, and that require
//! a key.

mod memory_store;
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use memory_store::MemoryStore;
use serde_json::json;
use support::{FakeTarget, echo_heads, read_request};
use tokio::time::{sleep, timeout};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport::store::{ObjectStore, WriteCondition};
use zinniaport_testing::client::{get, send};
use zinniaport_testing::test_cases;

/// Starts an entry with an idempotent kind and two that are not, one of which requires a key.
/// Without `store`, the entry has no platform.
async fn start(target: SocketAddr, store: Option<Arc<MemoryStore>>) -> EntryRuntime {
    let kind = |name: &str, idempotent: bool, require_key: bool| {
        json!({ "name": name, "path_prefix": format!("/{name}"), "rank": 0,
            "idempotent": idempotent, "require_key": require_key, "deadline_ms": 20_000 })
    };
    let service = json!({ "service": "roster-sign-up", "team": "poteca",
        "kinds": [kind("lookup", true, false), kind("sign", false, false), kind("pay", false, true)],
        "targets": [{ "address": target, "data_centre": "a", "slots": 9 }] });
    let mut settings = json!({ "name": "entry-1", "data_centre": "a",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0" });
    if let Some(store) = &store {
        settings["platform"] = json!({ "address": "127.0.0.1:1" });
        let stored = json!({ "intent": service, "author": "luz", "applied": [] }).to_string();
        let name = "intents/roster-sign-up";
        store.write(name, Bytes::from(stored), WriteCondition::Absent).await.unwrap();
    } else {
        settings["services"] = json!([service]);
    }
    let settings = EntrySettings::parse("entry".as_ref(), &settings.to_string()).unwrap();
    let store = store.map(|store| store as Arc<dyn ObjectStore>);
    let entry = EntryRuntime::start_with_store(settings, store).await.unwrap();
    while get(entry.admin_address(), "/readyz").await.unwrap().status() != 200 {
        sleep(Duration::from_millis(5)).await;
    }
    entry
}

async fn call(entry: &EntryRuntime, kind: &str, keys: &[&str]) -> Response<Bytes> {
    let request = Request::post(format!("/roster-sign-up/{kind}"));
    let request = keys.iter().fold(request, |request, key| request.header("idempotency-key", *key));
    send(entry.caller_address(), request.body(Full::default()).unwrap()).await.unwrap()
}

/// Returns the reason of a refusal, empty if there is none, and the outcome.
fn reason_and_outcome(response: &Response<Bytes>) -> (String, String) {
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let reason = body["type"].as_str().unwrap_or_default().replace("urn:zinniaport:", "");
    (reason, response.headers()["x-zinniaport-outcome"].to_str().unwrap().to_owned())
}

test_cases! {
    async keys_are_checked_by_kind: "a key that is ignored, or that is claimed for an idempotent request" => {
        let target = FakeTarget::start(|stream, _| echo_heads(stream)).await;
        let entry = start(target.address, None).await;
        let long = "k".repeat(129);
        let expect = [
            ("sign", vec![], "", "ran"),
            ("sign", vec!["a b"], "bad-key", "not-run"),
            ("sign", vec![long.as_str()], "bad-key", "not-run"),
            ("sign", vec!["a", "b"], "bad-key", "not-run"),
            ("pay", vec![], "key-required", "not-run"),
            // Without a platform no key can be claimed.
            ("sign", vec!["a"], "claim-unavailable", "not-run"),
            ("lookup", vec!["a b"], "", "ran"),
        ];
        for (kind, keys, reason, outcome) in expect {
            let response = call(&entry, kind, &keys).await;
            assert_eq!(reason_and_outcome(&response), (reason.to_owned(), outcome.to_owned()), "{kind} {keys:?}");
        }
        let passed = call(&entry, "lookup", &["a"]).await;
        assert!(String::from_utf8_lossy(passed.body()).contains("idempotency-key: a\r\n"));
    }

    async claims_of_disconnected_callers_are_settled: "a key that stays in state running after its caller disconnected" => {
        let target = FakeTarget::start(|mut stream, _| async move {
            read_request(&mut stream).await;
            sleep(Duration::from_secs(60)).await;
        })
        .await;
        let entry = start(target.address, Some(Arc::default())).await;
        while target.connections() == 0 {
            let _ = timeout(Duration::from_millis(500), call(&entry, "sign", &["a"])).await;
        }
        let mut state = http::HeaderValue::from_static("running");
        while state == "running" {
            let repeated = call(&entry, "sign", &["a"]).await;
            assert_eq!(reason_and_outcome(&repeated), ("key-used".to_owned(), "unknown".to_owned()));
            state = repeated.headers()["x-zinniaport-key-state"].clone();
        }
        assert_eq!(state, "unknown");
    }
}
