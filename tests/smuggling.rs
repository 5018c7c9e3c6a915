//! Request smuggling: requests whose end two parsers may find at different positions.

mod support;

use std::sync::{Arc, Mutex};

use support::{FakeTarget, send_raw, start_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use zinniaport_testing::test_cases;

/// Heads that the entry must refuse. Each is followed by a second request, which must not reach
/// the target either.
const AMBIGUOUS_HEADS: &[(&str, &str)] = &[
    ("length before chunked", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("chunked before length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"),
    ("differing lengths", "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"),
    ("list of lengths", "Content-Length: 5, 5\r\n\r\nhello"),
    ("signed length", "Content-Length: +5\r\n\r\nhello"),
    ("negative length", "Content-Length: -1\r\n\r\n"),
    ("hexadecimal length", "Content-Length: 0x5\r\n\r\nhello"),
    ("length beyond 64 bits", "Content-Length: 18446744073709551621\r\n\r\nhello"),
    ("empty length", "Content-Length:\r\n\r\nhello"),
    ("unknown coding", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"),
    ("coding behind chunked", "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
    ("coding before chunked", "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
    ("chunked twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("tab around chunked", "Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n"),
    ("folded line", "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ("space before colon", "Content-Length : 5\r\n\r\nhello"),
    ("space before name", " Content-Length: 5\r\n\r\nhello"),
    ("null in value", "X-A: a\0b\r\n\r\n"),
    ("bare carriage return", "X-A: a\rContent-Length: 5\r\n\r\nhello"),
    ("bare line feed", "X-A: a\nContent-Length: 5\r\n\r\nhello"),
    ("name outside the token set", "X(A): a\r\n\r\n"),
    ("line without colon", "Content-Length\r\n\r\n"),
    ("bad chunk size", "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n"),
    (
        "chunk size overflow",
        "Transfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n",
    ),
    ("chunk longer than its size", "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n"),
];

const SECOND: &str = "GET /pump-history/second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Starts a target that records the heads of its requests.
async fn recording_target() -> (FakeTarget, Arc<Mutex<Vec<String>>>) {
    let heads = Arc::new(Mutex::new(Vec::new()));
    let recorded = heads.clone();
    let target = FakeTarget::start(move |mut stream, _| {
        let recorded = recorded.clone();
        async move {
            while let Some(head) = support::read_request(&mut stream).await {
                recorded.lock().unwrap().push(head);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
            }
        }
    })
    .await;
    (target, heads)
}

test_cases! {
    async ambiguous_heads_are_refused: "a second request hidden behind an ambiguous end of the first" => {
        let (target, heads) = recording_target().await;
        let entry = start_entry(target.address, "").await;
        let mut failures = Vec::new();
        for (name, rest) in AMBIGUOUS_HEADS {
            let raw = format!("POST /pump-history/first HTTP/1.1\r\nHost: a\r\n{rest}{SECOND}");
            let answer = send_raw(entry.caller_address(), raw.as_bytes()).await;
            let answered = answer.matches("HTTP/1.1 ").count();
            let second = heads.lock().unwrap().iter().any(|head| head.contains("/second"));
            if answered > 1 || answer.contains(" 200 ") || second {
                failures.push(format!("{name}: second dispatched: {second}, {answer:?}"));
            }
            heads.lock().unwrap().clear();
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    }

    async valid_requests_share_a_connection: "valid requests that are refused because the inspector lost track of the framing" => {
        let (target, _) = recording_target().await;
        let entry = start_entry(target.address, "").await;
        let head = "POST /pump-history/a HTTP/1.1\r\nHost: a\r\n";
        let raw = [
            format!("{head}Content-Length: 60\r\n\r\n{:60}", "Transfer-Encoding: chunked\r\n\n\n"),
            format!("{head}Content-Length: 0\r\n\r\n"),
            format!("{head}X-Long: {}\r\n\r\n", "a".repeat(3000)),
            format!("{head}Transfer-Encoding: chunked\r\n\r\n4;a=b\r\n\n\n\r\n\r\n00\r\nX-T: a\r\n\r\n"),
            SECOND.to_owned(),
        ];
        let mut stream = TcpStream::connect(entry.caller_address()).await.unwrap();
        for part in raw.concat().as_bytes().chunks(7) {
            stream.write_all(part).await.unwrap();
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), raw.len(), "{answer}");
    }
}
