//! Snapshots of services and targets, read by read-copy-update on the request
//! path, and the table that a controller publishes them from.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use strum::{Display, EnumString};

use crate::clock::Timestamp;
pub use crate::counters::{
    LoadReport, MAX_SHED_TIME, MAX_SLOWDOWN_AGE, NO_SLOWDOWN_PERCENT, ServiceCounters,
    TargetCounters,
};
use crate::intent::{DesiredState, ServiceIntent, TargetInstance, TargetIntent};
use crate::keys::{ServiceKey, TargetKey};
use crate::policy::{EntryView, TargetTable};
use crate::routes::{RouteDestination, RouteIntent, RouteRule, RoutingTable};

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

/// A service with the intent in force.
#[derive(Clone, Debug)]
pub struct ServiceSnapshot {
    /// The intent in force.
    pub intent: Arc<ServiceIntent>,
    /// Version of that intent in the platform's store.
    pub version: u64,
    /// All targets of the service, in the order of the intent.
    pub targets: Vec<TargetKey>,
    /// Counters, shared by all snapshots.
    pub counters: Arc<ServiceCounters>,
    /// What the routing policies need, computed when the snapshot is made.
    pub table: Arc<TargetTable>,
}

/// A target with its state.
#[derive(Clone, Debug)]
pub struct TargetSnapshot {
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
pub struct DirectoryState {
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
    pub services: SlotMap<ServiceKey, ServiceSnapshot>,
    /// Keys of services by name.
    pub service_keys: IndexMap<String, ServiceKey>,
    /// Targets by key.
    pub targets: SlotMap<TargetKey, TargetSnapshot>,
    /// This entry and the other members.
    pub view: EntryView,
    /// Routes by host and path; without them the first segment of a path names
    /// the service.
    pub routes: Option<Arc<RoutingTable>>,
}

impl FleetSnapshot {
    /// Finds a service by its name.
    pub fn find(&self, name: &str) -> Option<(ServiceKey, &ServiceSnapshot)> {
        let key = *self.service_keys.get(name)?;
        Some((key, self.services.get(key)?))
    }

    /// Lists the targets of a service that may receive new requests.
    pub fn available_targets<'a>(
        &'a self,
        service: &'a ServiceSnapshot,
    ) -> impl Iterator<Item = (TargetKey, &'a TargetSnapshot)> + 'a {
        service
            .targets
            .iter()
            .filter_map(|key| Some((*key, self.targets.get(*key)?)))
            .filter(|(_, target)| target.state.takes_requests())
    }

    /// Puts an intent in force unless a version at least as high already is.
    /// Returns whether the snapshot changed.
    pub fn apply(&mut self, intent: ServiceIntent, version: u64, now: Timestamp) -> bool {
        let known = self.service_keys.get(&intent.service).copied();
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
        let service =
            ServiceSnapshot { intent: Arc::new(intent), version, targets, counters, table };
        let key = match known {
            Some(key) => {
                self.services[key] = service;
                key
            }
            None => {
                let key = self.services.insert(service);
                self.service_keys.insert(name, key);
                key
            }
        };
        self.update_table(key);
    }

    /// Puts all services and routes of a directory in force and removes the others.
    /// `first_draw` is where the weighted choices of split routes start.
    pub fn apply_directory(&mut self, directed: DirectoryState, first_draw: u32, now: Timestamp) {
        let DirectoryState { version, services, routes, limits } = directed;
        let gone: Vec<_> = self
            .service_keys
            .iter()
            .filter(|(name, _)| services.iter().all(|intent| intent.service != **name))
            .map(|(name, key)| (name.clone(), *key))
            .collect();
        for (name, key) in gone {
            self.service_keys.shift_remove(&name);
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
        let mut book = RoutingTable::new(version, limits);
        for route in routes {
            let parts = route.parts.iter().filter_map(|part| {
                let (service, entry) = self.find(&part.service)?;
                let kinds = &entry.intent.kinds;
                let kind = kinds.iter().position(|kind| kind.name == route.kind.name)?;
                Some((RouteDestination { service, kind }, part.weight))
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
        let table = Arc::new(TargetTable::new(targets, &self.view));
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

fn wished_state(wish: DesiredState) -> TargetState {
    match wish {
        DesiredState::Serving => TargetState::Serving,
        DesiredState::Joining => TargetState::Starting,
        DesiredState::Leaving => TargetState::Leaving,
    }
}

fn new_target(intent: &TargetIntent, now: Timestamp) -> TargetSnapshot {
    TargetSnapshot {
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
fn update_target(target: &mut TargetSnapshot, intent: &TargetIntent, now: Timestamp) {
    target.slots = intent.slots;
    target.data_centre = intent.data_centre.as_str().into();
    let state = wished_state(intent.state);
    let wish_overrides = state == TargetState::Leaving || target.state == TargetState::Leaving;
    if wish_overrides && target.state != state {
        target.state = state;
        target.since = now;
    }
}
