//! A minimal HTTP client for tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Error of a test request without a complete response.
pub type ClientError = Box<dyn std::error::Error + Send + Sync>;

/// Sends a request on a new connection and reads the complete response.
///
/// # Errors
///
/// Returns an error when the connection fails or the response is cut short.
pub async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ClientError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let host = address.to_string().parse()?;
    request.headers_mut().entry("host").or_insert(host);
    let (head, body) = sender.send_request(request).await?.into_parts();
    Ok(Response::from_parts(head, body.collect().await?.to_bytes()))
}

/// Sends a GET request for `path`.
///
/// # Errors
///
/// Returns an error when the connection fails or the response is cut short.
pub async fn get(address: SocketAddr, path: &str) -> Result<Response<Bytes>, ClientError> {
    send(address, Request::get(path).body(Full::default())?).await
}
