//! VMs that the platform takes away, from lists that several entries read.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Timestamp;

/// Time by which a list must be newer than the last one that named a VM before
/// the VM counts as staying again. Ages that entries tell each other are off by
/// the network delay, and the platform's own list lags.
pub const LEAVING_HOLD: Duration = Duration::from_secs(10);

/// What an entry tells others about leaving VMs, as ages since clocks differ.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmReport {
    /// Time since the newest known list was read; none before the first.
    pub list_age: Option<Duration>,
    /// Leaving VMs, each with the time since a list last named it.
    pub leaving: Vec<(IpAddr, Duration)>,
}

/// Leaving VMs known from all lists. Without a newer list nothing is forgotten,
/// so that an outage of the platform reopens no leaving target.
#[derive(Debug, Default)]
pub struct LeavingVms {
    newest: Option<Timestamp>,
    seen: IndexMap<IpAddr, Timestamp>,
}

impl LeavingVms {
    /// Merges a note that was made at `made`; returns whether the set of leaving
    /// VMs changed.
    pub fn merge(&mut self, note: &VmReport, made: Timestamp) -> bool {
        let before: Vec<_> = self.addresses().collect();
        self.newest = self.newest.max(note.list_age.map(|age| made - age));
        for (address, age) in &note.leaving {
            let seen = self.seen.entry(*address).or_default();
            *seen = (*seen).max(made - *age);
        }
        let newest = self.newest.unwrap_or_default();
        self.seen.retain(|_, seen| newest <= *seen + LEAVING_HOLD);
        !before.into_iter().eq(self.addresses())
    }

    /// Describes what is known.
    pub fn report(&self, now: Timestamp) -> VmReport {
        let leaving = self.seen.iter().map(|(address, seen)| (*address, now.since(*seen)));
        VmReport {
            list_age: self.newest.map(|newest| now.since(newest)),
            leaving: leaving.collect(),
        }
    }

    /// Lists the leaving VMs.
    pub fn addresses(&self) -> impl Iterator<Item = IpAddr> + '_ {
        self.seen.keys().copied()
    }
}
