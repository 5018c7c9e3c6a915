//! Targets: the state of each as this entry sees it, with its reason.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use slotmap::SecondaryMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::fleet::{FleetSnapshot, TargetState};
use crate::intent::DesiredState;
use crate::keys::{ServiceKey, TargetKey};
use crate::outlier::{
    EjectionHistory, decay_failures, is_outlier, max_ejected, median_latency, reset,
};
use crate::policy::{EntryView, RAMP_TIME};

/// What the targets controller is told.
#[derive(Clone, Debug)]
pub enum TargetsMessage {
    /// The settings controller published intents.
    Intents(Arc<FleetSnapshot>),
    /// The member list or this entry's place changed.
    View(EntryView),
    /// A target announced its own drain in a response.
    DrainStarted(TargetKey),
    /// A target that drained takes requests again, as its health address says.
    DrainEnded(TargetKey),
    /// The platform's list of leaving VMs, as a whole; port 0 stands for every
    /// target of the VM.
    LeavingVms(Vec<SocketAddr>),
    /// A request to this target failed.
    Failed(TargetKey),
    /// Time has passed; due every 100 ms.
    Tick,
}

/// What the targets controller asks for.
#[derive(Clone, Debug)]
pub enum TargetsEffect {
    /// Publish this snapshot to the request path.
    Publish(Arc<FleetSnapshot>),
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetRecord {
    wish: DesiredState,
    vm_leaves: bool,
    drained: bool,
    ejections: EjectionHistory,
    ramp_start: Option<Timestamp>,
}

impl TargetRecord {
    /// Tells whether the target would take requests if it were not ejected.
    fn is_eligible(&self) -> bool {
        self.wish != DesiredState::Leaving && !self.vm_leaves && !self.drained
    }

    fn state(&self) -> TargetState {
        if self.wish == DesiredState::Leaving || self.vm_leaves {
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

    /// Takes a new wish. An operator who lets a target join or serve again knows
    /// that its drain is over.
    fn set_wish(&mut self, wish: DesiredState, now: Timestamp) {
        if wish != self.wish && wish != DesiredState::Leaving {
            let was_leaving = self.wish == DesiredState::Leaving;
            self.drained = false;
            if wish == DesiredState::Joining || was_leaving {
                self.ramp_start = Some(now);
            }
        }
        self.wish = wish;
    }

    fn set_vm_leaves(&mut self, leaves: bool, now: Timestamp) {
        if self.vm_leaves && !leaves {
            self.ramp_start = Some(now);
        }
        self.vm_leaves = leaves;
    }

    fn release(&mut self, now: Timestamp) {
        self.ejections.release();
        self.ramp_start = Some(now);
    }
}

/// Owns the state of every target and publishes its changes.
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
                self.take_intents(&fleet, now);
                changed = true;
            }
            TargetsMessage::View(view) => {
                // New tables must be published: the request path reads only those.
                changed = self.fleet.view != view;
                if changed {
                    self.fleet.set_view(view);
                }
            }
            TargetsMessage::DrainStarted(target) => self.set_drained(target, true, now),
            TargetsMessage::DrainEnded(target) => self.set_drained(target, false, now),
            TargetsMessage::LeavingVms(addresses) => {
                self.leaving_vms = addresses;
                self.mark_leaving_vms(now);
            }
            TargetsMessage::Failed(target) => self.judge(target, now),
            TargetsMessage::Tick => self.tick(now),
        }
        changed |= self.publish_states(now);
        if !changed {
            return Vec::new();
        }
        self.fleet.published = now;
        vec![TargetsEffect::Publish(Arc::new(self.fleet.clone()))]
    }
}

impl TargetsController {
    /// Takes over intents; a target keeps what this entry observed of it.
    fn take_intents(&mut self, intents: &FleetSnapshot, now: Timestamp) {
        let view = std::mem::take(&mut self.fleet.view);
        let old = std::mem::replace(&mut self.fleet, intents.clone());
        self.fleet.view = view;
        self.services.clear();
        for (service, entry) in &self.fleet.services {
            for (target, intent) in entry.targets.iter().zip(&entry.intent.targets) {
                self.services.insert(*target, service);
                if !self.records.contains_key(*target) {
                    self.records.insert(*target, TargetRecord::default());
                }
                self.records[*target].set_wish(intent.state, now);
            }
        }
        let fleet = &self.fleet;
        self.records.retain(|target, _| fleet.targets.contains_key(target));
        self.mark_leaving_vms(now);
        self.keep_unchanged(&old);
    }

    /// Keeps states and tables of services whose intent is the same.
    fn keep_unchanged(&mut self, old: &FleetSnapshot) {
        for (key, target) in &mut self.fleet.targets {
            if let Some(old) = old.targets.get(key) {
                (target.state, target.since) = (old.state, old.since);
            }
        }
        let keys: Vec<_> = self.fleet.services.keys().collect();
        for key in keys {
            match old.services.get(key) {
                Some(old) if Arc::ptr_eq(&old.intent, &self.fleet.services[key].intent) => {
                    self.fleet.services[key].table = old.table.clone();
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
            let leaves = ports
                .get(&target.address.ip())
                .is_some_and(|ports| ports.iter().any(|listed| *listed == 0 || *listed == port));
            if let Some(record) = self.records.get_mut(key) {
                record.set_vm_leaves(leaves, now);
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

    fn judge(&mut self, target: TargetKey, now: Timestamp) {
        let Some(service) = self.services.get(target).copied() else { return };
        let failing = self.fleet.targets.get(target);
        if failing.is_some_and(|entry| is_outlier(&entry.counters, None)) {
            self.eject(service, target, now);
        }
    }

    /// Ejects a target if the floor of its service allows it.
    fn eject(&mut self, service: ServiceKey, target: TargetKey, now: Timestamp) {
        let record = self.records[target];
        let has_room = self.ejected(service).count() < self.max_ejected(service);
        if has_room && record.is_eligible() && record.ejections.ejected_until().is_none() {
            self.records[target].ejections.eject(now);
            reset(&self.fleet.targets[target].counters);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        for (key, record) in &mut self.records {
            if record.ejections.is_over(now) {
                record.release(now);
            }
            if record.ramp_start.is_some_and(|start| now.since(start) >= RAMP_TIME) {
                record.ramp_start = None;
            }
            if let Some(target) = self.fleet.targets.get(key) {
                decay_failures(&target.counters);
            }
        }
        self.fleet.services.values().for_each(|service| service.table.update_median());
        let outliers: Vec<_> =
            self.fleet.services.keys().flat_map(|key| self.outliers(key)).collect();
        for (service, target) in outliers {
            self.eject(service, target, now);
        }
    }

    fn outliers(&self, service: ServiceKey) -> Vec<(ServiceKey, TargetKey)> {
        let targets = &self.fleet.services[service].targets;
        let counters = |key: &TargetKey| &*self.fleet.targets[*key].counters;
        let median = median_latency(targets.iter().map(counters));
        let outliers = targets.iter().filter(|key| is_outlier(counters(key), median));
        outliers.map(|key| (service, *key)).collect()
    }

    fn ejected(&self, service: ServiceKey) -> impl Iterator<Item = TargetKey> + '_ {
        let targets = self.fleet.services[service].targets.iter().copied();
        targets.filter(|key| self.records[*key].state() == TargetState::Ejected)
    }

    fn max_ejected(&self, service: ServiceKey) -> usize {
        let entry = &self.fleet.services[service];
        let eligible = entry.targets.iter().filter(|key| self.records[**key].is_eligible()).count();
        max_ejected(eligible, entry.intent.max_ejected_percent)
    }

    /// Ends ejections that the floor no longer allows because others left, the
    /// one that would have ended first before the rest.
    fn keep_floor(&mut self, service: ServiceKey, now: Timestamp) {
        while self.ejected(service).count() > self.max_ejected(service) {
            let first = self
                .ejected(service)
                .min_by_key(|key| self.records[*key].ejections.ejected_until());
            let Some(first) = first else { return };
            self.records[first].release(now);
        }
    }

    /// Writes changed states to the snapshot; returns whether there were any.
    fn publish_states(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        let services: Vec<_> = self.fleet.services.keys().collect();
        for service in services {
            self.keep_floor(service, now);
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
