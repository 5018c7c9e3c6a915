//! A caller connection, HTTP/1.1 or HTTP/2.

use std::sync::Arc;

use derive_more::{Display, Error};
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulConnection;
use tokio::net::TcpStream;
use tokio::time::Duration;
use tokio_util::sync::CancellationToken;

use super::HttpFrontend;
use super::caller_stream::CallerStream;
use super::head_inspector::HeadInspector;
use super::request_log::RequestLog;
use crate::held::{
    CONNECTION_BYTES, CallerHolder, HTTP2_CONNECTION_BYTES, HeldBytesFull, MAX_HELD_WAIT,
};

/// Factor between the configured limits of a head and the limits of hyper. hyper refuses a
/// head beyond its own limits without a problem body, so a moderate excess stays below them.
const HYPER_LIMIT_FACTOR: usize = 2;

/// Length by which a head may exceed its limit and still get a problem body, in bytes. hyper
/// refuses longer ones, so that its buffer stays small.
const MAX_EXCESS_BYTES: usize = 4 << 10;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Time between pings that detect whether an HTTP/2 caller is still connected.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Receive window of one HTTP/2 stream, in bytes. It limits the memory that an upload takes
/// while its target is slow.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Largest part of a response that waits for the window of one HTTP/2 stream, in bytes.
const MAX_STREAM_SEND_BYTES: usize = 32 << 10;

/// The caller closed its connection while a request was in progress. Requests that it sent
/// behind that one are not read.
#[derive(Debug, Display, Error)]
#[display("the caller closed its connection")]
struct CallerLeft;

/// A caller connection with the front end that serves its requests.
pub(super) struct CallerConnection {
    frontend: HttpFrontend,
    stream: TcpStream,
    drain: CancellationToken,
}

impl CallerConnection {
    pub(super) fn new(frontend: HttpFrontend, stream: TcpStream, drain: CancellationToken) -> Self {
        Self { frontend, stream, drain }
    }

    /// Serves requests until the caller disconnects or `drain` is cancelled.
    pub(super) async fn serve(self) {
        let Self { frontend, stream, drain } = self;
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let limits = frontend.limits.clone();
        let dropped = CancellationToken::new();
        let guard = CallerHolder::register(&frontend.state.held, dropped.clone());
        let mut lease = guard.holder.lease();
        if lease.grow(CONNECTION_BYTES, MAX_HELD_WAIT).await.is_err() {
            log::debug!("caller connection closed: {HeldBytesFull}");
            return;
        }
        let open_stream = CallerStream::open(
            stream,
            guard.holder.clone(),
            limits.header_read_timeout(),
            limits.body_progress_timeout(),
        );
        let opened = tokio::select! {
            opened = open_stream => opened,
            () = drain.cancelled() => return,
            () = dropped.cancelled() => return,
        };
        let holder = guard.holder.clone();
        let serving = async {
            match opened {
                Ok((stream, true)) => {
                    if lease.grow(HTTP2_CONNECTION_BYTES, MAX_HELD_WAIT).await.is_ok() {
                        frontend.serve_http2(stream, holder, &drain).await;
                    }
                }
                Ok((stream, false)) => frontend.serve_http1(stream, holder, &drain).await,
                Err(error) => {
                    log::debug!("caller connection ended before its first request: {error}");
                }
            }
        };
        tokio::select! {
            biased;
            () = serving => {}
            () = dropped.cancelled() => {}
        }
    }
}

impl HttpFrontend {
    async fn serve_http1(
        self,
        stream: CallerStream,
        holder: Arc<CallerHolder>,
        drain: &CancellationToken,
    ) {
        let max_head_bytes = self.limits.max_header_bytes as usize + MAX_EXCESS_BYTES;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_read_timeout())
            .max_headers(self.limits.max_header_count * HYPER_LIMIT_FACTOR)
            .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES));
        let log = RequestLog::default();
        let inspector = HeadInspector::new(log.clone(), self.state.clock.clone());
        let stream = stream.inspect(inspector);
        let socket = stream.socket();
        // hyper calls the service for one request at a time, so pipelined requests run one
        // after the other and their responses keep the order.
        let service = service_fn(move |request| {
            let (frontend, socket, entry) = (self.clone(), socket.clone(), log.take());
            let holder = holder.clone();
            async move {
                tokio::select! {
                    biased;
                    response = frontend.respond(request, &entry, holder, None) => Ok(response),
                    () = socket.closed() => Err(CallerLeft),
                }
            }
        });
        run(builder.serve_connection(TokioIo::new(stream), service), drain).await;
    }

    async fn serve_http2(
        self,
        stream: CallerStream,
        holder: Arc<CallerHolder>,
        drain: &CancellationToken,
    ) {
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(self.limits.header_read_timeout())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(HTTP2_CONNECTION_BYTES)
            .max_send_buf_size(MAX_STREAM_SEND_BYTES)
            .max_concurrent_streams(self.limits.max_http2_streams)
            .max_header_list_size(self.limits.max_header_bytes * HYPER_LIMIT_FACTOR as u32);
        let service = service_fn(move |request| {
            let (frontend, guard) = (self.clone(), holder.register_request());
            let holder = guard.holder.clone();
            async move {
                let entry = RequestLog::default().take();
                tokio::select! {
                    biased;
                    response = frontend.respond(request, &entry, holder.clone(), Some(guard)) => Ok(response),
                    () = holder.dropped() => Err(HeldBytesFull),
                }
            }
        });
        run(builder.serve_connection(TokioIo::new(stream), service), drain).await;
    }
}

/// Runs a connection. Once `drain` is cancelled, it accepts no new requests and ends with the
/// last response.
async fn run<C: GracefulConnection>(connection: C, drain: &CancellationToken) {
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = drain.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
