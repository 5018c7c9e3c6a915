//! Calls to the administration address of an entry.

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

/// An entry that does not answer within this time is reported as unreachable.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an administration call failed.
#[derive(Debug, Display, Error)]
pub enum AdminError {
    /// The entry could not be reached.
    #[display(
        "cannot reach the entry at {address}: {cause}; give --admin the address that the entry prints as `admin:`"
    )]
    Unreachable {
        /// Address of the entry.
        address: SocketAddr,
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
    /// The entry refused.
    #[display("{}; {}", _0.detail, _0.remedy)]
    Refused(#[error(not(source))] ErrorBody),
}

/// One administration request.
#[derive(Debug)]
pub struct AdminCall<'a> {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: &'a str,
    /// Body.
    pub body: Vec<u8>,
    /// Token of a team member, where one is needed.
    pub token: Option<&'a str>,
    /// Time limit of the whole call.
    pub limit: Duration,
}

/// Reads an administration resource.
///
/// # Errors
///
/// Returns an error when the entry cannot be reached or refuses.
pub async fn fetch<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, AdminError> {
    let request = AdminCall {
        method: Method::GET,
        path,
        body: Vec::new(),
        token: None,
        limit: ADMIN_TIMEOUT,
    };
    let (status, body) = call(address, request).await?;
    if !status.is_success() {
        let fault = serde_json::from_slice(&body).unwrap_or_else(|_| ErrorBody {
            detail: format!("the entry answered {status} to {path}"),
            remedy: "check that both sides run the same version".to_owned(),
        });
        return Err(AdminError::Refused(fault));
    }
    serde_json::from_slice(&body)
        .map_err(|error| AdminError::Unreachable { address, cause: error.to_string() })
}

/// Calls an entry and gives its answer, whatever its status.
///
/// # Errors
///
/// Returns an error when the entry gives no whole answer in time.
pub async fn call(
    address: SocketAddr,
    request: AdminCall<'_>,
) -> Result<(StatusCode, Bytes), AdminError> {
    let limit = request.limit;
    let unreachable = |cause: String| AdminError::Unreachable { address, cause };
    timeout(limit, exchange(address, request))
        .await
        .map_err(|_| unreachable(format!("no answer within {} s", limit.as_secs())))?
        .map_err(|error| unreachable(error.to_string()))
}

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
