//! Truncated SHA-256 digests.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// First 128 bits of a SHA-256 digest, formatted as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ShortDigest(pub u128);

/// Error for a text that is not a digest.
#[derive(Debug, Display, Error)]
#[display("{text:?} is not a digest; give 32 hexadecimal digits")]
pub struct DigestError {
    text: String,
}

impl ShortDigest {
    /// Computes the digest of `parts`. Each part is prefixed with its length, so that moving
    /// a byte from one part to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let (head, _) = digest.split_at(16);
        Self(head.iter().fold(0, |value, byte| (value << 8) | u128::from(*byte)))
    }

    /// Returns the first 64 bits.
    pub fn high_bits(self) -> u64 {
        (self.0 >> 64) as u64
    }
}

impl fmt::Display for ShortDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for ShortDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = digits.then(|| u128::from_str_radix(text, 16).ok()).flatten();
        value.map(Self).ok_or_else(|| DigestError { text: text.to_owned() })
    }
}

impl From<ShortDigest> for String {
    fn from(digest: ShortDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for ShortDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
