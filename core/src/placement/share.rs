//! The part of the requests of a service that one entry places.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Timestamp;
use crate::signals::ServiceTag;

/// Time since the last placement request of an entry for which it counts as served. Within it
/// nearly every entry of a large fleet sends a request for each service.
const SERVED_PERIOD: Duration = Duration::from_secs(10);

/// Entries whose requests this entry places, for each service.
///
/// During a partition, or while a coordinator is replaced, several entries place requests for
/// the same service without knowing of each other. Each entry sends its requests to one of
/// them, so the shares of all of them add up to about one.
#[derive(Debug, Default)]
pub struct ServedEntries {
    last_requests: IndexMap<ServiceTag, IndexMap<SocketAddr, Timestamp>>,
}

impl ServedEntries {
    /// Records a placement request of another entry.
    pub fn record(&mut self, service: ServiceTag, entry: SocketAddr, now: Timestamp) {
        self.last_requests.entry(service).or_default().insert(entry, now);
    }

    /// Returns the part of all entries that this one places requests for, itself included.
    /// `entry_count` is the number of entries that may be running.
    pub fn share(&mut self, service: ServiceTag, entry_count: usize, now: Timestamp) -> f64 {
        let served = self.served(service, now).len();
        ((1 + served) as f64 / entry_count.max(1) as f64).min(1.0)
    }

    /// Returns the other entries that this one places requests for.
    pub fn served(&mut self, service: ServiceTag, now: Timestamp) -> Vec<SocketAddr> {
        let Some(entries) = self.last_requests.get_mut(&service) else { return Vec::new() };
        entries.retain(|_, at| now.since(*at) < SERVED_PERIOD);
        entries.keys().copied().collect()
    }
}
