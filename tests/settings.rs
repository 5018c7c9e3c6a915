//! Guards against settings files whose mistakes are accepted, or reported without their location.

use std::path::{Path, PathBuf};
use std::process::Output;

use zinniaport::settings::EntrySettings;
use zinniaport_testing::test_cases;

const HEAD: &str =
    "name: entry-1\ndata_centre: valle-a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\n";

fn write_file(name: &str, content: impl AsRef<[u8]>) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("the test directory is writable");
    path
}

fn error_of(path: &Path) -> String {
    let error = EntrySettings::load(path).expect_err("the settings are faulty");
    error.to_string().replace(env!("CARGO_TARGET_TMPDIR"), "TMP")
}

async fn run(arguments: &[&str], binary: &str) -> Output {
    tokio::process::Command::new(binary).args(arguments).output().await.expect("the binary runs")
}

test_cases! {
    reports_all_violations_at_once: "a check that stops at the first violation" => {
        let path = write_file("faults.yaml", "\
name: Entry 1
data_centre: ''
listen: 127.0.0.1:7000
admin_listen: 127.0.0.1:7000
services:
- service: pump history
  team: co-operative
  kinds:
  - { name: lookup, rank: 200, idempotent: false, max_runs: 2, deadline_ms: 0, objective_percent: 101 }
  - { name: lookup, rank: 0, idempotent: true, require_key: true, deadline_ms: 3600001, methods: [get], path_prefix: pumps }
  targets:
  - { address: '127.0.0.1:7101', data_centre: valle-a, slots: 0 }
  - { address: '127.0.0.1:7101', data_centre: valle-a, slots: 3 }
  - { address: '127.0.0.1:0', data_centre: valle-a, slots: 10001 }
  measuring: { budget_percent: -1, probe_cost_ms: .nan, max_entries: 0 }
  max_queue_length: 0
  retry_percent: 101
  max_ejected_percent: -0.5
  max_crashed_targets: 0
- { service: twice, team: a, kinds: [], targets: [] }
- { service: twice, team: a, kinds: [], targets: [] }
");
        insta::assert_snapshot!(error_of(&path));
    }

    names_line_and_column: "a syntax error that is reported without its line and column" => {
        let cases = [
            ("unknown.yaml", format!("{HEAD}colour: red\n")),
            ("type.yaml", format!("{HEAD}services: 7\n")),
            ("nested.yaml", format!("{HEAD}log:\n  level: loud\n")),
            ("syntax.yaml", format!("{HEAD}services: [\n")),
            ("duplicate.yaml", format!("{HEAD}name: entry-2\n")),
            ("absent.yaml", "name: entry-1\n".to_owned()),
        ];
        let errors: Vec<_> =
            cases.iter().map(|(name, text)| error_of(&write_file(name, text))).collect();
        insta::assert_snapshot!(errors.join("\n"));
    }

    names_unreadable_files: "an unreadable file that is reported without a remedy" => {
        let errors = [
            error_of(Path::new(env!("CARGO_TARGET_TMPDIR"))),
            error_of(Path::new("no/such/file.yaml")),
            error_of(&write_file("empty.yaml", " \n")),
            error_of(&write_file("latin1.yaml", b"name: entr\xe9e\n")),
        ];
        insta::assert_snapshot!(errors.join("\n"));
    }

    async check_exits_with_2: "a script that mistakes invalid settings for valid ones" => {
        let program = env!("CARGO_BIN_EXE_zinniaport");
        let bad = write_file("check_bad.yaml", format!("{HEAD}colour: red\n"));
        let output = run(&["check", "--settings", bad.to_str().unwrap()], program).await;
        assert_eq!(output.status.code(), Some(2));
        assert!(!output.stderr.is_empty());
        let good = write_file("check_good.yaml", HEAD);
        let output = run(&["check", "--settings", good.to_str().unwrap()], program).await;
        assert_eq!(output.status.code(), Some(0));
    }

    async names_a_port_in_use: "an entry that cannot listen and does not name the address" => {
        let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = taken.local_addr().unwrap();
        let text = HEAD.replacen("127.0.0.1:0", &address.to_string(), 1);
        let path = write_file("taken.yaml", text);
        let arguments = ["--settings", path.to_str().unwrap()];
        let output = run(&arguments, env!("CARGO_BIN_EXE_zinniaport-entry")).await;
        assert_eq!(output.status.code(), Some(1));
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains(&format!("cannot listen on {address}")), "{message}");
        assert!(message.contains("free the port"), "{message}");
    }
}
