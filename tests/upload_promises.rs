//! Uploads that end early while their target runs them: their callers get no promise.

#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use outcomes::{answer, promises_not_run};
use support::{FakeTarget, read_head, start_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniaport::runtime::EntryRuntime;
use zinniaport_testing::test_cases;

/// Starts a target that runs each request from its head on. It reads on until the connection ends
/// or, with a delay, responds that long after the head.
async fn start_running_target(runs: &Arc<AtomicUsize>, delay: Option<Duration>) -> FakeTarget {
    let counter = runs.clone();
    FakeTarget::start(move |mut stream, _| {
        let counter = counter.clone();
        async move {
            let Some(head) = read_head(&mut stream).await else { return };
            counter.fetch_add(1, Ordering::SeqCst);
            if let Some(delay) = delay {
                sleep(delay).await;
                let _ = stream.write_all(answer(&head).as_bytes()).await;
            }
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        }
    })
    .await
}

/// Sends the head of an upload in chunks and its first chunks, on a connection of its own.
async fn begin_upload(entry: &EntryRuntime, chunks: &str) -> TcpStream {
    let head = "POST /pump-history/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: up\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let mut caller = TcpStream::connect(entry.caller_address()).await.unwrap();
    caller.write_all(format!("{head}{chunks}").as_bytes()).await.unwrap();
    caller
}

/// How an upload ends before its body is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UploadEnd {
    /// The caller closes its sending half.
    Close,
    /// The body exceeds the limit.
    TooLarge,
    /// The caller stalls, and the target responds after the limit.
    LateAnswer,
}

/// Waits until the target runs its first request.
async fn wait_for_run(runs: &AtomicUsize) {
    while runs.load(Ordering::SeqCst) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

test_cases! {
    async stalled_uploads_promise_nothing: "an upload that a target runs from its head on and whose slow caller is told that it was not run" => {
        let runs = Arc::new(AtomicUsize::new(0));
        let target = start_running_target(&runs, None).await;
        let entry = start_entry(target.address, "limits: { body_progress_timeout_ms: 200 }").await;
        let mut caller = begin_upload(&entry, "5\r\nhello\r\n").await;
        let response = read_head(&mut caller).await.unwrap();
        assert_eq!(runs.load(Ordering::SeqCst), 1);
        assert!(!promises_not_run(&response), "it ran, and the caller got {response}");
    }

    async interrupted_uploads_promise_nothing: "an upload that ends early, that a target runs from its head on and whose caller is told that it was not run" => {
        for end in [UploadEnd::Close, UploadEnd::TooLarge, UploadEnd::LateAnswer] {
            let runs = Arc::new(AtomicUsize::new(0));
            let delay = (end == UploadEnd::LateAnswer).then_some(Duration::from_millis(300));
            let target = start_running_target(&runs, delay).await;
            let limits = "limits: { body_progress_timeout_ms: 200, max_body_bytes: 1000 }";
            let entry = start_entry(target.address, limits).await;
            let mut caller = begin_upload(&entry, "5\r\nhello\r\n").await;
            wait_for_run(&runs).await;
            match end {
                UploadEnd::Close => caller.shutdown().await.unwrap(),
                UploadEnd::TooLarge => {
                    let chunk = format!("7d0\r\n{:2000}\r\n", "");
                    caller.write_all(chunk.as_bytes()).await.unwrap();
                }
                UploadEnd::LateAnswer => {}
            }
            let expected = match end {
                // The connection ends without a response.
                UploadEnd::Close => None,
                UploadEnd::TooLarge => Some("413"),
                UploadEnd::LateAnswer => Some("504"),
            };
            let response = read_head(&mut caller).await;
            println!("{end:?}: {response:?}");
            let status = response.as_deref().and_then(|head| head.split(' ').nth(1));
            assert_eq!(status, expected, "{end:?}: {response:?}");
            let promised = response.as_deref().is_some_and(promises_not_run);
            assert!(!promised, "{end:?}: it ran, and the caller got {response:?}");
        }
    }

    async stalled_http2_uploads_promise_nothing: "an upload over HTTP/2 that a target runs and whose slow caller is told that it was not run" => {
        let runs = Arc::new(AtomicUsize::new(0));
        let target = start_running_target(&runs, None).await;
        let entry = start_entry(target.address, "limits: { body_progress_timeout_ms: 200 }").await;
        let stream = TcpStream::connect(entry.caller_address()).await.unwrap();
        let (mut sender, connection) =
            http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        let first = stream::iter([Ok::<_, Infallible>(Frame::data(Bytes::from("hello")))]);
        let body = StreamBody::new(first.chain(stream::pending()));
        let uri = format!("http://{}/pump-history/a", entry.caller_address());
        let request = http::Request::post(uri).body(body).unwrap();
        let response = sender.send_request(request).await.unwrap();
        assert_eq!(runs.load(Ordering::SeqCst), 1);
        assert_eq!(response.status(), 504);
        assert_eq!(response.headers()["x-zinniaport-outcome"], "unknown");
    }
}
