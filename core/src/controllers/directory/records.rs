//! Registered targets, and when those that were removed are given up.

use std::collections::HashSet;
use std::time::Duration;

use super::{DirectoryController, DirectoryEffect, TargetChange};
use crate::clock::Timestamp;
use crate::directory::{DirectoryBatch, RegisteredTarget};

/// Time for which a target that was removed without having announced it stays in
/// use. Such a removal may be a lapsed registration of a live target, which comes
/// back; a target that left serves on for the drain time, at least 2 s.
const REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// Removals that are remembered; the oldest makes room.
const MAX_REMOVED: usize = 4096;

/// A registered target.
#[derive(Debug)]
pub(super) struct TargetRecord {
    pub(super) revision: u64,
    /// None for an object that names no target to use.
    pub(super) note: Option<RegisteredTarget>,
    /// When it is dropped, after its removal.
    pub(super) drop_at: Option<Timestamp>,
}

impl DirectoryController {
    pub(super) fn take_target(
        &mut self,
        name: String,
        revision: u64,
        note: Option<RegisteredTarget>,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let known = self.targets.get(&name).map(|record| record.revision);
        let removed = self.removed.get(&name).copied();
        if known.max(removed).is_some_and(|held| held >= revision) {
            return false;
        }
        let state = match &note {
            None => "unusable",
            Some(note) if note.leaving => "leaving",
            Some(_) => "registered",
        };
        effects.push(changed(&name, revision, state));
        self.removed.shift_remove(&name);
        self.targets.insert(name, TargetRecord { revision, note, drop_at: None });
        true
    }

    /// Removes a target that announced it or names nothing to use; any other one
    /// is kept for a while.
    pub(super) fn take_removal(
        &mut self,
        name: &str,
        revision: u64,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let Some(record) = self.targets.get_mut(name) else {
            self.forget(name, revision);
            return false;
        };
        if record.revision > revision {
            return false;
        }
        let announced = record.note.as_ref().is_none_or(|note| note.leaving);
        if !announced {
            let due = (now + REMOVAL_DELAY).max(self.returned_until);
            record.revision = revision;
            record.drop_at.get_or_insert(due);
            effects.push(changed(name, revision, "removed-unannounced"));
            return false;
        }
        effects.push(changed(name, revision, "removed"));
        self.forget(name, revision);
        true
    }

    pub(super) fn forget(&mut self, name: &str, revision: u64) {
        self.targets.shift_remove(name);
        let known = self.removed.entry(name.to_owned()).or_default();
        *known = revision.max(*known);
        if self.removed.len() > MAX_REMOVED {
            self.removed.shift_remove_index(0);
        }
    }

    /// Treats what a list does not hold any more as removed.
    pub(super) fn drop_unlisted(
        &mut self,
        batch: &DirectoryBatch,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let listed: HashSet<&str> =
            batch.changes.iter().map(|change| change.name.as_str()).collect();
        let unlisted = self.targets.iter().filter(|(name, record)| {
            !listed.contains(name.as_str()) && record.revision <= batch.revision
        });
        let unlisted: Vec<String> = unlisted.map(|(name, _)| name.clone()).collect();
        let mut changed = false;
        for name in unlisted {
            changed |= self.take_removal(&name, batch.revision, now, effects);
        }
        changed
    }

    pub(super) fn drop_due(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let due =
            self.targets.iter().filter(|(_, record)| record.drop_at.is_some_and(|at| at <= now));
        let due: Vec<(String, u64)> =
            due.map(|(name, record)| (name.clone(), record.revision)).collect();
        if due.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for (name, revision) in due {
            effects.push(changed(&name, revision, "dropped"));
            self.forget(&name, revision);
        }
        effects.extend(self.publish(now));
        effects
    }
}

fn changed(id: &str, revision: u64, state: &'static str) -> DirectoryEffect {
    DirectoryEffect::TargetChanged(TargetChange { id: id.to_owned(), revision, state })
}
