//! VMs that the platform is about to remove, merged from the lists that several entries read.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Timestamp;

/// Time by which a list must be newer than the last one that contained a leaving VM before
/// the VM no longer counts as leaving. The ages that entries send each other are off by the
/// network delay, and the platform's own list lags.
pub const LEAVING_HOLD_TIME: Duration = Duration::from_secs(10);

/// Leaving VMs as one entry reports them to others. Times are sent as ages, because the
/// clocks of entries differ.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmReport {
    /// Time since the newest known list was read; `None` before the first.
    pub list_age: Option<Duration>,
    /// Leaving VMs, each with the time since a list last contained it.
    pub leaving: Vec<(IpAddr, Duration)>,
}

/// Leaving VMs known from all lists. VMs are removed only by a newer list, so that an
/// outage of the platform makes no target of a leaving VM available again.
#[derive(Debug, Default)]
pub struct LeavingVms {
    newest: Option<Timestamp>,
    seen: IndexMap<IpAddr, Timestamp>,
}

impl LeavingVms {
    /// Merges a report that was made at `made`. Returns `true` if the set of leaving VMs
    /// changed.
    pub fn merge(&mut self, report: &VmReport, made: Timestamp) -> bool {
        let before: Vec<_> = self.addresses().collect();
        self.newest = self.newest.max(report.list_age.map(|age| made - age));
        for (address, age) in &report.leaving {
            let seen = self.seen.entry(*address).or_default();
            *seen = (*seen).max(made - *age);
        }
        let newest = self.newest.unwrap_or_default();
        self.seen.retain(|_, seen| newest <= *seen + LEAVING_HOLD_TIME);
        !before.into_iter().eq(self.addresses())
    }

    /// Returns a report of all known leaving VMs, with ages as of `now`.
    pub fn report(&self, now: Timestamp) -> VmReport {
        let leaving = self.seen.iter().map(|(address, seen)| (*address, now.since(*seen)));
        VmReport {
            list_age: self.newest.map(|newest| now.since(newest)),
            leaving: leaving.collect(),
        }
    }

    /// Returns the addresses of the leaving VMs.
    pub fn addresses(&self) -> impl Iterator<Item = IpAddr> + '_ {
        self.seen.keys().copied()
    }
}
