//! Ways by which a request may meet a connection, a target or a process twice, or by which a
//! target may run a request that its caller is told was not run.

#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use outcomes::{
    ReceivedRequests, answer, named_response, post, post_text, promises_not_run, read_response,
    record, refusal, request_id, start_recording, status_and_outcome,
};
use support::{FakeTarget, read_head, read_request, settings_text, start_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use zinniaport::runtime::EntryRuntime;
use zinniaport::settings::EntrySettings;
use zinniaport_testing::test_cases;

/// How a target ends a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// Reads `length` bytes of a request, or the whole request, and ends the connection. Returns the
/// number of bytes read.
async fn read_and_end(mut stream: TcpStream, length: Option<usize>, end: ConnectionEnd) -> usize {
    let mut count = 0;
    match length {
        None => count = read_request(&mut stream).await.map_or(0, |head| head.len()),
        Some(length) => {
            while count < length && stream.read_u8().await.is_ok() {
                count += 1;
            }
        }
    }
    if let ConnectionEnd::Reset = end {
        stream.set_zero_linger().unwrap();
    }
    count
}

/// Starts an entry whose service has a check of idle connections.
async fn start_checking_entry(target: SocketAddr) -> EntryRuntime {
    let measuring = "\x20 measuring: { budget_percent: 0, probe_cost_ms: 1, max_entries: 1, probe_path: /health }\n";
    let text = settings_text(target, "") + measuring;
    let settings: EntrySettings = serde_norway::from_str(&text).unwrap();
    EntryRuntime::start(settings).await.unwrap()
}

/// Sends a POST over HTTP/2. Returns the head of the response in the format of HTTP/1.1.
async fn post_http2(entry: SocketAddr, id: &str) -> String {
    let stream = TcpStream::connect(entry).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = http::Request::post(format!("http://{entry}/pump-history/a"))
        .header("x-request-id", id)
        .body(Empty::<Bytes>::new())
        .unwrap();
    let response = sender.send_request(request).await.unwrap();
    let mut head = format!("HTTP/2 {} \r\n", response.status().as_u16());
    for (name, value) in response.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let _ = response.into_body().collect().await;
    head
}

/// Runs requests, refuses those whose identity says so, and closes the connection of others after
/// it ran them.
async fn serve_by_identity(mut stream: TcpStream, received: ReceivedRequests) {
    while let Some(head) = read_request(&mut stream).await {
        let id = request_id(&head).unwrap();
        if id.contains("lost") {
            return record(&received, &head);
        }
        let response = if id.contains("refused") {
            refusal(&head)
        } else {
            record(&received, &head);
            answer(&head)
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

const HEALTHY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nhealthy";

/// Sends two requests on a connection that is idle and checked in between. The target answers the
/// check with `check_response` after `delay_ms`, and sends `copies` more of it when the next
/// request arrives, which it runs. Returns the status and body of each response, and the number of
/// requests that were run.
async fn check_and_post(
    check_response: &'static str,
    delay_ms: u64,
    copies: usize,
) -> (Vec<(u16, String)>, usize) {
    let received = ReceivedRequests::default();
    let target = start_recording(&received, move |mut stream, received| async move {
        let mut late = String::new();
        while let Some(head) = read_request(&mut stream).await {
            let response = if head.starts_with("GET /health") {
                sleep(Duration::from_millis(delay_ms)).await;
                let response = named_response(&head, check_response);
                late = response.repeat(copies);
                response
            } else {
                record(&received, &head);
                let _ = stream.write_all(std::mem::take(&mut late).as_bytes()).await;
                sleep(Duration::from_millis(50)).await;
                answer(&head)
            };
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await;
    let entry = start_checking_entry(target.address).await;
    let mut responses = Vec::new();
    for id in ["first", "second"] {
        let (head, body) = post(entry.caller_address(), id, "").await.unwrap();
        responses.push((status_and_outcome(&head).0, body));
        sleep(Duration::from_millis(250)).await;
    }
    let runs = received.lock().unwrap().len();
    (responses, runs)
}

test_cases! {
    async read_requests_are_not_reported_as_unsent: "a request that a target began to read before it ended the connection, and whose caller is told that it was not run" => {
        let lengths = [Some(0), Some(1), Some(20), Some(70), None];
        let cases = lengths.into_iter().flat_map(|length| [(length, false), (length, true)]);
        let cases = cases.flat_map(|(length, is_reused)| [(length, is_reused, ConnectionEnd::Close), (length, is_reused, ConnectionEnd::Reset)]);
        let mut broken = Vec::new();
        for (length, is_reused, end) in cases {
            let read = Arc::new(AtomicUsize::new(0));
            let counter = read.clone();
            let target = FakeTarget::start(move |mut stream, _| {
                let counter = counter.clone();
                async move {
                    if is_reused {
                        let Some(head) = read_request(&mut stream).await else { return };
                        if head.contains("sent") {
                            counter.fetch_add(head.len(), Ordering::SeqCst);
                            return;
                        }
                        stream.write_all(answer(&head).as_bytes()).await.unwrap();
                    }
                    counter.fetch_add(read_and_end(stream, length, end).await, Ordering::SeqCst);
                }
            })
            .await;
            let entry = start_entry(target.address, "").await;
            for number in 0..10 {
                if is_reused {
                    post(entry.caller_address(), &format!("warm-{number}"), "").await;
                }
                let before = read.load(Ordering::SeqCst);
                let response = post(entry.caller_address(), &format!("sent-{number}"), "").await;
                sleep(Duration::from_millis(10)).await;
                let was_read = read.load(Ordering::SeqCst) > before;
                if was_read && response.as_ref().is_some_and(|(head, _)| promises_not_run(head)) {
                    broken.push(format!("{end:?} after {length:?} bytes, reused {is_reused}: {response:?}"));
                }
            }
        }
        assert!(broken.is_empty(), "{broken:#?}");
    }

    async idle_connections_may_close_while_a_request_is_sent: "a request that is written while its idle connection is closed, run and reported as not run" => {
        let received = ReceivedRequests::default();
        let target = start_recording(&received, |mut stream, received| async move {
            let mut delay = Duration::ZERO;
            while let Ok(Some(head)) = timeout(delay, read_request(&mut stream)).await.or_else(|elapsed| if delay.is_zero() { Ok(None) } else { Err(elapsed) }) {
                record(&received, &head);
                stream.write_all(answer(&head).as_bytes()).await.unwrap();
                delay = Duration::from_micros(request_id(&head).unwrap().len() as u64 * 37 % 400);
            }
        })
        .await;
        let entry = start_entry(target.address, "").await;
        let mut outcomes = HashMap::<_, usize>::new();
        for number in 0..400_usize {
            let id = format!("{number}-{}", "x".repeat(number % 23));
            let head = post(entry.caller_address(), &id, "").await.map(|(head, _)| head);
            let runs = received.lock().unwrap().get(&id).map_or(0, Vec::len);
            let promised = head.as_deref().is_some_and(promises_not_run);
            assert!(runs <= 1, "{id} ran {runs} times: {head:?}");
            assert!(!promised || runs == 0, "{id} ran {runs} times: {head:?}");
            *outcomes.entry((promised, runs)).or_default() += 1;
        }
        println!("requests by promise and runs: {outcomes:?}");
    }

    async cut_refusals_promise_nothing: "a target that ends inside the head of a refusal, whose request is reported as not run" => {
        let refused = refusal(&post_text("cut", "").to_lowercase());
        for length in 0..refused.len() {
            let part = refused[..length].to_owned();
            let target = FakeTarget::start(move |mut stream, _| {
                let part = part.clone();
                async move {
                    read_request(&mut stream).await;
                    let _ = stream.write_all(part.as_bytes()).await;
                }
            })
            .await;
            let entry = start_entry(target.address, "").await;
            let response = post(entry.caller_address(), "cut", "").await;
            let (head, _) = response.unwrap();
            assert!(!promises_not_run(&head), "after {length} bytes of a refusal: {head}");
        }
    }

    async interim_responses_are_not_final: "an interim response that is taken for the response, or after which the response is" => {
        let marked = "HTTP/1.1 103 Early Hints\r\nx-zinniaport-refused: shed\r\nx-request-id: ran\r\n\r\n";
        let continued = "HTTP/1.1 100 Continue\r\n\r\n";
        for (interim, id, expected) in [
            (marked, "ran", (200, "ran")),
            (continued, "ran", (200, "ran")),
            (continued, "refused", (503, "not-run")),
            (marked, "refused", (503, "not-run")),
        ] {
            let target = FakeTarget::start(move |mut stream, _| async move {
                while let Some(head) = read_request(&mut stream).await {
                    let response = if head.contains("refused") { refusal(&head) } else { answer(&head) };
                    let _ = stream.write_all(interim.as_bytes()).await;
                    sleep(Duration::from_millis(2)).await;
                    let _ = stream.write_all((interim.to_owned() + &response).as_bytes()).await;
                }
            })
            .await;
            let entry = start_entry(target.address, "").await;
            for next in [id, "ran-next"] {
                let (head, _) = post(entry.caller_address(), next, "").await.unwrap();
                let expected = if next == id { expected } else { (200, "ran") };
                assert_eq!(status_and_outcome(&head), expected, "{interim}{head}");
            }
        }
    }

    async requests_never_get_the_response_to_a_check: "a late response to a check of an idle connection that is passed on as the response to a request" => {
        for (delay, copies) in [(0, 0), (20, 0), (31, 0), (60, 0)] {
            let (responses, runs) = check_and_post(HEALTHY, delay, copies).await;
            assert_eq!((responses[1].clone(), runs), ((200, "done".to_owned()), 2), "{delay} ms");
        }
    }

    async copies_of_a_check_response_are_not_passed_on: "a second copy of the response to a check that is taken for the response to the request after it" => {
        let refused = "HTTP/1.1 503 Service Unavailable\r\nx-zinniaport-refused: shed\r\ncontent-length: 4\r\n\r\nfull";
        let mut broken = Vec::new();
        for (check_response, delay) in [(HEALTHY, 0), (HEALTHY, 20), (refused, 0), (refused, 20)] {
            let (responses, runs) = check_and_post(check_response, delay, 1).await;
            let (status, body) = &responses[1];
            if body == "healthy" || (*status == 503 && runs == 2) {
                broken.push(format!("after {delay} ms: {status} {body}, {runs} runs"));
            }
        }
        assert!(broken.is_empty(), "{broken:#?}");
    }

    async early_refusals_of_uploads_leave_no_bytes_behind: "the rest of an upload that was refused early and is taken for the next request" => {
        let received = ReceivedRequests::default();
        let target = start_recording(&received, |mut stream, received| async move {
            while let Some(head) = read_head(&mut stream).await {
                record(&received, &head);
                let response = if head.contains("refused") { refusal(&head) } else { answer(&head) };
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
        let entry = start_entry(target.address, "").await;
        let upload = "POST /pump-history/a HTTP/1.1\r\nHost: a\r\nX-Request-Id: refused\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
        let mut caller = TcpStream::connect(entry.caller_address()).await.unwrap();
        caller.write_all(upload.as_bytes()).await.unwrap();
        let (head, _) = read_response(&mut caller).await.unwrap();
        assert_eq!(status_and_outcome(&head), (503, "not-run"));
        let (head, _) = post(entry.caller_address(), "next", "").await.unwrap();
        assert_eq!(status_and_outcome(&head), (200, "ran"));
        let received = received.lock().unwrap();
        let counts = ["refused", "next"].map(|id| received[id].len());
        assert_eq!((counts, received.len()), ([1, 1], 2));
    }

    async promises_are_the_same_on_all_connections: "a request whose promise depends on the protocol of its caller" => {
        let received = ReceivedRequests::default();
        let target = start_recording(&received, serve_by_identity).await;
        let entry = start_entry(target.address, "").await;
        let address = entry.caller_address();
        let expected = [("refused", (503, "not-run")), ("ran", (200, "ran")), ("lost", (502, "unknown"))];
        let mut pipelined = TcpStream::connect(address).await.unwrap();
        let texts = expected.map(|(kind, _)| post_text(&format!("pipelined-{kind}"), ""));
        pipelined.write_all(texts.concat().as_bytes()).await.unwrap();
        for (kind, expected) in expected {
            let (head, _) = post(address, &format!("single-{kind}"), "").await.unwrap();
            assert_eq!(status_and_outcome(&head), expected);
            let (head, _) = read_response(&mut pipelined).await.unwrap();
            assert_eq!(request_id(&head), Some(&*format!("pipelined-{kind}")));
            assert_eq!(status_and_outcome(&head), expected);
            let head = post_http2(address, &format!("http2-{kind}")).await;
            assert_eq!(status_and_outcome(&head), expected);
        }
        let received = received.lock().unwrap();
        assert!(received.values().all(|arrivals| arrivals.len() == 1), "{received:?}");
        assert_eq!(received.len(), 6);
    }
}
