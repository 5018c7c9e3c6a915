//! Hop-by-hop headers, which apply to one connection and are not forwarded.

use http::header::{CONNECTION, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

/// Header with the time after which an idle connection is closed.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1): the fixed ones, all `Proxy-*` headers
/// and those that `Connection` names.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect();
    let proxy: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with("proxy-")).cloned().collect();
    let fixed = [CONNECTION, KEEP_ALIVE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
    for name in named.into_iter().chain(proxy).chain(fixed) {
        headers.remove(name);
    }
}
