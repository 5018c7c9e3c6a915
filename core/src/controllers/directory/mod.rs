//! Directory: follows the targets and the configuration that the platform keeps.
//!
//! Each part is listed once and then watched. A lost watch resumes where it
//! ended; a list replaces it only when the platform no longer keeps the changes
//! in between. Objects and versions never go back, whatever a stale read returns.

mod fleet;
mod records;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use strum::IntoEnumIterator;

use records::TargetRecord;

use super::StateController;
use crate::backoff::BackoffBounds;
use crate::clock::Timestamp;
use crate::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
};
use crate::fleet::FleetSnapshot;

/// The same after the store was away: live targets register again within about 2 s.
const RETURN_DELAY: Duration = Duration::from_millis(2_000);

/// Time without an answer of the store after which registrations may have lapsed.
const LAPSE_AFTER: Duration = Duration::from_secs(1);

/// Delays between failed calls. All entries retry while the store is away, and it
/// counts each call; 500 ms and the time of a lost watch find it again within the 3 s
/// after which changes count.
const RETRY_BOUNDS: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(200), longest: Duration::from_millis(500) };

/// Time that the watch of an entry has to deliver a change that another entry knows
/// already, before the change is read by itself.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);

/// Time between an answer with changes and the next watch. Changes come in series,
/// such as the registrations of a whole fleet, and each answer is a call that the
/// platform counts.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// What the directory controller is told.
#[derive(Clone, Debug)]
pub enum DirectoryMessage {
    /// Everything that a part holds.
    Listed(DirectoryPart, DirectoryBatch),
    /// What changed in a part.
    Watched(DirectoryPart, DirectoryBatch),
    /// A call failed; what is known stays in force.
    Failed(DirectoryPart),
    /// The changes since the last batch are no longer kept.
    HistoryGone(DirectoryPart),
    /// Another entry knows a change of this revision.
    PeerRevision(DirectoryPart, u64),
    /// The answer to a call that caught up with other entries; none if it failed.
    CaughtUp(DirectoryPart, Option<DirectoryBatch>),
    /// Time has passed; due every 100 ms.
    Tick,
}

/// What the directory controller asks for.
#[derive(Clone, Debug)]
pub enum DirectoryEffect {
    /// List a part after a delay.
    List(DirectoryPart, Duration),
    /// Watch a part from a revision after a delay.
    Watch(DirectoryPart, u64, Duration),
    /// Read what changed in a part since a revision, or all of it, without the lag
    /// that a watch may have.
    CatchUp(DirectoryPart, Option<u64>),
    /// The newest change of a part that is known has this revision.
    Revision(DirectoryPart, u64),
    /// Publish these services and routes.
    Publish(Arc<FleetSnapshot>),
    /// The entry knows enough to serve callers.
    Ready,
    /// Answers of the store returned after this time without any.
    Recovered(DirectoryPart, Duration),
    /// A target was added, changed or dropped.
    TargetChanged(TargetChange),
}

/// A change of one target, for the log.
#[derive(Clone, Debug)]
pub struct TargetChange {
    /// Identity of the target.
    pub id: String,
    /// Revision of the change.
    pub revision: u64,
    /// What is now held of it.
    pub state: &'static str,
}

/// Progress of one part.
#[derive(Debug, Default)]
struct PartFollower {
    revision: Option<u64>,
    /// Revision of the newest change that is known.
    newest_change: u64,
    /// The newest change that another entry knows, and since when.
    heard: Option<(u64, Timestamp)>,
    /// Whether a call that catches up is under way.
    catching_up: bool,
    /// Whether that call has to list, because the history is gone.
    must_list: bool,
    failures: u32,
    lost_since: Option<Timestamp>,
}

/// How a directory is used, as the operator of the entries sets it.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectorySettings {
    /// Retries and hedges allowed, as a share of the first attempts.
    pub retry_ratio: f64,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self { retry_ratio: 0.1 }
    }
}

/// Owns the targets and the configuration as the directory states them.
#[derive(Debug)]
pub struct DirectoryController {
    targets: IndexMap<String, TargetRecord>,
    /// Revisions of removals, so that a stale list does not bring a target back.
    removed: IndexMap<String, u64>,
    configuration: Option<OperatorConfiguration>,
    parts: [PartFollower; 2],
    /// When a call for either part was last answered.
    answered: Timestamp,
    /// Until when removals are held back because the store was away.
    returned_until: Timestamp,
    fleet: FleetSnapshot,
    terms: DirectorySettings,
    first_draw: u32,
    random: SmallRng,
    ready: bool,
}

impl DirectoryController {
    /// Creates a controller. `seed` drives the jitter of its retries and where
    /// split routes start.
    pub fn new(terms: DirectorySettings, seed: u64) -> Self {
        Self {
            targets: IndexMap::new(),
            removed: IndexMap::new(),
            configuration: None,
            parts: Default::default(),
            random: SmallRng::seed_from_u64(seed),
            answered: Timestamp::default(),
            returned_until: Timestamp::default(),
            fleet: FleetSnapshot::default(),
            terms,
            first_draw: seed as u32,
            ready: false,
        }
    }

    /// Gives the calls to start with.
    pub fn start(&self) -> Vec<DirectoryEffect> {
        DirectoryPart::iter().map(|part| DirectoryEffect::List(part, Duration::ZERO)).collect()
    }

    fn part(&mut self, part: DirectoryPart) -> &mut PartFollower {
        &mut self.parts[part as usize]
    }

    /// Notes an answer of the store and when it had been away.
    fn note_answer(&mut self, part: DirectoryPart, now: Timestamp) -> Option<DirectoryEffect> {
        let follower = self.part(part);
        follower.failures = 0;
        let lost_since = follower.lost_since.take()?;
        // An answer for the other part meanwhile shows that the store was not away.
        if now.since(lost_since.max(self.answered)) >= LAPSE_AFTER {
            self.returned_until = now + RETURN_DELAY;
            for record in self.targets.values_mut() {
                record.drop_at = record.drop_at.map(|_| now + RETURN_DELAY);
            }
        }
        Some(DirectoryEffect::Recovered(part, now.since(lost_since)))
    }

    /// Applies a batch and goes on to watch.
    fn follow(
        &mut self,
        part: DirectoryPart,
        batch: DirectoryBatch,
        listed: bool,
        now: Timestamp,
    ) -> Vec<DirectoryEffect> {
        let mut effects: Vec<_> = self.note_answer(part, now).into_iter().collect();
        let pause = if batch.changes.is_empty() { Duration::ZERO } else { WATCH_PAUSE };
        effects.extend(self.take_batch(part, batch, listed, now));
        let revision = self.part(part).revision.unwrap_or(0);
        effects.push(DirectoryEffect::Watch(part, revision, pause));
        effects
    }

    fn take_batch(
        &mut self,
        part: DirectoryPart,
        batch: DirectoryBatch,
        listed: bool,
        now: Timestamp,
    ) -> Vec<DirectoryEffect> {
        self.answered = now;
        let mut effects = Vec::new();
        let newest = batch.changes.iter().map(|change| change.revision).max().unwrap_or(0);
        let mut changed = false;
        if listed && part == DirectoryPart::Targets {
            changed |= self.drop_unlisted(&batch, now, &mut effects);
        }
        for change in batch.changes {
            changed |= self.take_change(change, now, &mut effects);
        }
        let follower = self.part(part);
        let revision = batch.revision.max(follower.revision.unwrap_or(0));
        follower.revision = Some(revision);
        if newest > follower.newest_change {
            follower.newest_change = newest;
            effects.push(DirectoryEffect::Revision(part, newest));
        }
        // A list holds all that changed up to its revision, removals included.
        let covered = if listed { revision } else { follower.newest_change };
        follower.heard = follower.heard.filter(|(heard, _)| *heard > covered);
        // Routes without the targets, or the other way, would refuse what can be served
        // a moment later.
        let complete = self.parts.iter().all(|part| part.revision.is_some());
        if complete && (changed || !self.ready) {
            effects.extend(self.publish(now));
        }
        effects.extend(self.readiness(complete));
        effects
    }

    fn take_change(
        &mut self,
        change: DirectoryChange,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        match change.item {
            Some(DirectoryItem::Configuration(note)) => {
                let held = self.configuration.as_ref().map_or(0, |held| held.version);
                let newer = note.version > held;
                if newer {
                    self.configuration = Some(note);
                }
                newer
            }
            Some(DirectoryItem::Target(note)) => {
                self.take_target(change.name, change.revision, Some(note), effects)
            }
            Some(DirectoryItem::Unusable) => {
                self.take_target(change.name, change.revision, None, effects)
            }
            None => self.take_removal(&change.name, change.revision, now, effects),
        }
    }

    /// Asks for changes that other entries have known for a while.
    fn catch_up(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let mut effects = Vec::new();
        for part in DirectoryPart::iter() {
            let follower = self.part(part);
            let Some((_, since)) = follower.heard else { continue };
            let due = now.since(since) >= CATCH_UP_DELAY && follower.revision.is_some();
            if due && !follower.catching_up {
                follower.catching_up = true;
                let from = follower.revision.filter(|_| !follower.must_list);
                effects.push(DirectoryEffect::CatchUp(part, from));
            }
        }
        effects
    }

    fn take_caught_up(
        &mut self,
        part: DirectoryPart,
        batch: Option<DirectoryBatch>,
        now: Timestamp,
    ) -> Vec<DirectoryEffect> {
        let follower = self.part(part);
        follower.catching_up = false;
        let listed = std::mem::take(&mut follower.must_list);
        let Some(batch) = batch else {
            // A call that failed is tried again after the same delay, by a list.
            follower.must_list = !listed;
            follower.heard = follower.heard.map(|(heard, _)| (heard, now));
            return Vec::new();
        };
        let effects = self.take_batch(part, batch, listed, now);
        // What the store does not show now was no change of this part.
        self.part(part).heard = None;
        effects
    }

    fn readiness(&mut self, complete: bool) -> Option<DirectoryEffect> {
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
                follower.lost_since.get_or_insert(now);
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
                if revision > follower.newest_change {
                    let since = follower.heard.map_or(now, |(_, since)| since);
                    follower.heard = Some((revision, since));
                }
                Vec::new()
            }
            DirectoryMessage::CaughtUp(part, batch) => self.take_caught_up(part, batch, now),
            DirectoryMessage::Tick => {
                let mut effects = self.drop_due(now);
                effects.extend(self.catch_up(now));
                effects
            }
        }
    }
}
