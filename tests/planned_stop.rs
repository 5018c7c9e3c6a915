//! A planned stop of an entry process under load, and its memory while a large
//! body streams through.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{FakeTarget, read_head, read_request, settings_text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniaport_testing::client::get;
use zinniaport_testing::process::{ChildProcess, ChildSignal};
use zinniaport_testing::test_cases;

/// Starts an entry process and gives its addresses for callers and administration.
async fn start_process(
    name: &str,
    target: SocketAddr,
    extra: &str,
) -> (ChildProcess, SocketAddr, SocketAddr) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, settings_text(target, extra)).unwrap();
    let arguments = ["--settings".as_ref(), path.as_os_str()];
    let mut entry = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
    let callers = entry.wait_for_line("callers:").await.parse().unwrap();
    let admin = entry.wait_for_line("admin:").await.parse().unwrap();
    (entry, callers, admin)
}

/// What the load saw.
#[derive(Default)]
struct LoadCounts {
    /// Whether the balancer still opens connections to the entry.
    open: AtomicBool,
    whole: AtomicUsize,
    /// What became of each request that got no whole answer.
    cut: Mutex<Vec<String>>,
    /// Paths of HTTP/2 requests that GOAWAY overtook. They may be sent again, so
    /// none may have reached the target (RFC 9113, 6.8).
    overtaken: Mutex<Vec<String>>,
    /// Heads that the target received.
    received: Mutex<Vec<String>>,
}

impl LoadCounts {
    async fn record(&self, answer: hyper::Result<http::Response<hyper::body::Incoming>>) -> bool {
        let mut closes = true;
        let whole = async {
            let answer = answer?;
            closes = answer.headers().get("connection").is_some_and(|value| value == "close");
            let status = answer.status();
            answer.into_body().collect().await.map(|_| status)
        };
        match whole.await {
            Ok(http::StatusCode::OK) => drop(self.whole.fetch_add(1, Ordering::SeqCst)),
            other => self.cut.lock().unwrap().push(format!("{other:?}")),
        }
        !closes
    }
}

/// Pause of a caller before its next request. Connections must be idle for a good
/// part of the time, since a stop can cut requests that cross the end of one.
fn think_time(number: u64) -> Duration {
    Duration::from_micros(number * 7919 % 8000)
}

/// Sends requests over HTTP/1.1, up to 20 on a connection, until the balancer
/// opens no more connections.
async fn load_http1(address: SocketAddr, counts: Arc<LoadCounts>) {
    let mut number = 0;
    while counts.open.load(Ordering::SeqCst) {
        let stream = TcpStream::connect(address).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        for round in 0.. {
            let last = round >= 20 && counts.open.load(Ordering::SeqCst);
            if last || sender.ready().await.is_err() {
                break;
            }
            number += 1;
            sleep(think_time(number)).await;
            let request = http::Request::get("/pump-history/a").header("host", "a");
            let answer = sender.send_request(request.body(Empty::<Bytes>::new()).unwrap()).await;
            if !counts.record(answer).await {
                break;
            }
        }
    }
}

/// Sends requests over HTTP/2 until the entry says that it goes away.
async fn load_http2(address: SocketAddr, caller: usize, counts: Arc<LoadCounts>) {
    let stream = TcpStream::connect(address).await.unwrap();
    let io = TokioIo::new(stream);
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection);
    for number in 0.. {
        if sender.ready().await.is_err() {
            break;
        }
        sleep(think_time(number)).await;
        let path = format!("/pump-history/{caller}/{number}");
        let request = http::Request::get(format!("http://{address}{path}"));
        let answer = sender.send_request(request.body(Empty::<Bytes>::new()).unwrap()).await;
        let overtaken = answer.as_ref().is_err_and(|error| {
            let error = format!("{error:?}");
            error.contains("GoAway") && error.contains("NO_ERROR") || error.contains("Canceled")
        });
        if overtaken {
            counts.overtaken.lock().unwrap().push(path);
        } else {
            counts.record(answer).await;
        }
    }
}

/// Answers each request in two parts with pauses before them.
async fn answer_in_parts(mut stream: TcpStream, counts: Arc<LoadCounts>) {
    while let Some(head) = read_request(&mut stream).await {
        counts.received.lock().unwrap().push(head);
        for part in ["HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello", "hello"] {
            sleep(Duration::from_millis(3)).await;
            if stream.write_all(part.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn resident_bytes(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() << 10
}

/// Streams `size` bytes to the target and as many back.
async fn stream_body(callers: SocketAddr, size: u64) {
    let caller = TcpStream::connect(callers).await.unwrap();
    let (mut reader, mut writer) = caller.into_split();
    let head = format!(
        "POST /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n"
    );
    let sent = tokio::spawn(async move {
        writer.write_all(head.as_bytes()).await.unwrap();
        tokio::io::copy(&mut tokio::io::repeat(1).take(size), &mut writer).await.unwrap();
        writer
    });
    let read = tokio::io::copy(&mut reader, &mut tokio::io::sink()).await.unwrap();
    sent.await.unwrap();
    assert!(read > size, "the answer was cut after {read} bytes");
}

test_cases! {
    async stops_without_a_cut: "a planned stop that cuts a request in flight or drops a late one" => {
        let counts = Arc::new(LoadCounts { open: AtomicBool::new(true), ..Default::default() });
        let shared = counts.clone();
        let serve = move |stream, _| answer_in_parts(stream, shared.clone());
        let target = FakeTarget::start(serve).await;
        let stop = "stop: { balancer_lag_ms: 500, idle_linger_ms: 500 }";
        let (mut entry, callers, admin) = start_process("stop.yaml", target.address, stop).await;
        let mut load = tokio::task::JoinSet::new();
        for caller in 0..20 {
            load.spawn(load_http1(callers, counts.clone()));
            load.spawn(load_http2(callers, caller, counts.clone()));
        }
        sleep(Duration::from_millis(200)).await;
        assert_eq!(get(admin, "/readyz").await.unwrap().status(), 200);
        entry.signal(ChildSignal::TERM);
        while get(admin, "/readyz").await.unwrap().status() == 200 {
            sleep(Duration::from_millis(5)).await;
        }
        // The balancer lags: the entry is not ready and still takes new connections.
        let before = counts.whole.load(Ordering::SeqCst);
        assert_eq!(get(callers, "/pump-history/a").await.unwrap().status(), 200);
        sleep(Duration::from_millis(150)).await;
        counts.open.store(false, Ordering::SeqCst);
        while let Some(ended) = load.join_next().await {
            ended.unwrap();
        }
        assert!(entry.wait().await.success());
        assert_eq!(*counts.cut.lock().unwrap(), Vec::<String>::new());
        assert!(counts.whole.load(Ordering::SeqCst) > before);
        for path in counts.overtaken.lock().unwrap().iter() {
            let line = format!("GET {path} ");
            let received = counts.received.lock().unwrap();
            assert!(!received.iter().any(|head| head.starts_with(&line)), "{path} had run");
        }
    }

    async bodies_are_not_held: "a body that is collected in the memory of the entry" => {
        const SIZE: u64 = 1 << 30;
        let target = FakeTarget::start(|mut stream, _| async move {
            read_head(&mut stream).await;
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {SIZE}\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.unwrap();
            let (mut reader, mut writer) = stream.split();
            let mut received = (&mut reader).take(SIZE);
            tokio::io::copy(&mut received, &mut writer).await.unwrap();
        })
        .await;
        let (entry, callers, _) = start_process("memory.yaml", target.address, "").await;
        let before = resident_bytes(entry.id(), "VmRSS:");
        stream_body(callers, SIZE).await;
        let added = resident_bytes(entry.id(), "VmHWM:") - before;
        println!("resident memory added by {SIZE} bytes in each direction: {added} bytes");
        assert!(added < 32 << 20, "{added} bytes were added");
    }
}
