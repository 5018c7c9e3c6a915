//! Parts of large services, each with a coordinator of its own.
//!
//! A coordinator compares the targets of a service for each request and receives all requests
//! for them. Parts of a bounded number of targets keep both bounded, however many targets,
//! entries and requests there are. Every entry derives the same parts from the same directory.

use rand::{Rng, RngCore};

use crate::clock::Timestamp;
use crate::fleet::ServiceSnapshot;
use crate::keys::ServiceKey;
use crate::policy::mix;
use crate::signals::ServiceTag;

/// Maximum mean number of targets in one part. The coordinator of 401 targets compared 2,000 of
/// them for a request in calm, four times all, and was too slow for twice that.
pub const MAX_PART_TARGETS: usize = 128;

/// Number of parts that an entry sends its requests to. With two it can avoid a part that is
/// full, and few entries divide evenly over few parts; more would spread its connections.
pub const HOME_PARTS: usize = 2;

/// Constant by which the home parts of an entry do not depend on the targets that it prefers.
const HOME_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A service, or one of the parts that a large service is divided into.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct PartKey {
    /// Service.
    pub service: ServiceKey,
    /// Index of the part; `None` for the whole service.
    pub part: Option<u16>,
}

impl From<ServiceKey> for PartKey {
    fn from(service: ServiceKey) -> Self {
        Self { service, part: None }
    }
}

/// Returns the number of parts of a service with this number of targets, a power of two. A
/// change of the number then divides or joins parts and does not mix them.
pub fn part_count(targets: usize) -> u16 {
    let count = targets.div_ceil(MAX_PART_TARGETS).max(1).next_power_of_two();
    u16::try_from(count).unwrap_or(1 << 15)
}

/// Returns the part, one of `count`, of a target whose address has this hash.
pub fn part_of(address_hash: u64, count: u16) -> u16 {
    ((u128::from(address_hash) * u128::from(count)) >> 64) as u16
}

/// Returns the parts, of `count`, that an entry with this affinity sends its requests to.
pub fn home_parts(affinity: u64, count: u16) -> [u16; HOME_PARTS] {
    if count <= 1 {
        return [0; HOME_PARTS];
    }
    let hash = mix(affinity ^ HOME_SEED);
    let first = part_of(hash, count);
    let step = 1 + part_of(mix(hash), count - 1);
    [first, (first + step) % count]
}

/// Returns the tag of one of `count` parts of a service. It differs from those of the parts of
/// another count, so that entries that disagree on the count do not take one part for another.
pub fn part_tag(service: &str, part: u16, count: u16) -> ServiceTag {
    if count <= 1 {
        return ServiceTag::of(service);
    }
    ServiceTag::of_part(service, part, count)
}

/// Returns the part that a request of an entry with this affinity is placed in: one of its two
/// home parts at random, unless requests had to wait in that one just now and not in the other.
pub fn choose_part(
    service: &ServiceSnapshot,
    affinity: u64,
    now: Timestamp,
    random: &mut dyn RngCore,
) -> Option<u16> {
    let count = u16::try_from(service.parts.len()).ok().filter(|count| *count > 0)?;
    let [mut first, mut second] = home_parts(affinity, count);
    if random.random() {
        (first, second) = (second, first);
    }
    let is_pressed = |part: u16| service.parts[usize::from(part)].counters.is_pressed(now);
    Some(if is_pressed(first) && !is_pressed(second) { second } else { first })
}

/// Returns the number of entries, one of them the one that asks, that may send requests to a
/// part: the live ones that have it as a home, by their affinities, and a share of the silent
/// ones among `entry_count` that may be running.
pub fn count_part_senders(part: u16, count: u16, affinities: &[u64], entry_count: usize) -> usize {
    let homes = affinities.iter().filter(|affinity| home_parts(**affinity, count).contains(&part));
    let silent = entry_count.saturating_sub(affinities.len());
    1 + homes.count() + (silent * HOME_PARTS).div_ceil(usize::from(count))
}
