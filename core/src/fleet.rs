//! Snapshots of services and targets, read by read-copy-update on the request
//! path, and the table that a controller publishes them from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use strum::{Display, EnumString};

use crate::clock::Timestamp;
use crate::intent::{ServiceIntent, TargetIntent, TargetWish};
use crate::keys::{ServiceKey, TargetKey};
use crate::policy::{EntryView, ProbePool, RouteTable};
use crate::retry::{LatencyQuantile, RetryBudget};

/// State of a target as this entry sees it.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetState {
    /// Cold: takes a growing share.
    Starting,
    /// Takes requests.
    Serving,
    /// Announced its own drain.
    Draining,
    /// Leaves by intent or by the platform's list.
    Leaving,
    /// Removed for a while because of failures or slowness.
    Ejected,
}

impl TargetState {
    /// Tells whether the target may receive new requests.
    pub fn takes_requests(self) -> bool {
        matches!(self, Self::Starting | Self::Serving)
    }
}

/// Longest time for which a target's wish to shed load is honoured. A target
/// that still sheds says so again.
pub const MAX_SHEDDING: Duration = Duration::from_secs(1);

/// Counters of a target that the request path updates without a lock.
#[derive(Debug, Default)]
pub struct TargetCounters {
    /// Requests of this entry in flight.
    pub in_flight: AtomicU32,
    /// Load that the target last reported: requests running and queued.
    pub reported_load: AtomicU32,
    /// When that report arrived, in microseconds.
    pub reported_at: AtomicU64,
    /// Requests of this entry in flight when that report arrived.
    pub in_flight_at_report: AtomicU32,
    /// Moving average of the time to the response head, in microseconds.
    pub latency_us: AtomicU64,
    /// Failures since the last success.
    pub failures_in_row: AtomicU32,
    /// Moving average of failures, in 1/1024.
    pub failure_share: AtomicU32,
    /// Until when the target sheds load, in microseconds.
    pub sheds_until: AtomicU64,
}

impl TargetCounters {
    /// Records a load report that arrived at `now`.
    pub fn record_report(&self, load: u32, now: Timestamp) {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.in_flight_at_report.store(in_flight, Ordering::Relaxed);
        self.reported_load.store(load, Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
    }

    /// Records a response whose head arrived after `latency`. Concurrent updates
    /// may lose one another, which moves the averages by one sample at most.
    pub fn record_success(&self, latency: Duration) {
        self.failures_in_row.store(0, Ordering::Relaxed);
        let share = self.failure_share.load(Ordering::Relaxed);
        self.failure_share.store(share - share.div_ceil(8), Ordering::Relaxed);
        self.record_latency(latency);
    }

    /// Adds a sample to the average of the time to the response head.
    pub fn record_latency(&self, latency: Duration) {
        let sample = (latency.as_micros() as u64).max(1);
        let average = match self.latency_us.load(Ordering::Relaxed) {
            0 => sample,
            average => (average * 7 + sample).div_ceil(8),
        };
        self.latency_us.store(average, Ordering::Relaxed);
    }

    /// Gives the reported load if the report arrived at `time` or later.
    pub fn report_since(&self, time: Timestamp) -> Option<u32> {
        let fresh = self.reported_at.load(Ordering::Relaxed) >= time.0;
        fresh.then(|| self.reported_load.load(Ordering::Relaxed))
    }

    /// Records a failure and returns the number of failures in a row.
    pub fn record_failure(&self) -> u32 {
        let share = self.failure_share.load(Ordering::Relaxed);
        self.failure_share.store(share + (1024 - share.min(1024)) / 8, Ordering::Relaxed);
        self.failures_in_row.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that the target refuses work for `period`, at most [`MAX_SHEDDING`].
    pub fn record_shedding(&self, period: Duration, now: Timestamp) {
        let until = now + period.min(MAX_SHEDDING);
        self.sheds_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Tells whether the target sheds load.
    pub fn sheds(&self, now: Timestamp) -> bool {
        now.0 < self.sheds_until.load(Ordering::Relaxed)
    }
}

/// Counters of a service that the request path updates without a lock.
#[derive(Debug, Default)]
pub struct ServiceCounters {
    /// Requests of this entry in flight.
    pub in_flight: AtomicU32,
    /// Next position for round robin.
    pub cursor: AtomicU32,
    /// Recent load reports for the probe policy.
    pub probes: ProbePool,
    /// Retries and hedges of this entry.
    pub retries: RetryBudget,
    /// Recent latency up to the response head, for hedges.
    pub latency: LatencyQuantile,
}

/// A service with the intent in force.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// The intent in force.
    pub intent: Arc<ServiceIntent>,
    /// Version of that intent in the platform's store.
    pub version: u64,
    /// All targets of the service, in the order of the intent.
    pub targets: Vec<TargetKey>,
    /// Counters, shared by all snapshots.
    pub counters: Arc<ServiceCounters>,
    /// What the routing policies need, computed when the snapshot is made.
    pub table: Arc<RouteTable>,
}

/// A target with its state.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data centre that the target is in.
    pub data_centre: Arc<str>,
    /// Requests that the target runs at the same time.
    pub slots: u32,
    /// State as this entry sees it.
    pub state: TargetState,
    /// When that state began.
    pub since: Timestamp,
    /// Counters, shared by all snapshots.
    pub counters: Arc<TargetCounters>,
}

/// Services and targets as of one moment.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// When the snapshot was published.
    pub published: Timestamp,
    /// Services by key.
    pub services: SlotMap<ServiceKey, ServiceEntry>,
    /// Keys of services by name.
    pub names: IndexMap<String, ServiceKey>,
    /// Targets by key.
    pub targets: SlotMap<TargetKey, TargetEntry>,
    /// This entry and the other members.
    pub view: EntryView,
}

impl FleetSnapshot {
    /// Finds a service by its name.
    pub fn find(&self, name: &str) -> Option<(ServiceKey, &ServiceEntry)> {
        let key = *self.names.get(name)?;
        Some((key, self.services.get(key)?))
    }

    /// Lists the targets of a service that may receive new requests.
    pub fn open_targets<'a>(
        &'a self,
        service: &'a ServiceEntry,
    ) -> impl Iterator<Item = (TargetKey, &'a TargetEntry)> + 'a {
        service
            .targets
            .iter()
            .filter_map(|key| Some((*key, self.targets.get(*key)?)))
            .filter(|(_, target)| target.state.takes_requests())
    }

    /// Puts an intent in force unless a version at least as high already is.
    /// Returns whether the snapshot changed.
    pub fn apply(&mut self, intent: ServiceIntent, version: u64, now: Timestamp) -> bool {
        let known = self.names.get(&intent.service).copied();
        if let Some(service) = known.and_then(|key| self.services.get(key))
            && service.version >= version
        {
            return false;
        }
        let old_targets = known
            .and_then(|key| self.services.get_mut(key))
            .map(|service| std::mem::take(&mut service.targets))
            .unwrap_or_default();
        let targets = self.merge_targets(old_targets, &intent.targets, now);
        let name = intent.service.clone();
        let counters = known.map(|key| self.services[key].counters.clone()).unwrap_or_default();
        let table = Arc::default();
        let service = ServiceEntry { intent: Arc::new(intent), version, targets, counters, table };
        let key = match known {
            Some(key) => {
                self.services[key] = service;
                key
            }
            None => {
                let key = self.services.insert(service);
                self.names.insert(name, key);
                key
            }
        };
        self.update_table(key);
        self.published = now;
        true
    }

    /// Replaces what is known of this entry and the other members.
    pub fn set_view(&mut self, view: EntryView) {
        self.view = view;
        let keys: Vec<_> = self.services.keys().collect();
        for key in keys {
            self.update_table(key);
        }
    }

    /// Recomputes the routing table of a service after its targets changed.
    pub fn update_table(&mut self, key: ServiceKey) {
        let Some(service) = self.services.get(key) else { return };
        let targets = service.targets.iter().map(|key| (*key, &self.targets[*key]));
        let table = Arc::new(RouteTable::new(targets, &self.view));
        self.services[key].table = table;
    }

    /// Keeps the keys and counters of targets whose address stays.
    fn merge_targets(
        &mut self,
        old_targets: Vec<TargetKey>,
        intents: &[TargetIntent],
        now: Timestamp,
    ) -> Vec<TargetKey> {
        let mut by_address: IndexMap<SocketAddr, TargetKey> =
            old_targets.into_iter().map(|key| (self.targets[key].address, key)).collect();
        let merged = intents
            .iter()
            .map(|intent| match by_address.swap_remove(&intent.address) {
                Some(key) => {
                    update_target(&mut self.targets[key], intent, now);
                    key
                }
                None => self.targets.insert(new_target(intent, now)),
            })
            .collect();
        for key in by_address.into_values() {
            self.targets.remove(key);
        }
        merged
    }
}

fn wished_state(wish: TargetWish) -> TargetState {
    match wish {
        TargetWish::Serving => TargetState::Serving,
        TargetWish::Joining => TargetState::Starting,
        TargetWish::Leaving => TargetState::Leaving,
    }
}

fn new_target(intent: &TargetIntent, now: Timestamp) -> TargetEntry {
    TargetEntry {
        address: intent.address,
        data_centre: intent.data_centre.as_str().into(),
        slots: intent.slots,
        state: wished_state(intent.state),
        since: now,
        counters: Arc::default(),
    }
}

/// Applies a changed wish; an unchanged one keeps states that the entry itself
/// observed, such as a drain or an ejection.
fn update_target(target: &mut TargetEntry, intent: &TargetIntent, now: Timestamp) {
    target.slots = intent.slots;
    target.data_centre = intent.data_centre.as_str().into();
    let state = wished_state(intent.state);
    let wish_overrides = state == TargetState::Leaving || target.state == TargetState::Leaving;
    if wish_overrides && target.state != state {
        target.state = state;
        target.since = now;
    }
}
