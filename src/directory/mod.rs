//! Keeps an entry in step with the platform's directory of targets and configuration.

mod first_list;
mod own_calls;
mod relay;
mod relay_client;
mod relay_handler;
mod relayed;
mod revisions;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use indexmap::IndexMap;
pub use relay::DirectoryRelay;
pub use relay_handler::RelayHandler;
pub use relayed::RelayedDirectory;
pub use revisions::RevisionTracker;
use strum::IntoEnumIterator;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
    TargetsMessage,
};
pub use zinniaport_core::directory::BatchOrigin;
use zinniaport_core::directory::{DirectoryBatch, DirectoryPart, StoreRevision};
use zinniaport_core::evacuation::EvacuationChange;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::routes::RoutingTable;

use crate::state::SharedState;
use crate::store::StoreError;
use crate::targets::TargetsHandle;

/// Time between two ticks of the controller, which drop targets whose removal is due.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Greatest number of targets of one batch that are logged one by one. The list of an entry
/// that starts may have hundreds, and logging them would delay its first response.
const MAX_LOGGED_TARGETS: usize = 20;

/// Whether a read of the directory may return outdated data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadConsistency {
    /// The response contains all changes that were made before the call.
    Current,
    /// The response may be seconds old, which costs the platform less.
    Stale,
}

/// An external source of targets and configuration.
pub trait DirectorySource: Send + Sync {
    /// Lists all objects of a part as they are now.
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>>;

    /// Lists all objects of a part if one call returns them, else returns `None`.
    fn list_small(
        &self,
        part: DirectoryPart,
    ) -> BoxFuture<'_, Result<Option<DirectoryBatch>, StoreError>>;

    /// Waits for changes of a part after `revision`. Returns an empty batch if none
    /// come before the source's time limit. Fails with [`StoreError::TooOld`] if the source has
    /// come back from an older copy since then.
    fn watch(
        &self,
        part: DirectoryPart,
        revision: StoreRevision,
        consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>>;
}

/// Returns the snapshot of an entry that has not received its configuration yet. It
/// refuses requests with 503; without a routing table they would get 404.
pub fn unconfigured_fleet() -> Arc<FleetSnapshot> {
    let routes = Some(Arc::new(RoutingTable::default()));
    Arc::new(FleetSnapshot { routes, ..FleetSnapshot::default() })
}

/// Runs the directory controller and makes the calls that it requests.
pub struct DirectoryDriver {
    state: Arc<SharedState>,
    source: Arc<dyn DirectorySource>,
    targets: TargetsHandle,
    ready: Arc<AtomicBool>,
    controller: DirectoryController,
    /// Version of the configuration that was published last.
    published_version: u64,
    calls: FuturesUnordered<BoxFuture<'static, DirectoryMessage>>,
}

impl DirectoryDriver {
    /// Creates a driver. It sets `ready` once the configuration and the targets are known.
    pub fn new(
        state: Arc<SharedState>,
        source: Arc<dyn DirectorySource>,
        targets: TargetsHandle,
        ready: Arc<AtomicBool>,
        settings: DirectorySettings,
    ) -> Self {
        let controller = DirectoryController::new(settings, rand::random());
        let calls = FuturesUnordered::new();
        Self { state, source, targets, ready, controller, published_version: 0, calls }
    }

    /// Follows the directory until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.apply_effects(self.controller.start());
        let state = self.state.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.handle(DirectoryMessage::Tick),
                Some(message) = self.calls.next() => self.handle(message),
                () = state.revisions.peer_changed.notified() => self.handle_peer_revisions(),
            }
        }
    }

    fn handle_peer_revisions(&mut self) {
        for part in DirectoryPart::iter() {
            let revision = self.state.revisions.announced(part);
            self.handle(DirectoryMessage::PeerRevision(part, revision));
        }
    }

    fn handle(&mut self, message: DirectoryMessage) {
        let effects = self.controller.handle(message, self.state.clock.now());
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<DirectoryEffect>) {
        let is_target_change =
            |effect: &&DirectoryEffect| matches!(effect, DirectoryEffect::TargetChanged(_));
        let logs_targets = effects.iter().filter(is_target_change).count() <= MAX_LOGGED_TARGETS;
        if !logs_targets {
            log_target_counts(&effects);
        }
        for effect in effects {
            match effect {
                DirectoryEffect::List(part, delay) => self.start_call(part, None, delay),
                DirectoryEffect::Watch(part, revision, delay) => {
                    self.start_call(part, Some(revision), delay);
                }
                DirectoryEffect::CatchUp(part, revision) => self.catch_up(part, revision),
                DirectoryEffect::Revision(part, revision) => {
                    self.state.metrics.directory.set_revision(part, revision);
                    self.state.revisions.set_local(part, revision);
                    self.state.signal_due.notify_one();
                }
                DirectoryEffect::Publish(fleet) => {
                    let version = fleet.routes.as_ref().map_or(0, |table| table.version);
                    let [targets_revision, configuration_revision, _] =
                        self.state.revisions.local();
                    log::info!(config_version = version, targets = fleet.targets.len(), targets_revision:% = targets_revision, configuration_revision:% = configuration_revision; "applied the directory");
                    if version != std::mem::replace(&mut self.published_version, version) {
                        self.report_unused_items(&fleet);
                    }
                    self.targets.send(TargetsMessage::Intents(fleet));
                }
                DirectoryEffect::Ready => {
                    self.ready.store(true, Ordering::Release);
                    self.state.set_may_coordinate(true);
                    log::info!("ready: configuration and targets are known");
                }
                DirectoryEffect::Recovered(part, outage) => {
                    let away_ms = outage.as_millis() as u64;
                    log::info!(part = <&str>::from(part), away_ms = away_ms; "the directory is reachable again");
                }
                DirectoryEffect::Restored(part, known, revision) => {
                    self.state.metrics.directory.count_restore();
                    log::warn!(part = <&str>::from(part), known:% = known, revision:% = revision; "the directory was restored from an older copy; what is newer stays in force until it is written again");
                }
                DirectoryEffect::Evacuation(change) => self.report_evacuation(&change),
                DirectoryEffect::ColdTargets(source, count) => {
                    log::info!(targets = count, source = <&str>::from(source); "targets are cold");
                }
                DirectoryEffect::TargetChanged(change) => {
                    if logs_targets {
                        log::info!(target_id = change.id.as_str(), revision:% = change.revision; "target {}", change.state);
                    }
                }
            }
        }
    }

    /// Reports what this version does not use of a new configuration.
    fn report_unused_items(&self, fleet: &FleetSnapshot) {
        let Some(table) = &fleet.routes else { return };
        self.state.metrics.unused_items.set(table.unused_items.len() as f64);
        for item in &table.unused_items {
            log::warn!(config_version = table.version; "this version does not know and does not use: {item}; update zinniaport or correct the configuration");
        }
    }

    fn report_evacuation(&self, change: &EvacuationChange) {
        let EvacuationChange { data_centre, revision, is_evacuated } = change;
        let evacuated = &self.state.metrics.placement.evacuated_data_centres;
        evacuated.increment(if *is_evacuated { 1.0 } else { -1.0 });
        let data_centre = data_centre.as_str();
        if *is_evacuated {
            log::warn!(data_centre, revision:% = revision; "a data centre is evacuated: its targets take no new requests");
        } else {
            log::info!(data_centre, revision:% = revision; "the evacuation of a data centre ended");
        }
    }

    /// Reads changes that a peer already knows.
    fn catch_up(&self, part: DirectoryPart, revision: Option<StoreRevision>) {
        let source = self.source.clone();
        self.calls.push(Box::pin(async move {
            let result = match revision {
                Some(revision) => source.watch(part, revision, ReadConsistency::Current).await,
                None => source.list(part).await,
            };
            if let Err(error) = &result {
                log::warn!(part = <&str>::from(part), revision:% = revision.unwrap_or_default(); "cannot read changes that other entries announced: {error}");
            }
            DirectoryMessage::CaughtUp(part, result.ok())
        }));
    }

    fn start_call(&self, part: DirectoryPart, revision: Option<StoreRevision>, delay: Duration) {
        let (source, state) = (self.source.clone(), self.state.clone());
        self.calls.push(Box::pin(async move {
            tokio::time::sleep(delay).await;
            let result = match revision {
                Some(revision) => {
                    let is_leader = state.revisions.is_leader();
                    let consistency = if is_leader {
                        ReadConsistency::Current
                    } else {
                        ReadConsistency::Stale
                    };
                    source.watch(part, revision, consistency).await
                }
                None => source.list(part).await,
            };
            match (result, revision) {
                (Ok(batch), Some(_)) => DirectoryMessage::Watched(part, batch),
                (Ok(batch), None) => DirectoryMessage::Listed(part, batch),
                (Err(StoreError::TooOld), _) => {
                    log::info!(part = <&str>::from(part); "the platform no longer keeps the changes after the last read; listing all objects");
                    DirectoryMessage::HistoryGone(part)
                }
                (Err(error), _) => {
                    log::warn!(part = <&str>::from(part), revision:% = revision.unwrap_or_default(); "cannot read the directory, retrying: {error}");
                    DirectoryMessage::Failed(part)
                }
            }
        }));
    }
}

/// Logs how many targets a batch changed to each state.
fn log_target_counts(effects: &[DirectoryEffect]) {
    let mut counts: IndexMap<&str, u64> = IndexMap::new();
    let mut newest = StoreRevision::default();
    for effect in effects {
        if let DirectoryEffect::TargetChanged(change) = effect {
            *counts.entry(change.state).or_default() += 1;
            newest = newest.max(change.revision);
        }
    }
    for (state, count) in counts {
        log::info!(targets = count, newest_revision:% = newest; "targets {state}");
    }
}
