//! Snapshots of services and targets. A controller updates and publishes them, and the
//! request path reads them by read-copy-update.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use strum::{Display, EnumString};

use crate::clock::Timestamp;
pub use crate::counters::{
    LoadReport, MAX_PAUSE, MAX_SHED_TIME, MAX_SLOWDOWN_AGE, NO_SLOWDOWN_PERCENT, ServiceCounters,
    TargetCounters,
};
use crate::intent::{DesiredState, ServiceIntent, TargetInstance, TargetIntent};
use crate::keys::{ServiceKey, TargetKey, TenantKey};
use crate::kinds::KindTable;
use crate::policy::{EntryView, TargetTable};
use crate::routes::{RouteDestination, RouteIntent, RouteRule, RoutingTable};
use crate::tenants::{TenantIntent, TenantSnapshot, TenantTable};

/// State of a target as this entry sees it.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetState {
    /// Cold; takes a growing share of requests.
    Starting,
    /// Takes its full share of requests.
    Serving,
    /// Takes no new requests because it announced that it drains.
    Draining,
    /// Takes no new requests because its intent or the platform's list says that it leaves.
    Leaving,
    /// Temporarily removed because of failures or high latency.
    Ejected,
}

impl TargetState {
    /// Returns `true` if the target may receive new requests.
    pub fn takes_requests(self) -> bool {
        matches!(self, Self::Starting | Self::Serving)
    }
}

/// A service with its current intent and targets.
#[derive(Clone, Debug)]
pub struct ServiceSnapshot {
    /// Current intent.
    pub intent: Arc<ServiceIntent>,
    /// Kinds of the intent.
    pub kinds: Arc<KindTable>,
    /// Version of the intent, or of the directory's configuration if the intent comes from
    /// there.
    pub version: u64,
    /// All targets of the service, in the order of the intent.
    pub targets: Vec<TargetKey>,
    /// Counters, shared by all snapshots.
    pub counters: Arc<ServiceCounters>,
    /// Available targets for the routing policies, computed when the snapshot is made.
    pub table: Arc<TargetTable>,
    /// Parts of the service with their own counters, targets and tables, if it is placed by
    /// coordinators and has too many targets for one, or is divided by data centre.
    pub parts: Arc<[Self]>,
    /// Data centre of each part; empty unless the service is divided by data centre.
    pub part_data_centres: Arc<[Arc<str>]>,
}

impl ServiceSnapshot {
    /// Returns a part of the service, or the whole service if there is no such part.
    pub fn part(&self, part: Option<u16>) -> &Self {
        part.and_then(|part| self.parts.get(usize::from(part))).unwrap_or(self)
    }

    /// Recomputes the median latencies of the targets.
    pub fn update_medians(&self) {
        self.table.update_median();
        self.parts.iter().for_each(|part| part.table.update_median());
    }
}

/// A target with its state.
#[derive(Clone, Debug)]
pub struct TargetSnapshot {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data centre that the target is in.
    pub data_centre: Arc<str>,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// State as this entry sees it.
    pub state: TargetState,
    /// When that state began.
    pub since: Timestamp,
    /// Process that requests are meant for, if another one may get its address.
    pub instance: Option<TargetInstance>,
    /// Counters, shared by all snapshots.
    pub counters: Arc<TargetCounters>,
}

/// Services with their targets, and routes, as a directory states them.
#[derive(Clone, Debug, Default)]
pub struct DirectoryState {
    /// Version of the configuration.
    pub version: u64,
    /// Services with their targets.
    pub services: Vec<ServiceIntent>,
    /// Routes; each service of a route has a kind with the name of the route's kind.
    pub routes: Vec<RouteIntent>,
    /// Limits on callers.
    pub limits: Option<crate::routes::CallerLimits>,
    /// Tenants; `None` if requests need no API key.
    pub tenants: Option<Arc<[TenantIntent]>>,
    /// Items of the configuration that this version does not use.
    pub unused_items: Vec<String>,
}

/// Services and targets at one point in time.
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
    /// This entry and the other live entries.
    pub view: EntryView,
    /// Routes by host and path; `None` if the first segment of the path is the name of the
    /// service.
    pub routes: Option<Arc<RoutingTable>>,
    /// Tenants; `None` if requests need no API key.
    pub tenants: Option<Arc<TenantTable>>,
    /// Whether services that coordinators place are divided by data centre.
    pub is_divided_by_data_centre: bool,
}

impl FleetSnapshot {
    /// Returns the service with this name and its key.
    pub fn find(&self, name: &str) -> Option<(ServiceKey, &ServiceSnapshot)> {
        let key = *self.service_keys.get(name)?;
        Some((key, self.services.get(key)?))
    }

    /// Returns a tenant.
    pub fn tenant(&self, key: TenantKey) -> Option<&TenantSnapshot> {
        self.tenants.as_ref()?.get(key)
    }

    /// Returns the targets of a service that may receive new requests.
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

    /// Applies an intent unless the current version is at least as high. Returns `true` if
    /// the snapshot changed.
    pub fn apply(&mut self, intent: ServiceIntent, version: u64, now: Timestamp) -> bool {
        let existing = self.service_keys.get(&intent.service).copied();
        if let Some(service) = existing.and_then(|key| self.services.get(key))
            && service.version >= version
        {
            return false;
        }
        self.replace(existing, intent, version, now);
        self.published = now;
        true
    }

    /// Replaces the intent of a known service or adds a new service.
    fn replace(
        &mut self,
        existing: Option<ServiceKey>,
        intent: ServiceIntent,
        version: u64,
        now: Timestamp,
    ) {
        let old_targets = existing
            .and_then(|key| self.services.get_mut(key))
            .map(|service| std::mem::take(&mut service.targets))
            .unwrap_or_default();
        let targets = self.merge_targets(old_targets, &intent.targets, now);
        let name = intent.service.clone();
        let before = existing.map(|key| &self.services[key]);
        let kinds = before.map(|service| service.kinds.clone()).unwrap_or_default();
        let kinds = Arc::new(kinds.next(&intent.kinds));
        let counters = before.map(|service| service.counters.clone()).unwrap_or_default();
        let parts = before.map(|service| service.parts.clone()).unwrap_or_default();
        let part_data_centres = before.map(|service| service.part_data_centres.clone());
        let service = ServiceSnapshot {
            intent: Arc::new(intent),
            kinds,
            version,
            targets,
            counters,
            table: Arc::default(),
            parts,
            part_data_centres: part_data_centres.unwrap_or_default(),
        };
        let key = match existing {
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

    /// Applies all services and routes of a directory and removes the other services.
    /// `initial_cursor` is the start of the weighted choices of split routes.
    pub fn apply_directory(
        &mut self,
        directory: DirectoryState,
        initial_cursor: u32,
        now: Timestamp,
    ) {
        let DirectoryState { version, services, routes, limits, tenants, unused_items } = directory;
        let removed: Vec<_> = self
            .service_keys
            .iter()
            .filter(|(name, _)| services.iter().all(|intent| intent.service != **name))
            .map(|(name, key)| (name.clone(), *key))
            .collect();
        for (name, key) in removed {
            self.service_keys.shift_remove(&name);
            if let Some(service) = self.services.remove(key) {
                service.targets.iter().for_each(|target| drop(self.targets.remove(*target)));
            }
        }
        for intent in services {
            match self.find(&intent.service).map(|(key, service)| (key, service.intent.clone())) {
                Some((key, existing)) if *existing == intent => {
                    self.services[key].version = version;
                }
                Some((key, _)) => self.replace(Some(key), intent, version, now),
                None => self.replace(None, intent, version, now),
            }
        }
        let mut routing_table = RoutingTable::new(version, limits);
        routing_table.unused_items = unused_items;
        for route in routes {
            let parts = route.parts.iter().filter_map(|part| {
                let (service, snapshot) = self.find(&part.service)?;
                let kind = snapshot.kinds.key_of(&route.kind.name)?;
                Some((RouteDestination { service, kind }, part.weight))
            });
            let parts = parts.collect();
            let rule = RouteRule::new(route.path_prefix, parts, initial_cursor);
            routing_table.add(&route.host, rule.with_public(route.is_public));
        }
        // Publishing a change of targets does not build the table of API keys again.
        if self.routes.as_ref().is_none_or(|routes| routes.version != version) {
            let known = self.tenants.take().unwrap_or_default();
            self.tenants = tenants.map(|intents| Arc::new(known.next(&intents)));
        }
        self.routes = Some(Arc::new(routing_table));
        self.published = now;
    }

    /// Sets the view of this entry and the other live entries.
    pub fn set_view(&mut self, view: EntryView) {
        self.view = view;
        self.update_tables();
    }

    /// Sets whether services that coordinators place are divided by data centre.
    pub fn divide_by_data_centre(&mut self, is_divided: bool) {
        self.is_divided_by_data_centre = is_divided;
        self.update_tables();
    }

    fn update_tables(&mut self) {
        let keys: Vec<_> = self.services.keys().collect();
        keys.into_iter().for_each(|key| self.update_table(key));
    }

    /// Recomputes the target table of a service after its targets changed.
    pub fn update_table(&mut self, key: ServiceKey) {
        let Some(service) = self.services.get(key) else { return };
        let targets = service.targets.iter().map(|key| (*key, &self.targets[*key]));
        let table = Arc::new(TargetTable::new(targets, &self.view));
        let service = &mut self.services[key];
        service.table = table;
        service.divide(&self.targets, self.is_divided_by_data_centre);
    }

    /// Applies the targets of an intent. Targets whose address and instance are unchanged
    /// keep their keys and counters.
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
            let existing = by_address.get_mut(&intent.address).and_then(|keys| {
                let same = |key: &TargetKey| self.targets[*key].instance == intent.instance;
                let position = keys.iter().position(same)?;
                Some(keys.swap_remove(position))
            });
            merged.push(match existing {
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

/// Returns the initial state of a target with this desired state.
fn to_target_state(desired: DesiredState) -> TargetState {
    match desired {
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
        state: to_target_state(intent.state),
        since: now,
        instance: intent.instance.clone(),
        counters: Arc::default(),
    }
}

/// Applies the intent of a known target. The desired state replaces the current one only if
/// either is [`TargetState::Leaving`]; otherwise states that this entry observed, such as a
/// drain or an ejection, are kept.
fn update_target(target: &mut TargetSnapshot, intent: &TargetIntent, now: Timestamp) {
    target.slots = intent.slots;
    target.data_centre = intent.data_centre.as_str().into();
    let state = to_target_state(intent.state);
    let involves_leaving = state == TargetState::Leaving || target.state == TargetState::Leaving;
    if involves_leaving && target.state != state {
        target.state = state;
        target.since = now;
    }
}
