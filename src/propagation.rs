//! Keeps the intents in force in step with the store and with other entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ConfigMessage, EntryLocation, IntentsController, IntentsEffect, IntentsMessage,
    StateController, StoreBatch, StoreEra, TargetsMessage, VersionedIntent,
};
use zinniaport_core::plan::{INTENT_PREFIX, StoredIntent, VersionFloor};

use crate::state::SharedState;
use crate::store::{StoreClient, WatchBatch};
use crate::targets::TargetsHandle;

/// Time between two checks of readiness and freshness.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Events that may wait for the driver; beyond that, senders wait.
const MAX_WAITING_EVENTS: usize = 256;

/// Sends changed intents to peers.
pub trait IntentAnnouncer: Send + Sync {
    /// Announces a changed intent without waiting.
    fn announce(&self, intent: &VersionedIntent);
}

/// Readiness and freshness of the intents in force, for other parts of the entry.
#[derive(Debug, Default)]
pub struct PropagationStatus {
    ready: AtomicBool,
    confirmed_at: AtomicU64,
}

impl PropagationStatus {
    /// Returns `true` if the intents in force allow serving callers.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns the latest time at which the intents in force were known to be the
    /// newest; 0 for never.
    pub fn confirmed_at(&self) -> Timestamp {
        Timestamp(self.confirmed_at.load(Ordering::Acquire))
    }
}

/// An event for the task that owns the controller of the intents.
enum PropagationEvent {
    Message(IntentsMessage),
    VersionFloor(String, oneshot::Sender<VersionFloor>),
    OpenExchange(oneshot::Sender<ConfigMessage>),
    Respond(ConfigMessage, oneshot::Sender<ConfigMessage>),
    ContinueExchange(PeerReply, oneshot::Sender<Option<ConfigMessage>>),
}

/// A peer's reply to one message of an exchange.
pub struct PeerReply {
    /// Name of the peer.
    pub peer: String,
    /// When the message was sent.
    pub sent: Timestamp,
    /// The message that was sent.
    pub request: ConfigMessage,
    /// The peer's reply.
    pub reply: ConfigMessage,
}

/// Handle to the task that owns the controller of the intents.
#[derive(Clone)]
pub struct PropagationHandle {
    events: mpsc::Sender<PropagationEvent>,
    status: Arc<PropagationStatus>,
}

impl PropagationHandle {
    /// Returns the readiness and freshness of the intents.
    pub fn status(&self) -> &Arc<PropagationStatus> {
        &self.status
    }

    /// Sends a message to the controller.
    pub async fn send(&self, message: IntentsMessage) {
        let _ = self.events.send(PropagationEvent::Message(message)).await;
    }

    /// Returns the versions that this entry knows, or `None` once it stops. Confirming a
    /// plan that changes `service` compares them with the store, to notice a store that
    /// was restored to an older state.
    pub async fn version_floor(&self, service: &str) -> Option<VersionFloor> {
        self.query(|reply| PropagationEvent::VersionFloor(service.to_owned(), reply)).await
    }

    /// Opens an exchange with a peer. Returns `None` once the entry stops.
    pub async fn open_exchange(&self) -> Option<ConfigMessage> {
        self.query(PropagationEvent::OpenExchange).await
    }

    /// Applies a peer's message and returns the reply, or `None` once the entry stops.
    pub async fn respond(&self, request: ConfigMessage) -> Option<ConfigMessage> {
        self.query(|reply| PropagationEvent::Respond(request, reply)).await
    }

    /// Applies a peer's reply and returns the next message of the exchange, if any.
    pub async fn continue_exchange(&self, reply: PeerReply) -> Option<ConfigMessage> {
        self.query(|next| PropagationEvent::ContinueExchange(reply, next)).await.flatten()
    }

    async fn query<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> PropagationEvent,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.events.send(event(sender)).await.ok()?;
        receiver.await.ok()
    }
}

/// Dependencies of [`follow_store`].
pub struct PropagationParts {
    /// Client of the store.
    pub store: StoreClient,
    /// Longest time that the store keeps a watch open.
    pub watch_timeout: Duration,
    /// Shared state of the entry.
    pub state: Arc<SharedState>,
    /// Receives the intents in force.
    pub targets: TargetsHandle,
    /// This entry.
    pub location: EntryLocation,
    /// Sends changed intents to peers.
    pub announcer: Arc<dyn IntentAnnouncer>,
}

/// Runs the controller of the intents and makes the store calls that it requests.
struct PropagationDriver {
    parts: PropagationParts,
    controller: IntentsController,
    status: Arc<PropagationStatus>,
    calls: FuturesUnordered<BoxFuture<'static, IntentsMessage>>,
}

/// Starts a task that follows the intents in the store until `stop` is cancelled.
pub fn follow_store(parts: PropagationParts, stop: CancellationToken) -> PropagationHandle {
    let (sender, events) = mpsc::channel(MAX_WAITING_EVENTS);
    let status = Arc::<PropagationStatus>::default();
    let handle = PropagationHandle { events: sender, status: status.clone() };
    let started = parts.state.clock.now();
    let controller = IntentsController::following(parts.location.clone(), started, rand::random());
    let driver = PropagationDriver { parts, controller, status, calls: FuturesUnordered::new() };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = driver.run(events) => {}
        }
    });
    handle
}

impl PropagationDriver {
    async fn run(mut self, mut events: mpsc::Receiver<PropagationEvent>) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                Some(message) = self.calls.next() => self.handle(message),
                _ = tick.tick() => self.handle(IntentsMessage::Tick),
            }
        }
    }

    fn handle_event(&mut self, event: PropagationEvent) {
        match event {
            PropagationEvent::Message(message) => self.handle(message),
            PropagationEvent::VersionFloor(service, reply) => {
                let _ = reply.send(self.controller.version_floor(&service));
            }
            PropagationEvent::OpenExchange(reply) => {
                let _ = reply.send(self.controller.open_exchange(self.now()));
            }
            PropagationEvent::Respond(mut message, reply) => {
                for VersionedIntent { intent, version } in std::mem::take(&mut message.intents) {
                    let intent = Arc::unwrap_or_clone(intent);
                    self.handle(IntentsMessage::Accepted { intent, version });
                }
                let _ = reply.send(self.controller.respond(&message, self.now()));
            }
            PropagationEvent::ContinueExchange(PeerReply { peer, sent, request, reply }, next) => {
                self.handle(IntentsMessage::PeerReplied { peer, sent, reply: reply.clone() });
                let _ = next.send(self.controller.continue_exchange(&request, &reply, self.now()));
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.parts.state.clock.now()
    }

    fn handle(&mut self, message: IntentsMessage) {
        for effect in self.controller.handle(message, self.now()) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: IntentsEffect) {
        let (store, state) = (self.parts.store.clone(), self.parts.state.clone());
        match effect {
            IntentsEffect::Publish(fleet) => {
                self.parts.targets.send(TargetsMessage::Intents(fleet));
            }
            IntentsEffect::Announce(intent) => self.parts.announcer.announce(&intent),
            IntentsEffect::Confirmed(time) => {
                self.status.confirmed_at.store(time.0, Ordering::Release);
            }
            IntentsEffect::Ready(ready) => {
                self.status.ready.store(ready, Ordering::Release);
                log::info!(ready = ready; "readiness of the intents changed");
            }
            IntentsEffect::List { delay } => self.calls.push(Box::pin(async move {
                tokio::time::sleep(delay).await;
                let sent = state.clock.now();
                match store.list_in_era(INTENT_PREFIX).await {
                    Ok((era, batch)) => IntentsMessage::Listed(decode_batch(&batch, era, sent)),
                    Err(error) => {
                        log::warn!("cannot list intents: {error}");
                        IntentsMessage::StoreFailed
                    }
                }
            })),
            IntentsEffect::Watch { version, delay } => {
                let watch_timeout = self.parts.watch_timeout;
                self.calls.push(Box::pin(async move {
                    tokio::time::sleep(delay).await;
                    let sent = state.clock.now();
                    match store.watch_in_era(INTENT_PREFIX, version, watch_timeout).await {
                        Ok((era, batch)) => {
                            IntentsMessage::Watched(decode_batch(&batch, era, sent))
                        }
                        Err(error) => {
                            log::warn!("cannot watch intents after version {version}: {error}");
                            IntentsMessage::StoreFailed
                        }
                    }
                }));
            }
        }
    }
}

/// Decodes intents. One that cannot be decoded is skipped and marks the batch as not
/// fully decoded.
fn decode_batch(batch: &WatchBatch, era: StoreEra, sent: Timestamp) -> StoreBatch {
    let mut decoded = StoreBatch {
        sent,
        version: batch.version,
        era,
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
                    "cannot decode {} at version {}: {error}; \
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
