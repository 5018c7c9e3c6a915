//! Queries the relay of another entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use zinniaport_core::directory::DirectoryBatch;

use super::relay::decode_batch;
use super::relay_handler::{AGE_HEADER, RelayQuery};
use crate::store::{ApiClient, StoreError, no_response, refused};

/// Time limit of a query, in addition to the time for which it may be held.
const CALL_LIMIT: Duration = Duration::from_millis(250);

/// Response of another entry.
pub(super) enum RelayResponse {
    /// Changes, or all objects.
    Batch {
        /// The decoded batch.
        batch: DirectoryBatch,
        /// The batch as it was sent.
        encoded: Bytes,
        /// Time since the platform confirmed it, if the entry knows.
        age: Option<Duration>,
    },
    /// Other entries to ask, perhaps none.
    Referred(Vec<SocketAddr>),
}

/// Sends a query to another entry.
///
/// # Errors
///
/// Returns an error if the entry cannot be reached, does not respond in time or responds with
/// something else, and [`StoreError::TooOld`] if it lacks changes after the queried revision.
pub(super) async fn query_entry(
    api: &ApiClient,
    query: RelayQuery,
) -> Result<RelayResponse, StoreError> {
    let request = Request::get(query.to_uri()).body(Full::default());
    let request = request.map_err(|error| refused(error.to_string()))?;
    let response = api.call(request, query.wait + CALL_LIMIT).await?;
    match response.status() {
        StatusCode::OK => {
            let age = response.headers().get(AGE_HEADER);
            let age_ms = age.and_then(|age| age.to_str().ok()?.parse().ok());
            let encoded = response.into_body();
            let batch = decode_batch(&encoded).map_err(|error| no_response(error.to_string()))?;
            Ok(RelayResponse::Batch { batch, encoded, age: age_ms.map(Duration::from_millis) })
        }
        StatusCode::GONE => Err(StoreError::TooOld),
        StatusCode::SERVICE_UNAVAILABLE => {
            // Other refusals have a text for operators.
            let others = serde_json::from_slice(response.body()).unwrap_or_default();
            Ok(RelayResponse::Referred(others))
        }
        status => Err(refused(format!("unexpected status {status}"))),
    }
}
