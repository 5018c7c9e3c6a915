//! Carries questions and answers of placement between requests, controllers and the
//! other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::controllers::{
    GrantKey, GrantsController, GrantsEffect, GrantsMessage, PlacementDecision,
    RequesterController, RequesterEffect, RequesterMessage, StateController, TargetsMessage,
};
use zinniaport_core::keys::{CallerKey, TargetKey};
use zinniaport_core::placement::{
    AttemptEnd, CoordinatorCandidate, EndedPlacement, PlacementId, PlacementMessage,
    PlacementRequest, PlacementResponse, TargetGrant,
};
use zinniaport_core::policy::hash_bytes;
use zinniaport_core::signals::TargetTag;

use super::coordinated::{CoordinatedPlacement, RemoteLease};
use super::coordinator::{Coordinator, PlacedCall, PlacementCall, TargetReservation};
use super::tags::TagCache;
use crate::gate::{AdmissionGates, GateRefusal};
use crate::signals::{SignalDatagram, SignalSender};
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Time between ticks, in which questions are repeated and room is looked for again.
const TICK_PERIOD: Duration = Duration::from_millis(10);

/// Ticks between two looks for entries that went silent.
const TICKS_PER_SWEEP: u32 = 10;

/// Longest time for which a target that refused a request although it had slots left is
/// passed over. A group of targets that refuse half of all would else have no room.
const RANDOM_SHEDDING: Duration = Duration::from_millis(5);

/// What the driver is told.
enum PlacementNews {
    Asked(PlacementId, PlacementRequest, oneshot::Sender<PlacementDecision>),
    Ended(EndedPlacement),
    Received(SocketAddr, PlacementMessage),
    Members(Vec<CoordinatorCandidate>),
    Decided(GrantKey, Result<PlacedCall, GateRefusal>),
}

/// Gives the driver work.
#[derive(Clone)]
pub struct PlacementHandle {
    state: Arc<SharedState>,
    news: mpsc::UnboundedSender<PlacementNews>,
    next_id: Arc<AtomicU64>,
}

impl PlacementHandle {
    /// Asks a coordinator.
    pub(super) fn request(
        &self,
        ask: PlacementRequest,
    ) -> (RemoteLease, oneshot::Receiver<PlacementDecision>) {
        let id = PlacementId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, verdict) = oneshot::channel();
        self.tell(PlacementNews::Asked(id, ask, sender));
        let (handle, state) = (self.clone(), self.state.clone());
        let open = RemoteLease { id, handle, state, counters: None, end: AttemptEnd::Unknown };
        (open, verdict)
    }

    pub(super) fn end(&self, ended: EndedPlacement) {
        self.tell(PlacementNews::Ended(ended));
    }

    /// Takes a message of another entry.
    pub fn receive(&self, from: SocketAddr, message: PlacementMessage) {
        self.tell(PlacementNews::Received(from, message));
    }

    /// Replaces the entries that may coordinate, this one included.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        self.tell(PlacementNews::Members(members));
    }

    /// The driver lives as long as the process; during its end nobody needs an answer.
    fn tell(&self, news: PlacementNews) {
        let _ = self.news.send(news);
    }
}

/// A question of another entry that this one decides on or has granted.
enum ServedAsk {
    Deciding { _task: AbortOnDropHandle<()> },
    Granted { target: TargetKey, reservation: TargetReservation },
}

/// Owns the controllers of questions and grants.
pub struct PlacementDriver {
    state: Arc<SharedState>,
    targets: TargetsHandle,
    gates: Arc<AdmissionGates>,
    coordinator: Arc<Coordinator>,
    sender: SignalSender,
    asks: RequesterController,
    grants: GrantsController,
    handle: PlacementHandle,
    news: mpsc::UnboundedReceiver<PlacementNews>,
    verdicts: HashMap<PlacementId, oneshot::Sender<PlacementDecision>>,
    served: HashMap<GrantKey, ServedAsk>,
    tags: Arc<TagCache>,
}

impl PlacementDriver {
    /// Creates a driver that sends through the socket of the signals.
    pub fn new(
        state: Arc<SharedState>,
        targets: TargetsHandle,
        gates: Arc<AdmissionGates>,
        coordinator: Arc<Coordinator>,
        sender: SignalSender,
    ) -> Self {
        let (news_sender, news) = mpsc::unbounded_channel();
        let next_id = Arc::new(AtomicU64::new(u64::from(rand::random::<u32>()) << 32));
        let handle = PlacementHandle { state: state.clone(), news: news_sender, next_id };
        Self {
            asks: RequesterController::new(sender.address()),
            state,
            targets,
            gates,
            coordinator,
            sender,
            grants: GrantsController::default(),
            handle,
            news,
            verdicts: HashMap::new(),
            served: HashMap::new(),
            tags: Arc::default(),
        }
    }

    /// Gives the way to the driver.
    pub fn handle(&self) -> PlacementHandle {
        self.handle.clone()
    }

    /// Gives the placement of requests that asks through this driver.
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

    /// Works until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked = 0_u32;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(news) = self.news.recv() => self.take(news),
                _ = ticks.tick() => {
                    ticked = ticked.wrapping_add(1);
                    self.tick(ticked.is_multiple_of(TICKS_PER_SWEEP));
                }
            }
        }
    }

    fn tick(&mut self, sweeps: bool) {
        self.gates.refresh();
        if self.asks.has_open_requests() {
            self.step_asks(RequesterMessage::Tick);
        }
        if sweeps {
            self.step_grants(GrantsMessage::Tick);
        }
    }

    fn take(&mut self, news: PlacementNews) {
        match news {
            PlacementNews::Asked(id, ask, sender) => {
                self.verdicts.insert(id, sender);
                self.step_asks(RequesterMessage::Requested(id, ask));
            }
            PlacementNews::Ended(ended) => {
                self.verdicts.remove(&ended.id);
                self.step_asks(RequesterMessage::Ended(ended));
            }
            PlacementNews::Members(members) => {
                self.step_asks(RequesterMessage::Candidates(members));
            }
            PlacementNews::Received(from, mut message) => {
                let answers = std::mem::take(&mut message.responses);
                if !answers.is_empty() {
                    self.step_asks(RequesterMessage::Received(from, answers));
                }
                if message != PlacementMessage::default() {
                    self.step_grants(GrantsMessage::Received(from, message));
                }
            }
            PlacementNews::Decided(key, decision) => self.decide(key, decision),
        }
    }

    fn step_asks(&mut self, message: RequesterMessage) {
        for effect in self.asks.handle(message, self.state.clock.now()) {
            match effect {
                RequesterEffect::Send(to, message) => {
                    self.sender.send(&SignalDatagram::Placement(message), &[to]);
                }
                RequesterEffect::Resolve(id, verdict) => {
                    if let Some(sender) = self.verdicts.remove(&id) {
                        // A request that is gone ends its question when it is dropped.
                        let _ = sender.send(verdict);
                    }
                }
                RequesterEffect::Suspected(address) => {
                    log::warn!(coordinator:% = address; "a coordinator does not answer; asking the next one");
                }
            }
        }
    }

    fn step_grants(&mut self, message: GrantsMessage) {
        for effect in self.grants.handle(message, self.state.clock.now()) {
            match effect {
                GrantsEffect::Place(key, ask) => self.serve(key, ask),
                GrantsEffect::Release(key) => drop(self.served.remove(&key)),
                GrantsEffect::Ended(key, ended) => self.learn(key, ended),
                GrantsEffect::Send(to, message) => {
                    self.sender.send(&SignalDatagram::Placement(message), &[to]);
                }
            }
        }
    }

    /// Starts to decide on a question of another entry.
    fn serve(&mut self, key: GrantKey, ask: PlacementRequest) {
        self.coordinator.record_remote_request();
        let fleet = self.state.fleet.load_full();
        let table = self.tags.table_for(&fleet);
        let Some(service) = table.service(ask.service) else {
            return self
                .step_grants(GrantsMessage::Decided(key, PlacementResponse::UnknownService));
        };
        let now = self.state.clock.now();
        let facts = CallFacts {
            service,
            caller: CallerKey::default(),
            rank: ask.rank,
            arrived: now,
            deadline: now + Duration::from_millis(ask.deadline_ms.into()),
            soft_deadline: Some(now + Duration::from_millis(ask.soft_deadline_ms.into())),
            ..CallFacts::default()
        };
        let call = PlacementCall {
            service,
            facts,
            attempt: ask.attempt,
            excluded: ask.excluded.iter().filter_map(|tag| table.target(*tag)).collect(),
            data_centre: ask.data_centre,
            affinity: affinity_of(key.peer),
            remote_cost: f32::from(ask.remote_cost_percent) / 100.0,
        };
        let (coordinator, handle) = (self.coordinator.clone(), self.handle.clone());
        let task = tokio::spawn(async move {
            let decision = coordinator.place(&call).await;
            handle.tell(PlacementNews::Decided(key, decision));
        });
        let task = AbortOnDropHandle::new(task);
        self.served.insert(key, ServedAsk::Deciding { _task: task });
    }

    fn decide(&mut self, key: GrantKey, decision: Result<PlacedCall, GateRefusal>) {
        if !self.served.contains_key(&key) {
            // The question ended meanwhile; dropping the decision gives the place back.
            return;
        }
        let answer = match decision {
            Ok(placed) => {
                let fleet = self.state.fleet.load_full();
                match self.tags.table_for(&fleet).tag_of(placed.choice.target) {
                    Some(tag) => {
                        let granted = granted_target(tag, &placed);
                        let target = placed.choice.target;
                        let reservation = placed.reservation;
                        let served = ServedAsk::Granted { target, reservation };
                        self.served.insert(key, served);
                        PlacementResponse::Granted(granted)
                    }
                    None => PlacementResponse::UnknownService,
                }
            }
            Err(GateRefusal { reason, retry_after }) => {
                let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                PlacementResponse::Refused { reason, retry_after_ms }
            }
        };
        if !matches!(answer, PlacementResponse::Granted(_)) {
            self.served.remove(&key);
        }
        self.step_grants(GrantsMessage::Decided(key, answer));
    }

    /// Takes over what another entry learnt of the target that it used.
    fn learn(&self, key: GrantKey, ended: EndedPlacement) {
        let Some(ServedAsk::Granted { target, reservation }) = self.served.get(&key) else {
            return;
        };
        reservation.record_end(ended.end);
        let fleet = self.state.fleet.load();
        let Some(entry) = fleet.targets.get(*target) else { return };
        let (counters, now) = (&entry.counters, self.state.clock.now());
        if ended.slowdown_percent > 0 {
            let age = Duration::from_millis(ended.slowdown_age_ms.into());
            counters.record_slowdown(ended.slowdown_percent.into(), age, now);
        }
        match ended.end {
            AttemptEnd::Unknown => {}
            AttemptEnd::Answered(latency_us) => {
                counters.record_success(Duration::from_micros(latency_us.into()));
            }
            AttemptEnd::Failed => {
                counters.record_failure();
                self.targets.try_send(TargetsMessage::Failed(*target));
            }
            AttemptEnd::Shed(period_ms) => {
                // One that refuses although it has slots left does so at random.
                let full = counters.estimated_requests(now) >= entry.slots;
                let period = Duration::from_millis(period_ms.into());
                let period = if full { period } else { period.min(RANDOM_SHEDDING) };
                counters.record_shedding(period, now);
            }
            AttemptEnd::WrongInstance => {
                self.targets.try_send(TargetsMessage::DrainStarted(*target));
            }
        }
    }
}

/// Gives the draw of an entry, by which it keeps to few targets.
fn affinity_of(entry: SocketAddr) -> u64 {
    hash_bytes(entry.to_string().as_bytes())
}

fn granted_target(target: TargetTag, placed: &PlacedCall) -> TargetGrant {
    let trace = placed.trace;
    TargetGrant {
        target,
        admission_reason: trace.map_or(ReasonCode::Retried, |trace| trace.rule),
        target_reason: placed.choice.reason,
        admission_number: trace.map_or(0, |trace| trace.admission_number),
        queue_length: trace.map_or(0, |trace| trace.queue_length),
        overtaken: trace.map_or(0, |trace| trace.overtaken),
        candidates: placed.choice.candidates,
    }
}
