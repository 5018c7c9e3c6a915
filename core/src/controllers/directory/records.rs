//! Registered targets, and when removed ones are dropped.

use std::collections::HashSet;
use std::time::Duration;

use super::warm_up::ColdPeriod;
use super::{DirectoryController, DirectoryEffect, TargetChange};
use crate::clock::Timestamp;
use crate::directory::{DirectoryBatch, RegisteredTarget, StoreRevision};

/// Time for which a target that was removed without announcing it stays in use. The
/// registration of a live target may have expired, in which case the target registers
/// again. A target that did leave still serves for the drain time, at least 2 s.
const REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// Greatest number of removals that are remembered; the oldest is dropped first.
const MAX_REMOVED: usize = 4096;

/// A registered target.
#[derive(Debug)]
pub(super) struct TargetRecord {
    pub(super) revision: StoreRevision,
    /// `None` for an object that describes no usable target.
    pub(super) target: Option<RegisteredTarget>,
    /// When the target is dropped after an unannounced removal.
    pub(super) drop_at: Option<Timestamp>,
    /// When the target was last cold, if it was.
    pub(super) cold: Option<ColdPeriod>,
}

impl TargetRecord {
    pub(super) fn new(revision: StoreRevision, target: Option<RegisteredTarget>) -> Self {
        Self { revision, target, drop_at: None, cold: None }
    }
}

impl DirectoryController {
    pub(super) fn apply_target(
        &mut self,
        name: String,
        record: TargetRecord,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let revision = record.revision;
        let known = self.targets.get(&name).map(|record| record.revision);
        let removed = self.removed.get(&name).copied();
        if known.max(removed).is_some_and(|known| known >= revision) {
            return false;
        }
        let state = match &record.target {
            None => "unusable",
            Some(target) if target.leaving => "leaving",
            Some(_) => "registered",
        };
        effects.push(target_changed(&name, revision, state));
        self.removed.shift_remove(&name);
        self.targets.insert(name, record);
        true
    }

    /// Removes a target that announced its removal or is not usable. Any other target stays
    /// in use for a while, since its registration may only have expired.
    pub(super) fn apply_removal(
        &mut self,
        name: &str,
        revision: StoreRevision,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let Some(record) = self.targets.get_mut(name) else {
            self.remove(name, revision);
            return false;
        };
        if record.revision > revision {
            return false;
        }
        let announced = record.target.as_ref().is_none_or(|target| target.leaving);
        if !announced {
            let due = (now + REMOVAL_DELAY).max(self.removals_delayed_until);
            record.revision = revision;
            record.drop_at.get_or_insert(due);
            effects.push(target_changed(name, revision, "removed-unannounced"));
            return false;
        }
        effects.push(target_changed(name, revision, "removed"));
        self.remove(name, revision);
        true
    }

    pub(super) fn remove(&mut self, name: &str, revision: StoreRevision) {
        self.targets.shift_remove(name);
        let known = self.removed.entry(name.to_owned()).or_default();
        *known = revision.max(*known);
        if self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
    }

    /// Treats targets that a list no longer contains as removed.
    pub(super) fn remove_unlisted(
        &mut self,
        batch: &DirectoryBatch,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let existing = batch.changes.iter().filter(|change| change.item.is_some());
        let listed: HashSet<&str> = existing.map(|change| change.name.as_str()).collect();
        let unlisted = self.targets.iter().filter(|(name, record)| {
            !listed.contains(name.as_str()) && record.revision <= batch.position()
        });
        let unlisted: Vec<String> = unlisted.map(|(name, _)| name.clone()).collect();
        let mut changed = false;
        for name in unlisted {
            changed |= self.apply_removal(&name, batch.position(), now, effects);
        }
        changed
    }

    pub(super) fn drop_due(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let due =
            self.targets.iter().filter(|(_, record)| record.drop_at.is_some_and(|at| at <= now));
        let due: Vec<(String, StoreRevision)> =
            due.map(|(name, record)| (name.clone(), record.revision)).collect();
        if due.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for (name, revision) in due {
            effects.push(target_changed(&name, revision, "dropped"));
            self.remove(&name, revision);
        }
        effects.extend(self.publish(now));
        effects
    }
}

fn target_changed(id: &str, revision: StoreRevision, state: &'static str) -> DirectoryEffect {
    DirectoryEffect::TargetChanged(TargetChange { id: id.to_owned(), revision, state })
}
