//! Detects a response head that was cut off and continued by the head of the next response.

use http::HeaderValue;
use hyper::ext::ReasonPhrase;

use crate::exchange::CallResponse;

/// Length of the part of a status line up to its status, such as `HTTP/1.1 200`.
const STATUS_LINE_BYTES: usize = 12;

/// Returns `true` if a response head contains the status line of another one. A target that cuts
/// off a head within its reason phrase or a header value and then sends another response gives
/// the latter the status and the first headers of the former.
pub(super) fn has_joined_heads(response: &CallResponse) -> bool {
    let phrase = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(HeaderValue::as_bytes);
    phrase.into_iter().chain(values).any(contains_status_line)
}

/// Returns `true` if a text contains `HTTP/1.x` with a status.
fn contains_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_BYTES).any(|part| match part {
        [b'H', b'T', b'T', b'P', b'/', b'1', b'.', minor, b' ', status @ ..] => {
            minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    })
}
