//! The stand-ins as processes. They are not tested in `store.rs`, because a child process holds
//! copies of its parent's listeners until it executes its program, and would keep a listener open
//! that a test there has just closed.

use std::time::Duration;

use http::Request;
use http_body_util::Full;
use zinniaport::store::{HttpStore, ObjectStore, StoreError, WriteCondition};
use zinniaport_standin::platform::{CallCounts, CallKind};
use zinniaport_testing::client::{get, send};
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

/// Time limit of a store call.
const CALL_LIMIT: Duration = Duration::from_secs(30);

test_cases! {
    async platform_process_is_controllable: "a platform that stays down after an injected outage" => {
        let program = env!("CARGO_BIN_EXE_zinniaport-platform");
        let arguments = ["--listen", "127.0.0.1:0", "--vm-lag-ms", "0", "--faults", "{\"down\":true}"];
        let mut platform = ChildProcess::start(program, arguments);
        let address = platform.wait_for_line("listening:").await.parse().unwrap();
        let store = HttpStore::builder().address(address).call_limit(CALL_LIMIT).build();
        let result = store.write("a", "1".into(), WriteCondition::Absent).await;
        assert!(matches!(result, Err(StoreError::NoResponse { .. })), "{result:?}");
        let put = |path: &str, json: &'static str| {
            send(address, Request::put(path).body(Full::from(json)).unwrap())
        };
        assert_eq!(put("/faults", "{\"slow_ms\":1}").await.unwrap().status(), 200);
        assert_eq!(store.write("a", "1".into(), WriteCondition::Absent).await, Ok(1));
        let vms = r#"[{"name":"vm-1","address":"10.0.0.1","data_centre":"valle-a","state":"leaving"}]"#;
        assert_eq!(put("/vms", vms).await.unwrap().status(), 200);
        assert_eq!(get(address, "/vms").await.unwrap().body(), vms);
        let counts = get(address, "/counts").await.unwrap();
        let counts: CallCounts = serde_json::from_slice(counts.body()).unwrap();
        assert_eq!((counts.of(CallKind::Write), counts.of(CallKind::Vms)), (1, 1));
        assert_eq!(put("/objects/a", "2").await.unwrap().status(), 428);
        platform.signal(ChildSignal::TERM);
        assert!(platform.wait().await.success());
    }

    async target_process_crashes: "a target that survives a crash request or exits with success" => {
        let program = env!("CARGO_BIN_EXE_zinniaport-target");
        let mut target = ChildProcess::start(program, ["--behaviour", "{\"probe_ms\":6}"]);
        let address = target.wait_for_line("listening:").await.parse().unwrap();
        assert_eq!(get(address, "/probe").await.unwrap().status(), 200);
        let crash_request = Request::get("/").header("x-crash", "1").body(Full::default()).unwrap();
        assert!(send(address, crash_request).await.is_err());
        assert_eq!(target.wait().await.code(), Some(1));
    }
}
