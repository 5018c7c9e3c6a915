//! One caller connection, HTTP/1.1 or HTTP/2.

use std::convert::Infallible;

use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::TcpStream;
use tokio::time::Duration;
use tokio_util::sync::CancellationToken;

use super::HttpFrontend;
use super::caller_stream::CallerStream;
use super::head_inspector::{AmbiguityFlag, HeadInspector};

/// hyper answers heads beyond its own limits without a problem body. They are
/// this many times the configured ones, so that moderate excess gets a body.
const HEAD_ALLOWANCE: usize = 2;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Time between pings that find out whether an HTTP/2 caller is still there.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Receive window of one HTTP/2 stream, in bytes. It bounds what an upload holds
/// in memory while its target is slow.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// One caller connection.
pub(super) struct CallerConnection {
    front: HttpFrontend,
    stream: TcpStream,
    drain: CancellationToken,
}

impl CallerConnection {
    pub(super) fn new(front: HttpFrontend, stream: TcpStream, drain: CancellationToken) -> Self {
        Self { front, stream, drain }
    }

    /// Serves requests until the caller leaves or `drain` is cancelled.
    pub(super) async fn serve(self) {
        let Self { front, stream, drain } = self;
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let limits = front.limits.clone();
        let opening = CallerStream::open(
            stream,
            limits.header_read_timeout(),
            limits.body_progress_timeout(),
        );
        let opened = tokio::select! {
            opened = opening => opened,
            () = drain.cancelled() => return,
        };
        match opened {
            Ok((stream, true)) => front.serve_http2(stream, &drain).await,
            Ok((stream, false)) => front.serve_http1(stream, &drain).await,
            Err(error) => log::debug!("a caller connection ended before a request: {error}"),
        }
    }
}

impl HttpFrontend {
    async fn serve_http1(self, stream: CallerStream, drain: &CancellationToken) {
        let max_head_bytes = self.limits.max_header_bytes as usize * HEAD_ALLOWANCE;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_read_timeout())
            .max_headers(self.limits.max_header_count * HEAD_ALLOWANCE)
            .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES));
        let verdict = AmbiguityFlag::default();
        let stream = stream.inspect(HeadInspector::new(verdict.clone()));
        let service = service_fn(move |request| {
            let (front, verdict) = (self.clone(), verdict.clone());
            async move { Ok::<_, Infallible>(front.answer(request, &verdict).await) }
        });
        run(builder.serve_connection(TokioIo::new(stream), service), drain).await;
    }

    async fn serve_http2(self, stream: CallerStream, drain: &CancellationToken) {
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(self.limits.header_read_timeout())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .max_concurrent_streams(self.limits.max_http2_streams)
            .max_header_list_size(self.limits.max_header_bytes * HEAD_ALLOWANCE as u32);
        let service = service_fn(move |request| {
            let front = self.clone();
            async move { Ok::<_, Infallible>(front.answer(request, &AmbiguityFlag::default()).await) }
        });
        run(builder.serve_connection(TokioIo::new(stream), service), drain).await;
    }
}

/// Runs a connection; once `drain` is cancelled it takes no new requests.
async fn run<C: GracefulConnection>(connection: C, drain: &CancellationToken) {
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = drain.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
