//! Memory and descriptors of an entry whose callers hold what they were given: uploads short of
//! their end, heads without end, responses that nobody reads, silent connections and streams.

mod caller_crowd;
mod support;

use caller_crowd::{CrowdedEntry, Http2Crowd, RAW_BODY_BYTES, connect, post_head};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Duration, interval};
use zinniaport_testing::test_cases;

/// Uploads at a time. Together they are twice what the process may use.
const UPLOADS: usize = 150;

/// Largest upload that the users permit, in bytes.
const LARGE_UPLOAD_BYTES: usize = 64 << 20;

/// Callers at a time that do not read a response of [`RAW_BODY_BYTES`].
const UNREAD_RESPONSES: usize = 150;

/// Callers at a time that send a head without end.
const ENDLESS_HEADS: usize = 200;

/// Length of each such head, in bytes. It is below the limit of the settings.
const HEAD_BYTES: usize = 250_000;

/// Connections at a time that send nothing, more than the settings permit.
const SILENT_CONNECTIONS: usize = 600;

/// Connections at a time with further requests behind one that waits for its target.
const PIPELINED_CONNECTIONS: usize = 250;

/// HTTP/2 connections at a time, and streams on each.
const HTTP2_CONNECTIONS: usize = 10;
const HTTP2_STREAMS: usize = 90;

/// Uploads at a time of which hardly any fit into [`SMALL_BUDGET_BYTES`] together, and their size.
const CROWDED_UPLOADS: usize = 300;
const CROWDED_UPLOAD_BYTES: usize = 256 << 10;

/// Bytes that the entry may hold for them.
const SMALL_BUDGET_BYTES: usize = 4 << 20;

/// Streams that are opened and reset at once on one HTTP/2 connection.
const RESET_STREAMS: usize = 4_000;

async fn send_short_uploads(entry: &CrowdedEntry, count: usize) -> Vec<TcpStream> {
    let body = vec![b'x'; RAW_BODY_BYTES - 1];
    let mut callers = Vec::new();
    for _ in 0..count {
        let mut caller = connect(entry.callers).await;
        let head = post_head(&format!("content-length: {RAW_BODY_BYTES}\r\n"));
        // The entry may refuse the upload or close the connection at any time.
        let _ = caller.write_all(head.as_bytes()).await;
        let _ = tokio::time::timeout(Duration::from_secs(1), caller.write_all(&body)).await;
        callers.push(caller);
    }
    callers
}

/// Sends uploads side by side, each a byte short of its end.
async fn send_uploads_at_once(entry: &CrowdedEntry, count: usize) -> Vec<TcpStream> {
    let address = entry.callers;
    let uploads = (0..count).map(|_| async move {
        let mut caller = connect(address).await;
        let head = post_head(&format!("content-length: {CROWDED_UPLOAD_BYTES}\r\n"));
        let _ = caller.write_all(head.as_bytes()).await;
        let body = vec![b'x'; CROWDED_UPLOAD_BYTES - 1];
        let _ = tokio::time::timeout(Duration::from_secs(5), caller.write_all(&body)).await;
        caller
    });
    futures::future::join_all(uploads).await
}

test_cases! {
    async uploads_short_of_their_end: "uploads of permitted size that stop before their end and together take all memory" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 1048576").await;
        let callers = send_short_uploads(&entry, UPLOADS).await;
        entry.check("uploads short of their end", UPLOADS).await;
        drop(callers);
    }

    async crowds_get_ordinary_requests_refused: "an ordinary request that is refused since uploads that stop before their end wait for room ahead of it" => {
        let mut entry = CrowdedEntry::start_with_budget(SMALL_BUDGET_BYTES, "buffered_body_bytes: 1048576").await;
        let callers = send_uploads_at_once(&entry, CROWDED_UPLOADS).await;
        let answer = entry.ordinary_status().await;
        entry.check("uploads that wait for room", CROWDED_UPLOADS).await;
        assert_eq!(answer, "200");
        drop(callers);
    }

    async large_uploads_pass: "an upload of permitted size that is refused because it is larger than what may be held" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 67108864").await;
        for headers in ["content-length: 67108864\r\n", "transfer-encoding: chunked\r\n"] {
            let is_chunked = headers.starts_with("transfer");
            let status = entry.upload(headers, is_chunked, LARGE_UPLOAD_BYTES).await;
            assert_eq!(status, "200", "{headers}");
        }
        entry.check("an upload of 64 MiB", 1).await;
    }

    async uploads_byte_by_byte: "uploads that go on by a byte at a time, so that no limit on pauses ends them" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 1048576").await;
        let mut callers = send_short_uploads(&entry, 0).await;
        let part = vec![b'x'; RAW_BODY_BYTES / 2];
        for _ in 0..UPLOADS {
            let mut caller = connect(entry.callers).await;
            let head = post_head(&format!("content-length: {RAW_BODY_BYTES}\r\n"));
            let _ = caller.write_all(head.as_bytes()).await;
            let _ = tokio::time::timeout(Duration::from_secs(1), caller.write_all(&part)).await;
            callers.push(caller);
        }
        let trickle = tokio::spawn(async move {
            let mut ticks = interval(Duration::from_millis(100));
            loop {
                ticks.tick().await;
                for caller in &callers {
                    let _ = caller.try_write(b"x");
                }
            }
        });
        entry.check("uploads byte by byte", UPLOADS).await;
        trickle.abort();
    }

    async uploads_beside_endless_responses: "uploads in chunks, uploads of known length and endless responses that together take all memory" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 1048576").await;
        let mut callers = Vec::new();
        for _ in 0..20 {
            let mut caller = connect(entry.callers).await;
            let _ = caller.write_all(b"GET /pump-history/endless HTTP/1.1\r\nHost: a\r\n\r\n").await;
            callers.push(caller);
        }
        for _ in 0..50 {
            let mut caller = connect(entry.callers).await;
            let head = post_head("transfer-encoding: chunked\r\n");
            let _ = caller.write_all(format!("{head}f4240\r\n").as_bytes()).await;
            let body = vec![b'x'; RAW_BODY_BYTES - 1];
            let _ = tokio::time::timeout(Duration::from_millis(200), caller.write_all(&body)).await;
            callers.push(caller);
        }
        callers.extend(send_short_uploads(&entry, 100).await);
        entry.check("uploads beside endless responses", callers.len()).await;
    }

    async responses_never_read: "responses that nobody reads and that together take all memory" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 1048576").await;
        let mut callers = Vec::new();
        for _ in 0..UNREAD_RESPONSES {
            let mut caller = connect(entry.callers).await;
            let _ = caller.write_all(b"GET /pump-history/large HTTP/1.1\r\nHost: a\r\n\r\n").await;
            callers.push(caller);
        }
        entry.check("responses never read", UNREAD_RESPONSES).await;
    }

    async heads_without_end: "heads within the limit that do not end and together take all memory" => {
        let mut entry = CrowdedEntry::start("max_header_bytes: 262144").await;
        let mut callers = Vec::new();
        for _ in 0..ENDLESS_HEADS {
            let mut caller = connect(entry.callers).await;
            let filler = "a".repeat(HEAD_BYTES);
            let head = format!("GET /pump-history/a HTTP/1.1\r\nHost: a\r\nx-a: {filler}");
            let sent = caller.write_all(head.as_bytes());
            let _ = tokio::time::timeout(Duration::from_secs(1), sent).await;
            callers.push(caller);
        }
        entry.check("heads without end", ENDLESS_HEADS).await;
    }

    async silent_connections: "connections that send nothing and keep others from being accepted" => {
        let mut entry = CrowdedEntry::start("max_caller_connections: 400, header_read_timeout_ms: 600000").await;
        let mut callers = Vec::new();
        for _ in 0..SILENT_CONNECTIONS {
            // Those beyond the limit may find the queue of the listener full.
            let opened = tokio::time::timeout(Duration::from_millis(200), connect(entry.callers));
            callers.extend(opened.await);
        }
        entry.check("silent connections", 400).await;
    }

    async requests_behind_others: "requests behind others, each of which takes a second descriptor" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 16384").await;
        let mut callers = Vec::new();
        let behind = "GET /pump-history/a HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_500);
        for _ in 0..PIPELINED_CONNECTIONS {
            let mut caller = connect(entry.callers).await;
            let _ = caller.write_all(b"GET /pump-history/never HTTP/1.1\r\nHost: a\r\n\r\n").await;
            let sent = caller.write_all(behind.as_bytes());
            let _ = tokio::time::timeout(Duration::from_millis(500), sent).await;
            callers.push(caller);
        }
        entry.check("requests behind others", PIPELINED_CONNECTIONS).await;
    }

    async streams_short_of_their_end: "streams of few connections whose heads and bodies together take all memory" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 1048576").await;
        let mut crowd = Http2Crowd::default();
        for _ in 0..HTTP2_CONNECTIONS {
            crowd.open_uploads(entry.callers, HTTP2_STREAMS).await;
        }
        entry.check("streams short of their end", HTTP2_CONNECTIONS).await;
    }

    async streams_reset_at_once: "streams that are opened and reset by thousands" => {
        let mut entry = CrowdedEntry::start("buffered_body_bytes: 1048576").await;
        let mut crowd = Http2Crowd::default();
        crowd.reset_streams(entry.callers, RESET_STREAMS).await;
        entry.check("streams reset at once", 1).await;
    }
}
