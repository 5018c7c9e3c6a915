//! Claims of idempotency keys: runs the claims controller, its timers and its store calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use zinniaport_core::claims::{ClaimState, IdempotencyKey};
use zinniaport_core::controllers::{
    ClaimResult, ClaimsController, ClaimsEffect, ClaimsMessage, SegmentName, StateController,
};

use crate::state::SharedState;
use crate::store::StoreClient;

/// Time for which the claim of a key is kept.
pub const KEY_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Maximum time that a stop waits for the last results to be stored. Results are collected for
/// 50 ms and take one or two store calls.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two looks at the era that the responses to all calls of the entry name. Claims
/// that the store lost in a restore are written again after it, even if no key is claimed.
const ERA_PERIOD: Duration = Duration::from_secs(1);

/// Claim of an idempotency key by one request.
#[derive(Clone, Debug)]
pub struct KeyClaim {
    /// Service that the request is for.
    pub service: String,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
    /// Random number that identifies the claim.
    pub nonce: u64,
}

/// Claims idempotency keys, so that the request with a key runs at most once.
pub trait KeyClaims: Send + Sync {
    /// Claims a key. If the returned future is dropped early, the claim must be settled.
    fn claim(&self, claim: KeyClaim) -> BoxFuture<'static, ClaimResult>;

    /// Records the state of a claimed request, without waiting until it is stored.
    fn settle(&self, claim: KeyClaim, state: ClaimState);

    /// Returns the cause that is reported to callers while claims are unavailable.
    fn outage_cause(&self) -> &'static str;

    /// Waits for a limited time until all recorded states have been stored.
    fn flush(&self) -> BoxFuture<'_, ()>;
}

/// Claims of an entry without a platform. No key can be claimed, because other entries could run
/// a request with the same key.
#[derive(Debug)]
pub struct NoKeyClaims;

impl KeyClaims for NoKeyClaims {
    fn claim(&self, _claim: KeyClaim) -> BoxFuture<'static, ClaimResult> {
        Box::pin(std::future::ready(ClaimResult::Unavailable))
    }

    fn settle(&self, _claim: KeyClaim, _state: ClaimState) {}

    fn outage_cause(&self) -> &'static str {
        "the entry has no platform that stores claims; set platform.address"
    }

    fn flush(&self) -> BoxFuture<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

/// A request to the task that owns the claims controller.
enum ClaimsRequest {
    Claim(KeyClaim, oneshot::Sender<ClaimResult>),
    Settle(KeyClaim, ClaimState),
    Flush(oneshot::Sender<()>),
}

/// Claims of an entry that uses the platform's store. Each open request has at most two messages
/// in the channel, so the channel needs no limit of its own.
#[derive(Clone)]
pub struct StoreKeyClaims(mpsc::UnboundedSender<ClaimsRequest>);

impl StoreKeyClaims {
    /// Starts the task that owns the claims controller. The task ends when the last handle is
    /// dropped.
    pub fn start(store: StoreClient, state: Arc<SharedState>) -> Self {
        let (sender, requests) = mpsc::unbounded_channel();
        let incarnation = state.clock.now().0;
        let controller =
            ClaimsController::new(state.entry_name.to_string(), incarnation, KEY_WINDOW);
        let driver = ClaimsDriver {
            store,
            state,
            controller,
            waiting: HashMap::new(),
            calls: FuturesUnordered::new(),
            flush_waiters: Vec::new(),
        };
        tokio::spawn(driver.run(requests));
        Self(sender)
    }
}

impl KeyClaims for StoreKeyClaims {
    fn claim(&self, claim: KeyClaim) -> BoxFuture<'static, ClaimResult> {
        let (sender, result) = oneshot::channel();
        let _ = self.0.send(ClaimsRequest::Claim(claim, sender));
        Box::pin(async move { result.await.unwrap_or(ClaimResult::Unavailable) })
    }

    fn settle(&self, claim: KeyClaim, state: ClaimState) {
        let _ = self.0.send(ClaimsRequest::Settle(claim, state));
    }

    fn outage_cause(&self) -> &'static str {
        "the platform's store did not take the claim of the key"
    }

    fn flush(&self) -> BoxFuture<'_, ()> {
        let (sender, flushed) = oneshot::channel();
        let _ = self.0.send(ClaimsRequest::Flush(sender));
        Box::pin(async move {
            if tokio::time::timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
                log::warn!(
                    "claim results were not stored before the stop; their keys stay in state running"
                );
            }
        })
    }
}

/// Owns the claims controller, its timers and its store calls.
struct ClaimsDriver {
    store: StoreClient,
    state: Arc<SharedState>,
    controller: ClaimsController,
    /// Requests that wait for a result, by the nonce of their claim.
    waiting: HashMap<u64, oneshot::Sender<ClaimResult>>,
    calls: FuturesUnordered<BoxFuture<'static, ClaimsMessage>>,
    /// Senders to notify once no call is in progress.
    flush_waiters: Vec<oneshot::Sender<()>>,
}

impl ClaimsDriver {
    async fn run(mut self, mut requests: mpsc::UnboundedReceiver<ClaimsRequest>) {
        let mut tick = tokio::time::interval(ERA_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if self.calls.is_empty() {
                for flushed in self.flush_waiters.drain(..) {
                    let _ = flushed.send(());
                }
            }
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(message) = self.calls.next() => self.step(message),
                _ = tick.tick() => self.step(ClaimsMessage::EraSeen(self.store.era())),
            }
        }
    }

    fn handle_request(&mut self, request: ClaimsRequest) {
        match request {
            ClaimsRequest::Claim(KeyClaim { service, key, nonce }, result) => {
                self.waiting.insert(nonce, result);
                self.step(ClaimsMessage::Claim { service, key, nonce });
            }
            ClaimsRequest::Settle(KeyClaim { service, key, nonce }, state) => {
                // A claim that is settled before its result is known gets none.
                self.waiting.remove(&nonce);
                self.step(ClaimsMessage::RecordState { service, key, nonce, state });
            }
            ClaimsRequest::Flush(flushed) => self.flush_waiters.push(flushed),
        }
    }

    fn step(&mut self, message: ClaimsMessage) {
        for effect in self.controller.handle(message, self.state.clock.now()) {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: ClaimsEffect) {
        let store = self.store.clone();
        match effect {
            ClaimsEffect::Resolve(nonce, result) => {
                if let Some(waiting) = self.waiting.remove(&nonce) {
                    // If the receiver is gone, its request settles the claim.
                    let _ = waiting.send(result);
                }
            }
            ClaimsEffect::Wake(name, delay) => self.calls.push(Box::pin(async move {
                tokio::time::sleep(delay).await;
                ClaimsMessage::Wake(name)
            })),
            ClaimsEffect::Read(name, delay) => self.calls.push(Box::pin(async move {
                // A sleep of zero still takes the runtime's timer up to 1 ms.
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                let (era, reply) = store.read_in_era(&object_name(&name)).await;
                ClaimsMessage::Read(name, era, reply)
            })),
            ClaimsEffect::Write(name, content, era, base_version) => {
                self.calls.push(Box::pin(async move {
                    let object = object_name(&name);
                    let (era, reply) =
                        store.write_in_era(&object, &content, era, base_version).await;
                    ClaimsMessage::Wrote(name, era, reply)
                }));
            }
        }
    }
}

/// Returns the name of the object that stores a segment.
fn object_name(name: &SegmentName) -> String {
    format!("claims/{}/{}", name.service, name.segment)
}
