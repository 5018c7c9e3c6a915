//! Responses that a target breaks off: their callers never see them as whole.

mod support;

use std::fmt::Debug;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{FakeTarget, read_head, read_request, send_raw, start_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep, timeout};
use zinniaport::runtime::EntryRuntime;
use zinniaport_testing::test_cases;

/// Size of an upload that a target does not read to its end, in bytes. It exceeds the buffers of
/// the sockets.
const UPLOAD_BYTES: usize = 16 << 20;

/// Settings that stream responses, and those that buffer them.
const STREAMED: &str = "";
const BUFFERED: &str = "pool: { whole_answer_bytes: 1048576 }";

/// How a target ends a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Reset,
    /// The target sends no more, and reads no more either.
    Closed,
}

/// Starts a target that reads a request up to its body, sends `response` and ends the connection
/// after a pause.
async fn start_breaking(response: &'static str, end: ConnectionEnd, pause: Duration) -> FakeTarget {
    FakeTarget::start(move |mut stream, _| async move {
        if read_head(&mut stream).await.is_none() {
            return;
        }
        let _ = stream.write_all(response.as_bytes()).await;
        sleep(pause).await;
        match end {
            ConnectionEnd::Reset => stream.set_zero_linger().unwrap(),
            ConnectionEnd::Closed => {
                stream.shutdown().await.unwrap();
                sleep(Duration::from_secs(2)).await;
            }
        }
    })
    .await
}

/// How a caller sees a response.
#[derive(Debug, Eq, PartialEq)]
enum SeenResponse {
    Whole(u16),
    Broken,
}

/// Sends a POST over HTTP/1.1, of which the last `missing` bytes are not sent, and reads the
/// response.
async fn post_http1(entry: &EntryRuntime, length: usize, missing: usize) -> SeenResponse {
    let stream = TcpStream::connect(entry.caller_address()).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let head = format!(
        "POST /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).await.unwrap();
    let upload = tokio::spawn(async move {
        let _ = writer.write_all(&vec![b'x'; length - missing]).await;
        sleep(Duration::from_secs(5)).await;
    });
    let mut answer = Vec::new();
    let ended = timeout(Duration::from_secs(4), reader.read_to_end(&mut answer)).await;
    upload.abort();
    let answer = String::from_utf8_lossy(&answer);
    seen(&answer, matches!(ended, Ok(Ok(_))))
}

/// Judges a response that was read up to the end of its connection.
fn seen(answer: &str, ended: bool) -> SeenResponse {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return SeenResponse::Broken };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
        None => ended,
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    if is_whole { SeenResponse::Whole(status.unwrap_or(0)) } else { SeenResponse::Broken }
}

/// Sends a POST over HTTP/2 and reads the response.
async fn post_http2(entry: &EntryRuntime, length: usize) -> SeenResponse {
    let stream = TcpStream::connect(entry.caller_address()).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let uri = format!("http://{}/pump-history/a", entry.caller_address());
    let body = Full::new(Bytes::from(vec![b'x'; length]));
    let Ok(response) = sender.send_request(http::Request::post(uri).body(body).unwrap()).await
    else {
        return SeenResponse::Broken;
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(_) => SeenResponse::Whole(status),
        Err(_) => SeenResponse::Broken,
    }
}

/// Checks that a response is broken, or replaced by a 502 that states no promise.
fn check_broken(seen: &SeenResponse, case: &dyn Debug) {
    let is_broken = matches!(seen, SeenResponse::Broken | SeenResponse::Whole(502));
    assert!(is_broken, "{case:?}: the caller saw {seen:?}");
}

test_cases! {
    async answers_within_an_upload: "a response without a length that a target breaks off while the upload is being sent, and that looks whole" => {
        let responses = [
            "HTTP/1.1 200 OK\r\n\r\npartial",
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.0 200 OK\r\n\r\npartial",
            "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npartial",
        ];
        let mut faults = Vec::new();
        for response in responses {
            for (end, pause_ms) in
                [(ConnectionEnd::Reset, 0), (ConnectionEnd::Reset, 50), (ConnectionEnd::Closed, 50)]
            {
                for settings in [STREAMED, BUFFERED] {
                    let pause = Duration::from_millis(pause_ms);
                    let target = start_breaking(response, end, pause).await;
                    let entry = start_entry(target.address, settings).await;
                    let cases = [
                        ("http/1.1", post_http1(&entry, UPLOAD_BYTES, 0).await),
                        ("http/1.1, slow caller", post_http1(&entry, UPLOAD_BYTES, UPLOAD_BYTES - 100).await),
                        ("http/2", post_http2(&entry, UPLOAD_BYTES).await),
                    ];
                    for (caller, seen) in cases {
                        if !matches!(seen, SeenResponse::Broken | SeenResponse::Whole(502)) {
                            faults.push(format!("{caller}, {end:?}, {settings:?}, {response:?}: {seen:?}"));
                        }
                    }
                }
            }
        }
        assert!(faults.is_empty(), "{faults:#?}");
    }

    async responses_cut_at_each_position: "a response with a length or in chunks that is cut at some position and looks whole" => {
        let responses = [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        ];
        for settings in [STREAMED, BUFFERED] {
            for response in responses {
                for length in 0..response.len() {
                    let target = FakeTarget::start(move |mut stream, _| async move {
                        read_request(&mut stream).await;
                        let _ = stream.write_all(&response.as_bytes()[..length]).await;
                    })
                    .await;
                    let entry = start_entry(target.address, settings).await;
                    let raw = b"GET /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
                    let answer = send_raw(entry.caller_address(), raw).await;
                    check_broken(&seen(&answer, true), &(settings, &response[..length]));
                    assert!(!answer.contains("not-run"), "{length} of {response:?}: {answer}");
                }
            }
        }
    }

    async responses_past_their_deadline: "a response without a length that the entry ends at the deadline and that looks whole" => {
        let target = FakeTarget::start(|mut stream, _| async move {
            read_request(&mut stream).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npartial").await;
            sleep(Duration::from_secs(5)).await;
        })
        .await;
        let entry = start_entry(target.address, STREAMED).await;
        let raw = "GET /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Deadline-Ms: 200\r\n\r\n";
        let answer = send_raw(entry.caller_address(), raw.as_bytes()).await;
        check_broken(&seen(&answer, true), &"deadline");
    }
}
