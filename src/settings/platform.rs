//! Settings of the platform's object store and of the teams that may change services.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};

use super::violation::{CheckSettings, ViolationList, check_each, element, field};

/// Address of the platform's store, and the teams that may change services.
#[derive(Clone, Debug, PartialEq, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Time limit of a store call, in milliseconds.
    #[serde(default = "default_call_ms")]
    #[builder(default = default_call_ms())]
    pub call_ms: u64,
    /// Longest time that the store keeps a watch open, in milliseconds.
    #[serde(default = "default_watch_ms")]
    #[builder(default = default_watch_ms())]
    pub watch_ms: u64,
    /// Teams and their tokens.
    #[serde(default)]
    #[builder(default)]
    pub teams: Vec<TeamSettings>,
}

/// A team that owns services.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// Name, as in the intents of the team's services.
    pub name: String,
    /// Tokens of the team's members.
    pub tokens: Vec<TokenSettings>,
}

/// A bearer token, stored as its digest.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// Author that is recorded with changes made with the token.
    pub author: String,
    /// SHA-256 digest of the token, 64 hexadecimal digits.
    #[serde(deserialize_with = "read_digest")]
    pub sha256: [u8; 32],
}

/// The store responds within milliseconds, so a call without a response for 1 s is lost.
fn default_call_ms() -> u64 {
    1000
}

/// An empty watch confirms that the intents are current, so it must end well before the
/// 5 s after which measuring stops.
fn default_watch_ms() -> u64 {
    1500
}

fn read_digest<'de, D: Deserializer<'de>>(deserializer: D) -> Result<[u8; 32], D::Error> {
    let text = String::deserialize(deserializer)?;
    let mut digest = [0; 32];
    let digits = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits {
        return Err(serde::de::Error::custom(
            "a token digest has 64 hexadecimal digits; use the output of sha256sum",
        ));
    }
    for (byte, position) in digest.iter_mut().zip((0..64).step_by(2)) {
        let pair = &text[position..position + 2];
        *byte = u8::from_str_radix(pair, 16).map_err(serde::de::Error::custom)?;
    }
    Ok(digest)
}

impl CheckSettings for PlatformSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let time = "give a time in milliseconds within the limit";
        violations.check_range(field(path, "call_ms"), self.call_ms, 10..=60_000, time);
        violations.check_range(field(path, "watch_ms"), self.watch_ms, 100..=4000, time);
        check_each(path, "teams", &self.teams, violations);
    }
}

impl CheckSettings for TeamSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        violations.check_name(field(path, "name"), &self.name);
        for (position, token) in self.tokens.iter().enumerate() {
            let path = field(&element(path, "tokens", position), "author");
            violations.check_name(path, &token.author);
        }
    }
}
