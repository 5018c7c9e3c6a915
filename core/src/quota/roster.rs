//! Number of entries that share the limits, from registrations that outlive the entries.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Timestamp;

/// Time since its last renewal after which a registration ends. The share of a machine that is gone
/// for good stays unused until then.
pub const REGISTRATION_TIME: Duration = Duration::from_secs(15 * 60);

/// Time since the last renewal of its registration for which an entry uses its share. The rest of
/// [`REGISTRATION_TIME`] covers that clocks differ, so that an entry which cannot renew stops
/// before others divide its share among them.
pub const TRUST_TIME: Duration = Duration::from_secs(10 * 60);

/// Time after which an entry renews its registration.
pub const REGISTRATION_RENEWAL: Duration = Duration::from_secs(3 * 60);

/// Time for which a newly registered entry does not use its share. Entries that divided the limits
/// without it learn of it meanwhile: they watch the registrations, or begin to do so one second
/// after their start if they hear of no entry that does.
pub const JOIN_TIME: Duration = Duration::from_millis(1_500);

/// Registration of an entry in a store that outlives it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRegistration {
    /// Address for messages of other entries.
    pub address: SocketAddr,
    /// When the entry last renewed it.
    pub renewed: Timestamp,
}

/// What an entry knows of the number of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetEvidence {
    /// Number of registered entries.
    pub entries: usize,
    /// From when on the entry may use its share.
    pub usable_from: Timestamp,
    /// Until when.
    pub usable_until: Timestamp,
}

impl FleetEvidence {
    /// Returns the evidence of an entry that shares the limits with no other one.
    pub fn alone() -> Self {
        Self { entries: 1, usable_from: Timestamp::default(), usable_until: Timestamp(u64::MAX) }
    }

    /// Returns `true` if the entry may use its share.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        (self.usable_from..self.usable_until).contains(&now)
    }
}

/// Registered entries, as far as known.
///
/// A registration counts until its time has passed, even if the store has lost it: its entry may
/// use its share until then.
#[derive(Debug, Default)]
pub struct EntryRoster {
    renewals: IndexMap<SocketAddr, Timestamp>,
}

impl EntryRoster {
    /// Adds registrations, or renews known ones.
    pub fn merge(&mut self, registrations: impl IntoIterator<Item = EntryRegistration>) {
        for EntryRegistration { address, renewed } in registrations {
            let known = self.renewals.entry(address).or_insert(renewed);
            *known = renewed.max(*known);
        }
    }

    /// Returns when the registration of an entry was last renewed, unless it has ended.
    pub fn renewed(&self, address: SocketAddr, now: Timestamp) -> Option<Timestamp> {
        self.renewals.get(&address).copied().filter(|renewed| is_valid(*renewed, now))
    }

    /// Removes the registrations that have ended and returns them.
    pub fn remove_ended(&mut self, now: Timestamp) -> Vec<EntryRegistration> {
        let ended = self.renewals.iter().filter(|(_, renewed)| !is_valid(**renewed, now));
        let registration = |(address, renewed): (&SocketAddr, &Timestamp)| EntryRegistration {
            address: *address,
            renewed: *renewed,
        };
        let ended: Vec<_> = ended.map(registration).collect();
        self.renewals.retain(|_, renewed| is_valid(*renewed, now));
        ended
    }

    /// Returns the number of registrations that have not ended.
    pub fn count(&self, now: Timestamp) -> usize {
        self.renewals.values().filter(|renewed| is_valid(**renewed, now)).count()
    }
}

fn is_valid(renewed: Timestamp, now: Timestamp) -> bool {
    now.since(renewed) < REGISTRATION_TIME
}
