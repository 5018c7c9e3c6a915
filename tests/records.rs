//! Guards against requests that cannot be explained at another entry, or after a crash of the
//! entry that served them.

mod memory_store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use memory_store::MemoryStore;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Runtime};
use zinniaport::records::{CopyLimiter, RecordCopies, RecordPacker};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport::state::SharedState;
use zinniaport::store::{ObjectStore, WriteCondition};
use zinniaport_core::call::{CallFacts, CallOutcome, ReasonCode};
use zinniaport_core::clock::{SystemClock, Timestamp};
use zinniaport_core::decision::{
    AdmissionTrace, CallEnd, DecisionRecord, DecisionTrace, DispatchTrace, RequestId,
};
use zinniaport_core::keys::TargetKey;
use zinniaport_standin::target::StandinTarget;
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

/// Entries that share a store and one target.
struct Deployment {
    entries: Vec<EntryRuntime>,
    /// Each entry has its own runtime; shutting it down simulates a crash.
    runtimes: Vec<Runtime>,
    _target: StandinTarget,
}

impl Deployment {
    /// Starts an entry in each data centre and waits until all of them know each other and
    /// the intent.
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
        let mut runtimes = Vec::new();
        for (position, data_centre) in data_centres.iter().enumerate() {
            let seeds: Vec<SocketAddr> = entries.first().map(gossip_address).into_iter().collect();
            let settings = json!({
                "name": format!("entry-{}", position + 1), "data_centre": data_centre,
                "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
                "platform": { "address": "127.0.0.1:1" },
                "peers": { "listen": "127.0.0.1:0", "seeds": seeds },
            });
            let settings: EntrySettings = serde_json::from_value(settings).unwrap();
            let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
            runtimes.push(runtime.unwrap());
            let starting = EntryRuntime::start_with_store(settings, Some(store.clone()));
            let entry = runtimes[position].spawn(starting).await.unwrap().unwrap();
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
        Self { entries, runtimes, _target: target }
    }

    /// Sends a request to an entry and returns its id.
    async fn request(&self, entry: usize) -> String {
        let response = get(self.entries[entry].caller_address(), "/s/1").await.unwrap();
        assert_eq!(response.status(), 200);
        response.headers()["x-request-id"].to_str().unwrap().to_owned()
    }

    /// Crashes an entry by shutting down its runtime.
    async fn crash(&mut self, entry: usize) {
        drop(self.entries.remove(entry));
        let runtime = self.runtimes.remove(entry);
        let end = move || runtime.shutdown_timeout(Duration::from_secs(30));
        tokio::task::spawn_blocking(end).await.unwrap();
    }

    async fn query(&self, entry: usize, path: &str) -> Option<Value> {
        let response = get(self.entries[entry].admin_address(), path).await.unwrap();
        (response.status() == 200).then(|| serde_json::from_slice(response.body()).unwrap())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Dropping a runtime inside another one panics, because it would block.
        self.runtimes.drain(..).for_each(Runtime::shutdown_background);
    }
}

/// Returns the value of a counter without labels, 0 before its first increment.
async fn counter(entry: &EntryRuntime, name: &str) -> u64 {
    let response = get(entry.admin_address(), "/metrics").await.unwrap();
    let text = String::from_utf8_lossy(response.body()).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().unwrap())
}

/// Returns a record of a request that waited in a queue.
fn waited_record(number: u64, arrived: Timestamp) -> DecisionRecord {
    let after = |micros| arrived + Duration::from_micros(micros);
    let dispatch = DispatchTrace {
        target: TargetKey::default(),
        rule: ReasonCode::LowestReport,
        candidates: 35,
        dispatched: after(4_000),
        report_age_us: Some(1_300),
    };
    DecisionRecord {
        request_id: RequestId::new(&uuid(number)),
        facts: CallFacts {
            rank: 1,
            arrived,
            deadline: after(500_000),
            config_version: 1_200,
            ..CallFacts::default()
        },
        trace: DecisionTrace {
            admission: Some(AdmissionTrace {
                rule: ReasonCode::DeadlineFirst,
                queued: after(30),
                admitted: after(3_900),
                admission_number: number + 700,
                queue_length: 12,
                overtaken: 2,
            }),
            dispatches: [Some(dispatch), None, None, None],
        },
        end: CallEnd {
            outcome: CallOutcome::Ran,
            reason: ReasonCode::Answered,
            status: 200,
            answered: after(24_000),
            snapshot_published: Timestamp(arrived.0 - 90_000),
        },
    }
}

fn uuid(number: u64) -> String {
    format!("0190163d-8694-739b-aea5-{number:012x}")
}

fn gossip_address(entry: &EntryRuntime) -> SocketAddr {
    entry.control().unwrap().peers().unwrap().members()[0].address
}

/// Waits until `done` returns `true`. The limit only ends a hung test.
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
    async any_entry_explains: "an entry that can explain only the requests that it served" => {
        let deployment = Deployment::start(&["a", "a", "a"]).await;
        let (one, two) = (deployment.request(0).await, deployment.request(1).await);
        let explained = deployment.query(2, &format!("/v1/explain/{one}")).await.unwrap();
        assert_eq!(entries_of(&explained), ["entry-1"]);
        let path = format!("/v1/explain/{one}?why_after={two}");
        let compared = deployment.query(2, &path).await.unwrap();
        assert_eq!(entries_of(&compared), ["entry-1", "entry-2"]);
        assert_eq!(compared["rules"][0], "separate-queues");
        assert_eq!(deployment.query(2, "/v1/explain/unknown").await, None);
    }

    async records_survive_a_crash: "decision records that are lost when the entry that wrote them crashes" => {
        let mut deployment = Deployment::start(&["a", "b", "a"]).await;
        let mut ids = Vec::new();
        for _ in 0..20 {
            ids.push(deployment.request(0).await);
        }
        let mut copied = 0;
        for _ in 0..1_000 {
            copied = counter(&deployment.entries[0], "zinniaport_records_copied_total ").await;
            if copied >= 20 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(copied, 20);
        let left_out = "zinniaport_records_not_copied_total ";
        assert_eq!(counter(&deployment.entries[0], left_out).await, 0);
        let backup = deployment.entries[1].control().unwrap().state().copies.find(&ids[0]);
        assert!(backup.is_some(), "the backup entry is in another data centre");
        let late = deployment.request(0).await;
        deployment.crash(0).await;
        for id in &ids {
            let explained = deployment.query(1, &format!("/v1/explain/{id}")).await;
            assert_eq!(entries_of(&explained.expect("the copy survives the crash")), ["entry-1"]);
        }
        // Only records of requests that ended after the last batch may be lost.
        if let Some(explained) = deployment.query(1, &format!("/v1/explain/{late}")).await {
            assert_eq!(entries_of(&explained), ["entry-1"]);
        }
    }

    async burn_covers_all_entries: "a burn report that covers one entry only, or hides that entries are missing" => {
        let mut deployment = Deployment::start(&["a", "b", "c"]).await;
        for entry in [0, 0, 1, 2, 2, 2] {
            deployment.request(entry).await;
        }
        let mut burn = Value::Null;
        for _ in 0..500 {
            burn = deployment.query(1, "/v1/burn").await.unwrap();
            if burn["kinds"][0]["windows"][0]["requests"] == 6 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(burn["kinds"][0]["windows"][0]["requests"], 6, "{burn}");
        assert_eq!((&burn["entries"], &burn["answered"]), (&json!(3), &json!(3)));
        deployment.crash(2).await;
        let burn = deployment.query(1, "/v1/burn").await.unwrap();
        assert_eq!((&burn["entries"], &burn["answered"]), (&json!(3), &json!(2)), "{burn}");
        assert_eq!(burn["kinds"][0]["windows"][0]["requests"], 3);
    }

    copies_are_complete_and_small: "copies that differ from the record or exceed the byte limit" => {
        let clock = Arc::new(SystemClock::new());
        let state = Arc::new(SharedState::new(clock, "entry-1", "a"));
        let now = state.clock.now();
        let started = Instant::now();
        for number in 1..=10_000_u64 {
            state.decisions.write(waited_record(number, now + Duration::from_micros(number * 25)));
        }
        let recording = started.elapsed() / 10_000;
        let ring_batch = state.decisions.read_after(0, 10_000);
        let mut packer = RecordPacker::new(state.clone());
        let started = Instant::now();
        let (batch, bytes) = packer.pack(ring_batch.clone(), usize::MAX);
        let packing = started.elapsed() / 10_000;
        let per_record = bytes as f64 / 10_000.0;
        println!("recording {recording:?}, packing {packing:?}, {per_record} bytes per record");
        assert!(per_record < 80.0, "{per_record} bytes per record");
        let backup = RecordCopies::default();
        assert!(backup.insert(batch.clone()));
        assert!(!backup.insert(batch), "names out of order are refused");
        let (number, record) = &ring_batch.records[4_321];
        let named = record.named_with_caller(*number, "entry-1", &state.fleet.load(), None);
        assert_eq!(backup.find(&uuid(*number)), Some(named));

        let (batch, bytes) = packer.pack(ring_batch, 1_024);
        assert!(bytes <= 1_024 && batch.records.len() >= 10, "{bytes} bytes");
        let encoded: usize = batch.records.iter().map(Vec::len).sum();
        assert!(encoded <= bytes);
    }

    small_limits_copy_records: "a small byte limit that the frames use up before a record fits" => {
        let state = Arc::new(SharedState::new(Arc::new(SystemClock::new()), "entry-1", "a"));
        let start = state.clock.now();
        let mut limiter = CopyLimiter::new(1_024, start);
        let mut packer = RecordPacker::new(state.clone());
        let (mut copied, mut sent, mut after) = (0, 0, 0);
        let started = Instant::now();
        for batch in 1..=240_u64 {
            let now = start + Duration::from_millis(250) * batch as u32;
            for number in 1..=1_750 {
                state.decisions.write(waited_record(batch * 10_000 + number, now));
            }
            if let Some(available) = limiter.available(now) {
                let ring_batch = state.decisions.read_after(after, 16_384);
                after = ring_batch.last;
                let (batch, bytes) = packer.pack(ring_batch, available);
                copied += batch.records.len();
                sent += limiter.consume(bytes);
            }
        }
        println!("{copied} records, {sent} bytes, {:?} per decision", started.elapsed() / 420_000);
        assert!(sent <= 60 * 1_024, "{sent} bytes in 60 s");
        assert!(copied >= 60 * 6, "{copied} records in 60 s");
    }

    refused_requests_are_copied_first: "a byte limit spent on records of ordinary requests before those of refused ones" => {
        let state = Arc::new(SharedState::new(Arc::new(SystemClock::new()), "entry-1", "a"));
        let now = state.clock.now();
        for number in 1..=100 {
            let mut record = waited_record(number, now);
            if number == 50 {
                record.end.outcome = CallOutcome::NotRun;
                record.end.reason = ReasonCode::QueueFull;
            }
            state.decisions.write(record);
        }
        let mut packer = RecordPacker::new(state.clone());
        let (batch, _) = packer.pack(state.decisions.read_after(0, 100), 200);
        let backup = RecordCopies::default();
        assert!(batch.records.len() < 10 && backup.insert(batch));
        assert!(backup.find(&uuid(50)).is_some());
    }
}
