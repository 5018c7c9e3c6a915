//! Guards against processes that start but do not carry a request from caller to target.

use std::net::SocketAddr;
use std::path::PathBuf;

use zinniaport_testing::client::get;
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

fn write_settings(name: &str, target: SocketAddr) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = format!(
        "name: entry-1\n\
         data_centre: valle-a\n\
         listen: 127.0.0.1:0\n\
         admin_listen: 127.0.0.1:0\n\
         services:\n\
         - service: pump-history\n\
         \x20 team: co-operative\n\
         \x20 kinds:\n\
         \x20 - {{ name: lookup, rank: 0, idempotent: true, max_runs: 2, deadline_ms: 5000 }}\n\
         \x20 targets:\n\
         \x20 - {{ address: \"{target}\", data_centre: valle-a, slots: 3 }}\n"
    );
    std::fs::write(&path, text).expect("the test directory is writable");
    path
}

test_cases! {
    async serves_through_processes: "an entry process that starts but does not forward requests" => {
        let mut target = ChildProcess::start(
            env!("CARGO_BIN_EXE_zinniaport-target"),
            ["--listen", "127.0.0.1:0"],
        );
        let address = target.wait_for_line("listening:").await.parse().unwrap();
        let settings = write_settings("whole_path.yaml", address);
        let mut entry = ChildProcess::start(
            env!("CARGO_BIN_EXE_zinniaport-entry"),
            ["--settings".as_ref(), settings.as_os_str()],
        );
        let callers = entry.wait_for_line("callers:").await.parse().unwrap();

        let response = get(callers, "/pump-history/pumps/17").await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["x-zinniaport-outcome"], "ran");
        assert!(response.headers().contains_key("x-request-id"));

        let refused = get(callers, "/no-such-service").await.unwrap();
        assert_eq!(refused.status(), 404);
        assert_eq!(refused.headers()["x-zinniaport-outcome"], "not-run");
        assert_eq!(refused.headers()["content-type"], "application/problem+json");

        entry.signal(ChildSignal::TERM);
        assert!(entry.wait().await.success());
    }
}
