//! Three entry processes, the platform and one target, and what callers are told.

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

/// Path of a request that runs at most once.
const PATH: &str = "/visit-ledger/visits";

/// What a caller was told.
#[derive(Clone, Debug)]
pub struct Told {
    pub request_id: String,
    pub status: StatusCode,
    pub outcome: String,
    pub key_state: Option<String>,
    pub retry_after: bool,
}

impl Told {
    /// Outcome of a request whose connection was cut.
    pub const CUT: &str = "cut";

    fn of(request_id: String, answer: &Result<Response<Bytes>, ClientError>) -> Self {
        let header = |name: &str| {
            let value = answer.as_ref().ok()?.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        Self {
            request_id,
            status: answer.as_ref().map_or(StatusCode::BAD_GATEWAY, Response::status),
            outcome: header("x-zinniaport-outcome").unwrap_or_else(|| Self::CUT.to_owned()),
            key_state: header("x-zinniaport-key-state"),
            retry_after: header(header::RETRY_AFTER.as_str()).is_some(),
        }
    }
}

pub struct FleetEntry {
    pub process: ChildProcess,
    callers: SocketAddr,
}

pub struct ClaimFleet {
    pub entries: Vec<FleetEntry>,
    target: SocketAddr,
    platform: SocketAddr,
    _servers: [ChildProcess; 2],
}

impl ClaimFleet {
    /// Starts all processes; the target takes `service_ms` for each request.
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

    /// Prepares a request with a key to an entry, on a connection of its own.
    pub fn request(&self, entry: usize, key: &str) -> impl Future<Output = Told> + Send + use<> {
        send_visit(self.entries[entry].callers, Some(key.to_owned()))
    }

    pub async fn send(&self, entry: usize, key: &str) -> Told {
        self.request(entry, key).await
    }

    pub async fn send_unkeyed(&self, entry: usize) -> Told {
        send_visit(self.entries[entry].callers, None).await
    }

    pub fn send_in_background(&self, entry: usize, key: &str) -> JoinHandle<Told> {
        tokio::spawn(self.request(entry, key))
    }

    /// Sends a request again for as long as its key cannot be claimed.
    pub async fn send_until_decided(&self, entry: usize, key: &str) -> Told {
        loop {
            let told = self.send(entry, key).await;
            if told.status != StatusCode::SERVICE_UNAVAILABLE {
                return told;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn set_faults(&self, faults: &str) {
        let request = Request::put("/faults").body(Full::from(faults.to_owned())).unwrap();
        assert_eq!(send(self.platform, request).await.unwrap().status(), StatusCode::OK);
    }

    /// Gives the number of writes that the store has taken.
    pub async fn writes(&self) -> u64 {
        let counts = get(self.platform, "/counts").await.unwrap();
        let counts: CallCounts = serde_json::from_slice(counts.body()).unwrap();
        counts.of(CallKind::Write)
    }

    /// Waits until the store has taken more than `before` writes.
    pub async fn wait_for_write(&self, before: u64) {
        while self.writes().await <= before {
            sleep(Duration::from_millis(2)).await;
        }
    }

    pub async fn wait_for_run(&self, key: &str) {
        while self.runs(key).await == 0 {
            sleep(Duration::from_millis(2)).await;
        }
    }

    async fn counts(&self) -> RunCounts {
        let counts = get(self.target, "/standin/runs").await.unwrap();
        serde_json::from_slice(counts.body()).unwrap()
    }

    /// Gives how often the target ran a key.
    pub async fn runs(&self, key: &str) -> u64 {
        self.counts().await.of_key(key)
    }

    /// Checks that a key ran at most once and that what callers were told agrees.
    pub async fn check(&self, key: &str, told: &[Told]) {
        let counts = self.counts().await;
        let runs = counts.of_key(key);
        assert!(runs <= 1, "{key} ran {runs} times; told: {told:?}");
        for told in told {
            let own_runs = counts.of_request(&told.request_id);
            match told.outcome.as_str() {
                "not-run" => assert_eq!(own_runs, 0, "ran after all: {told:?}"),
                "ran" => assert_eq!(runs, 1, "{key} did not run: {told:?}"),
                "unknown" | Told::CUT => {}
                other => panic!("{other} is not an outcome: {told:?}"),
            }
            let answered = told.status == StatusCode::OK;
            assert!(!answered || own_runs == 1, "answered without a run: {told:?}");
        }
    }
}

async fn send_visit(callers: SocketAddr, key: Option<String>) -> Told {
    let request_id = uuid::Uuid::new_v4().to_string();
    let mut request = Request::post(PATH).header("x-request-id", &request_id);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let answer = send(callers, request.body(Full::from("visit")).unwrap()).await;
    Told::of(request_id, &answer)
}

async fn start_server(program: &str, arguments: &[&str]) -> (ChildProcess, SocketAddr) {
    let mut process = ChildProcess::start(program, arguments);
    let address = process.wait_for_line("listening:").await.parse().unwrap();
    (process, address)
}

/// Stores the intent of the service, as a confirmed plan does.
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
    let callers = process.wait_for_line("callers:").await.parse().unwrap();
    let admin = process.wait_for_line("admin:").await.parse().unwrap();
    while get(admin, "/readyz").await.unwrap().status() != StatusCode::OK {
        sleep(Duration::from_millis(5)).await;
    }
    FleetEntry { process, callers }
}
