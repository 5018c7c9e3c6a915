//! Guards against plans that are applied twice, applied by another team, or reported with
//! the wrong outcome.

mod memory_store;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use memory_store::MemoryStore;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport_testing::client::send;
use zinniaport_testing::process::ChildProcess;
use zinniaport_testing::test_cases;

async fn start(store: &Arc<MemoryStore>) -> EntryRuntime {
    let digest = |token: &str| -> String {
        Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
    };
    let text = format!(
        "name: entry-1\n\
         data_centre: valle-a\n\
         listen: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\n\
         platform:\n\
         \x20 address: 127.0.0.1:1\n\
         \x20 teams:\n\
         \x20 - {{ name: co-operative, tokens: [{{ author: ana, sha256: {} }}] }}\n\
         \x20 - {{ name: poteca, tokens: [{{ author: luz, sha256: {} }}] }}\n",
        digest("token-a"),
        digest("token-b"),
    );
    let settings: EntrySettings = serde_norway::from_str(&text).unwrap();
    EntryRuntime::start_with_store(settings, Some(store.clone())).await.unwrap()
}

async fn call(
    entry: &EntryRuntime,
    token: &str,
    path: &str,
    body: Option<Value>,
) -> (StatusCode, Value) {
    let method = if path == "/v1/plans" { "GET" } else { "POST" };
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = send(entry.admin_address(), request).await.unwrap();
    (response.status(), serde_json::from_slice(response.body()).unwrap())
}

fn statement(max_queue_length: u32) -> Option<Value> {
    Some(json!({ "intent": {
        "service": "visit-ledger", "team": "co-operative", "targets": [],
        "kinds": [{ "name": "record", "rank": 1, "idempotent": false, "deadline_ms": 2000 }],
        "max_queue_length": max_queue_length,
    } }))
}

const INTENT: &str = "/v1/services/visit-ledger/intent";

async fn draft(entry: &EntryRuntime, max_queue_length: u32) -> String {
    let (status, plan) = call(entry, "token-a", INTENT, statement(max_queue_length)).await;
    assert_eq!(status, StatusCode::CREATED, "{plan}");
    format!("/v1/plans/{}/confirm", plan["identity"].as_str().unwrap())
}

test_cases! {
    async confirm_survives_a_lost_response: "a confirmed plan that is reported as failed or applied twice" => {
        let store = Arc::new(MemoryStore::default());
        let entry = start(&store).await;
        let (first, second) = (draft(&entry, 10).await, draft(&entry, 20).await);
        store.lost_answers.store(1, Ordering::SeqCst);
        let (status, outcome) = call(&entry, "token-a", &first, None).await;
        assert_eq!((status, &outcome["outcome"]), (StatusCode::OK, &json!("applied")));

        let (status, outcome) = call(&entry, "token-a", &second, None).await;
        assert_eq!((status, &outcome["author"]), (StatusCode::CONFLICT, &json!("ana")));
        assert!(outcome["changes"].to_string().contains("max_queue_length"), "{outcome}");

        let third = draft(&entry, 30).await;
        assert_eq!(call(&entry, "token-a", &third, None).await.0, StatusCode::OK);
        let (status, _) = call(&entry, "token-a", &first, None).await;
        assert_eq!(status, StatusCode::OK, "the first plan was applied before the third");
    }

    async teams_access_only_their_services: "a team that reads or changes another team's service" => {
        let store = Arc::new(MemoryStore::default());
        let entry = start(&store).await;
        let confirm = draft(&entry, 10).await;
        assert_eq!(call(&entry, "token-b", INTENT, statement(20)).await.0, StatusCode::FORBIDDEN);
        assert_eq!(call(&entry, "token-b", &confirm, None).await.0, StatusCode::FORBIDDEN);
        assert_eq!(call(&entry, "token-c", &confirm, None).await.0, StatusCode::UNAUTHORIZED);
        assert_eq!(call(&entry, "token-b", "/v1/plans", None).await.1, json!([]));
        assert_eq!(call(&entry, "token-a", "/v1/plans", None).await.1[0]["author"], "ana");
        assert_eq!(call(&entry, "token-a", &confirm, None).await.0, StatusCode::OK);
        let mut taken_over = statement(20).unwrap();
        taken_over["intent"]["team"] = json!("poteca");
        let taken_over = call(&entry, "token-b", INTENT, Some(taken_over)).await;
        assert_eq!(taken_over.0, StatusCode::FORBIDDEN);
    }

    async invalid_intents_get_no_plan: "a plan for an intent that violates the rules for settings" => {
        let store = Arc::new(MemoryStore::default());
        let entry = start(&store).await;
        let mut faulty = statement(20).unwrap();
        faulty["intent"]["kinds"][0]["max_runs"] = json!(2);
        faulty["intent"]["retry_percent"] = json!(101.0);
        let (status, body) = call(&entry, "token-a", INTENT, Some(faulty)).await;
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        let error = body["error"].as_str().unwrap();
        assert!(error.contains("kinds[0].max_runs: 2") && error.contains("retry_percent: 101"));
        assert_eq!(call(&entry, "token-a", "/v1/plans", None).await.1, json!([]));
    }

    async commands_report_by_exit_code: "a script that mistakes a refused plan for a confirmed one" => {
        let store = Arc::new(MemoryStore::default());
        let entry = start(&store).await;
        let address = entry.admin_address().to_string();
        let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let (token, intent) = (folder.join("plans_token"), folder.join("plans_intent.yaml"));
        std::fs::write(&token, "token-a\n").unwrap();
        let yaml = "service: visit-ledger\nteam: co-operative\ntargets: []\n\
            kinds: [{ name: record, rank: 1, idempotent: false, deadline_ms: 2000 }]\n";
        std::fs::write(&intent, yaml).unwrap();
        let run = |command: &str, more: &[&str]| {
            let token = token.to_str().unwrap();
            let common = [command, "--admin", &address, "--token-file", token];
            ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport"), common.iter().chain(more))
        };
        let mut stated = run("intent", &["--file", intent.to_str().unwrap()]);
        let plan = stated.wait_for_line("to apply it: zinniaport confirm").await;
        let outdated = draft(&entry, 20).await;
        let outdated = outdated.split('/').nth(3).unwrap();
        for (plan, code) in [(plan.as_str(), 0), (plan.as_str(), 0), (outdated, 3), ("x", 2)] {
            assert_eq!(run("confirm", &[plan]).wait().await.code(), Some(code), "{plan}");
        }
        let mut shown = run("intent", &["--show", "visit-ledger"]);
        shown.wait_for_line("service: visit-ledger").await;
        let mut listed = run("plan", &["--output", "json"]);
        listed.wait_for_line("[{").await;
        store.down.store(true, Ordering::SeqCst);
        assert_eq!(run("confirm", &[&plan]).wait().await.code(), Some(1));
    }
}
