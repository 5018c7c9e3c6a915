//! Changes of the settings file of a running entry.

use std::time::Duration;

use zinniaport_testing::client::get;
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

const SETTINGS: &str = "name: entry-1\n\
    data_centre: valle-a\n\
    listen: 127.0.0.1:0\n\
    admin_listen: 127.0.0.1:0\n\
    stop: { balancer_lag_ms: 0, idle_linger_ms: 0, drain_limit_ms: 1000 }\n";

/// Waits until there was a log line with each of `texts`, in any order.
async fn wait_for_log(entry: &mut ChildProcess, texts: &[&str]) {
    let mut missing = texts.to_vec();
    while !missing.is_empty() {
        let line = entry.wait_for_line("{").await;
        missing.retain(|text| !line.contains(text));
    }
}

test_cases! {
    async changed_seeds_take_effect: "an entry that goes on with stale seeds after its settings file has changed, with or without SIGHUP" => {
        let path = std::env::temp_dir().join(format!("zinniaport-seeds-{}.yaml", std::process::id()));
        let settings = |seed: u16| format!("{SETTINGS}log: {{ output: stdout }}\nsignals: {{ listen: '127.0.0.1:0', seeds: ['127.0.0.1:{seed}'] }}\n");
        std::fs::write(&path, settings(1)).unwrap();
        let arguments = ["--settings".as_ref(), path.as_os_str()];
        let mut entry = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
        entry.wait_for_line("admin:").await;
        for (seed, signal) in [(2, Some(ChildSignal::HUP)), (3, None)] {
            std::fs::write(&path, settings(seed)).unwrap();
            if let Some(signal) = signal {
                entry.signal(signal);
            }
            wait_for_log(&mut entry, &["\"new_seeds\":true", "\"entries\":2"]).await;
        }
        entry.signal(ChildSignal::TERM);
        assert!(entry.wait().await.success());
        std::fs::remove_file(&path).unwrap();
    }

    async hangup_does_not_end_an_entry: "requests that are aborted because SIGHUP announces a changed settings file" => {
        let path = std::env::temp_dir().join(format!("zinniaport-reload-{}.yaml", std::process::id()));
        std::fs::write(&path, SETTINGS).unwrap();
        let arguments = ["--settings".as_ref(), path.as_os_str()];
        let mut entry = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
        let admin = entry.wait_for_line("admin:").await.parse().unwrap();
        for text in ["listen: 7", SETTINGS] {
            std::fs::write(&path, text).unwrap();
            entry.signal(ChildSignal::HUP);
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(get(admin, "/livez").await.unwrap().status(), 200);
        }
        entry.signal(ChildSignal::TERM);
        assert!(entry.wait().await.success());
        std::fs::remove_file(&path).unwrap();
    }
}
