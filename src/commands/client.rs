//! Calls to the administration address of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::admin::AdminFault;

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
    Refused(#[error(not(source))] AdminFault),
}

/// Reads an administration resource.
///
/// # Errors
///
/// Returns an error when the entry cannot be reached or refuses.
pub async fn fetch<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, AdminError> {
    let unreachable = |cause: String| AdminError::Unreachable { address, cause };
    let (status, body) = timeout(ADMIN_TIMEOUT, get(address, path))
        .await
        .map_err(|_| unreachable(format!("no answer within {} s", ADMIN_TIMEOUT.as_secs())))?
        .map_err(|error| unreachable(error.to_string()))?;
    if !status.is_success() {
        let fault = serde_json::from_slice(&body).unwrap_or_else(|_| AdminFault {
            detail: format!("the entry answered {status} to {path}"),
            remedy: "check that both sides run the same version".to_owned(),
        });
        return Err(AdminError::Refused(fault));
    }
    serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))
}

async fn get(
    address: SocketAddr,
    path: &str,
) -> Result<(http::StatusCode, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request =
        Request::get(path).header(header::HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    Ok((response.status(), response.into_body().collect().await?.to_bytes()))
}
