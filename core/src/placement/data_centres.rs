//! Parts of services by data centre, each with a coordinator in that data centre.
//!
//! Where data centres are far apart, a placement by a coordinator elsewhere adds a round trip to
//! each request, and its messages are paid for by the byte. A part per data centre keeps both
//! within it. The parts of a service follow from its targets alone, and the tag of a part from the
//! name of its data centre, so entries that see different live entries still agree on both.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::MAX_PART_TARGETS;
use crate::signals::ServiceTag;

/// Share of a request limit that coordinators use for requests of their part's own data centre.
/// The rest is for entries elsewhere. Both are bounded even if the entries of the two groups use
/// different coordinators, as they do while the data centre is cut off.
const HOME_LIMIT_SHARE: f64 = 0.8;

/// Whether services are divided by data centre.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DataCentreParts {
    /// While the data centres are far apart.
    #[default]
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Returns the data centres that a service with targets in `data_centres` has a part for, sorted
/// by name; none if all targets are in one, or if the parts would be too large.
pub fn part_data_centres<'a>(data_centres: impl Iterator<Item = &'a Arc<str>>) -> Arc<[Arc<str>]> {
    let mut targets = 0;
    let names: HashSet<_> = data_centres.inspect(|_| targets += 1).collect();
    if names.len() < 2 || targets > MAX_PART_TARGETS * names.len() {
        return Arc::default();
    }
    let mut names: Vec<_> = names.into_iter().cloned().collect();
    names.sort();
    names.into()
}

/// Where the entries and the parts of services are.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartLocations {
    /// Data centre of each entry whose data centre is known.
    pub entries: Arc<HashMap<SocketAddr, Arc<str>>>,
    /// Data centre of each part.
    pub parts: HashMap<ServiceTag, Arc<str>>,
}

impl PartLocations {
    /// Sorts coordinators, the preferred one first, so that those in the data centre of the part
    /// precede the others. The others remain: a part whose data centre has no coordinator is
    /// coordinated from elsewhere.
    pub fn prefer_home(&self, part: ServiceTag, coordinators: &mut [SocketAddr]) {
        if let Some(home) = self.parts.get(&part) {
            coordinators.sort_by_key(|address| self.entries.get(address) != Some(home));
        }
    }
}

/// Entries that may send requests to a part of a data centre, and those of them that send theirs
/// to this entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartSenders {
    /// Entries of the data centre that may be running, the coordinator included if it is there.
    /// Entries whose data centre is unknown count here and as entries elsewhere.
    pub home: usize,
    /// Those that this entry places requests for, itself included.
    pub served_home: usize,
    /// Entries elsewhere that may be running.
    pub elsewhere: usize,
    /// Those that this entry places requests for, itself included.
    pub served_elsewhere: usize,
}

impl PartSenders {
    /// Counts the senders of a part in `home`. `live` are the live entries, `own` is this one, and
    /// `entry_count` is the number of entries that may be running, silent ones included.
    pub fn count(
        home: &Arc<str>,
        entries: &HashMap<SocketAddr, Arc<str>>,
        (own, live, entry_count): (SocketAddr, &[SocketAddr], usize),
        served: &[SocketAddr],
    ) -> Self {
        let is_home = |entry: &SocketAddr| entries.get(entry) == Some(home);
        let is_elsewhere = |entry: &SocketAddr| entries.get(entry) != Some(home);
        let may_be_home = |entry: &&SocketAddr| entries.get(*entry).is_none_or(|at| at == home);
        let silent = entry_count.saturating_sub(live.len());
        let others = || served.iter().filter(|entry| **entry != own);
        Self {
            home: live.iter().filter(may_be_home).count() + silent,
            served_home: others().filter(|entry| is_home(entry)).count()
                + usize::from(is_home(&own)),
            elsewhere: live.iter().filter(|entry| is_elsewhere(entry)).count() + silent,
            served_elsewhere: others().filter(|entry| is_elsewhere(entry)).count()
                + usize::from(is_elsewhere(&own)),
        }
    }

    /// Returns the share of a request limit that this entry uses.
    pub fn limit_share(&self) -> f64 {
        let share = |served: usize, count: usize| (served as f64 / count.max(1) as f64).min(1.0);
        HOME_LIMIT_SHARE * share(self.served_home, self.home)
            + (1.0 - HOME_LIMIT_SHARE) * share(self.served_elsewhere, self.elsewhere)
    }
}
