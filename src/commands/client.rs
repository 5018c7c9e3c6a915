//! HTTP client for the administration API of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::admin::ErrorBody;

/// Time limit of [`fetch`]; an entry that has not responded by then is unreachable.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an administration call failed.
#[derive(Debug, Display, Error)]
pub enum AdminError {
    /// The entry could not be reached, or its response was invalid.
    #[display(
        "cannot reach the entry at {address}: {cause}; give --admin the address that the entry prints as `admin:`"
    )]
    Unreachable {
        /// Address of the entry.
        address: SocketAddr,
        /// Underlying error.
        #[error(not(source))]
        cause: String,
    },
    /// The entry returned an error.
    #[display("{}; {}", _0.detail, _0.remedy)]
    Refused(#[error(not(source))] ErrorBody),
}

/// A request to the administration API.
#[derive(Debug)]
pub struct AdminCall<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Request body.
    pub body: Vec<u8>,
    /// Bearer token of a team; `None` for resources that need no token.
    pub token: Option<&'a str>,
    /// Time limit of the whole call, including the response body.
    pub time_limit: Duration,
}

/// Fetches a resource of the administration API.
///
/// # Errors
///
/// Returns an error if the entry cannot be reached or returns an error.
pub async fn fetch<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, AdminError> {
    let request = AdminCall {
        method: Method::GET,
        path,
        body: Vec::new(),
        token: None,
        time_limit: ADMIN_TIMEOUT,
    };
    let (status, body) = call(address, request).await?;
    if !status.is_success() {
        let body_error = serde_json::from_slice(&body).unwrap_or_else(|_| ErrorBody {
            detail: format!("the entry returned {status} for {path}"),
            remedy: "check that the command and the entry have the same version".to_owned(),
        });
        return Err(AdminError::Refused(body_error));
    }
    serde_json::from_slice(&body)
        .map_err(|error| AdminError::Unreachable { address, cause: error.to_string() })
}

/// Sends a request to an entry and returns the status and body of the response. A status
/// that reports an error is not an `Err`.
///
/// # Errors
///
/// Returns an error if the complete response does not arrive within the time limit.
pub async fn call(
    address: SocketAddr,
    request: AdminCall<'_>,
) -> Result<(StatusCode, Bytes), AdminError> {
    let time_limit = request.time_limit;
    let unreachable = |cause: String| AdminError::Unreachable { address, cause };
    timeout(time_limit, exchange(address, request))
        .await
        .map_err(|_| unreachable(format!("no response within {} s", time_limit.as_secs())))?
        .map_err(|error| unreachable(error.to_string()))
}

/// Sends a request on a new connection and reads the complete response.
async fn exchange(
    address: SocketAddr,
    request: AdminCall<'_>,
) -> Result<(StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut builder = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header(header::HOST, address.to_string());
    if let Some(token) = request.token {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let response = sender.send_request(builder.body(Full::new(Bytes::from(request.body)))?).await?;
    Ok((response.status(), response.into_body().collect().await?.to_bytes()))
}
