//! Probes: requests that an entry sends to a target on its own.

use std::net::SocketAddr;

use http::{Request, Uri};
use tokio::time::Instant;

use super::{ConnectionHandle, TargetCall, TargetTransport};
use crate::dialect::HeaderDialect;
use crate::exchange::{CallResponse, empty_body};
use crate::own_identity::OwnIdentity;

/// Sends a probe with an identity of its own. Returns `None` if there is no response, or if it
/// names another request; its connection is closed then.
pub async fn send_probe(
    transport: &dyn TargetTransport,
    dialect: &dyn HeaderDialect,
    address: SocketAddr,
    path: Uri,
    deadline: Instant,
) -> Option<CallResponse> {
    let mut request = Request::new(empty_body());
    *request.uri_mut() = path;
    let identity = OwnIdentity::new(dialect);
    identity.insert(request.headers_mut());
    let handle = ConnectionHandle::default();
    let call = TargetCall::builder()
        .address(address)
        .request(request)
        .deadline(deadline)
        .handle(handle.clone())
        .build();
    let response = transport.send(call).await.ok()?;
    if !identity.matches(response.headers()) {
        handle.retire();
        return None;
    }
    Some(response)
}
