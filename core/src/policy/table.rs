//! Available targets of a service, indexed once per snapshot so that the cost of a pick
//! does not grow with the number of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use rand::{Rng, RngCore};

use crate::clock::Timestamp;
use crate::fleet::{TargetCounters, TargetSnapshot, TargetState};
use crate::keys::TargetKey;
use crate::outlier::median_latency;
use crate::placement::{HOME_PARTS, part_of};

/// Time in which a cold or returning target ramps up to its full share of requests.
pub const RAMP_TIME: Duration = Duration::from_secs(10);

/// Share of its full load that a cold target takes at first.
const FIRST_SHARE: f32 = 0.1;

/// Samples drawn before a pick falls back to a scan. If half of the targets cannot take
/// the request, 8 samples fail once in 256 picks.
const MAX_SAMPLES: usize = 8;

/// This entry and the live entries as it sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EntryView {
    /// Name of this entry.
    pub name: Arc<str>,
    /// Data centre of this entry.
    pub data_centre: Arc<str>,
    /// Names of the live entries; empty if this entry is alone.
    pub members: Arc<[Arc<str>]>,
    /// Whether a coordinator places the requests of all entries for each service and so
    /// knows the total load of each target.
    pub is_coordinated: bool,
}

impl EntryView {
    /// Returns the number of live entries, including this one.
    pub fn entry_count(&self) -> usize {
        self.members.len().max(1)
    }
}

/// A target that takes new requests.
#[derive(Clone, Debug)]
pub struct AvailableTarget {
    /// Key of the target.
    pub key: TargetKey,
    /// Counters of the target.
    pub counters: Arc<TargetCounters>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of its slots that are assigned to this entry.
    pub home_slots: u32,
    /// Whether it is in this entry's data centre.
    pub local: bool,
    /// Data centre of the target.
    pub data_centre: Arc<str>,
    /// Number of available targets of the service in that data centre that an entry uses,
    /// including this one.
    pub data_centre_targets: u32,
    /// Hash of its address.
    pub address_hash: u64,
    /// When its ramp-up began; `None` if it takes its full share of requests.
    pub ramp_start: Option<Timestamp>,
}

impl AvailableTarget {
    /// Returns `true` if the target is among those that an entry with this affinity prefers,
    /// about `count` in each data centre.
    pub fn is_preferred(&self, affinity: u64, count: f32) -> bool {
        let share = mix(affinity ^ self.address_hash) as f32 / u64::MAX as f32;
        share * (self.data_centre_targets as f32) < count
    }

    /// Returns `true` if the target takes a request for which it was sampled: never while it
    /// sheds load, and with the probability of its share while it ramps up.
    fn accepts(&self, now: Timestamp, random: &mut dyn RngCore) -> bool {
        if self.counters.is_closed(now) {
            return false;
        }
        self.ramp_start.is_none_or(|start| random.random::<f32>() < ramp_share(start, now))
    }
}

/// Returns the share of its full load that a target takes whose ramp-up began at `start`.
pub fn ramp_share(start: Timestamp, now: Timestamp) -> f32 {
    let progress = now.since(start).as_secs_f32() / RAMP_TIME.as_secs_f32();
    (FIRST_SHARE + (1.0 - FIRST_SHARE) * progress).min(1.0)
}

/// Available targets of a service and this entry's home slots on them.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Targets that take new requests.
    pub available: Vec<AvailableTarget>,
    /// Indices of the available targets in this entry's data centre.
    pub local: Vec<u32>,
    /// Indices of the available targets with home slots in this entry's data centre.
    pub local_home_targets: Vec<u32>,
    /// Indices of the available targets with home slots in other data centres.
    pub remote_home_targets: Vec<u32>,
    /// Total number of home slots on available targets.
    pub home_slots: u32,
    /// Number of live entries, including this one.
    pub entry_count: usize,
    /// Whether a coordinator places the requests of all entries.
    pub is_coordinated: bool,
    /// Median latency of the available targets, in microseconds; 0 if unknown.
    pub median_latency_us: AtomicU64,
    /// Start of the next search for a free home slot.
    pub cursor: AtomicU32,
}

impl TargetTable {
    /// Creates the table of a service.
    pub fn new<'a>(
        targets: impl Iterator<Item = (TargetKey, &'a TargetSnapshot)>,
        view: &EntryView,
    ) -> Self {
        let (entry_count, is_coordinated) = (view.entry_count(), view.is_coordinated);
        let mut table = Self { entry_count, is_coordinated, ..Self::default() };
        let homes = HomeMap::new(view);
        for (key, target) in targets.filter(|(_, target)| target.state.takes_requests()) {
            table.add(key, target, &homes, &view.data_centre);
        }
        table.count_data_centre_targets(1);
        table.update_median();
        table
    }

    fn add(&mut self, key: TargetKey, target: &TargetSnapshot, homes: &HomeMap, data_centre: &str) {
        let position = self.available.len() as u32;
        let local = *target.data_centre == *data_centre;
        let home_slots = homes.owned_slots(target.address, target.slots);
        if local {
            self.local.push(position);
        }
        if home_slots > 0 {
            let positions =
                if local { &mut self.local_home_targets } else { &mut self.remote_home_targets };
            positions.push(position);
        }
        self.home_slots += home_slots;
        self.available.push(AvailableTarget {
            key,
            counters: target.counters.clone(),
            slots: target.slots,
            home_slots,
            local,
            data_centre: target.data_centre.clone(),
            data_centre_targets: 1,
            address_hash: hash_address(target.address),
            ramp_start: (target.state == TargetState::Starting).then_some(target.since),
        });
    }

    /// Divides the table into tables of `count` parts, without home slots: one for each of
    /// `data_centres`, or, if there are none, by the hash of the addresses.
    pub fn split(&self, data_centres: &[Arc<str>], count: u16) -> Vec<Self> {
        let (entry_count, is_coordinated) = (self.entry_count, self.is_coordinated);
        let empty = || Self { entry_count, is_coordinated, ..Self::default() };
        let mut parts: Vec<_> = (0..count).map(|_| empty()).collect();
        for target in &self.available {
            let by_address = || usize::from(part_of(target.address_hash, count));
            let position = data_centres.iter().position(|name| *name == target.data_centre);
            let part = &mut parts[position.unwrap_or_else(by_address)];
            if target.local {
                part.local.push(part.available.len() as u32);
            }
            part.available.push(AvailableTarget { home_slots: 0, ..target.clone() });
        }
        // An entry uses one part by data centre for nearly all of its requests.
        let tables = if data_centres.is_empty() { HOME_PARTS as u32 } else { 1 };
        for part in &mut parts {
            part.count_data_centre_targets(tables);
            part.update_median();
        }
        parts
    }

    /// Counts the targets of each data centre; an entry uses `tables` tables of the service.
    fn count_data_centre_targets(&mut self, tables: u32) {
        let mut counts: IndexMap<Arc<str>, u32> = IndexMap::new();
        for target in &self.available {
            *counts.entry(target.data_centre.clone()).or_default() += tables;
        }
        for target in &mut self.available {
            target.data_centre_targets = counts[&target.data_centre];
        }
    }

    /// Recomputes the median latency of the available targets.
    pub fn update_median(&self) {
        let median = median_latency(self.available.iter().map(|target| &*target.counters));
        self.median_latency_us.store(median.unwrap_or(0), Ordering::Relaxed);
    }

    /// Samples a target that is not excluded, preferably one that accepts the request. Falls
    /// back to a scan so that a request finds the last target that is left.
    pub fn sample(
        &self,
        excluded: &[TargetKey],
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Option<&AvailableTarget> {
        if self.available.is_empty() {
            return None;
        }
        for _ in 0..MAX_SAMPLES {
            let target = &self.available[random.random_range(0..self.available.len())];
            if !excluded.contains(&target.key) && target.accepts(now, random) {
                return Some(target);
            }
        }
        let start = random.random_range(0..self.available.len());
        let mut rotated = self.available[start..].iter().chain(&self.available[..start]);
        rotated.find(|target| !excluded.contains(&target.key) && !target.counters.is_barred(now))
    }

    /// Samples two targets, which are the same only if no second one was found.
    pub fn sample_two(
        &self,
        excluded: &[TargetKey],
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Option<(&AvailableTarget, &AvailableTarget)> {
        let first = self.sample(excluded, now, random)?;
        let mut second = first;
        for _ in 0..MAX_SAMPLES {
            second = self.sample(excluded, now, random)?;
            if second.key != first.key {
                break;
            }
        }
        Some((first, second))
    }

    /// Advances the start of the search for a free home slot and returns its previous value.
    pub fn advance_cursor(&self) -> usize {
        self.cursor.fetch_add(1, Ordering::Relaxed) as usize
    }

    /// Returns the number of targets that could be picked, at least 1, for decision records.
    pub fn candidates(&self, excluded: &[TargetKey]) -> u16 {
        u16::try_from(self.available.len().saturating_sub(excluded.len()).max(1))
            .unwrap_or(u16::MAX)
    }
}

/// Assigns each slot of a target to the live entry with the highest score (rendezvous
/// hashing), so that entries with the same member list agree without messages.
struct HomeMap {
    own: u64,
    others: Vec<u64>,
}

impl HomeMap {
    fn new(view: &EntryView) -> Self {
        let own = hash_bytes(view.name.as_bytes());
        let members = view.members.iter().filter(|name| **name != view.name);
        Self { own, others: members.map(|name| hash_bytes(name.as_bytes())).collect() }
    }

    fn owned_slots(&self, address: SocketAddr, slots: u32) -> u32 {
        let target = hash_address(address);
        (0..slots).filter(|slot| self.owns(mix(target ^ u64::from(*slot)))).count() as u32
    }

    fn owns(&self, slot: u64) -> bool {
        let own = (mix(self.own ^ slot), self.own);
        self.others.iter().all(|other| (mix(other ^ slot), *other) < own)
    }
}

/// Hashes an address with the same result in every process.
pub(crate) fn hash_address(address: SocketAddr) -> u64 {
    let port = hash_bytes(&address.port().to_be_bytes());
    match address.ip() {
        std::net::IpAddr::V4(ip) => mix(port ^ hash_bytes(&ip.octets())),
        std::net::IpAddr::V6(ip) => mix(port ^ hash_bytes(&ip.octets())),
    }
}

/// Hashes bytes with FNV-1a, which unlike the standard hasher returns the same value in
/// every process.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// Mixes the bits of a value with the finalizer of `SplitMix64`.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
