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
use crate::intent::{ServiceIntent, TargetInstance, TargetIntent, TargetWish};
use crate::keys::{ServiceKey, TargetKey};
use crate::policy::{EntryView, ProbePool, RouteTable};
use crate::retry::{LatencyQuantile, RetryBudget};
use crate::routes::{RouteBook, RouteChoice, RouteIntent, RouteRule};
use crate::slot_use::SlotUse;

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

/// Time of work on a target that is not slowed by its neighbours, in percent of
/// its usual time.
pub const USUAL_PACE: u32 = 100;

/// Age up to which the load that a target reported counts beside what was placed
/// there, about the time of one request of the shortest kind.
const TRUSTED_LOAD_AGE: Duration = Duration::from_millis(50);

/// Age at which a report of the pace of work says nothing any more. Neighbours that
/// slow a target come and go within some 150 ms.
pub const MAX_PACE_AGE: Duration = Duration::from_millis(150);

/// Time in which targets answer probes.
const PROBE_TIME: Duration = Duration::from_millis(10);

/// Reported time of work, in percent of the usual, from which on a target counts as
/// slowed by its neighbours.
const SLOWED_PACE: u32 = 250;

/// Load that a target reports of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot of it.
    pub waiting: u32,
    /// Time that work takes at this moment, in percent of its usual time.
    pub pace_percent: u32,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self { running: 0, waiting: 0, pace_percent: USUAL_PACE }
    }
}

impl From<u32> for LoadReport {
    /// Makes the report of a target that states only how many requests it holds.
    fn from(requests: u32) -> Self {
        Self { running: requests, ..Self::default() }
    }
}

/// Counters of a target that the request path updates without a lock.
#[derive(Debug, Default)]
pub struct TargetCounters {
    /// Requests of this entry in flight.
    pub in_flight: AtomicU32,
    /// Load that the target last reported: requests running and queued.
    pub reported_load: AtomicU32,
    /// Time of work that the target last reported, in percent of its usual time; 0
    /// before the first report.
    pub reported_pace: AtomicU32,
    /// When that report, or a newer one of the time of work alone, arrived, in
    /// microseconds.
    pub reported_at: AtomicU64,
    /// When the reported load arrived, in microseconds.
    pub load_at: AtomicU64,
    /// Requests of this entry in flight when that report arrived.
    pub in_flight_at_report: AtomicU32,
    /// Requests of all entries that this one, as the coordinator of the service, has
    /// placed there and that have not ended.
    pub placed: AtomicU32,
    /// When the last probe was sent, in microseconds.
    pub probed_at: AtomicU64,
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
    pub fn record_report(&self, report: LoadReport, now: Timestamp) {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.in_flight_at_report.store(in_flight, Ordering::Relaxed);
        self.reported_load.store(report.running + report.waiting, Ordering::Relaxed);
        self.reported_pace.store(report.pace_percent, Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.load_at.store(now.0, Ordering::Relaxed);
    }

    /// Gives the requests that the target is taken to hold: those placed there, or
    /// more if it has just said so, as others may place requests too. A report may
    /// count the request that it answers, so one more says nothing.
    pub fn held_requests(&self, now: Timestamp) -> u32 {
        let placed = self.placed.load(Ordering::Relaxed);
        let is_new = now.since(Timestamp(self.load_at.load(Ordering::Relaxed))) <= TRUSTED_LOAD_AGE;
        let reported = self.reported_load.load(Ordering::Relaxed);
        let reported = if is_new && reported > placed + 1 { reported - 1 } else { 0 };
        placed.max(reported)
    }

    /// Gives the time of work that the target last reported, in percent of the usual, and
    /// the age of that report; 0 before the first.
    pub fn pace_report(&self, now: Timestamp) -> (u32, Duration) {
        let reported = Timestamp(self.reported_at.load(Ordering::Relaxed));
        (self.reported_pace.load(Ordering::Relaxed), now.since(reported))
    }

    /// Tells whether the target has just reported that its neighbours slow it.
    pub fn is_slowed(&self, now: Timestamp) -> bool {
        let (pace, age) = self.pace_report(now);
        pace >= SLOWED_PACE && age <= MAX_PACE_AGE
    }

    /// Tells whether the target has not answered a probe in time.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let probed = Timestamp(self.probed_at.load(Ordering::Relaxed));
        self.awaits_probe() && now.since(probed) >= PROBE_TIME
    }

    /// Tells whether the target has not reported since it was last probed.
    pub fn awaits_probe(&self) -> bool {
        self.probed_at.load(Ordering::Relaxed) > self.reported_at.load(Ordering::Relaxed)
    }

    /// Takes over the time of work that another entry was told `age` ago.
    pub fn record_pace(&self, pace_percent: u32, age: Duration, now: Timestamp) {
        let reported = (now - age).0;
        if self.reported_at.load(Ordering::Relaxed) < reported {
            self.reported_at.store(reported, Ordering::Relaxed);
            self.reported_pace.store(pace_percent, Ordering::Relaxed);
        }
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
    /// Requests of this entry that wait for a slot.
    pub waiting: AtomicU32,
    /// Probes since a target of the service last reported its load.
    pub unreported_probes: AtomicU32,
    /// Next position for round robin.
    pub cursor: AtomicU32,
    /// Recent load reports for the probe policy.
    pub probes: ProbePool,
    /// Retries and hedges of this entry.
    pub retries: RetryBudget,
    /// Recent latency up to the response head, for hedges.
    pub latency: LatencyQuantile,
    /// Whether targets slow down when they are full.
    pub slot_use: SlotUse,
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
    /// The process that is meant, if its address may pass to another one.
    pub instance: Option<TargetInstance>,
    /// Counters, shared by all snapshots.
    pub counters: Arc<TargetCounters>,
}

/// What a directory states: the services with their targets, and the routes.
#[derive(Clone, Debug, Default)]
pub struct DirectedFleet {
    /// Version of the configuration.
    pub version: u64,
    /// The services.
    pub services: Vec<ServiceIntent>,
    /// The routes, whose kinds are among those of their services.
    pub routes: Vec<RouteIntent>,
    /// Limits for callers.
    pub limits: Option<crate::routes::CallerLimits>,
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
    /// Routes by host and path; without them the first segment of a path names
    /// the service.
    pub routes: Option<Arc<RouteBook>>,
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
        self.replace(known, intent, version, now);
        self.published = now;
        true
    }

    /// Puts an intent in the place of a known service or adds a new one.
    fn replace(
        &mut self,
        known: Option<ServiceKey>,
        intent: ServiceIntent,
        version: u64,
        now: Timestamp,
    ) {
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
    }

    /// Puts all services and routes of a directory in force and removes the others.
    /// `first_draw` is where the weighted choices of split routes start.
    pub fn direct(&mut self, directed: DirectedFleet, first_draw: u32, now: Timestamp) {
        let DirectedFleet { version, services, routes, limits } = directed;
        let gone: Vec<_> = self
            .names
            .iter()
            .filter(|(name, _)| services.iter().all(|intent| intent.service != **name))
            .map(|(name, key)| (name.clone(), *key))
            .collect();
        for (name, key) in gone {
            self.names.shift_remove(&name);
            if let Some(service) = self.services.remove(key) {
                service.targets.iter().for_each(|target| drop(self.targets.remove(*target)));
            }
        }
        for intent in services {
            match self.find(&intent.service).map(|(key, service)| (key, service.intent.clone())) {
                Some((key, known)) if *known == intent => self.services[key].version = version,
                Some((key, _)) => self.replace(Some(key), intent, version, now),
                None => self.replace(None, intent, version, now),
            }
        }
        let mut book = RouteBook::new(version, limits);
        for route in routes {
            let parts = route.parts.iter().filter_map(|part| {
                let (service, entry) = self.find(&part.service)?;
                let kinds = &entry.intent.kinds;
                let kind = kinds.iter().position(|kind| kind.name == route.kind.name)?;
                Some((RouteChoice { service, kind }, part.weight))
            });
            let parts = parts.collect();
            book.add(&route.host, RouteRule::new(route.path_prefix, parts, first_draw));
        }
        self.routes = Some(Arc::new(book));
        self.published = now;
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

    /// Keeps the keys and counters of targets whose address and instance stay.
    fn merge_targets(
        &mut self,
        old_targets: Vec<TargetKey>,
        intents: &[TargetIntent],
        now: Timestamp,
    ) -> Vec<TargetKey> {
        let mut by_address: IndexMap<SocketAddr, Vec<TargetKey>> = IndexMap::new();
        for key in old_targets {
            by_address.entry(self.targets[key].address).or_default().push(key);
        }
        let mut merged = Vec::with_capacity(intents.len());
        for intent in intents {
            let known = by_address.get_mut(&intent.address).and_then(|keys| {
                let same = |key: &TargetKey| self.targets[*key].instance == intent.instance;
                let place = keys.iter().position(same)?;
                Some(keys.swap_remove(place))
            });
            merged.push(match known {
                Some(key) => {
                    update_target(&mut self.targets[key], intent, now);
                    key
                }
                None => self.targets.insert(new_target(intent, now)),
            });
        }
        for key in by_address.into_values().flatten() {
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
        instance: intent.instance.clone(),
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
