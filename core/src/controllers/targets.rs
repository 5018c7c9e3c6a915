//! Derives the state of each target, as this entry observes it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use slotmap::SecondaryMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::fleet::{FleetSnapshot, ServiceSnapshot, TargetState};
use crate::intent::{DesiredState, TargetIntent};
use crate::keys::{ServiceKey, TargetKey};
use crate::outlier::{
    EjectionHistory, comparable_latency, decay_failures, is_outlier, max_ejected, reset,
};
use crate::policy::{EntryView, RAMP_TIME};

/// Messages that the targets controller handles.
#[derive(Clone, Debug)]
pub enum TargetsMessage {
    /// The intents in force changed.
    Intents(Arc<FleetSnapshot>),
    /// The member list or this entry's position in it changed.
    View(EntryView),
    /// Services that coordinators place are divided by data centre from now on, or no longer.
    DivideByDataCentre(bool),
    /// A target announced in a response that it drains, or must not get requests until a
    /// health check succeeds.
    DrainStarted(TargetKey),
    /// A health check showed that a drained target takes requests again.
    DrainEnded(TargetKey),
    /// All VMs that the platform is about to remove. Port 0 stands for every target of the VM.
    LeavingVms(Vec<SocketAddr>),
    /// A request to this target failed.
    Failed(TargetKey),
    /// Time passed. Due every 100 ms.
    Tick,
}

/// Effects that the targets controller requests from its driver.
#[derive(Clone, Debug)]
pub enum TargetsEffect {
    /// Publish this snapshot to the request path.
    Publish(Arc<FleetSnapshot>),
}

/// Observed state of one target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetRecord {
    desired: DesiredState,
    vm_leaving: bool,
    drained: bool,
    ejections: EjectionHistory,
    ramp_start: Option<Timestamp>,
}

impl TargetRecord {
    /// Returns `true` if the target would take requests if it were not ejected.
    fn is_eligible(&self) -> bool {
        self.desired != DesiredState::Leaving && !self.vm_leaving && !self.drained
    }

    fn state(&self) -> TargetState {
        if self.desired == DesiredState::Leaving || self.vm_leaving {
            TargetState::Leaving
        } else if self.drained {
            TargetState::Draining
        } else if self.ejections.ejected_until().is_some() {
            TargetState::Ejected
        } else if self.ramp_start.is_some() {
            TargetState::Starting
        } else {
            TargetState::Serving
        }
    }

    /// Applies the state in the intent of a target. An operator who lets an address join or
    /// serve again knows that its drain has ended. An intent that names a process may be older
    /// than the announcement of this process that it leaves, which is final.
    fn apply_intent(&mut self, intent: &TargetIntent, now: Timestamp) {
        let desired = intent.state;
        if desired != self.desired && desired != DesiredState::Leaving {
            let was_leaving = self.desired == DesiredState::Leaving;
            self.drained &= intent.instance.is_some();
            if desired == DesiredState::Joining || was_leaving {
                self.ramp_start = Some(now);
            }
        }
        self.desired = desired;
    }

    fn set_vm_leaving(&mut self, leaving: bool, now: Timestamp) {
        if self.vm_leaving && !leaving {
            self.ramp_start = Some(now);
        }
        self.vm_leaving = leaving;
    }

    fn release(&mut self, now: Timestamp) {
        self.ejections.release();
        self.ramp_start = Some(now);
    }
}

/// Owns the state of every target and publishes changes of it.
#[derive(Debug, Default)]
pub struct TargetsController {
    fleet: FleetSnapshot,
    records: SecondaryMap<TargetKey, TargetRecord>,
    services: SecondaryMap<TargetKey, ServiceKey>,
    leaving_vms: Vec<SocketAddr>,
}

impl StateController for TargetsController {
    type Message = TargetsMessage;
    type Effect = TargetsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        let mut changed = false;
        match message {
            TargetsMessage::Intents(fleet) => {
                self.apply_intents(&fleet, now);
                changed = true;
            }
            TargetsMessage::View(view) => {
                // Changed tables must be published, because the request path reads only
                // published ones.
                changed = self.fleet.view != view;
                if changed {
                    self.fleet.set_view(view);
                }
            }
            TargetsMessage::DivideByDataCentre(is_divided) => {
                changed = self.fleet.is_divided_by_data_centre != is_divided;
                if changed {
                    self.fleet.divide_by_data_centre(is_divided);
                }
            }
            TargetsMessage::DrainStarted(target) => self.set_drained(target, true, now),
            TargetsMessage::DrainEnded(target) => self.set_drained(target, false, now),
            TargetsMessage::LeavingVms(addresses) => {
                self.leaving_vms = addresses;
                self.mark_leaving_vms(now);
            }
            TargetsMessage::Failed(target) => self.handle_failure(target, now),
            TargetsMessage::Tick => self.tick(now),
        }
        changed |= self.update_states(now);
        if !changed {
            return Vec::new();
        }
        self.fleet.published = now;
        vec![TargetsEffect::Publish(Arc::new(self.fleet.clone()))]
    }
}

impl TargetsController {
    /// Applies intents. A target keeps the state that this entry observed.
    fn apply_intents(&mut self, intents: &FleetSnapshot, now: Timestamp) {
        let view = std::mem::take(&mut self.fleet.view);
        let old = std::mem::replace(&mut self.fleet, intents.clone());
        self.fleet.view = view;
        self.fleet.is_divided_by_data_centre = old.is_divided_by_data_centre;
        self.services.clear();
        for (service, snapshot) in &self.fleet.services {
            for (target, intent) in snapshot.targets.iter().zip(&snapshot.intent.targets) {
                self.services.insert(*target, service);
                if !self.records.contains_key(*target) {
                    self.records.insert(*target, TargetRecord::default());
                }
                self.records[*target].apply_intent(intent, now);
            }
        }
        let fleet = &self.fleet;
        self.records.retain(|target, _| fleet.targets.contains_key(target));
        self.mark_leaving_vms(now);
        self.keep_observed(&old);
    }

    /// Keeps the target states, and the tables of the services whose intent is unchanged.
    fn keep_observed(&mut self, old: &FleetSnapshot) {
        for (key, target) in &mut self.fleet.targets {
            if let Some(old) = old.targets.get(key) {
                (target.state, target.since) = (old.state, old.since);
            }
        }
        let keys: Vec<_> = self.fleet.services.keys().collect();
        for key in keys {
            let old = old.services.get(key);
            let service = &mut self.fleet.services[key];
            if let Some(old) = old {
                service.parts = old.parts.clone();
                service.part_data_centres = old.part_data_centres.clone();
            }
            match old {
                Some(old) if Arc::ptr_eq(&old.intent, &service.intent) => {
                    service.table = old.table.clone();
                }
                _ => self.fleet.update_table(key),
            }
        }
    }

    fn mark_leaving_vms(&mut self, now: Timestamp) {
        let mut ports: HashMap<_, Vec<u16>> = HashMap::new();
        for address in &self.leaving_vms {
            ports.entry(address.ip()).or_default().push(address.port());
        }
        for (key, target) in &self.fleet.targets {
            let port = target.address.port();
            let leaving = ports
                .get(&target.address.ip())
                .is_some_and(|ports| ports.iter().any(|listed| *listed == 0 || *listed == port));
            if let Some(record) = self.records.get_mut(key) {
                record.set_vm_leaving(leaving, now);
            }
        }
    }

    fn set_drained(&mut self, target: TargetKey, drained: bool, now: Timestamp) {
        let Some(record) = self.records.get_mut(target) else { return };
        if record.drained && !drained {
            record.ramp_start = Some(now);
        }
        record.drained = drained;
    }

    fn handle_failure(&mut self, target: TargetKey, now: Timestamp) {
        let Some(service) = self.services.get(target).copied() else { return };
        let snapshot = self.fleet.targets.get(target);
        if snapshot.is_some_and(|snapshot| is_outlier(&snapshot.counters, None)) {
            self.eject(service, target, now);
        }
    }

    /// Ejects a target if the ejection limit of its service, or of its part, allows it. An entry
    /// that coordinates one part observes that part alone.
    fn eject(&mut self, service: ServiceKey, target: TargetKey, now: Timestamp) {
        let record = self.records[target];
        let group = self.fleet.services[service].group_of(&self.fleet.targets[target]);
        let below_limit = self.ejected(group).count() < self.max_ejected(group);
        if below_limit && record.is_eligible() && record.ejections.ejected_until().is_none() {
            self.records[target].ejections.eject(now);
            reset(&self.fleet.targets[target].counters);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for (key, record) in &mut self.records {
            if record.ejections.has_ended(now) {
                record.release(now);
            }
            if record.ramp_start.is_some_and(|start| now.since(start) >= RAMP_TIME) {
                record.ramp_start = None;
            }
            if let Some(target) = self.fleet.targets.get(key) {
                decay_failures(&target.counters);
            }
        }
        self.fleet.services.values().for_each(ServiceSnapshot::update_medians);
        let outliers: Vec<_> =
            self.fleet.services.keys().flat_map(|key| self.outliers(key)).collect();
        for (service, target) in outliers {
            self.eject(service, target, now);
        }
    }

    fn outliers(&self, service: ServiceKey) -> Vec<(ServiceKey, TargetKey)> {
        let mut outliers = Vec::new();
        for group in self.fleet.services[service].groups() {
            let counters = |key: &TargetKey| &*self.fleet.targets[*key].counters;
            let median = comparable_latency(group.targets.iter().map(counters));
            let slow = group.targets.iter().filter(|key| is_outlier(counters(key), median));
            outliers.extend(slow.map(|key| (service, *key)));
        }
        outliers
    }

    fn ejected<'a>(&'a self, group: &'a ServiceSnapshot) -> impl Iterator<Item = TargetKey> + 'a {
        let targets = group.targets.iter().copied();
        targets.filter(|key| self.records[*key].state() == TargetState::Ejected)
    }

    fn max_ejected(&self, group: &ServiceSnapshot) -> usize {
        let eligible = group.targets.iter().filter(|key| self.records[**key].is_eligible()).count();
        max_ejected(eligible, group.intent.max_ejected_percent)
    }

    /// Ends ejections that exceed the limit because other targets left, starting with the
    /// one that would end first.
    fn enforce_ejection_limit(&mut self, service: ServiceKey, now: Timestamp) {
        let mut released = Vec::new();
        for group in self.fleet.services[service].groups() {
            let mut ejected: Vec<_> = self.ejected(group).collect();
            ejected.sort_by_key(|key| self.records[*key].ejections.ejected_until());
            let surplus = ejected.len().saturating_sub(self.max_ejected(group));
            released.extend(ejected.into_iter().take(surplus));
        }
        for target in released {
            self.records[target].release(now);
        }
    }

    /// Writes changed states to the snapshot. Returns `true` if there were any.
    fn update_states(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        let services: Vec<_> = self.fleet.services.keys().collect();
        for service in services {
            self.enforce_ejection_limit(service, now);
            let mut service_changed = false;
            for key in &self.fleet.services[service].targets {
                let record = self.records[*key];
                let state = record.state();
                let target = &mut self.fleet.targets[*key];
                let ramp_start = record.ramp_start.filter(|_| state == TargetState::Starting);
                let since =
                    ramp_start.unwrap_or(if target.state == state { target.since } else { now });
                if (target.state, target.since) != (state, since) {
                    (target.state, target.since) = (state, since);
                    service_changed = true;
                }
            }
            if service_changed {
                self.fleet.update_table(service);
            }
            changed |= service_changed;
        }
        changed
    }
}
