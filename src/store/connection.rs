//! Client of an HTTP API that keeps its connections open between calls.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::StoreError;

/// Largest response that is read, in bytes: a list of 64 objects of 1 MiB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Idle connections that are kept. An entry always has one watch open for each of the
/// two parts of the directory and makes single calls besides.
const MAX_IDLE: usize = 4;

/// Calls the API at one address. A call reuses an idle connection or opens a new one.
/// No request is sent twice.
#[derive(Debug)]
pub struct ApiClient {
    address: SocketAddr,
    /// Time limit for opening a connection, within that of the call.
    connect_limit: Duration,
    idle: Mutex<Vec<ApiConnection>>,
}

/// An open connection, closed when dropped.
#[derive(Debug)]
struct ApiConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<hyper::Result<()>>,
}

impl ApiConnection {
    async fn open(address: SocketAddr) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        Ok(Self { sender, _driver: AbortOnDropHandle::new(tokio::spawn(connection)) })
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, String> {
        let response = self.sender.send_request(request).await;
        let (head, body) = response.map_err(|error| error.to_string())?.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}

impl ApiClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connect_limit: Duration::MAX, idle: Mutex::default() }
    }

    /// Sets a time limit for opening a connection, for a server that is expected to be near.
    #[must_use]
    pub fn with_connect_limit(self, connect_limit: Duration) -> Self {
        Self { connect_limit, ..self }
    }

    /// Sends a request and reads the whole response within `limit`. On a timeout the
    /// connection is closed, because it may never carry data again.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or no complete response arrives in time.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let Ok(response) = timeout(limit, self.exchange(request)).await else {
            // The idle connections may be dead for the same reason.
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
            return Err(no_response(format!(
                "no complete response within {} ms",
                limit.as_millis()
            )));
        };
        response
    }

    /// Sends a GET request and returns the response if it has status 200.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives in time, when the requested
    /// history is no longer kept (410), or on any other status.
    pub async fn get(&self, uri: String, limit: Duration) -> Result<Response<Bytes>, StoreError> {
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|error| refused(error.to_string()))?;
        let response = self.call(request, limit).await?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::GONE => Err(StoreError::TooOld),
            status => Err(refused(format!("unexpected status {status}"))),
        }
    }

    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, StoreError> {
        let mut connection = match self.take_idle_connection().await {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let response = connection.exchange(request).await.map_err(no_response)?;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Ok(response)
    }

    async fn connect(&self) -> Result<ApiConnection, StoreError> {
        match timeout(self.connect_limit, ApiConnection::open(self.address)).await {
            Ok(opened) => opened.map_err(|cause| refused(format!("cannot connect: {cause}"))),
            Err(_) => {
                let limit_ms = self.connect_limit.as_millis();
                Err(no_response(format!("cannot connect within {limit_ms} ms")))
            }
        }
    }

    /// Removes an idle connection that the server has not closed.
    async fn take_idle_connection(&self) -> Option<ApiConnection> {
        loop {
            let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let mut connection = idle?;
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }
}

/// Creates the error of a call that certainly changed nothing.
pub fn refused(cause: impl Into<String>) -> StoreError {
    StoreError::Refused { cause: cause.into() }
}

/// Creates the error of a call that may have taken effect.
pub fn no_response(cause: impl Into<String>) -> StoreError {
    StoreError::NoResponse { cause: cause.into() }
}
