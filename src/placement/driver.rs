//! Runs the controllers of placement and passes placement requests and responses between
//! requests of this entry, the controllers and the other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    GrantKey, GrantsController, GrantsMessage, PlacementDecision, RequesterController,
    RequesterEffect, RequesterMessage, StateController,
};
use zinniaport_core::placement::{
    LoadChange, LoadMonitor, LoadSummary, PlacementId, PlacementIntake, ServedEntries,
};
use zinniaport_core::policy::hash_bytes;

use super::coordinated::CoordinatedPlacement;
use super::coordinator::Coordinator;
use super::handle::{PlacementEvent, PlacementHandle, ReceivedMessage};
use super::headroom::PartState;
use super::served::ServedRequest;
use super::tags::TagCache;
use crate::gate::AdmissionGates;
use crate::signals::{SignalDatagram, SignalSender};
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Time between ticks, at which placement requests are repeated and waiting requests are
/// admitted to slots that became free.
const TICK_PERIOD: Duration = Duration::from_millis(10);

/// Minimum time between two log lines about refused requests.
const ADMISSION_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Number of ticks between two checks for entries that went silent.
const TICKS_PER_SWEEP: u32 = 10;

/// Number of ticks between two announcements of the headroom of parts.
const TICKS_PER_ANNOUNCEMENT: u32 = 20;

/// Maximum number of messages of other entries that wait. An entry of half a core handles about
/// 10,000 per second; older ones have been repeated or have ended.
const MAX_MESSAGES: usize = 2_048;

/// Owns the controllers of sent placement requests and of grants.
pub struct PlacementDriver {
    pub(super) state: Arc<SharedState>,
    pub(super) targets: TargetsHandle,
    pub(super) gates: Arc<AdmissionGates>,
    pub(super) coordinator: Arc<Coordinator>,
    pub(super) sender: SignalSender,
    pub(super) requester: RequesterController,
    pub(super) grants: GrantsController,
    pub(super) handle: PlacementHandle,
    pub(super) events: mpsc::UnboundedReceiver<(Timestamp, PlacementEvent)>,
    pub(super) messages: mpsc::Receiver<ReceivedMessage>,
    pub(super) intake: PlacementIntake,
    pub(super) decision_senders: HashMap<PlacementId, oneshot::Sender<PlacementDecision>>,
    pub(super) served: HashMap<GrantKey, ServedRequest>,
    pub(super) served_entries: ServedEntries,
    /// Affinities of the live entries, this one included.
    pub(super) affinities: Vec<u64>,
    pub(super) parts: PartState,
    pub(super) tags: Arc<TagCache>,
    /// When the message that is being handled arrived.
    pub(super) received: Timestamp,
    pub(super) load: LoadMonitor,
    /// Targets compared until the last report of the load.
    pub(super) compared: u64,
    /// When refusals were last reported.
    admissions_reported: Timestamp,
}

impl PlacementDriver {
    /// Creates a driver that sends through the socket of the signals driver.
    pub fn new(
        state: Arc<SharedState>,
        targets: TargetsHandle,
        gates: Arc<AdmissionGates>,
        coordinator: Arc<Coordinator>,
        sender: SignalSender,
    ) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        let (message_sender, messages) = mpsc::channel(MAX_MESSAGES);
        let next_id = Arc::new(AtomicU64::new(u64::from(rand::random::<u32>()) << 32));
        let handle = PlacementHandle {
            state: state.clone(),
            events: event_sender,
            messages: message_sender,
            next_id,
        };
        Self {
            requester: RequesterController::new(sender.address()),
            state,
            targets,
            gates,
            coordinator,
            sender,
            grants: GrantsController::default(),
            handle,
            events,
            messages,
            intake: PlacementIntake::default(),
            decision_senders: HashMap::new(),
            served: HashMap::new(),
            served_entries: ServedEntries::default(),
            affinities: Vec::new(),
            parts: PartState::default(),
            tags: Arc::default(),
            received: Timestamp::default(),
            load: LoadMonitor::default(),
            compared: 0,
            admissions_reported: Timestamp::default(),
        }
    }

    /// Returns a handle that sends events to this driver.
    pub fn handle(&self) -> PlacementHandle {
        self.handle.clone()
    }

    /// Returns the placement that sends its requests through this driver.
    pub fn placement(&self) -> CoordinatedPlacement {
        let (state, coordinator) = (self.state.clone(), self.coordinator.clone());
        let affinity = affinity_of(self.sender.address());
        CoordinatedPlacement::new(
            state,
            coordinator,
            self.handle.clone(),
            self.tags.clone(),
            affinity,
        )
    }

    /// Handles events until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked = 0_u32;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some((sent, event)) = self.events.recv() => {
                    self.record_event(sent);
                    self.handle_event(event);
                }
                Some(message) = self.messages.recv() => self.receive_all(message),
                // Lets other tasks run between decisions.
                () = yield_now(), if !self.intake.is_empty() => {}
                _ = ticks.tick() => {
                    ticked = ticked.wrapping_add(1);
                    self.tick(ticked.is_multiple_of(TICKS_PER_SWEEP));
                    if ticked.is_multiple_of(TICKS_PER_ANNOUNCEMENT) {
                        self.announce_headroom();
                    }
                }
            }
            self.decide_next();
        }
    }

    fn tick(&mut self, is_sweep: bool) {
        self.gates.refresh();
        if self.requester.has_open_requests() {
            self.step_requester(RequesterMessage::Tick);
        }
        if is_sweep {
            self.report_load();
            self.report_admissions();
            self.step_grants(GrantsMessage::Tick);
            self.refresh_locations();
            self.update_limit_shares();
        }
    }

    /// Records the age of an event that was sent at `sent`.
    pub(super) fn record_event(&mut self, sent: Timestamp) {
        let now = self.state.clock.now();
        let waiting = self.events.len() + self.messages.len() + self.intake.len();
        let age = now.since(sent);
        self.load.record_event(age, waiting, now);
        self.state.metrics.placement.record_event(age, waiting);
    }

    /// Logs that this entry has fallen behind, once per second while it is, and that it has
    /// caught up.
    fn report_load(&mut self) {
        let compared = self.state.metrics.placement.compared();
        self.load.summary_mut().compared += compared - self.compared;
        self.compared = compared;
        let repeats = self.grants.take_repeats();
        self.state.metrics.placement.repeats.increment(repeats.into());
        self.load.summary_mut().repeats += repeats;
        match self.load.tick(self.state.clock.now()) {
            Some(LoadChange::Behind(summary)) => {
                log_load(log::Level::Warn, "placement events wait too long", &summary);
            }
            Some(LoadChange::CaughtUp(summary)) => {
                log_load(log::Level::Info, "placement events are handled at once again", &summary);
            }
            None => {}
        }
    }

    /// Logs refusals and delays, at most once per second, and sets the metrics of waiting tenants.
    fn report_admissions(&mut self) {
        let waiting = self.gates.waiting_tenants();
        self.state.metrics.admission.set_waiting(waiting);
        let now = self.state.clock.now();
        if now.since(self.admissions_reported) < ADMISSION_REPORT_PERIOD {
            return;
        }
        self.admissions_reported = now;
        let (refused, delayed) = self.state.metrics.admission.take_unreported();
        if refused > 0 {
            log::warn!(
                refused, delayed, waiting_tenants = waiting.count, largest_tenant = waiting.largest;
                "more requests arrive than the targets can serve in time"
            );
        }
    }

    fn handle_event(&mut self, event: PlacementEvent) {
        match event {
            PlacementEvent::Requested(id, request, sender) => {
                self.decision_senders.insert(id, sender);
                self.step_requester(RequesterMessage::Requested(id, request));
            }
            PlacementEvent::Ended(ended) => {
                self.decision_senders.remove(&ended.id);
                self.step_requester(RequesterMessage::Ended(ended));
            }
            PlacementEvent::Candidates(candidates) => {
                let addresses = candidates.iter().map(|candidate| candidate.address);
                self.parts.live = addresses.collect();
                self.affinities = self.parts.live.iter().copied().map(affinity_of).collect();
                self.step_requester(RequesterMessage::Candidates(candidates));
            }
            PlacementEvent::Locations(entries) => self.set_locations(entries),
            PlacementEvent::Headroom(message) => self.receive_headroom(message),
            PlacementEvent::Decided(key, decision) => self.handle_decision(key, decision),
        }
    }

    pub(super) fn step_requester(&mut self, message: RequesterMessage) {
        for effect in self.requester.handle(message, self.state.clock.now()) {
            match effect {
                RequesterEffect::Send(to, message) => {
                    self.sender.send(&SignalDatagram::Placement(message), &[to]);
                }
                RequesterEffect::Resolve(id, decision) => {
                    if let Some(sender) = self.decision_senders.remove(&id) {
                        // If the request is gone, dropping its lease has ended the placement.
                        let _ = sender.send(decision);
                    }
                }
                RequesterEffect::Suspected(address) => {
                    log::warn!(coordinator:% = address; "coordinator does not respond; sending placement requests to the next one");
                }
            }
        }
    }
}

fn log_load(level: log::Level, message: &str, summary: &LoadSummary) {
    let LoadSummary { events, max_waiting, decisions, repeats, wasted, turned_away, .. } = *summary;
    log::log!(
        level,
        events, max_waiting, max_age_us = summary.max_age.as_micros() as u64,
        decisions, repeats, wasted, turned_away, compared = summary.compared;
        "{message}"
    );
}

/// Returns the hash of an entry by which its requests prefer the same few targets.
pub(super) fn affinity_of(entry: SocketAddr) -> u64 {
    hash_bytes(entry.to_string().as_bytes())
}
