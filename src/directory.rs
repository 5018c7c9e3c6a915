//! Follows a directory of targets and configuration that the platform keeps.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectoryTerms, StateController,
    TargetsMessage,
};
use zinniaport_core::directory::{DirectoryBatch, DirectoryPart};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::routes::RouteBook;

use crate::state::SharedState;
use crate::store::StoreError;
use crate::targets::TargetsHandle;

/// Time between ticks, which drop targets whose removal is due.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// A source of targets and configuration outside the entry.
pub trait DirectorySource: Send + Sync {
    /// Lists all objects of a part.
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>>;

    /// Waits for changes of a part after `revision`. Returns an empty batch when
    /// there are none for a while.
    fn watch(
        &self,
        part: DirectoryPart,
        revision: u64,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>>;
}

/// Gives the snapshot of an entry that has not learnt its configuration, in which
/// requests are refused rather than not found.
pub fn unknown_fleet() -> Arc<FleetSnapshot> {
    let routes = Some(Arc::new(RouteBook::default()));
    Arc::new(FleetSnapshot { routes, ..FleetSnapshot::default() })
}

/// Owns the directory controller and its calls.
pub struct DirectoryDriver {
    state: Arc<SharedState>,
    source: Arc<dyn DirectorySource>,
    targets: TargetsHandle,
    ready: Arc<AtomicBool>,
    controller: DirectoryController,
    calls: FuturesUnordered<BoxFuture<'static, DirectoryMessage>>,
}

impl DirectoryDriver {
    /// Creates a driver. `ready` turns true once enough is known to serve callers.
    pub fn new(
        state: Arc<SharedState>,
        source: Arc<dyn DirectorySource>,
        targets: TargetsHandle,
        ready: Arc<AtomicBool>,
        terms: DirectoryTerms,
    ) -> Self {
        let controller = DirectoryController::new(terms, rand::random());
        Self { state, source, targets, ready, controller, calls: FuturesUnordered::new() }
    }

    /// Follows the directory until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.carry_out(self.controller.start());
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.step(DirectoryMessage::Tick),
                Some(message) = self.calls.next() => self.step(message),
            }
        }
    }

    fn step(&mut self, message: DirectoryMessage) {
        let effects = self.controller.handle(message, self.state.clock.now());
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<DirectoryEffect>) {
        for effect in effects {
            match effect {
                DirectoryEffect::List(part, delay) => self.call(part, None, delay),
                DirectoryEffect::Watch(part, revision, delay) => {
                    self.call(part, Some(revision), delay);
                }
                DirectoryEffect::Publish(fleet) => {
                    let version = fleet.routes.as_ref().map_or(0, |book| book.version);
                    log::info!(config_version = version, targets = fleet.targets.len(); "directory applied");
                    self.targets.tell(TargetsMessage::Intents(fleet));
                }
                DirectoryEffect::Ready => {
                    self.ready.store(true, Ordering::Release);
                    log::info!("ready: configuration and targets are known");
                }
                DirectoryEffect::Regained(part, away) => {
                    let away_ms = away.as_millis() as u64;
                    log::info!(part = <&str>::from(part), away_ms = away_ms; "the directory answers again");
                }
                DirectoryEffect::TargetChanged(change) => {
                    log::info!(target_id = change.id.as_str(), revision = change.revision; "target {}", change.state);
                }
            }
        }
    }

    fn call(&self, part: DirectoryPart, revision: Option<u64>, delay: Duration) {
        let source = self.source.clone();
        self.calls.push(Box::pin(async move {
            tokio::time::sleep(delay).await;
            let result = match revision {
                Some(revision) => source.watch(part, revision).await,
                None => source.list(part).await,
            };
            match (result, revision) {
                (Ok(batch), Some(_)) => DirectoryMessage::Watched(part, batch),
                (Ok(batch), None) => DirectoryMessage::Listed(part, batch),
                (Err(StoreError::TooOld), _) => {
                    log::info!(part = <&str>::from(part); "the history is gone; listing again");
                    DirectoryMessage::HistoryGone(part)
                }
                (Err(error), _) => {
                    log::warn!(part = <&str>::from(part), revision = revision.unwrap_or(0); "directory call failed: {error}");
                    DirectoryMessage::Failed(part)
                }
            }
        }));
    }
}
