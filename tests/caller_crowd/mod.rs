//! An entry process for a crowd of callers, with bounds on its memory and descriptors.

use std::net::SocketAddr;
use std::path::PathBuf;

use bytes::Bytes;
use h2::client::SendRequest;
use h2::{Reason, SendStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::{Duration, Instant, sleep, timeout};
use zinniaport_testing::process::{ChildProcess, ChildSignal};

use super::support::{FakeTarget, read_head, read_request, send_raw, settings_text};

/// Bytes that the settings permit the entry to hold for callers.
const HELD_BYTES: usize = 24 << 20;

/// Memory that the entry may use for itself.
const OWN_BYTES: usize = 24 << 20;

/// Descriptors that the entry may use beside one for each caller: targets, listeners, the runtime
/// and the watches of callers with unread input.
const MAX_OTHER_DESCRIPTORS: usize = 160;

/// Size of an upload, and of a large response of the target, in bytes.
pub const RAW_BODY_BYTES: usize = 1_000_000;

/// Time for which the crowd stays before the entry is checked, so that limits take effect.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time within which an ordinary request is answered, with repetitions. It only ends a test that
/// would hang.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(45);

/// Tests with a crowd run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// An entry process with one target, for a crowd of callers.
pub struct CrowdedEntry {
    pub callers: SocketAddr,
    process: ChildProcess,
    settings: PathBuf,
    held_bytes: usize,
    _target: FakeTarget,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdedEntry {
    /// Starts an entry. `limits` holds fields of its section of limits.
    pub async fn start(limits: &str) -> Self {
        Self::start_with_budget(HELD_BYTES, limits).await
    }

    /// Starts an entry that may hold `held_bytes` for callers.
    pub async fn start_with_budget(held_bytes: usize, limits: &str) -> Self {
        let turn = TURN.lock().await;
        let target = FakeTarget::start(|stream, _| serve(stream)).await;
        let extra = format!(
            "limits: {{ held_bytes: {held_bytes}, {limits} }}\npool: {{ whole_answer_bytes: 1048576, max_connections_per_target: 64 }}"
        );
        let name =
            format!("zinniaport-crowd-{}-{}.yaml", std::process::id(), target.address.port());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, settings_text(target.address, &extra)).unwrap();
        let arguments = ["--settings".as_ref(), settings.as_os_str()];
        let mut process = ChildProcess::start(env!("CARGO_BIN_EXE_zinniaport-entry"), arguments);
        let callers = process.wait_for_line("callers:").await.parse().unwrap();
        Self { callers, process, settings, held_bytes, _target: target, _turn: turn }
    }

    /// Checks, while the crowd is still connected, that the entry lives on within its memory and
    /// descriptors and answers an ordinary request.
    pub async fn check(&mut self, crowd: &str, callers: usize) {
        sleep(SETTLE_TIME).await;
        assert!(self.process.exit_status().is_none(), "{crowd}: the entry ended");
        let descriptors = self.descriptors();
        let answer = timeout(ANSWER_TIMEOUT, ordinary_answer(self.callers)).await;
        let (peak, max_memory) = (self.peak_memory_kib(), self.max_memory_kib());
        println!("{crowd}: {peak} KiB, {descriptors} descriptors, answered {}", answer.is_ok());
        assert!(peak < max_memory, "{crowd}: {peak} KiB of {max_memory} KiB were used");
        let limit = callers + MAX_OTHER_DESCRIPTORS;
        assert!(descriptors < limit, "{crowd}: {descriptors} of {limit} descriptors");
        assert!(answer.is_ok(), "{crowd}: an ordinary request is not answered");
        self.process.signal(ChildSignal::TERM);
        self.process.wait().await;
        let _ = std::fs::remove_file(&self.settings);
    }

    /// Sends one ordinary request, which is not repeated, and returns the status of the response.
    pub async fn ordinary_status(&self) -> String {
        let request = b"GET /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = timeout(ANSWER_TIMEOUT, send_raw(self.callers, request)).await;
        let answer = answer.expect("the request is answered or refused");
        answer.split(' ').nth(1).unwrap_or_default().to_owned()
    }

    /// Sends an upload to a target that reads it, and returns the status of the response.
    pub async fn upload(&self, headers: &str, is_chunked: bool, length: usize) -> String {
        let (mut reader, mut writer) = connect(self.callers).await.into_split();
        let head = post_head(headers).replace("/pump-history/a", "/pump-history/take");
        let sending = tokio::spawn(async move {
            writer.write_all(head.as_bytes()).await?;
            let part = vec![b'x'; 1 << 20];
            for _ in 0..length / part.len() {
                if is_chunked {
                    writer.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await?;
                }
                writer.write_all(&part).await?;
                if is_chunked {
                    writer.write_all(b"\r\n").await?;
                }
            }
            if is_chunked {
                writer.write_all(b"0\r\n\r\n").await?;
            }
            std::io::Result::Ok(writer)
        });
        let mut status = [0; 12];
        let read = timeout(ANSWER_TIMEOUT, reader.read_exact(&mut status)).await;
        read.expect("the upload is answered").expect("the connection stays open");
        sending.abort();
        String::from_utf8_lossy(&status[9..]).into_owned()
    }

    /// Returns the memory that the entry may use: its own and twice what it may hold, since a
    /// buffer doubles when it grows.
    fn max_memory_kib(&self) -> usize {
        (self.held_bytes * 2 + OWN_BYTES) >> 10
    }

    fn peak_memory_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).unwrap().count()
    }
}

/// Sends a small request until it is answered. A refusal that it was not run is repeated.
async fn ordinary_answer(entry: SocketAddr) {
    let request = b"GET /pump-history/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let end = Instant::now() + ANSWER_TIMEOUT;
    while Instant::now() < end {
        let answer = timeout(Duration::from_secs(5), send_raw(entry, request)).await;
        if answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200 ")) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    std::future::pending::<()>().await;
}

/// Answers requests by their path: large and endless responses, none at all, else a short one.
/// Bodies are read.
async fn serve(mut stream: TcpStream) {
    while let Some(head) = read_head_of(&mut stream).await {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = match path.as_str() {
            "/pump-history/never" => std::future::pending().await,
            "/pump-history/endless" => {
                let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                while sent.is_ok() {
                    sent = stream.write_all(&[b'x'; 16 << 10]).await;
                }
                return;
            }
            "/pump-history/large" => vec![b'x'; RAW_BODY_BYTES],
            _ => b"done".to_vec(),
        };
        let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", answer.len());
        if stream.write_all(response.as_bytes()).await.is_err()
            || stream.write_all(&answer).await.is_err()
        {
            return;
        }
    }
}

/// Reads a request and returns its head. Bodies are left unread, with the connection.
async fn read_head_of(stream: &mut TcpStream) -> Option<String> {
    let mut byte = [0];
    stream.peek(&mut byte).await.ok()?;
    match byte[0] {
        b'P' => {
            let head = read_head(stream).await?;
            if !head.starts_with("POST /pump-history/take ") {
                return Some("POST /pump-history/never".to_owned());
            }
            let is_chunked = head.contains("transfer-encoding: chunked");
            discard_body(stream, is_chunked).await.then_some(head)
        }
        _ => read_request(stream).await,
    }
}

/// Reads the largest upload that the users permit.
async fn discard_body(stream: &mut TcpStream, is_chunked: bool) -> bool {
    let mut remaining = 64_usize << 20;
    let mut buffer = vec![0; 64 << 10];
    let mut last = Vec::new();
    while remaining > 0 || is_chunked && !last.ends_with(b"0\r\n\r\n") {
        let Ok(length @ 1..) = stream.read(&mut buffer).await else { return false };
        remaining = remaining.saturating_sub(length);
        last.extend_from_slice(&buffer[..length]);
        last.drain(..last.len().saturating_sub(5));
    }
    true
}

/// Connects to the entry, which may be slow to accept.
pub async fn connect(entry: SocketAddr) -> TcpStream {
    let stream = timeout(Duration::from_secs(20), TcpStream::connect(entry)).await;
    stream.expect("a connection is established").expect("the entry listens")
}

/// Returns the head of an upload with these further header lines.
pub fn post_head(headers: &str) -> String {
    format!("POST /pump-history/a HTTP/1.1\r\nHost: a\r\n{headers}\r\n")
}

/// HTTP/2 connections and streams that stay open.
#[derive(Default)]
pub struct Http2Crowd {
    connections: Vec<SendRequest<Bytes>>,
    uploads: Vec<SendStream<Bytes>>,
}

impl Http2Crowd {
    /// Opens a connection.
    async fn open(&mut self, entry: SocketAddr) -> SendRequest<Bytes> {
        let stream = connect(entry).await;
        let (client, connection) = h2::client::handshake(stream).await.unwrap();
        tokio::spawn(connection);
        self.connections.push(client.clone());
        client
    }

    /// Opens a connection and on each of its streams an upload that stops short of its end.
    pub async fn open_uploads(&mut self, entry: SocketAddr, streams: usize) {
        let client = self.open(entry).await;
        for _ in 0..streams {
            let Ok(mut client) = client.clone().ready().await else { return };
            let length = RAW_BODY_BYTES.to_string();
            let filler = "a".repeat(15_000);
            let request = http::Request::post("http://a/pump-history/a")
                .header("content-length", length)
                .header("x-filler", filler);
            let Ok((_, mut body)) = client.send_request(request.body(()).unwrap(), false) else {
                return;
            };
            let _ = body.send_data(Bytes::from(vec![b'x'; RAW_BODY_BYTES - 1]), false);
            self.uploads.push(body);
        }
    }

    /// Opens streams on one connection and resets each at once.
    pub async fn reset_streams(&mut self, entry: SocketAddr, streams: usize) {
        let client = self.open(entry).await;
        for _ in 0..streams {
            let ready = timeout(Duration::from_secs(5), client.clone().ready()).await;
            let Ok(Ok(mut client)) = ready else { return };
            let request = http::Request::get("http://a/pump-history/never").body(()).unwrap();
            let Ok((_, mut body)) = client.send_request(request, true) else { return };
            body.send_reset(Reason::CANCEL);
            tokio::task::yield_now().await;
        }
    }
}
