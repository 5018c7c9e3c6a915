//! Claims idempotency keys: carries out what the claims controller asks for.

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

/// Time for which a key is kept.
pub const KEY_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Longest time for which a stop waits until the last results are stored. They
/// are gathered for 50 ms and take one or two store calls.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// A key that a request wants to run under.
#[derive(Clone, Debug)]
pub struct KeyClaim {
    /// The service.
    pub service: String,
    /// The key.
    pub key: IdempotencyKey,
    /// Random number by which the claim is recognised.
    pub nonce: u64,
}

/// Claims keys, so that the work behind each runs at most once.
pub trait KeyClaims: Send + Sync {
    /// Claims a key. Whoever stops waiting must settle the claim.
    fn claim(&self, claim: KeyClaim) -> BoxFuture<'static, ClaimResult>;

    /// Notes what became of a claim, without waiting.
    fn settle(&self, claim: KeyClaim, state: ClaimState);

    /// Says why claims are unavailable when they are.
    fn outage_cause(&self) -> &'static str;

    /// Waits until what is known has been stored, for a bounded time.
    fn flush(&self) -> BoxFuture<'_, ()>;
}

/// Claims of an entry without a platform: nothing can be claimed, because other
/// entries could run the same key.
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
    Finish(oneshot::Sender<()>),
}

/// Claims of an entry that uses the platform's store. Each open request has at
/// most two messages in the channel, so the channel needs no bound of its own.
#[derive(Clone)]
pub struct StoreKeyClaims(mpsc::UnboundedSender<ClaimsRequest>);

impl StoreKeyClaims {
    /// Starts the task that owns the claims controller; it ends with the last
    /// handle.
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
            stopping: Vec::new(),
        };
        tokio::spawn(driver.run(requests));
        Self(sender)
    }
}

impl KeyClaims for StoreKeyClaims {
    fn claim(&self, claim: KeyClaim) -> BoxFuture<'static, ClaimResult> {
        let (sender, answer) = oneshot::channel();
        let _ = self.0.send(ClaimsRequest::Claim(claim, sender));
        Box::pin(async move { answer.await.unwrap_or(ClaimResult::Unavailable) })
    }

    fn settle(&self, claim: KeyClaim, state: ClaimState) {
        let _ = self.0.send(ClaimsRequest::Settle(claim, state));
    }

    fn outage_cause(&self) -> &'static str {
        "the platform's store did not take the claim of the key"
    }

    fn flush(&self) -> BoxFuture<'_, ()> {
        let (sender, finished) = oneshot::channel();
        let _ = self.0.send(ClaimsRequest::Finish(sender));
        Box::pin(async move {
            if tokio::time::timeout(STOP_LIMIT, finished).await.is_err() {
                log::warn!("results of claimed keys were not stored; their keys stay running");
            }
        })
    }
}

/// Owns the claims controller, its timers and its store calls.
struct ClaimsDriver {
    store: StoreClient,
    state: Arc<SharedState>,
    controller: ClaimsController,
    /// Requests that wait for an answer, by the nonce of their claim.
    waiting: HashMap<u64, oneshot::Sender<ClaimResult>>,
    calls: FuturesUnordered<BoxFuture<'static, ClaimsMessage>>,
    /// Who waits until no call is left.
    stopping: Vec<oneshot::Sender<()>>,
}

impl ClaimsDriver {
    async fn run(mut self, mut requests: mpsc::UnboundedReceiver<ClaimsRequest>) {
        loop {
            if self.calls.is_empty() {
                for finished in self.stopping.drain(..) {
                    let _ = finished.send(());
                }
            }
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.serve(request),
                    None => return,
                },
                Some(message) = self.calls.next() => self.step(message),
            }
        }
    }

    fn serve(&mut self, request: ClaimsRequest) {
        match request {
            ClaimsRequest::Claim(KeyClaim { service, key, nonce }, answer) => {
                self.waiting.insert(nonce, answer);
                self.step(ClaimsMessage::Claim { service, key, nonce });
            }
            ClaimsRequest::Settle(KeyClaim { service, key, nonce }, state) => {
                // A claim that was withdrawn gets no answer.
                self.waiting.remove(&nonce);
                self.step(ClaimsMessage::Settle { service, key, nonce, state });
            }
            ClaimsRequest::Finish(finished) => self.stopping.push(finished),
        }
    }

    fn step(&mut self, message: ClaimsMessage) {
        for effect in self.controller.handle(message, self.state.clock.now()) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: ClaimsEffect) {
        let store = self.store.clone();
        match effect {
            ClaimsEffect::Resolve(nonce, answer) => {
                if let Some(waiting) = self.waiting.remove(&nonce) {
                    // Whoever stopped waiting settles the claim.
                    let _ = waiting.send(answer);
                }
            }
            ClaimsEffect::Wake(name, delay) => self.calls.push(Box::pin(async move {
                tokio::time::sleep(delay).await;
                ClaimsMessage::Wake(name)
            })),
            ClaimsEffect::Read(name, delay) => self.calls.push(Box::pin(async move {
                // A sleep of no time still takes the runtime's timer up to 1 ms.
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                let reply = store.read(&object_name(&name)).await;
                ClaimsMessage::Read(name, reply)
            })),
            ClaimsEffect::Write(name, content, base_version) => {
                self.calls.push(Box::pin(async move {
                    let reply = store.write(&object_name(&name), &content, base_version).await;
                    ClaimsMessage::Wrote(name, reply)
                }));
            }
        }
    }
}

/// Names the object that holds a segment.
fn object_name(name: &SegmentName) -> String {
    format!("claims/{}/{}", name.service, name.segment)
}
