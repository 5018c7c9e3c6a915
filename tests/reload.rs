//! Guards against an entry process that ends when it receives SIGHUP.

use std::time::Duration;

use zinniaport_testing::client::get;
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

const SETTINGS: &str = "name: entry-1\n\
    data_centre: valle-a\n\
    listen: 127.0.0.1:0\n\
    admin_listen: 127.0.0.1:0\n\
    stop: { balancer_lag_ms: 0, idle_linger_ms: 0, drain_limit_ms: 1000 }\n";

test_cases! {
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
