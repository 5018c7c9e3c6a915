//! Callers that send further requests on a connection before the first was answered.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::{FakeTarget, read_request, settings_text, start_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use zinniaport::runtime::EntryRuntime;
use zinniaport_testing::test_cases;

/// A target whose behaviour the path of a request selects, with the heads that it received.
struct ScriptedTarget {
    target: FakeTarget,
    heads: Arc<Mutex<Vec<String>>>,
    /// Notified when a connection was closed while a request of the path `/held` was running.
    aborted: Arc<Notify>,
}

impl ScriptedTarget {
    async fn start() -> Self {
        let heads = Arc::new(Mutex::new(Vec::new()));
        let aborted = Arc::new(Notify::new());
        let (recorded, notified) = (heads.clone(), aborted.clone());
        let target = FakeTarget::start(move |stream, _| {
            serve_by_path(stream, recorded.clone(), notified.clone())
        })
        .await;
        Self { target, heads, aborted }
    }

    /// Returns the paths that the target received, without the service.
    fn paths(&self) -> Vec<String> {
        let heads = self.heads.lock().unwrap();
        let path = |head: &String| head.split(' ').nth(1).unwrap_or_default().to_owned();
        heads.iter().map(path).map(|path| path.replace("/pump-history/", "")).collect()
    }

    /// Waits until the target has received a request for the path.
    async fn wait_for(&self, path: &str) {
        while !self.paths().iter().any(|received| received == path) {
            sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn serve_by_path(
    mut stream: TcpStream,
    heads: Arc<Mutex<Vec<String>>>,
    aborted: Arc<Notify>,
) {
    while let Some(head) = read_request(&mut stream).await {
        heads.lock().unwrap().push(head.clone());
        if head.contains("/held ") {
            // Ends when the entry closes the connection.
            let _ = stream.read_u8().await;
            return aborted.notify_one();
        }
        if head.contains("/lost ") {
            return;
        }
        if head.contains("/late ") {
            sleep(Duration::from_secs(1)).await;
        }
        if head.contains("/slow") {
            sleep(Duration::from_millis(100)).await;
        }
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{head}", head.len());
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns a request whose identity is its path.
fn request(path: &str) -> String {
    request_with(path, "")
}

fn request_with(path: &str, headers: &str) -> String {
    format!("GET /pump-history/{path} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {path}\r\n{headers}\r\n")
}

/// A response as the caller received it.
#[derive(Debug)]
struct ReceivedResponse {
    status: u16,
    request_id: String,
    head: String,
    body: String,
}

/// Reads responses with a length until the connection ends.
async fn read_responses(stream: &mut TcpStream) -> Vec<ReceivedResponse> {
    let mut responses = Vec::new();
    while let Some(response) = read_response(stream).await {
        responses.push(response);
    }
    responses
}

async fn read_response(stream: &mut TcpStream) -> Option<ReceivedResponse> {
    let head = support::read_head(stream).await?;
    let value = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        values.next().map_or(String::new(), |(_, value)| value.to_owned())
    };
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let (request_id, length) = (value("x-request-id"), value("content-length"));
    let mut body = vec![0; length.parse().unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(ReceivedResponse { status, request_id, head, body })
}

fn summary(responses: &[ReceivedResponse]) -> Vec<(u16, &str)> {
    responses.iter().map(|response| (response.status, response.request_id.as_str())).collect()
}

/// Sends bytes on a new connection and returns it.
async fn send(entry: &EntryRuntime, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry.caller_address()).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

/// Returns the value of the deadline header that the target received with a request.
fn received_deadline(heads: &[String], path: &str) -> u64 {
    let head = heads.iter().find(|head| head.contains(&format!("/{path} "))).unwrap();
    let line = head.lines().find_map(|line| line.strip_prefix("x-deadline-ms: ")).unwrap();
    line.parse().unwrap()
}

/// Closes a connection while its first request runs, with `behind` sent after it, and checks that
/// the target is told and gets nothing else.
async fn leave_before(behind: &str) {
    let target = ScriptedTarget::start().await;
    let entry = start_entry(target.target.address, "").await;
    let stream = send(&entry, &format!("{}{behind}", request("held"))).await;
    target.wait_for("held").await;
    drop(stream);
    timeout(Duration::from_secs(10), target.aborted.notified()).await.unwrap();
    // A later request of another caller shows that the entry had time to go on.
    let last = request_with("fast", "Connection: close\r\n");
    read_responses(&mut send(&entry, &last).await).await;
    assert_eq!(target.paths(), ["held", "fast"]);
}

test_cases! {
    async responses_keep_the_order: "a fast response that overtakes a slow one, or has the identity or body of another" => {
        let target = ScriptedTarget::start().await;
        let entry = start_entry(target.target.address, "").await;
        let paths = ["slow-1", "fast-2", "slow-3", "fast-4"];
        let last = request_with("fast-5", "Connection: close\r\n");
        let bytes: String = paths.iter().map(|path| request(path)).collect::<String>() + &last;
        let mut stream = send(&entry, &bytes).await;
        let responses = read_responses(&mut stream).await;
        let expected = [(200, "slow-1"), (200, "fast-2"), (200, "slow-3"), (200, "fast-4"), (200, "fast-5")];
        assert_eq!(summary(&responses), expected);
        for response in &responses {
            let line = format!("GET /pump-history/{} ", response.request_id);
            assert!(response.body.starts_with(&line), "{response:?}");
        }
    }

    async ambiguous_heads_affect_only_their_request: "a valid request that is refused because of the bytes of a later one" => {
        let bad = [
            ("two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"),
            ("length and coding", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            ("bare line feed", "X-A: a\nX-B: b\r\n\r\n"),
        ];
        for (name, rest) in bad {
            let target = ScriptedTarget::start().await;
            let entry = start_entry(target.target.address, "").await;
            let post = format!("POST /pump-history/bad HTTP/1.1\r\nHost: a\r\nX-Request-Id: bad\r\n{rest}");
            // An empty line before a request is not a head of its own.
            let bytes = format!("\r\n{}{}{post}{}", request("slow-1"), request("fast-2"), request("never"));
            let mut stream = send(&entry, &bytes).await;
            let responses = read_responses(&mut stream).await;
            assert_eq!(summary(&responses)[..2], [(200, "slow-1"), (200, "fast-2")], "{name}");
            assert_eq!(responses[2].status, 400, "{name}");
            assert_eq!(responses.len(), 3, "{name}");
            assert_eq!(target.paths(), ["slow-1", "fast-2"], "{name}");
        }
    }

    async malformed_heads_end_the_connection: "a malformed or oversized head that loses earlier responses, or bytes behind it that are read as a request" => {
        let long = format!("GET /pump-history/long HTTP/1.1\r\nHost: a\r\nX-A: {}\r\n\r\n", "a".repeat(200_000));
        for bad in ["no request at all\r\n\r\n", &long] {
            let target = ScriptedTarget::start().await;
            let entry = start_entry(target.target.address, "").await;
            let bytes = format!("{}{bad}{}", request("slow-1"), request("never"));
            let mut stream = TcpStream::connect(entry.caller_address()).await.unwrap();
            // The entry may close before it has read everything.
            let _ = stream.write_all(bytes.as_bytes()).await;
            let responses = read_responses(&mut stream).await;
            assert_eq!(summary(&responses)[0], (200, "slow-1"));
            assert!((400..500).contains(&responses[1].status), "{responses:?}");
            assert_eq!(responses.len(), 2);
            assert_eq!(target.paths(), ["slow-1"]);
        }
    }

    async closing_responses_leave_the_rest_unread: "a request behind a response that closes the connection and that runs all the same" => {
        let target = ScriptedTarget::start().await;
        let entry = start_entry(target.target.address, "").await;
        let closing = request_with("slow-2", "Connection: close\r\n");
        let bytes = format!("{}{closing}{}{}", request("fast-1"), request("never-3"), request("never-4"));
        let mut stream = send(&entry, &bytes).await;
        let responses = read_responses(&mut stream).await;
        assert_eq!(summary(&responses), [(200, "fast-1"), (200, "slow-2")]);
        assert!(responses[1].head.to_lowercase().contains("connection: close"));
        assert_eq!(target.paths(), ["fast-1", "slow-2"]);
    }

    async failed_requests_leave_the_next_intact: "a response that is lost because the request before it failed or timed out" => {
        let target = ScriptedTarget::start().await;
        let entry = start_entry(target.target.address, "").await;
        let held = request_with("held", "X-Deadline-Ms: 150\r\n");
        let last = request_with("fast-4", "Connection: close\r\n");
        let bytes = format!("{}{}{held}{last}", request("lost"), request("fast-2"));
        let mut stream = send(&entry, &bytes).await;
        let responses = read_responses(&mut stream).await;
        assert_eq!(summary(&responses), [(502, "lost"), (200, "fast-2"), (504, "held"), (200, "fast-4")]);
    }

    async callers_that_leave_are_noticed: "work that continues, or that begins, after the caller closed a connection on which further requests wait" => {
        let behind: String = (0..20).map(|number| request(&format!("never-{number}"))).collect();
        leave_before(&behind).await;
    }

    async callers_that_leave_behind_much_input_are_noticed: "work that continues after the caller closed a connection, because more input than is read ahead lies before its end" => {
        let behind: String = (0..2000).map(|number| request(&format!("never-{number}"))).collect();
        leave_before(&behind[..60_000]).await;
    }

    async uploads_of_callers_that_left_do_not_wait: "an upload in chunks that keeps its place, and is passed on, after its caller left while it waited" => {
        let target = ScriptedTarget::start().await;
        let settings = settings_text(target.target.address, "").replace("slots: 100", "slots: 1");
        let settings = settings.replace("kinds:", "max_queue_length: 2\n  kinds:");
        let entry = EntryRuntime::start(serde_norway::from_str(&settings).unwrap()).await.unwrap();
        let running = request_with("late", "Connection: close\r\n");
        let mut running = send(&entry, &running).await;
        target.wait_for("late").await;
        let chunk = format!("{:x}\r\n{}\r\n", 8_192, "x".repeat(8_192));
        let mut uploads = Vec::new();
        for number in 0..2 {
            let head = format!("POST /pump-history/never-{number} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            uploads.push(send(&entry, &format!("{head}{}0\r\n\r\n", chunk.repeat(5))).await);
        }
        sleep(Duration::from_millis(100)).await;
        drop(uploads);
        sleep(Duration::from_millis(100)).await;
        // The queue has two places, so a request finds one only if the uploads have left it.
        let last = request_with("fast", "Connection: close\r\n");
        let responses = read_responses(&mut send(&entry, &last).await).await;
        assert_eq!(summary(&responses), [(200, "fast")]);
        assert_eq!(read_responses(&mut running).await[0].status, 200);
        assert_eq!(target.paths(), ["late", "fast"]);
    }

    async deadlines_count_from_the_arrival: "a target that gets more time than the caller of a pipelined request will wait" => {
        let target = ScriptedTarget::start().await;
        let entry = start_entry(target.target.address, "").await;
        let (first, second) = (request("slow-1"), request_with("fast-2", "X-Deadline-Ms: 5000\r\n"));
        let short = request_with("late-3", "X-Deadline-Ms: 50\r\nConnection: close\r\n");
        let mut stream = send(&entry, &format!("{first}{second}{short}")).await;
        let responses = read_responses(&mut stream).await;
        let left = received_deadline(&target.heads.lock().unwrap(), "fast-2");
        assert!(left <= 4900, "{left} ms were left after a wait of 100 ms");
        // Its deadline passed before its turn, so it was not run, and the caller learns that.
        assert_eq!((responses[2].status, responses[2].request_id.as_str()), (503, "late-3"));
        assert_eq!(target.paths(), ["slow-1", "fast-2"]);
    }

    async bodies_follow_pipelined_heads: "a body behind a pipelined head that is lost or read as a request" => {
        let target = ScriptedTarget::start().await;
        let entry = start_entry(target.target.address, "").await;
        let body = request("smuggled");
        let post = format!(
            "POST /pump-history/post HTTP/1.1\r\nHost: a\r\nX-Request-Id: post\r\nContent-Length: {}\r\n\r\n{body}",
            body.len(),
        );
        let last = request_with("fast-3", "Connection: close\r\n");
        let mut stream = send(&entry, &format!("{}{post}{last}", request("slow-1"))).await;
        let responses = read_responses(&mut stream).await;
        assert_eq!(summary(&responses), [(200, "slow-1"), (200, "post"), (200, "fast-3")]);
        assert_eq!(target.paths(), ["slow-1", "post", "fast-3"]);
    }

    async unread_responses_hold_the_caller_back: "a caller that pipelines and never reads, for which the entry buffers without a limit" => {
        const SENT_BYTES: usize = 64 << 20;
        let target = ScriptedTarget::start().await;
        let entry = start_entry(target.target.address, "").await;
        let mut stream = TcpStream::connect(entry.caller_address()).await.unwrap();
        let request = request_with("fast", &format!("X-Padding: {}\r\n", "a".repeat(4000)));
        let mut sent = 0;
        while sent < SENT_BYTES {
            match timeout(Duration::from_secs(2), stream.write(request.as_bytes())).await {
                Ok(written) => sent += written.unwrap(),
                Err(_) => break,
            }
        }
        assert!(sent < SENT_BYTES / 2, "the entry took {sent} bytes");
        assert!(target.paths().len() * request.len() <= sent);
    }

    async planned_stops_leave_waiting_requests_unread: "a planned stop that passes on, or refuses, requests that wait behind another, or that cuts the one in progress" => {
        let target = ScriptedTarget::start().await;
        let stop = "stop: { balancer_lag_ms: 0, idle_linger_ms: 0 }";
        let entry = start_entry(target.target.address, stop).await;
        let bytes = format!("{}{}{}", request("slow-1"), request("never-2"), request("never-3"));
        let mut stream = send(&entry, &bytes).await;
        target.wait_for("slow-1").await;
        let stopped = tokio::spawn(entry.stop());
        let responses = read_responses(&mut stream).await;
        assert_eq!(summary(&responses), [(200, "slow-1")]);
        assert!(responses[0].head.to_lowercase().contains("connection: close"));
        drop(stream);
        stopped.await.unwrap();
        assert_eq!(target.paths(), ["slow-1"]);
    }
}
