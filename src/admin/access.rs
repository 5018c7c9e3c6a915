//! Authentication of teams by bearer tokens.

use http::{HeaderMap, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::settings::TeamSettings;

/// The authenticated sender of an administration request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamMember {
    /// Team that the sender belongs to.
    pub team: String,
    /// Author that is recorded with changes.
    pub author: String,
}

/// Digests of the teams' tokens.
#[derive(Clone, Debug, Default)]
pub struct TokenRegistry {
    tokens: Vec<([u8; 32], TeamMember)>,
}

impl TokenRegistry {
    /// Creates a registry from settings.
    pub fn new(teams: &[TeamSettings]) -> Self {
        let members = teams.iter().flat_map(|team| {
            team.tokens.iter().map(|token| {
                let author = token.author.clone();
                (token.sha256, TeamMember { team: team.name.clone(), author })
            })
        });
        Self { tokens: members.collect() }
    }

    /// Finds the owner of the bearer token in `headers`.
    pub fn authenticate(&self, headers: &HeaderMap) -> Option<TeamMember> {
        let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, token) = value.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let digest: [u8; 32] = Sha256::digest(token.trim().as_bytes()).into();
        // Compares with every token in constant time, so that the duration reveals neither
        // which digest matched nor how many of its bytes did.
        let mut found = None;
        for (known_digest, member) in &self.tokens {
            if bool::from(known_digest.ct_eq(&digest)) {
                found = Some(member);
            }
        }
        found.cloned()
    }
}
