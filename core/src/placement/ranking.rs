//! Which entry coordinates a service.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::digest::ShortDigest;
use crate::signals::ServiceTag;

/// An entry that may coordinate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoordinatorCandidate {
    /// Address of its signals.
    pub address: SocketAddr,
    /// Processor share that it can use, in percent of a core; 0 while it starts or
    /// stops.
    pub capacity: u16,
}

/// Lists the entries that may coordinate a service, the best first: the largest
/// ones, spread over the services by rendezvous hashing. Entries that know the same
/// members agree without messages.
pub fn rank_coordinators(service: ServiceTag, members: &[CoordinatorCandidate]) -> Vec<SocketAddr> {
    let mut able: Vec<_> = members.iter().filter(|member| member.capacity > 0).collect();
    able.sort_by_cached_key(|member| (Reverse(member.capacity), draw(service, member.address)));
    able.into_iter().map(|member| member.address).collect()
}

fn draw(service: ServiceTag, address: SocketAddr) -> (u64, SocketAddr) {
    let text = address.to_string();
    let digest = ShortDigest::of(&[&service.0.to_be_bytes(), text.as_bytes()]);
    (digest.high_bits(), address)
}
