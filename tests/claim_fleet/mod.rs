//! A fleet of three entry processes, the platform and one target, for tests of claims.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use zinniaport_standin::platform::{CallCounts, CallKind};
use zinniaport_standin::target::RunCounts;
use zinniaport_testing::client::{ClientError, get, send};
use zinniaport_testing::process::ChildProcess;

/// Path of a request that is not idempotent.
const PATH: &str = "/visit-ledger/visits";

/// The parts of a response that a caller acts on.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    pub request_id: String,
    pub status: StatusCode,
    pub outcome: String,
    pub key_state: Option<String>,
    pub retry_after: bool,
}

impl CallerResponse {
    /// Stands for the outcome of a request whose connection was closed without a response.
    pub const CONNECTION_LOST: &str = "connection-lost";

    fn new(request_id: String, result: &Result<Response<Bytes>, ClientError>) -> Self {
        let header = |name: &str| {
            let value = result.as_ref().ok()?.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        Self {
            request_id,
            status: result.as_ref().map_or(StatusCode::BAD_GATEWAY, Response::status),
            outcome: header("x-zinniaport-outcome")
                .unwrap_or_else(|| Self::CONNECTION_LOST.to_owned()),
            key_state: header("x-zinniaport-key-state"),
            retry_after: header(header::RETRY_AFTER.as_str()).is_some(),
        }
    }
}

/// A running entry.
pub struct FleetEntry {
    pub process: ChildProcess,
    caller_address: SocketAddr,
}

/// A running fleet; its processes end when it is dropped.
pub struct ClaimFleet {
    pub entries: Vec<FleetEntry>,
    target: SocketAddr,
    platform: SocketAddr,
    _servers: [ChildProcess; 2],
}

impl ClaimFleet {
    /// Starts all processes. The target has a service time of `service_ms` milliseconds.
    pub async fn start(name: &str, service_ms: u64) -> Self {
        let service_ms = service_ms.to_string();
        let arguments = ["--slots", "64", "--service-ms", &service_ms];
        let (target_process, target) =
            start_server(env!("CARGO_BIN_EXE_zinniaport-target"), &arguments).await;
        let (platform_process, platform) =
            start_server(env!("CARGO_BIN_EXE_zinniaport-platform"), &[]).await;
        store_intent(target, platform).await;
        let mut entries = Vec::new();
        for number in 0..3 {
            entries.push(start_entry(&format!("claims-{name}-{number}"), platform).await);
        }
        let _servers = [target_process, platform_process];
        Self { entries, target, platform, _servers }
    }

    /// Returns a future that sends a request with a key to an entry on a new connection.
    pub fn request(
        &self,
        entry: usize,
        key: &str,
    ) -> impl Future<Output = CallerResponse> + Send + use<> {
        send_visit(self.entries[entry].caller_address, Some(key.to_owned()))
    }

    pub async fn send(&self, entry: usize, key: &str) -> CallerResponse {
        self.request(entry, key).await
    }

    pub async fn send_without_key(&self, entry: usize) -> CallerResponse {
        send_visit(self.entries[entry].caller_address, None).await
    }

    pub fn send_in_background(&self, entry: usize, key: &str) -> JoinHandle<CallerResponse> {
        tokio::spawn(self.request(entry, key))
    }

    /// Repeats a request while the response is 503, that is until its key can be claimed.
    pub async fn send_until_claimed(&self, entry: usize, key: &str) -> CallerResponse {
        loop {
            let response = self.send(entry, key).await;
            if response.status != StatusCode::SERVICE_UNAVAILABLE {
                return response;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn set_faults(&self, faults: &str) {
        let request = Request::put("/faults").body(Full::from(faults.to_owned())).unwrap();
        assert_eq!(send(self.platform, request).await.unwrap().status(), StatusCode::OK);
    }

    /// Returns the number of writes that the store has handled.
    pub async fn writes(&self) -> u64 {
        let counts = get(self.platform, "/counts").await.unwrap();
        let counts: CallCounts = serde_json::from_slice(counts.body()).unwrap();
        counts.of(CallKind::Write)
    }

    /// Waits until the store has handled more than `before` writes.
    pub async fn wait_for_write(&self, before: u64) {
        while self.writes().await <= before {
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until the target has run a key.
    pub async fn wait_for_run(&self, key: &str) {
        while self.runs(key).await == 0 {
            sleep(Duration::from_millis(2)).await;
        }
    }

    async fn counts(&self) -> RunCounts {
        let counts = get(self.target, "/standin/runs").await.unwrap();
        serde_json::from_slice(counts.body()).unwrap()
    }

    /// Returns how often the target ran a key.
    pub async fn runs(&self, key: &str) -> u64 {
        self.counts().await.of_key(key)
    }

    /// Asserts that a key ran at most once, and that the outcomes in its responses are true.
    pub async fn assert_at_most_once(&self, key: &str, responses: &[CallerResponse]) {
        let counts = self.counts().await;
        let runs = counts.of_key(key);
        assert!(runs <= 1, "{key} ran {runs} times: {responses:?}");
        for response in responses {
            let own_runs = counts.of_request(&response.request_id);
            match response.outcome.as_str() {
                "not-run" => assert_eq!(own_runs, 0, "reported as not-run but ran: {response:?}"),
                "ran" => {
                    assert_eq!(runs, 1, "{key} was reported as run but did not run: {response:?}");
                }
                "unknown" | CallerResponse::CONNECTION_LOST => {}
                other => panic!("unexpected outcome {other}: {response:?}"),
            }
            let served = response.status == StatusCode::OK;
            assert!(!served || own_runs == 1, "served without a run: {response:?}");
        }
    }
}

async fn send_visit(address: SocketAddr, key: Option<String>) -> CallerResponse {
    let request_id = uuid::Uuid::new_v4().to_string();
    let mut request = Request::post(PATH).header("x-request-id", &request_id);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let result = send(address, request.body(Full::from("visit")).unwrap()).await;
    CallerResponse::new(request_id, &result)
}

async fn start_server(program: &str, arguments: &[&str]) -> (ChildProcess, SocketAddr) {
    let mut process = ChildProcess::start(program, arguments);
    let address = process.wait_for_line("listening:").await.parse().unwrap();
    (process, address)
}

/// Stores the intent of the service as a confirmed plan would.
async fn store_intent(target: SocketAddr, platform: SocketAddr) {
    let kind = json!({ "name": "visit", "rank": 1, "idempotent": false, "deadline_ms": 20_000 });
    let target = json!({ "address": target, "data_centre": "valle-a", "slots": 64 });
    let intent = json!({
        "service": "visit-ledger", "team": "co-operative", "kinds": [kind], "targets": [target],
    });
    let stored = json!({ "intent": intent, "author": "ana", "applied": [] });
    let request = Request::put("/objects/intents/visit-ledger").header("if-none-match", "*");
    let request = request.body(Full::from(stored.to_string())).unwrap();
    assert_eq!(send(platform, request).await.unwrap().status(), StatusCode::OK);
}

async fn start_entry(name: &str, platform: SocketAddr) -> FleetEntry {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
    let text = format!(
        "name: {name}\n\
         data_centre: valle-a\n\
         listen: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\n\
         platform: {{ address: \"{platform}\" }}\n"
    );
    std::fs::write(&path, text).unwrap();
    let arguments = ["--settings".as_ref(), path.as_os_str()];
    let mut process = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
    let caller_address = process.wait_for_line("callers:").await.parse().unwrap();
    let admin = process.wait_for_line("admin:").await.parse().unwrap();
    while get(admin, "/readyz").await.unwrap().status() != StatusCode::OK {
        sleep(Duration::from_millis(5)).await;
    }
    FleetEntry { process, caller_address }
}
