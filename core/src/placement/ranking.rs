//! Choice of the entry that coordinates a service.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::digest::ShortDigest;
use crate::signals::ServiceTag;

/// An entry that may coordinate services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoordinatorCandidate {
    /// Address at which it receives signals.
    pub address: SocketAddr,
    /// CPU share that it can use, in percent of a core; 0 while it starts or stops.
    pub capacity: u16,
}

/// Returns the entries that may coordinate a service, the preferred one first. Entries with
/// the largest capacity come first, and rendezvous hashing spreads the services over entries
/// of the same capacity. Entries that know the same members agree without messages.
pub fn rank_coordinators(
    service: ServiceTag,
    candidates: &[CoordinatorCandidate],
) -> Vec<SocketAddr> {
    let mut eligible: Vec<_> =
        candidates.iter().filter(|candidate| candidate.capacity > 0).collect();
    eligible.sort_by_cached_key(|candidate| {
        (Reverse(candidate.capacity), hash_score(service, candidate.address))
    });
    eligible.into_iter().map(|candidate| candidate.address).collect()
}

fn hash_score(service: ServiceTag, address: SocketAddr) -> (u64, SocketAddr) {
    let text = address.to_string();
    let digest = ShortDigest::of(&[&service.0.to_be_bytes(), text.as_bytes()]);
    (digest.high_bits(), address)
}
