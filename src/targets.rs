//! Runs the targets controller and publishes its snapshots.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    StateController, TargetsController, TargetsEffect, TargetsMessage,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetSnapshot, TargetState};
use zinniaport_core::keys::TargetKey;
use zinniaport_core::request_limit::{LimitChange, LimitStatement};
use zinniaport_core::warm_up::WarmUpChange;

use crate::state::SharedState;

/// Capacity of the queue of messages that may be lost. A lost failure or drain announcement is
/// repeated by the next response or tick.
const MAX_MESSAGES: usize = 4096;

/// Time between ticks.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Owns the targets controller and publishes the fleet snapshots that it creates.
pub struct TargetsDriver {
    state: Arc<SharedState>,
    controller: TargetsController,
    messages: mpsc::Receiver<TargetsMessage>,
    changes: mpsc::UnboundedReceiver<TargetsMessage>,
}

/// Sends messages of the request path and of other controllers to the targets controller.
#[derive(Clone)]
pub struct TargetsHandle {
    messages: mpsc::Sender<TargetsMessage>,
    changes: mpsc::UnboundedSender<TargetsMessage>,
}

impl TargetsHandle {
    /// Sends a message, which is dropped if the queue of the controller is full.
    pub fn try_send(&self, message: TargetsMessage) {
        let _ = self.messages.try_send(message);
    }

    /// Sends a change of intents, members or VMs, which must not be lost. Such changes are rare,
    /// so their queue is unbounded.
    pub fn send(&self, message: TargetsMessage) {
        let _ = self.changes.send(message);
    }
}

/// Records what a target stated at `at` about its limit on requests per second.
pub fn record_limit(target: &TargetSnapshot, statement: LimitStatement, at: Timestamp) {
    let Some(change) = target.counters.limit.record(statement, at) else { return };
    let target_id = target.instance.as_ref().map_or("", |instance| &instance.id);
    match change {
        LimitChange::Started(limit) => {
            log::info!(target_id = target_id, target:% = target.address, per_second:% = limit; "target states a request limit");
        }
        LimitChange::Ended => {
            log::info!(target_id = target_id, target:% = target.address; "target no longer states a request limit");
        }
    }
}

/// Records the cold time that is left according to the response to a health check, which was
/// sent at `asked`.
pub fn record_warm_up(target: &TargetSnapshot, left: Duration, asked: Timestamp, now: Timestamp) {
    let Some(change) = target.counters.limit.warm_up.record(left, asked, now) else { return };
    let target_id = target.instance.as_ref().map_or("", |instance| &instance.id);
    match change {
        WarmUpChange::Started(left) => {
            let left_ms = left.as_millis() as u64;
            log::info!(target_id = target_id, target:% = target.address, left_ms; "target states that it is cold");
        }
        WarmUpChange::Ended => {
            log::info!(target_id = target_id, target:% = target.address; "target states that it is no longer cold");
        }
    }
}

/// Logs how many targets of each service have been ejected and have returned.
fn log_ejections(old: &FleetSnapshot, new: &FleetSnapshot) {
    let is_ejected = |fleet: &FleetSnapshot, key: &TargetKey| {
        fleet.targets.get(*key).is_some_and(|target| target.state == TargetState::Ejected)
    };
    for (key, service) in &new.services {
        if old.services.get(key).is_some_and(|old| Arc::ptr_eq(&old.table, &service.table)) {
            continue;
        }
        let targets = service.targets.iter();
        let changed = targets.filter(|key| is_ejected(old, key) != is_ejected(new, key));
        let (ejected, returned): (Vec<&TargetKey>, Vec<_>) =
            changed.partition(|key| is_ejected(new, key));
        if let Some(first) = ejected.first().or(returned.first()) {
            let median_us = service.table.median_latency_us.load(Ordering::Relaxed);
            let first = new.targets[**first].address;
            log::info!(
                service = service.intent.service, ejected = ejected.len(), returned = returned.len(),
                available = service.table.available.len(), first:% = first, median_us;
                "ejected targets changed"
            );
        }
    }
}

/// Gives each entry an equal part of the limits of cold targets where no coordinator places
/// requests, or none is known yet. `entry_count` entries may be running. The entries order the
/// members differently, so their turns differ by chance.
fn set_equal_shares(fleet: &FleetSnapshot, entry_count: usize) {
    let view = &fleet.view;
    if view.is_coordinated {
        return;
    }
    let count = view.entry_count().max(entry_count);
    let position = view.members.iter().filter(|member| **member < view.name).count();
    for target in fleet.targets.values() {
        target.counters.limit.set_share(1.0 / count as f64);
        target.counters.limit.warm_up.set_position(position, count);
    }
}

impl TargetsDriver {
    /// Creates a driver and its handle.
    pub fn new(state: Arc<SharedState>) -> (Self, TargetsHandle) {
        let (sender, messages) = mpsc::channel(MAX_MESSAGES);
        let (change_sender, changes) = mpsc::unbounded_channel();
        let driver = Self { state, controller: TargetsController::default(), messages, changes };
        (driver, TargetsHandle { messages: sender, changes: change_sender })
    }

    /// Passes a message to the controller and publishes the resulting snapshot.
    pub fn deliver(&mut self, message: TargetsMessage) {
        for effect in self.controller.handle(message, self.state.clock.now()) {
            let TargetsEffect::Publish(fleet) = effect;
            log_ejections(&self.state.fleet.load(), &fleet);
            set_equal_shares(&fleet, self.state.entry_count());
            self.state.fleet.store(fleet);
            self.state.fleet_changed.notify_waiters();
        }
    }

    /// Updates the number of cold targets and logs how many have become warm.
    fn report_cold_targets(&self) {
        let (fleet, now) = (self.state.fleet.load(), self.state.clock.now());
        let limits = fleet.targets.values().map(|target| &target.counters.limit.warm_up);
        let cold = limits.clone().filter(|limit| limit.is_cold(now)).count();
        self.state.metrics.placement.cold_targets.set(cold as f64);
        let warm = limits.filter(|limit| limit.take_end(now)).count();
        if warm > 0 {
            log::info!(targets = warm, cold = cold; "targets are warm");
        }
    }

    /// Handles messages and ticks until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => {
                    self.deliver(TargetsMessage::Tick);
                    self.report_cold_targets();
                }
                Some(message) = self.changes.recv() => self.deliver(message),
                message = self.messages.recv() => match message {
                    Some(message) => self.deliver(message),
                    None => return,
                },
            }
        }
    }
}
