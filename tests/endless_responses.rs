//! Memory of an entry whose targets send bytes without end.

mod support;

use std::time::Duration;

use support::{FakeTarget, read_request, settings_text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

/// Requests at a time that get a response without end.
const CONCURRENT_REQUESTS: usize = 8;

/// Part of a response that the settings permit the entry to keep, in bytes.
const KEPT_BYTES: usize = 1 << 20;

/// Memory that the entry may use: what it may keep, twice since a buffer doubles when it grows,
/// and 24 MiB for the entry itself.
const MAX_MEMORY_KIB: usize = (CONCURRENT_REQUESTS * KEPT_BYTES * 2 + (24 << 20)) >> 10;

/// Length of one write of a target, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Starts a target that sends `first` and then `part` without end.
async fn endless_target(first: &'static str, part: &'static str) -> FakeTarget {
    FakeTarget::start(move |mut stream, _| async move {
        read_request(&mut stream).await;
        let parts = part.repeat(WRITE_BYTES / part.len());
        let mut result = stream.write_all(first.as_bytes()).await;
        while result.is_ok() {
            result = stream.write_all(parts.as_bytes()).await;
        }
    })
    .await
}

/// Sends a request with this deadline and reads its response until the entry closes the connection.
async fn request_once(mut stream: TcpStream, deadline_ms: u32) {
    let request = format!(
        "GET /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buffer = vec![0; WRITE_BYTES];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}

/// Returns the greatest memory that a process has used, in KiB.
fn peak_memory_kib(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Plays targets that send `first` and then `part` without end, and checks that the entry lives
/// on within its memory.
async fn check_memory(first: &'static str, part: &'static str, deadline_ms: u32) {
    let target = endless_target(first, part).await;
    let settings =
        settings_text(target.address, &format!("pool: {{ whole_answer_bytes: {KEPT_BYTES} }}"));
    let path = std::env::temp_dir().join(format!(
        "zinniaport-endless-{}-{}.yaml",
        std::process::id(),
        target.address.port()
    ));
    std::fs::write(&path, settings).unwrap();
    let arguments = ["--settings".as_ref(), path.as_os_str()];
    let mut entry = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
    let callers = entry.wait_for_line("callers:").await;
    let mut requests = Vec::new();
    for _ in 0..CONCURRENT_REQUESTS {
        let stream = TcpStream::connect(&callers).await.unwrap();
        requests.push(tokio::spawn(request_once(stream, deadline_ms)));
    }
    for request in requests {
        timeout(Duration::from_secs(60), request).await.expect("a response has no end").unwrap();
    }
    let peak = peak_memory_kib(entry.id());
    assert!(peak < MAX_MEMORY_KIB, "{peak} KiB of memory were used for {part:?} after {first:?}");
    entry.signal(ChildSignal::TERM);
    assert!(entry.wait().await.success());
    std::fs::remove_file(&path).unwrap();
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

test_cases! {
    async endless_heads_take_little_memory: "an entry that keeps a response head without end, or what stands in its place, until it runs out of memory" => {
        check_memory("HTTP/1.1 200 OK\r\nx-a: ", "aaaa", 1_000).await;
        check_memory("HTTP/1.1 200 OK\r\n", "a: b\r\n", 1_000).await;
        check_memory("", "HTTP/1.1 100 Continue\r\n\r\n", 1_000).await;
        check_memory("", "no answer", 1_000).await;
    }

    async endless_bodies_take_little_memory: "an entry that keeps a response body without end until it runs out of memory" => {
        check_memory("HTTP/1.1 200 OK\r\n\r\n", "xxxx", 1_000).await;
        check_memory(CHUNKED, "4000\r\n", 1_000).await;
        check_memory("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "aaaa", 1_000).await;
        check_memory("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", 1_000).await;
    }

    async tiny_chunks_take_little_memory: "a response in chunks of a byte each, which takes many times its length in memory" => {
        check_memory(CHUNKED, "1\r\nx\r\n", 10_000).await;
    }
}
