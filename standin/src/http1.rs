//! HTTP/1.1 server of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Response of a stand-in. An `Err` closes the connection without a response.
pub(crate) type ResponseResult = io::Result<Response<ResponseBody>>;

/// A port that stays reserved while nothing listens on it, so that a stopped stand-in can
/// listen on the same address again.
#[derive(Debug)]
pub(crate) struct ReservedPort {
    address: SocketAddr,
    _reserved: TcpSocket,
}

impl ReservedPort {
    pub(crate) fn reserve(address: SocketAddr) -> io::Result<Self> {
        let reserved = bind(address)?;
        Ok(Self { address: reserved.local_addr()?, _reserved: reserved })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG)
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// A listener and its connections, all of which are closed when this is dropped.
#[derive(Debug)]
pub(crate) struct HttpServer {
    stop: DropGuard,
    accept: JoinHandle<()>,
}

impl HttpServer {
    /// Serves connections, each with its own service.
    pub(crate) fn start<S>(
        listener: TcpListener,
        make_service: impl Fn() -> S + Send + 'static,
    ) -> Self
    where
        S: HttpService<Incoming, ResBody = ResponseBody> + Send + 'static,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        S::Future: Send,
    {
        let stop = CancellationToken::new();
        let accept = tokio::spawn(serve_connections(listener, stop.clone(), make_service));
        Self { stop: stop.drop_guard(), accept }
    }

    /// Closes the listener and all connections, and waits until they are closed.
    pub(crate) async fn close(self) {
        drop(self.stop);
        // Fails only if the task panicked, which closes everything as well.
        let _ = self.accept.await;
    }
}

async fn serve_connections<S>(
    listener: TcpListener,
    stop: CancellationToken,
    make_service: impl Fn() -> S,
) where
    S: HttpService<Incoming, ResBody = ResponseBody> + Send + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::Future: Send,
{
    let connections = TaskTracker::new();
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
        };
        // With Nagle's algorithm, small responses wait for delayed acknowledgements.
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let connection =
            http1::Builder::new().serve_connection(TokioIo::new(stream), make_service());
        connections.spawn(stop.clone().run_until_cancelled_owned(connection));
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Body of a response, which can be cut off in the middle.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    data: Option<Bytes>,
    ending: BodyEnding,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnding {
    Complete,
    /// Lets hyper flush the data before [`Self::Cut`] closes the connection.
    Flush,
    Cut,
}

impl ResponseBody {
    pub(crate) fn complete(data: impl Into<Bytes>) -> Self {
        Self { data: Some(data.into()), ending: BodyEnding::Complete }
    }

    /// Sends `data`, then closes the connection in the middle of the body.
    pub(crate) fn truncated(data: Bytes) -> Self {
        Self { data: Some(data), ending: BodyEnding::Flush }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match self.ending {
            BodyEnding::Complete => Poll::Ready(None),
            BodyEnding::Flush => {
                self.ending = BodyEnding::Cut;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            BodyEnding::Cut => Poll::Ready(Some(Err(connection_closed()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && self.ending == BodyEnding::Complete
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.data, self.ending) {
            (Some(data), BodyEnding::Complete) => SizeHint::with_exact(data.len() as u64),
            (None, BodyEnding::Complete) => SizeHint::with_exact(0),
            _ => SizeHint::default(),
        }
    }
}

/// Returns the error that closes a connection without a response.
pub(crate) fn connection_closed() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the stand-in closes the connection")
}

pub(crate) fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(text));
    *response.status_mut() = status;
    response
}

pub(crate) fn json_response(value: &impl Serialize) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns the value of a header if it is visible ASCII.
pub(crate) fn header_text<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
