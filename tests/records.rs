//! Explanations from any entry, also after the entry that served has gone.

mod memory_store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use memory_store::MemoryStore;
use serde_json::{Value, json};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport::store::{ObjectStore, WriteCondition};
use zinniaport_standin::target::StandinTarget;
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

/// Entries that share a store and one target.
struct Deployment {
    entries: Vec<EntryRuntime>,
    _target: StandinTarget,
}

impl Deployment {
    /// Starts an entry in each data centre and waits until all know each other
    /// and the intent.
    async fn start(data_centres: &[&str]) -> Self {
        let target = StandinTarget::start("127.0.0.1:0".parse().unwrap(), 2).await.unwrap();
        let store = Arc::new(MemoryStore::default());
        let intent = json!({
            "service": "s", "team": "t",
            "kinds": [{ "name": "k", "rank": 0, "idempotent": true, "deadline_ms": 20_000 }],
            "targets": [{ "address": target.address(), "data_centre": "a", "slots": 2 }],
        });
        let content = json!({ "intent": intent, "author": "luz", "applied": [] }).to_string();
        store.write("intents/s", Bytes::from(content), WriteCondition::Absent).await.unwrap();
        let mut entries: Vec<EntryRuntime> = Vec::new();
        for (position, data_centre) in data_centres.iter().enumerate() {
            let seeds: Vec<SocketAddr> = entries.first().map(gossip_address).into_iter().collect();
            let settings = json!({
                "name": format!("entry-{}", position + 1), "data_centre": data_centre,
                "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
                "platform": { "address": "127.0.0.1:1" },
                "peers": { "listen": "127.0.0.1:0", "seeds": seeds },
            });
            let settings: EntrySettings = serde_json::from_value(settings).unwrap();
            let entry = EntryRuntime::start_with(settings, Some(store.clone())).await.unwrap();
            let control = entry.control().unwrap();
            wait_until("the start", || !control.peers().unwrap().members().is_empty()).await;
            entries.push(entry);
        }
        let count = entries.len();
        wait_until("the members and the intent", || {
            entries.iter().all(|entry| {
                let control = entry.control().unwrap();
                control.peers().unwrap().members().len() == count
                    && control.state().fleet.load().find("s").is_some()
            })
        })
        .await;
        Self { entries, _target: target }
    }

    /// Sends a request to an entry and returns its id.
    async fn request(&self, entry: usize) -> String {
        let answer = get(self.entries[entry].caller_address(), "/s/1").await.unwrap();
        assert_eq!(answer.status(), 200);
        answer.headers()["x-request-id"].to_str().unwrap().to_owned()
    }

    async fn ask(&self, entry: usize, path: &str) -> Option<Value> {
        let answer = get(self.entries[entry].admin_address(), path).await.unwrap();
        (answer.status() == 200).then(|| serde_json::from_slice(answer.body()).unwrap())
    }
}

fn gossip_address(entry: &EntryRuntime) -> SocketAddr {
    entry.control().unwrap().peers().unwrap().members()[0].address
}

/// Waits until `done` holds; the limit only ends a hung test.
async fn wait_until(what: &str, done: impl Fn() -> bool) {
    for _ in 0..1_500 {
        if done() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what} did not happen within 30 s");
}

fn entries_of(explanation: &Value) -> Vec<&str> {
    let values = explanation["rows"][0]["values"].as_array().unwrap();
    values.iter().map(|value| value.as_str().unwrap()).collect()
}

test_cases! {
    async any_entry_explains: "an entry that explains only the requests that it served" => {
        let deployment = Deployment::start(&["a", "a", "a"]).await;
        let (one, two) = (deployment.request(0).await, deployment.request(1).await);
        let explained = deployment.ask(2, &format!("/v1/explain/{one}")).await.unwrap();
        assert_eq!(entries_of(&explained), ["entry-1"]);
        let path = format!("/v1/explain/{one}?why_after={two}");
        let compared = deployment.ask(2, &path).await.unwrap();
        assert_eq!(entries_of(&compared), ["entry-1", "entry-2"]);
        assert_eq!(compared["rules"][0], "separate-queues");
        assert_eq!(deployment.ask(2, "/v1/explain/unknown").await, None);
    }
}
