//! Follows the targets and the configuration in the platform's directory.
//!
//! Each part is listed once and then watched. A lost watch resumes at the revision where it
//! ended; a list replaces it only if the platform no longer keeps the changes in between.
//! Objects and versions never go back, whatever a stale read returns.

mod evacuations;
mod fleet;
mod records;
mod settings;
mod warm_up;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::IntoEnumIterator;

use records::TargetRecord;
pub use settings::DirectorySettings;
use warm_up::registered_period;

use super::StateController;
use crate::backoff::BackoffBounds;
use crate::clock::Timestamp;
use crate::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
};
use crate::evacuation::{EvacuationChange, EvacuationTable};
use crate::fleet::FleetSnapshot;
use crate::warm_up::WarmUpSource;

/// Delay of a removal after an outage of the store: live targets register again within
/// about 2 s.
const OUTAGE_REMOVAL_DELAY: Duration = Duration::from_millis(2_000);

/// Time without a response of the store after which registrations may have expired.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Delays between failed calls. All entries retry during an outage of the store, which
/// counts each call. A delay of 500 ms together with the time of a lost watch finds the
/// store again within the 3 s in which changes have to take effect.
const RETRY_BOUNDS: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(200), longest: Duration::from_millis(500) };

/// Time that the watch has to deliver a change that another entry already knows, before the
/// change is read by a separate call.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);

/// Time between a response with changes and the next watch. Changes come in bursts, such as
/// the registrations of all targets, and the platform counts each call.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Messages that the directory controller handles.
#[derive(Clone, Debug)]
pub enum DirectoryMessage {
    /// A list returned all objects of a part.
    Listed(DirectoryPart, DirectoryBatch),
    /// A watch returned the changes of a part.
    Watched(DirectoryPart, DirectoryBatch),
    /// A call failed. The known state stays in force.
    Failed(DirectoryPart),
    /// The platform no longer keeps the changes since the last batch.
    HistoryGone(DirectoryPart),
    /// Another entry knows a change with this revision.
    PeerRevision(DirectoryPart, u64),
    /// A catch-up call ended; `None` if it failed.
    CaughtUp(DirectoryPart, Option<DirectoryBatch>),
    /// Time passed. Due every 100 ms.
    Tick,
}

/// Effects that the directory controller requests from its driver.
#[derive(Clone, Debug)]
pub enum DirectoryEffect {
    /// List a part after a delay.
    List(DirectoryPart, Duration),
    /// Watch a part from a revision after a delay.
    Watch(DirectoryPart, u64, Duration),
    /// Read the changes of a part since a revision, or all objects if there is none, with a
    /// read that does not lag as a watch may.
    CatchUp(DirectoryPart, Option<u64>),
    /// The newest known change of a part now has this revision.
    Revision(DirectoryPart, u64),
    /// Publish these services and routes.
    Publish(Arc<FleetSnapshot>),
    /// The entry has the targets and the configuration that it needs to serve callers.
    Ready,
    /// The store responds again after an outage of this length.
    Recovered(DirectoryPart, Duration),
    /// A target was added, changed, removed or dropped.
    TargetChanged(TargetChange),
    /// So many targets with a limit for cold ones are known to be cold from now on.
    ColdTargets(WarmUpSource, usize),
    /// The evacuation of a data centre started or ended.
    Evacuation(EvacuationChange),
}

/// A change of one target, for the log.
#[derive(Clone, Debug)]
pub struct TargetChange {
    /// Identity of the target.
    pub id: String,
    /// Revision of the change.
    pub revision: u64,
    /// State of the target after the change.
    pub state: &'static str,
}

/// Progress of following one part.
#[derive(Debug, Default)]
struct PartFollower {
    /// Revision up to which the changes are known; `None` before the first list.
    revision: Option<u64>,
    /// Revision of the newest known change.
    newest_change: u64,
    /// Revision of the last list. The list reflects all changes up to it; of those that removed
    /// an object it does not show the revisions.
    listed: u64,
    /// Revision of the newest change that another entry knows and this one does not, and
    /// since when.
    peer_revision: Option<(u64, Timestamp)>,
    /// Whether a catch-up call is in progress.
    catching_up: bool,
    /// Whether the next catch-up call has to list, because the platform may no longer keep
    /// the changes.
    must_list: bool,
    failures: u32,
    outage_since: Option<Timestamp>,
}

impl PartFollower {
    /// Returns the revision up to which no change can be missing.
    fn covered(&self) -> u64 {
        self.newest_change.max(self.listed)
    }
}

/// Owns the targets and the configuration in the directory.
#[derive(Debug)]
pub struct DirectoryController {
    targets: IndexMap<String, TargetRecord>,
    /// Revisions of removals, so that a stale list does not bring a target back.
    removed: IndexMap<String, u64>,
    configuration: Option<OperatorConfiguration>,
    evacuations: EvacuationTable,
    parts: [PartFollower; DirectoryPart::COUNT],
    /// When the last response for either part arrived.
    last_response: Timestamp,
    /// Until when removals are delayed after an outage of the store.
    removals_delayed_until: Timestamp,
    fleet: FleetSnapshot,
    settings: DirectorySettings,
    /// Start of the weighted choices of split routes.
    initial_cursor: u32,
    random: SmallRng,
    ready: bool,
}

impl DirectoryController {
    /// Creates a controller. `seed` determines the jitter of retries and the position at
    /// which split routes start.
    pub fn new(settings: DirectorySettings, seed: u64) -> Self {
        Self {
            targets: IndexMap::new(),
            removed: IndexMap::new(),
            configuration: None,
            evacuations: EvacuationTable::default(),
            parts: Default::default(),
            random: SmallRng::seed_from_u64(seed),
            last_response: Timestamp::default(),
            removals_delayed_until: Timestamp::default(),
            fleet: FleetSnapshot::default(),
            settings,
            initial_cursor: seed as u32,
            ready: false,
        }
    }

    /// Returns the calls to start with.
    pub fn start(&self) -> Vec<DirectoryEffect> {
        let parts = self.followed_parts();
        parts.map(|part| DirectoryEffect::List(part, Duration::ZERO)).collect()
    }

    fn followed_parts(&self) -> impl Iterator<Item = DirectoryPart> + use<> {
        let evacuations = self.settings.evacuations;
        DirectoryPart::iter().filter(move |part| evacuations || *part != DirectoryPart::Evacuations)
    }

    /// Returns `true` once all parts that are followed are known.
    fn is_complete(&self) -> bool {
        let mut parts = self.followed_parts();
        parts.all(|part| self.parts[part as usize].revision.is_some())
    }

    fn part(&mut self, part: DirectoryPart) -> &mut PartFollower {
        &mut self.parts[part as usize]
    }

    /// Records a response of the store. Returns an effect if it ends an outage.
    fn record_response(&mut self, part: DirectoryPart, now: Timestamp) -> Option<DirectoryEffect> {
        let follower = self.part(part);
        follower.failures = 0;
        let outage_since = follower.outage_since.take()?;
        // A response for the other part in the meantime shows that the store was available.
        if now.since(outage_since.max(self.last_response)) >= MIN_OUTAGE {
            self.removals_delayed_until = now + OUTAGE_REMOVAL_DELAY;
            for record in self.targets.values_mut() {
                record.drop_at = record.drop_at.map(|_| now + OUTAGE_REMOVAL_DELAY);
            }
        }
        Some(DirectoryEffect::Recovered(part, now.since(outage_since)))
    }

    /// Applies a batch and continues with a watch.
    fn follow(
        &mut self,
        part: DirectoryPart,
        batch: DirectoryBatch,
        listed: bool,
        now: Timestamp,
    ) -> Vec<DirectoryEffect> {
        let mut effects: Vec<_> = self.record_response(part, now).into_iter().collect();
        let pause = if batch.changes.is_empty() { Duration::ZERO } else { WATCH_PAUSE };
        effects.extend(self.apply_batch(part, batch, listed, now));
        let revision = self.part(part).revision.unwrap_or(0);
        effects.push(DirectoryEffect::Watch(part, revision, pause));
        effects
    }

    fn apply_batch(
        &mut self,
        part: DirectoryPart,
        batch: DirectoryBatch,
        listed: bool,
        now: Timestamp,
    ) -> Vec<DirectoryEffect> {
        self.last_response = now;
        let mut effects = Vec::new();
        let newest = batch.changes.iter().map(|change| change.revision).max().unwrap_or(0);
        let mut changed = false;
        if listed && part == DirectoryPart::Targets {
            changed |= self.remove_unlisted(&batch, now, &mut effects);
        }
        let batch = match part {
            DirectoryPart::Evacuations => {
                changed |= self.apply_evacuations(&batch, listed, now, &mut effects);
                DirectoryBatch { changes: Vec::new(), ..batch }
            }
            _ => batch,
        };
        for change in batch.changes {
            changed |= self.apply_change(change, listed, now, &mut effects);
        }
        let follower = self.part(part);
        let revision = batch.revision.max(follower.revision.unwrap_or(0));
        follower.revision = Some(revision);
        if newest > follower.newest_change {
            follower.newest_change = newest;
            effects.push(DirectoryEffect::Revision(part, newest));
        }
        if listed {
            follower.listed = revision;
        }
        let covered = follower.covered();
        follower.peer_revision =
            follower.peer_revision.filter(|(peer_revision, _)| *peer_revision > covered);
        // Routes without targets, or targets without routes, would refuse requests that can
        // be served as soon as both are known.
        let complete = self.is_complete();
        if complete && (changed || !self.ready) {
            effects.extend(self.publish(now));
        }
        effects.extend(self.update_readiness(complete));
        effects
    }

    fn apply_change(
        &mut self,
        change: DirectoryChange,
        listed: bool,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        match change.item {
            Some(DirectoryItem::Configuration(configuration)) => {
                let known = self.configuration.as_ref().map_or(0, |known| known.version);
                let newer = configuration.version > known;
                if newer {
                    self.configuration = Some(configuration);
                }
                newer
            }
            Some(DirectoryItem::Target(target)) => {
                let cold = registered_period(&target, listed, now);
                let record =
                    TargetRecord { cold, ..TargetRecord::new(change.revision, Some(target)) };
                self.apply_target(change.name, record, effects)
            }
            Some(DirectoryItem::Evacuation) => false,
            Some(DirectoryItem::Unusable) => {
                self.apply_target(change.name, TargetRecord::new(change.revision, None), effects)
            }
            None => self.apply_removal(&change.name, change.revision, now, effects),
        }
    }

    /// Requests changes that other entries have known for [`CATCH_UP_DELAY`].
    fn catch_up(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let mut effects = Vec::new();
        for part in DirectoryPart::iter() {
            let follower = self.part(part);
            let Some((_, since)) = follower.peer_revision else { continue };
            let due = now.since(since) >= CATCH_UP_DELAY && follower.revision.is_some();
            if due && !follower.catching_up {
                follower.catching_up = true;
                let from = follower.revision.filter(|_| !follower.must_list);
                effects.push(DirectoryEffect::CatchUp(part, from));
            }
        }
        effects
    }

    fn handle_caught_up(
        &mut self,
        part: DirectoryPart,
        batch: Option<DirectoryBatch>,
        now: Timestamp,
    ) -> Vec<DirectoryEffect> {
        let follower = self.part(part);
        follower.catching_up = false;
        let listed = std::mem::take(&mut follower.must_list);
        let Some(batch) = batch else {
            // A failed catch-up call is repeated after the same delay, as a list unless it
            // was one.
            follower.must_list = !listed;
            follower.peer_revision =
                follower.peer_revision.map(|(peer_revision, _)| (peer_revision, now));
            return Vec::new();
        };
        let effects = self.apply_batch(part, batch, listed, now);
        // The response is current, so a peer's revision that it does not contain was no
        // change of this part.
        self.part(part).peer_revision = None;
        effects
    }

    fn update_readiness(&mut self, complete: bool) -> Option<DirectoryEffect> {
        if self.ready || !complete || self.configuration.is_none() {
            return None;
        }
        self.ready = true;
        Some(DirectoryEffect::Ready)
    }
}

impl StateController for DirectoryController {
    type Message = DirectoryMessage;
    type Effect = DirectoryEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            DirectoryMessage::Listed(part, batch) => self.follow(part, batch, true, now),
            DirectoryMessage::Watched(part, batch) => self.follow(part, batch, false, now),
            DirectoryMessage::Failed(part) => {
                let follower = self.part(part);
                follower.outage_since.get_or_insert(now);
                follower.failures += 1;
                let (failures, revision) = (follower.failures, follower.revision);
                let delay = RETRY_BOUNDS.delay(failures, &mut self.random);
                vec![match revision {
                    Some(revision) => DirectoryEffect::Watch(part, revision, delay),
                    None => DirectoryEffect::List(part, delay),
                }]
            }
            DirectoryMessage::HistoryGone(part) => {
                vec![DirectoryEffect::List(part, Duration::ZERO)]
            }
            DirectoryMessage::PeerRevision(part, revision) => {
                let follower = self.part(part);
                if revision > follower.covered() {
                    let since = follower.peer_revision.map_or(now, |(_, since)| since);
                    follower.peer_revision = Some((revision, since));
                }
                Vec::new()
            }
            DirectoryMessage::CaughtUp(part, batch) => self.handle_caught_up(part, batch, now),
            DirectoryMessage::Tick => {
                let mut effects = self.drop_due(now);
                effects.extend(self.catch_up(now));
                effects
            }
        }
    }
}
