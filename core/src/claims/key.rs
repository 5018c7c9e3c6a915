//! Idempotency keys.

use std::time::Duration;

use derive_more::{Display, Error};

use super::CLAIM_SEGMENTS;
use crate::clock::Timestamp;
use crate::digest::ShortDigest;

/// Digest of a service and a key.
pub type KeyDigest = ShortDigest;

/// Greatest length of a key, in characters.
pub const MAX_KEY_LENGTH: usize = 128;

/// An invalid idempotency key.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the key must have 1 to 128 visible ASCII characters; send a UUIDv7")]
pub struct KeyError;

/// A caller's key for one request, which repeated sends of that request share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdempotencyKey {
    /// Digest of the service and the key.
    pub digest: KeyDigest,
    /// Time in a `UUIDv7`, in milliseconds since the Unix epoch; `None` for other keys,
    /// which never expire.
    pub created_ms: Option<u64>,
}

impl IdempotencyKey {
    /// Parses the key of a request to a service.
    ///
    /// # Errors
    ///
    /// Returns an error unless the key has 1 to 128 visible ASCII characters.
    pub fn parse(service: &str, key: &[u8]) -> Result<Self, KeyError> {
        let length_fits = (1..=MAX_KEY_LENGTH).contains(&key.len());
        if !length_fits || !key.iter().all(u8::is_ascii_graphic) {
            return Err(KeyError);
        }
        let digest = ShortDigest::of(&[service.as_bytes(), key]);
        Ok(Self { digest, created_ms: uuid_time(key) })
    }

    /// Returns the number of the segment that holds the claim of the key.
    pub fn segment(&self) -> u16 {
        (self.digest.high_bits() % u64::from(CLAIM_SEGMENTS)) as u16
    }

    /// Returns `true` if the key is older than `window`.
    pub fn is_expired(&self, window: Duration, now: Timestamp) -> bool {
        let oldest = (now - window).0 / 1000;
        self.created_ms.is_some_and(|created| created < oldest)
    }
}

/// Returns the time of a `UUIDv7` in the usual form with hyphens, in milliseconds since the
/// Unix epoch.
fn uuid_time(key: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(key).ok().filter(|text| text.len() == 36)?;
    let hyphens = text.bytes().enumerate().all(|(position, byte)| {
        let expected = matches!(position, 8 | 13 | 18 | 23);
        if expected { byte == b'-' } else { byte.is_ascii_hexdigit() }
    });
    let version_7 = text.as_bytes()[14] == b'7';
    let variant = matches!(text.as_bytes()[19], b'8' | b'9' | b'a' | b'b' | b'A' | b'B');
    if !(hyphens && version_7 && variant) {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &text[..8], &text[9..13]), 16).ok()
}
