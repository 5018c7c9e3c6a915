//! Follows a directory of targets and configuration that the platform keeps.

mod relay;
mod relayed;
mod revisions;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
pub use relay::{BatchOrigin, DirectoryRelay, RelayHandler};
pub use relayed::RelayedDirectory;
pub use revisions::RevisionTracker;
use strum::IntoEnumIterator;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
    TargetsMessage,
};
use zinniaport_core::directory::{DirectoryBatch, DirectoryPart};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::routes::RoutingTable;

use crate::state::SharedState;
use crate::store::StoreError;
use crate::targets::TargetsHandle;

/// Time between ticks, which drop targets whose removal is due.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// How old an answer of the directory may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadConsistency {
    /// It shows all changes that were made before the call.
    Current,
    /// It may lag by seconds, which costs the platform less.
    Stale,
}

/// A source of targets and configuration outside the entry.
pub trait DirectorySource: Send + Sync {
    /// Lists all objects of a part, without lag.
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>>;

    /// Waits for changes of a part after `revision`. Returns an empty batch when
    /// there are none for a while.
    fn watch(
        &self,
        part: DirectoryPart,
        revision: u64,
        age: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>>;
}

/// Gives the snapshot of an entry that has not learnt its configuration, in which
/// requests are refused rather than not found.
pub fn unconfigured_fleet() -> Arc<FleetSnapshot> {
    let routes = Some(Arc::new(RoutingTable::default()));
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
        terms: DirectorySettings,
    ) -> Self {
        let controller = DirectoryController::new(terms, rand::random());
        Self { state, source, targets, ready, controller, calls: FuturesUnordered::new() }
    }

    /// Follows the directory until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.carry_out(self.controller.start());
        let state = self.state.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.step(DirectoryMessage::Tick),
                Some(message) = self.calls.next() => self.step(message),
                () = state.revisions.news.notified() => self.hear(),
            }
        }
    }

    fn hear(&mut self) {
        for part in DirectoryPart::iter() {
            let heard = self.state.revisions.heard[part as usize].load(Ordering::Acquire);
            self.step(DirectoryMessage::PeerRevision(part, heard));
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
                DirectoryEffect::CatchUp(part, revision) => self.catch_up(part, revision),
                DirectoryEffect::Revision(part, revision) => {
                    self.state.revisions.known[part as usize].store(revision, Ordering::Release);
                    self.state.signal_due.notify_one();
                }
                DirectoryEffect::Publish(fleet) => {
                    let version = fleet.routes.as_ref().map_or(0, |book| book.version);
                    log::info!(config_version = version, targets = fleet.targets.len(); "directory applied");
                    self.targets.send(TargetsMessage::Intents(fleet));
                }
                DirectoryEffect::Ready => {
                    self.ready.store(true, Ordering::Release);
                    self.state.set_may_coordinate(true);
                    log::info!("ready: configuration and targets are known");
                }
                DirectoryEffect::Recovered(part, away) => {
                    let away_ms = away.as_millis() as u64;
                    log::info!(part = <&str>::from(part), away_ms = away_ms; "the directory answers again");
                }
                DirectoryEffect::TargetChanged(change) => {
                    log::info!(target_id = change.id.as_str(), revision = change.revision; "target {}", change.state);
                }
            }
        }
    }

    /// Reads changes that another entry knows already.
    fn catch_up(&self, part: DirectoryPart, revision: Option<u64>) {
        let source = self.source.clone();
        self.calls.push(Box::pin(async move {
            let result = match revision {
                Some(revision) => source.watch(part, revision, ReadConsistency::Current).await,
                None => source.list(part).await,
            };
            if let Err(error) = &result {
                log::warn!(part = <&str>::from(part), revision = revision.unwrap_or(0); "cannot catch up with other entries: {error}");
            }
            DirectoryMessage::CaughtUp(part, result.ok())
        }));
    }

    fn call(&self, part: DirectoryPart, revision: Option<u64>, delay: Duration) {
        let (source, state) = (self.source.clone(), self.state.clone());
        self.calls.push(Box::pin(async move {
            tokio::time::sleep(delay).await;
            let result = match revision {
                Some(revision) => {
                    let leads = state.revisions.is_leader();
                    let age = if leads { ReadConsistency::Current } else { ReadConsistency::Stale };
                    source.watch(part, revision, age).await
                }
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
