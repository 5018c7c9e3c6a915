//! Follows the targets and the configuration in the platform's directory.
//!
//! Each part is listed once and then watched. A lost watch resumes at the revision where it
//! ended; a list replaces it only if the platform no longer keeps the changes in between.
//! Objects and versions never go back, whatever a stale read returns. After the store came back
//! from an older copy, a [`PartLedger`](crate::directory::PartLedger) keeps what is newer than it.

mod evacuations;
mod fleet;
mod follower;
mod messages;
mod records;
mod settings;
mod warm_up;

use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::IntoEnumIterator;

use follower::PartFollower;
pub use messages::{DirectoryEffect, DirectoryMessage, TargetChange};
use records::TargetRecord;
pub use settings::DirectorySettings;
use warm_up::registered_period;

use super::StateController;
use crate::backoff::BackoffBounds;
use crate::clock::Timestamp;
use crate::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    StoreRevision,
};
use crate::evacuation::EvacuationTable;
use crate::fleet::FleetSnapshot;

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

/// Time after the first list of an era until all targets are listed again. Those in the copy that
/// had been removed before and are alive have reported by then: reports are about 1.5 s apart.
const LIST_AGAIN_DELAY: Duration = Duration::from_secs(6);

/// Time between a response with changes and the next watch. Changes come in bursts, such as
/// the registrations of all targets, and the platform counts each call.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// What the changes of a batch have in common.
#[derive(Clone, Copy, Debug)]
struct BatchContext {
    era: u64,
    listed: bool,
    now: Timestamp,
}

/// Owns the targets and the configuration in the directory.
#[derive(Debug)]
pub struct DirectoryController {
    targets: IndexMap<String, TargetRecord>,
    /// Revisions of removals, so that a stale list does not bring a target back.
    removed: IndexMap<String, StoreRevision>,
    configuration: Option<OperatorConfiguration>,
    evacuations: EvacuationTable,
    parts: [PartFollower; DirectoryPart::COUNT],
    /// When the last response for either part arrived.
    last_response: Timestamp,
    /// Until when removals are delayed after an outage or a restore of the store.
    removals_delayed_until: Timestamp,
    /// Until when evacuations stay in force that a restored store has not listed.
    unlisted_evacuations_until: Option<Timestamp>,
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
            unlisted_evacuations_until: None,
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
            self.delay_removals(now);
        }
        Some(DirectoryEffect::Recovered(part, now.since(outage_since)))
    }

    /// Keeps targets that are no longer registered until live ones have registered again.
    fn delay_removals(&mut self, now: Timestamp) {
        self.removals_delayed_until = now + OUTAGE_REMOVAL_DELAY;
        for record in self.targets.values_mut() {
            record.drop_at = record.drop_at.map(|_| now + OUTAGE_REMOVAL_DELAY);
        }
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
        self.part(part).missing_histories = 0;
        let pause = if batch.changes.is_empty() { Duration::ZERO } else { WATCH_PAUSE };
        effects.extend(self.apply_batch(part, batch, listed, now));
        let revision = self.part(part).revision.unwrap_or_default();
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
        if let Some(known) = self.part(part).revision {
            if batch.era < known.era {
                return effects;
            }
            if batch.era > known.era {
                self.start_era(part, now);
                effects.push(DirectoryEffect::Restored(part, known, batch.position()));
            }
        }
        let newest = batch.changes.iter().map(|change| batch.change_position(change)).max();
        let newest = newest.unwrap_or_default();
        let (position, context) = (batch.position(), BatchContext { era: batch.era, listed, now });
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
            changed |= self.apply_change(change, context, &mut effects);
        }
        let follower = self.part(part);
        let revision = position.max(follower.revision.unwrap_or_default());
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
        context: BatchContext,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let BatchContext { era, listed, now } = context;
        let revision = StoreRevision { era, number: change.revision };
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
                let record = TargetRecord { cold, ..TargetRecord::new(revision, Some(target)) };
                self.apply_target(change.name, record, effects)
            }
            Some(DirectoryItem::Evacuation) => false,
            Some(DirectoryItem::Unusable) => {
                self.apply_target(change.name, TargetRecord::new(revision, None), effects)
            }
            // The copy of a restored store has the target, which had been removed before.
            None if listed => false,
            None => self.apply_removal(&change.name, revision, now, effects),
        }
    }

    /// Requests changes that other entries have known for [`CATCH_UP_DELAY`], and lists that are
    /// due.
    fn catch_up(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let mut effects = Vec::new();
        for part in DirectoryPart::iter() {
            let follower = self.part(part);
            let is_due = follower.list_again_at.is_some_and(|at| at <= now);
            if is_due && !follower.catching_up {
                follower.list_again_at = None;
                (follower.catching_up, follower.must_list) = (true, true);
                effects.push(DirectoryEffect::CatchUp(part, None));
            }
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
        let position = batch.position();
        let effects = self.apply_batch(part, batch, listed, now);
        // A peer's revision up to which the response is complete, and which it does not contain,
        // was no change of this part. The response of a leader that does not know of a restore
        // yet is not complete.
        let follower = self.part(part);
        let missing = follower.peer_revision.filter(|(peer_revision, _)| *peer_revision > position);
        follower.peer_revision = missing.map(|(peer_revision, _)| (peer_revision, now));
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
                let follower = self.part(part);
                let missing = follower.missing_histories;
                follower.missing_histories += 1;
                // A list is repeated with a delay, since the store may not keep the changes after
                // it either.
                let delay = match missing {
                    0 => Duration::ZERO,
                    missing => RETRY_BOUNDS.delay(missing, &mut self.random),
                };
                vec![DirectoryEffect::List(part, delay)]
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
                effects.extend(self.end_unlisted_evacuations(now));
                effects.extend(self.catch_up(now));
                effects
            }
        }
    }
}
