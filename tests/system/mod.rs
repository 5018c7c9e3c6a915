//! Three entries, a platform and targets as processes on loopback.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod load;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
pub use load::{CallResult, CallerLoad};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpSocket;
use zinniaport_standin::target::RunCounts;
use zinniaport_testing::client::{get, send};
use zinniaport_testing::process::ChildProcess;
use zinniaport_testing::reserve_port;

/// Longest wait for a condition, so that a failing test ends.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of entries that a system starts with.
pub const ENTRIES: usize = 3;

/// A running entry.
pub struct TestEntry {
    pub process: ChildProcess,
    pub caller_address: SocketAddr,
    pub admin: SocketAddr,
}

/// A running stand-in for a target or the platform.
pub struct TestTarget {
    pub process: ChildProcess,
    pub address: SocketAddr,
}

/// A system under test; its processes end when it is dropped.
pub struct TestSystem {
    name: &'static str,
    /// Maximum number of runs of a request; with 1 no hedges are started, and so none cancelled.
    max_runs: u8,
    pub platform: TestTarget,
    pub targets: Vec<TestTarget>,
    pub entries: Vec<TestEntry>,
    /// Reserved ports for gossip: bound, so that no other process gets them, but not listening.
    ports: Vec<TcpSocket>,
}

impl TestSystem {
    /// Starts a system and applies a first plan with all targets. `targets` has the options of each
    /// target.
    pub async fn start(name: &'static str, max_runs: u8, targets: &[&[&str]]) -> Self {
        let platform = start_platform("127.0.0.1:0").await;
        let mut started = Vec::new();
        for (number, options) in targets.iter().enumerate() {
            started.push(start_target(&format!("127.0.1.{}:0", number + 1), options).await);
        }
        let ports = (0..=ENTRIES).map(|_| reserve_port()).collect();
        let mut system =
            Self { name, max_runs, platform, targets: started, entries: Vec::new(), ports };
        for _ in 0..ENTRIES {
            system.start_entry().await;
        }
        for entry in 0..ENTRIES {
            system.wait_until_ready(entry).await;
        }
        let version = system.apply_intent(0, &system.intent(&[])).await;
        system.wait_for_version(&[0, 1, 2], version).await;
        system
    }

    /// Starts one more entry without waiting until it is ready.
    pub async fn start_entry(&mut self) {
        let number = self.entries.len();
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-entry-{number}.yaml", self.name));
        std::fs::write(&path, self.settings(number)).unwrap();
        let arguments = ["--settings".as_ref(), path.as_os_str()];
        let mut process = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
        let caller_address = process.wait_for_line("callers:").await.parse().unwrap();
        let admin = process.wait_for_line("admin:").await.parse().unwrap();
        self.entries.push(TestEntry { process, caller_address, admin });
    }

    /// Returns the settings of an entry.
    fn settings(&self, number: usize) -> String {
        let address = |port: &TcpSocket| port.local_addr().unwrap().to_string();
        let token = |author: &str| {
            let digest = Sha256::digest(format!("token-{author}"));
            let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            json!({ "author": author, "sha256": digest })
        };
        // JSON is valid YAML.
        json!({
            "name": format!("entry-{number}"),
            "data_centre": "valle-a",
            "listen": "127.0.0.1:0",
            "admin_listen": "127.0.0.1:0",
            "stop": { "balancer_lag_ms": 300, "idle_linger_ms": 300 },
            "platform": {
                "address": self.platform.address,
                "teams": [{ "name": "co-operative", "tokens": [token("ana"), token("luz")] }],
            },
            "peers": {
                "listen": address(&self.ports[number]),
                "region": "valle",
                "seeds": self.ports[..ENTRIES].iter().map(address).collect::<Vec<_>>(),
            },
        })
        .to_string()
    }

    /// Returns an intent with all targets; those in `leaving` have that state.
    pub fn intent(&self, leaving: &[usize]) -> Value {
        let targets = self.targets.iter().enumerate().map(|(number, target)| {
            let state = if leaving.contains(&number) { "leaving" } else { "serving" };
            let address = target.address;
            json!({ "address": address, "data_centre": "valle-a", "slots": 3, "state": state })
        });
        json!({
            "service": "pump-history",
            "team": "co-operative",
            "kinds": [{
                "name": "lookup", "rank": 0, "idempotent": true, "max_runs": self.max_runs,
                "deadline_ms": 20_000,
            }],
            "targets": targets.collect::<Vec<_>>(),
        })
    }

    /// Submits an intent to an entry and returns the path that confirms its plan.
    pub async fn create_plan(&self, entry: usize, author: &str, intent: &Value) -> String {
        let statement = json!({ "intent": intent, "allow_below_load": true });
        let path = "/v1/services/pump-history/intent";
        let (status, plan) = self.post_admin(entry, author, path, &statement.to_string()).await;
        assert_eq!(status, StatusCode::CREATED, "{plan}");
        format!("/v1/plans/{}/confirm", plan["identity"].as_str().unwrap())
    }

    /// Confirms a plan and returns the response.
    pub async fn confirm(&self, entry: usize, author: &str, plan: &str) -> (StatusCode, Value) {
        self.post_admin(entry, author, plan, "").await
    }

    /// Submits an intent, confirms its plan and returns the new version.
    pub async fn apply_intent(&self, entry: usize, intent: &Value) -> u64 {
        let plan = self.create_plan(entry, "ana", intent).await;
        let (status, outcome) = self.confirm(entry, "ana", &plan).await;
        assert_eq!(status, StatusCode::OK, "{outcome}");
        outcome["version"].as_u64().expect("an applied plan has a version")
    }

    /// Sends a POST request with an author's token to the administration API of an entry.
    async fn post_admin(
        &self,
        entry: usize,
        author: &str,
        path: &str,
        body: &str,
    ) -> (StatusCode, Value) {
        let request = Request::post(path)
            .header("authorization", format!("Bearer token-{author}"))
            .body(Full::from(body.to_owned()))
            .unwrap();
        let response = send(self.entries[entry].admin, request).await.unwrap();
        (response.status(), serde_json::from_slice(response.body()).unwrap())
    }

    /// Returns the status of the service at an entry, or null if the entry has no service.
    pub async fn service_status(&self, entry: usize) -> Value {
        let response = get(self.entries[entry].admin, "/v1/status").await.unwrap();
        let mut status: Value = serde_json::from_slice(response.body()).unwrap();
        status.pointer_mut("/services/0").map(Value::take).unwrap_or_default()
    }

    /// Returns the version of the intent that an entry has applied, or 0 if it has none.
    pub async fn version(&self, entry: usize) -> u64 {
        self.service_status(entry).await["version"].as_u64().unwrap_or(0)
    }

    /// Returns the status of a target at an entry.
    pub async fn target_status(&self, entry: usize, target: usize) -> Value {
        let service = self.service_status(entry).await;
        service["targets"][target].clone()
    }

    pub async fn is_ready(&self, entry: usize) -> bool {
        get(self.entries[entry].admin, "/readyz").await.unwrap().status() == 200
    }

    pub async fn wait_until_ready(&self, entry: usize) {
        eventually("the entry is ready", async || self.is_ready(entry).await).await;
    }

    /// Waits until each of `entries` has applied the version of the intent.
    pub async fn wait_for_version(&self, entries: &[usize], version: u64) {
        for entry in entries {
            eventually("the version is applied", async || self.version(*entry).await == version)
                .await;
        }
    }

    /// Waits until a target has the given state at each of `entries`.
    pub async fn wait_for_state(&self, entries: &[usize], target: usize, state: &str) {
        for entry in entries {
            eventually(state, async || self.target_status(*entry, target).await["state"] == state)
                .await;
        }
    }

    /// Sets the faults of the platform.
    pub async fn set_faults(&self, faults: &Value) {
        put(self.platform.address, "/faults", faults).await;
    }

    /// Returns the platform's counts of calls.
    pub async fn counts(&self) -> Value {
        let counts = get(self.platform.address, "/counts").await.unwrap();
        serde_json::from_slice(counts.body()).unwrap()
    }

    /// Returns the number of calls of a kind that the platform has handled.
    pub async fn calls(&self, kind: &str) -> u64 {
        self.counts().await["calls"][kind].as_u64().unwrap_or(0)
    }

    /// Sets the behaviour of a target.
    pub async fn set_behaviour(&self, target: usize, behaviour: &Value) {
        put(self.targets[target].address, "/standin/behaviour", behaviour).await;
    }

    /// Returns the counts of requests that a target ran.
    pub async fn runs(&self, target: usize) -> RunCounts {
        let response = get(self.targets[target].address, "/standin/runs").await.unwrap();
        serde_json::from_slice(response.body()).unwrap()
    }

    /// Asserts that each request got a complete response or was refused, and that none of `targets`
    /// ran a request that was reported as not run.
    pub async fn assert_outcomes_match_runs(&self, results: &[CallResult], targets: &[usize]) {
        let mut runs = Vec::new();
        for target in targets {
            runs.push(self.runs(*target).await);
        }
        for result in results {
            match result {
                CallResult::Answered => {}
                CallResult::Refused { request_id, outcome } if outcome == "not-run" => {
                    let ran = runs.iter().any(|runs| runs.of_request(request_id) > 0);
                    assert!(!ran, "{request_id} was reported as not run but ran");
                }
                CallResult::Refused { outcome, .. } => assert_eq!(outcome, "unknown"),
                CallResult::Invalid(cause) => panic!("{cause}"),
            }
        }
    }

    /// Starts `callers` callers for each of `entries`.
    pub fn load(&self, entries: &[usize], callers: usize) -> CallerLoad {
        CallerLoad::start(entries.iter().map(|entry| self.entries[*entry].caller_address), callers)
    }
}

/// Starts a platform without objects.
pub async fn start_platform(listen: &str) -> TestTarget {
    let arguments = ["--listen", listen, "--vm-lag-ms", "0"];
    let program = env!("CARGO_BIN_EXE_zinniaport-platform");
    wait_until_listening(ChildProcess::start(program, arguments)).await
}

async fn start_target(listen: &str, options: &[&str]) -> TestTarget {
    let address = ["--listen", listen];
    let arguments = address.iter().chain(options);
    let program = env!("CARGO_BIN_EXE_zinniaport-target");
    wait_until_listening(ChildProcess::start(program, arguments)).await
}

/// Waits until a stand-in prints its address.
async fn wait_until_listening(mut process: ChildProcess) -> TestTarget {
    let address = process.wait_for_line("listening:").await.parse().unwrap();
    TestTarget { process, address }
}

/// Sends a PUT request with a JSON body to a stand-in.
pub async fn put(address: SocketAddr, path: &str, json: &Value) {
    let request = Request::builder().method(Method::PUT).uri(path);
    let body = Full::new(Bytes::from(json.to_string()));
    let response = send(address, request.body(body).unwrap()).await.unwrap();
    assert_eq!(response.status(), 200, "{response:?}");
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`CONDITION_TIMEOUT`].
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(CONDITION_TIMEOUT, wait).await.is_err() {
        panic!("timed out while waiting: {what}");
    }
}
