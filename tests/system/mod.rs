//! Three entries, a platform and targets as processes on loopback.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod load;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
pub use load::{CallEnd, CallerLoad};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpSocket;
use zinniaport_standin::target::RunCounts;
use zinniaport_testing::client::{get, send};
use zinniaport_testing::process::ChildProcess;

/// Longest wait for a condition. It only ends a test that would never end.
const PATIENCE: Duration = Duration::from_secs(60);

/// Entries of a system at its start.
pub const ENTRIES: usize = 3;

/// A running entry.
pub struct TestEntry {
    pub process: ChildProcess,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
}

/// A running stand-in.
pub struct TestTarget {
    pub process: ChildProcess,
    pub address: SocketAddr,
}

/// A system under test; its processes end when it is dropped.
pub struct TestSystem {
    name: &'static str,
    /// Runs that a lookup may have; with 1 no hedge is started and cancelled.
    max_runs: u8,
    pub platform: TestTarget,
    pub targets: Vec<TestTarget>,
    pub entries: Vec<TestEntry>,
    /// Ports for messages between entries: bound, so that nothing else gets them,
    /// and not listened on.
    ports: Vec<TcpSocket>,
}

impl TestSystem {
    /// Starts a system whose first plan, which names all targets, is in force.
    /// `targets` has the options of each target.
    pub async fn start(name: &'static str, max_runs: u8, targets: &[&[&str]]) -> Self {
        let platform = start_platform("127.0.0.1:0").await;
        let mut started = Vec::new();
        for (number, options) in targets.iter().enumerate() {
            started.push(start_target(&format!("127.0.1.{}:0", number + 1), options).await);
        }
        let ports = (0..=ENTRIES).map(|_| hold_port()).collect();
        let mut system =
            Self { name, max_runs, platform, targets: started, entries: Vec::new(), ports };
        for _ in 0..ENTRIES {
            system.start_entry().await;
        }
        for entry in 0..ENTRIES {
            system.wait_until_ready(entry).await;
        }
        let version = system.change(0, &system.intent(&[])).await;
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
        let callers = process.wait_for_line("callers:").await.parse().unwrap();
        let admin = process.wait_for_line("admin:").await.parse().unwrap();
        self.entries.push(TestEntry { process, callers, admin });
    }

    fn settings(&self, number: usize) -> String {
        let address = |port: &TcpSocket| port.local_addr().unwrap().to_string();
        let token = |author: &str| {
            let digest = Sha256::digest(format!("token-{author}"));
            let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            json!({ "author": author, "sha256": digest })
        };
        // JSON is YAML as well.
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

    /// Gives an intent that names all targets; those in `leaving` are to leave.
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

    /// States an intent at an entry and returns the path that confirms its plan.
    pub async fn draft(&self, entry: usize, author: &str, intent: &Value) -> String {
        let statement = json!({ "intent": intent, "allow_below_load": true });
        let path = "/v1/services/pump-history/intent";
        let (status, plan) = self.administer(entry, author, path, &statement.to_string()).await;
        assert_eq!(status, StatusCode::CREATED, "{plan}");
        format!("/v1/plans/{}/confirm", plan["identity"].as_str().unwrap())
    }

    /// Confirms a plan.
    pub async fn confirm(&self, entry: usize, author: &str, plan: &str) -> (StatusCode, Value) {
        self.administer(entry, author, plan, "").await
    }

    /// States an intent, confirms its plan and returns the new version.
    pub async fn change(&self, entry: usize, intent: &Value) -> u64 {
        let plan = self.draft(entry, "ana", intent).await;
        let (status, outcome) = self.confirm(entry, "ana", &plan).await;
        assert_eq!(status, StatusCode::OK, "{outcome}");
        outcome["version"].as_u64().expect("an applied plan has a version")
    }

    async fn administer(
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

    /// Reads the state of the service at an entry; null without one.
    pub async fn service(&self, entry: usize) -> Value {
        let response = get(self.entries[entry].admin, "/v1/status").await.unwrap();
        let mut status: Value = serde_json::from_slice(response.body()).unwrap();
        status.pointer_mut("/services/0").map(Value::take).unwrap_or_default()
    }

    /// Gives the version in force at an entry, 0 for none.
    pub async fn version(&self, entry: usize) -> u64 {
        self.service(entry).await["version"].as_u64().unwrap_or(0)
    }

    /// Gives the state of a target at an entry.
    pub async fn target_state(&self, entry: usize, target: usize) -> Value {
        let service = self.service(entry).await;
        service["targets"][target].clone()
    }

    pub async fn is_ready(&self, entry: usize) -> bool {
        get(self.entries[entry].admin, "/readyz").await.unwrap().status() == 200
    }

    pub async fn wait_until_ready(&self, entry: usize) {
        eventually("the entry is ready", async || self.is_ready(entry).await).await;
    }

    pub async fn wait_for_version(&self, entries: &[usize], version: u64) {
        for entry in entries {
            eventually("the version is in force", async || self.version(*entry).await == version)
                .await;
        }
    }

    /// Waits until a target has a state at each of `entries`.
    pub async fn wait_for_state(&self, entries: &[usize], target: usize, state: &str) {
        for entry in entries {
            eventually(state, async || self.target_state(*entry, target).await["state"] == state)
                .await;
        }
    }

    /// Sets the faults of the platform.
    pub async fn set_faults(&self, faults: &Value) {
        put(self.platform.address, "/faults", faults).await;
    }

    /// Reads the platform's counts of calls.
    pub async fn counts(&self) -> Value {
        let counts = get(self.platform.address, "/counts").await.unwrap();
        serde_json::from_slice(counts.body()).unwrap()
    }

    /// Gives the number of calls of a kind that the platform handled.
    pub async fn calls(&self, kind: &str) -> u64 {
        self.counts().await["calls"][kind].as_u64().unwrap_or(0)
    }

    /// Sets the behaviour of a target.
    pub async fn set_behaviour(&self, target: usize, behaviour: &Value) {
        put(self.targets[target].address, "/standin/behaviour", behaviour).await;
    }

    /// Reads what a target ran.
    pub async fn runs(&self, target: usize) -> RunCounts {
        let response = get(self.targets[target].address, "/standin/runs").await.unwrap();
        serde_json::from_slice(response.body()).unwrap()
    }

    /// Checks that each request was answered whole or refused, and that none
    /// reported as not run was run by one of `targets`.
    pub async fn assert_truthful(&self, ends: &[CallEnd], targets: &[usize]) {
        let mut runs = Vec::new();
        for target in targets {
            runs.push(self.runs(*target).await);
        }
        for end in ends {
            match end {
                CallEnd::Answered => {}
                CallEnd::Refused { request_id, outcome } if outcome == "not-run" => {
                    let ran = runs.iter().any(|runs| runs.of_request(request_id) > 0);
                    assert!(!ran, "{request_id} was reported as not run and ran");
                }
                CallEnd::Refused { outcome, .. } => assert_eq!(outcome, "unknown"),
                CallEnd::Broken(cause) => panic!("{cause}"),
            }
        }
    }

    /// Starts callers of some entries.
    pub fn load(&self, entries: &[usize], callers: usize) -> CallerLoad {
        CallerLoad::start(entries.iter().map(|entry| self.entries[*entry].callers), callers)
    }
}

/// Starts a platform without objects.
pub async fn start_platform(listen: &str) -> TestTarget {
    let arguments = ["--listen", listen, "--vm-lag-ms", "0"];
    let program = env!("CARGO_BIN_EXE_zinniaport-platform");
    listening(ChildProcess::start(program, arguments)).await
}

async fn start_target(listen: &str, options: &[&str]) -> TestTarget {
    let address = ["--listen", listen];
    let arguments = address.iter().chain(options);
    let program = env!("CARGO_BIN_EXE_zinniaport-target");
    listening(ChildProcess::start(program, arguments)).await
}

async fn listening(mut process: ChildProcess) -> TestTarget {
    let address = process.wait_for_line("listening:").await.parse().unwrap();
    TestTarget { process, address }
}

fn hold_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    socket
}

/// Sends JSON to a stand-in.
pub async fn put(address: SocketAddr, path: &str, json: &Value) {
    let request = Request::builder().method(Method::PUT).uri(path);
    let body = Full::new(Bytes::from(json.to_string()));
    let response = send(address, request.body(body).unwrap()).await.unwrap();
    assert_eq!(response.status(), 200, "{response:?}");
}

/// Waits for a condition.
pub async fn eventually(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(PATIENCE, wait).await.is_err() {
        panic!("did not come about in time: {what}");
    }
}
