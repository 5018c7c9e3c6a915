//! Follows the store: carries out what the settings controller asks for.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ConfigMessage, EntryLocation, SettingsController, SettingsEffect, SettingsMessage,
    StateController, StoreBatch, TargetsMessage, VersionedIntent,
};
use zinniaport_core::plan::{INTENT_PREFIX, StoredIntent, VersionFloor};

use crate::state::SharedState;
use crate::store::{StoreClient, WatchBatch};
use crate::targets::TargetsHandle;

/// Time between checks of readiness and freshness.
const TICK: Duration = Duration::from_millis(500);

/// Messages that may wait for the controller; senders wait beyond it.
const MAX_WAITING_MESSAGES: usize = 256;

/// Passes changed intents to peers.
pub trait IntentAnnouncer: Send + Sync {
    /// Announces a changed intent without waiting.
    fn announce(&self, intent: &VersionedIntent);
}

/// What other parts of the entry may read at any time.
#[derive(Debug, Default)]
pub struct PropagationStatus {
    ready: AtomicBool,
    confirmed: AtomicU64,
}

impl PropagationStatus {
    /// Tells whether the intents in force allow serving callers.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Gives the time as of which no newer intent existed, 0 for never.
    pub fn confirmed(&self) -> Timestamp {
        Timestamp(self.confirmed.load(Ordering::Acquire))
    }
}

/// A request to the task that owns the settings controller.
enum PropagationRequest {
    Tell(SettingsMessage),
    Floor(String, oneshot::Sender<VersionFloor>),
    Open(oneshot::Sender<ConfigMessage>),
    Answer(ConfigMessage, oneshot::Sender<ConfigMessage>),
    Continue(PeerReply, oneshot::Sender<Option<ConfigMessage>>),
}

/// A peer's answer to one message.
pub struct PeerReply {
    /// Name of the peer.
    pub peer: String,
    /// When the message was sent.
    pub sent: Timestamp,
    /// The message.
    pub request: ConfigMessage,
    /// The answer.
    pub reply: ConfigMessage,
}

/// Reaches the task that owns the settings controller.
#[derive(Clone)]
pub struct PropagationHandle {
    requests: mpsc::Sender<PropagationRequest>,
    status: Arc<PropagationStatus>,
}

impl PropagationHandle {
    /// Gives readiness and freshness.
    pub fn status(&self) -> &Arc<PropagationStatus> {
        &self.status
    }

    /// Tells the controller something.
    pub async fn tell(&self, message: SettingsMessage) {
        let _ = self.requests.send(PropagationRequest::Tell(message)).await;
    }

    /// Gives the versions held, for a plan that changes `service`; none once the
    /// entry stops.
    pub async fn version_floor(&self, service: &str) -> Option<VersionFloor> {
        self.ask(|reply| PropagationRequest::Floor(service.to_owned(), reply)).await
    }

    /// Opens an exchange with a peer; none once the entry stops.
    pub async fn open_exchange(&self) -> Option<ConfigMessage> {
        self.ask(PropagationRequest::Open).await
    }

    /// Applies a peer's message and answers it; none once the entry stops.
    pub async fn answer(&self, request: ConfigMessage) -> Option<ConfigMessage> {
        self.ask(|reply| PropagationRequest::Answer(request, reply)).await
    }

    /// Applies a peer's answer and gives the next message of the exchange, if any.
    pub async fn continue_exchange(&self, reply: PeerReply) -> Option<ConfigMessage> {
        self.ask(|next| PropagationRequest::Continue(reply, next)).await.flatten()
    }

    async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> PropagationRequest,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.requests.send(request(sender)).await.ok()?;
        receiver.await.ok()
    }
}

/// What the driver needs.
pub struct PropagationParts {
    /// Calls to the store.
    pub store: StoreClient,
    /// Longest time that the store holds a watch.
    pub watch_timeout: Duration,
    /// State of the entry.
    pub state: Arc<SharedState>,
    /// Takes the intents in force.
    pub targets: TargetsHandle,
    /// This entry.
    pub place: EntryLocation,
    /// Passes changes to peers.
    pub announcer: Arc<dyn IntentAnnouncer>,
}

/// Owns the settings controller and its store calls.
struct PropagationDriver {
    parts: PropagationParts,
    controller: SettingsController,
    status: Arc<PropagationStatus>,
    calls: FuturesUnordered<BoxFuture<'static, SettingsMessage>>,
}

/// Starts to follow the store until `stop` is cancelled.
pub fn follow_store(parts: PropagationParts, stop: CancellationToken) -> PropagationHandle {
    let (sender, requests) = mpsc::channel(MAX_WAITING_MESSAGES);
    let status = Arc::<PropagationStatus>::default();
    let handle = PropagationHandle { requests: sender, status: status.clone() };
    let started = parts.state.clock.now();
    let controller = SettingsController::following(parts.place.clone(), started, rand::random());
    let driver = PropagationDriver { parts, controller, status, calls: FuturesUnordered::new() };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = driver.run(requests) => {}
        }
    });
    handle
}

impl PropagationDriver {
    async fn run(mut self, mut requests: mpsc::Receiver<PropagationRequest>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.serve(request),
                    None => return,
                },
                Some(message) = self.calls.next() => self.step(message),
                _ = tick.tick() => self.step(SettingsMessage::Tick),
            }
        }
    }

    fn serve(&mut self, request: PropagationRequest) {
        match request {
            PropagationRequest::Tell(message) => self.step(message),
            PropagationRequest::Floor(service, reply) => {
                let _ = reply.send(self.controller.version_floor(&service));
            }
            PropagationRequest::Open(reply) => {
                let _ = reply.send(self.controller.open_exchange(self.now()));
            }
            PropagationRequest::Answer(mut message, reply) => {
                for VersionedIntent { intent, version } in std::mem::take(&mut message.intents) {
                    let intent = Arc::unwrap_or_clone(intent);
                    self.step(SettingsMessage::Accepted { intent, version });
                }
                let _ = reply.send(self.controller.respond(&message, self.now()));
            }
            PropagationRequest::Continue(PeerReply { peer, sent, request, reply }, next) => {
                self.step(SettingsMessage::PeerReplied { peer, sent, reply: reply.clone() });
                let _ = next.send(self.controller.continue_exchange(&request, &reply, self.now()));
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.parts.state.clock.now()
    }

    fn step(&mut self, message: SettingsMessage) {
        for effect in self.controller.handle(message, self.now()) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: SettingsEffect) {
        let (store, state) = (self.parts.store.clone(), self.parts.state.clone());
        match effect {
            SettingsEffect::Publish(fleet) => {
                self.parts.targets.send(TargetsMessage::Intents(fleet));
            }
            SettingsEffect::Announce(intent) => self.parts.announcer.announce(&intent),
            SettingsEffect::Confirmed(time) => {
                self.status.confirmed.store(time.0, Ordering::Release);
            }
            SettingsEffect::Ready(ready) => {
                self.status.ready.store(ready, Ordering::Release);
                log::info!(ready = ready; "readiness by intents changed");
            }
            SettingsEffect::List { delay } => self.calls.push(Box::pin(async move {
                tokio::time::sleep(delay).await;
                let sent = state.clock.now();
                match store.list(INTENT_PREFIX).await {
                    Ok(batch) => SettingsMessage::Listed(read_batch(&batch, sent)),
                    Err(error) => {
                        log::warn!("cannot list intents: {error}");
                        SettingsMessage::StoreFailed
                    }
                }
            })),
            SettingsEffect::Watch { version, delay } => {
                let hold = self.parts.watch_timeout;
                self.calls.push(Box::pin(async move {
                    tokio::time::sleep(delay).await;
                    let sent = state.clock.now();
                    match store.watch(INTENT_PREFIX, version, hold).await {
                        Ok(batch) => SettingsMessage::Watched(read_batch(&batch, sent)),
                        Err(error) => {
                            log::warn!("cannot watch intents after version {version}: {error}");
                            SettingsMessage::StoreFailed
                        }
                    }
                }));
            }
        }
    }
}

/// Decodes intents; those that cannot be read leave the batch incomplete.
fn read_batch(batch: &WatchBatch, sent: Timestamp) -> StoreBatch {
    let mut decoded = StoreBatch {
        sent,
        version: batch.version,
        offset: 0,
        intents: Vec::new(),
        fully_decoded: true,
    };
    for object in &batch.changes {
        let Some(text) = &object.content else { continue };
        match serde_json::from_str::<StoredIntent>(text) {
            Ok(stored) => {
                let version = stored.version_in_force(object.version);
                decoded.offset = decoded.offset.max(stored.version_offset);
                decoded.intents.push(VersionedIntent { intent: Arc::new(stored.intent), version });
            }
            Err(error) => {
                log::error!(
                    "cannot read {} at version {}: {error}; \
                     check whether an entry of another version wrote it",
                    object.name,
                    object.version
                );
                decoded.fully_decoded = false;
            }
        }
    }
    decoded
}
