//! State of the platform: objects, their history, waiting watches and VMs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SecondaryMap;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::StateController;

use super::messages::{
    CallCounts, CallKey, ChangeBatch, ChangeCondition, ListedVm, ObjectChange, PlatformEffect,
    PlatformMessage, PlatformRequest, PlatformResponse,
};

/// Largest content of an object, in bytes.
pub const MAX_CONTENT_BYTES: usize = 1 << 20;

/// Maximum number of bytes of content in the history, so that large objects do not use up
/// the memory of a test machine.
const MAX_HISTORY_BYTES: usize = 64 << 20;

/// Objects and version of the store at one moment, as a backup holds them.
#[derive(Clone, Debug, Default)]
pub struct PlatformSnapshot {
    objects: BTreeMap<String, (u64, Arc<str>)>,
    version: u64,
}

#[derive(Debug)]
struct WaitingWatch {
    prefix: String,
    after: u64,
}

/// State of the platform. It depends only on the messages handled and their times.
#[derive(Debug)]
pub struct PlatformState {
    stored: PlatformSnapshot,
    /// Number of restores so far.
    era: u64,
    history: VecDeque<ObjectChange>,
    history_bytes: usize,
    history_limit: usize,
    /// Version of the newest change that the history has dropped.
    dropped_version: u64,
    watches: SecondaryMap<CallKey, WaitingWatch>,
    /// Lists of VMs with the time at which each was set, oldest first.
    vm_lists: VecDeque<(Timestamp, Vec<ListedVm>)>,
    vm_lag: Duration,
    counts: CallCounts,
}

impl PlatformState {
    /// Creates a state from a snapshot, with an empty history.
    pub fn new(stored: PlatformSnapshot, history_limit: usize, vm_lag: Duration) -> Self {
        Self {
            dropped_version: stored.version,
            stored,
            era: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            history_limit,
            watches: SecondaryMap::new(),
            vm_lists: VecDeque::new(),
            vm_lag,
            counts: CallCounts::default(),
        }
    }

    /// Returns a copy of the objects and the version of the store.
    pub fn snapshot(&self) -> PlatformSnapshot {
        self.stored.clone()
    }

    /// Replaces the objects and the version of the store by those of a backup. Drops the
    /// history and waiting watches, and keeps the VMs and counts. Begins an era.
    pub fn restore(&mut self, stored: PlatformSnapshot) {
        self.era += 1;
        self.dropped_version = stored.version;
        self.stored = stored;
        self.history.clear();
        self.history_bytes = 0;
        self.watches.clear();
    }

    /// Returns the number of restores so far.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> CallCounts {
        CallCounts { waiting_watches: self.watches.len() as u64, ..self.counts.clone() }
    }

    /// Counts a call that the rate limit refused.
    pub fn count_limited(&mut self) {
        self.counts.limited += 1;
    }

    fn read(&self, name: &str) -> PlatformResponse {
        match self.stored.objects.get(name) {
            Some((version, content)) => {
                PlatformResponse::Object { version: *version, content: content.clone() }
            }
            None => PlatformResponse::Missing,
        }
    }

    fn list(&self, prefix: &str) -> ChangeBatch {
        let from_prefix = self.stored.objects.range(prefix.to_owned()..);
        let mut changes: Vec<_> = from_prefix
            .take_while(|(name, _)| name.starts_with(prefix))
            .map(|(name, (version, content))| ObjectChange {
                name: name.clone(),
                version: *version,
                content: Some(content.clone()),
            })
            .collect();
        changes.sort_by_key(|change| change.version);
        ChangeBatch { version: self.stored.version, changes }
    }

    /// Writes an object, or deletes it if `content` is `None`.
    fn change(
        &mut self,
        name: String,
        content: Option<Arc<str>>,
        condition: ChangeCondition,
    ) -> PlatformResponse {
        if content.as_ref().is_some_and(|content| content.len() > MAX_CONTENT_BYTES) {
            return PlatformResponse::TooLarge;
        }
        let current = self.stored.objects.get(&name).map_or(0, |(version, _)| *version);
        let holds = match condition {
            ChangeCondition::Absent => current == 0,
            ChangeCondition::AtVersion(version) => current != 0 && current == version,
        };
        if !holds {
            return PlatformResponse::Conflict { version: current };
        }
        self.stored.version += 1;
        let version = self.stored.version;
        match &content {
            Some(content) => {
                self.stored.objects.insert(name.clone(), (version, content.clone()));
            }
            None => {
                self.stored.objects.remove(&name);
            }
        }
        self.add_to_history(ObjectChange { name, version, content });
        PlatformResponse::Changed { version }
    }

    fn add_to_history(&mut self, change: ObjectChange) {
        self.history_bytes += change.content_bytes();
        self.history.push_back(change);
        while self.history.len() > self.history_limit || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(dropped) = self.history.pop_front() else { return };
            self.history_bytes -= dropped.content_bytes();
            self.dropped_version = dropped.version;
        }
    }

    /// Returns the changes after a version, or `None` if the client has to list the
    /// objects: when the history does not reach back to the version, or when the version
    /// is ahead of the store because a backup was restored since.
    fn changes_after(&self, prefix: &str, after: u64) -> Option<ChangeBatch> {
        if after < self.dropped_version || after > self.stored.version {
            return None;
        }
        let changes = self.history.iter();
        let changes = changes
            .filter(|change| change.version > after && change.name.starts_with(prefix))
            .cloned()
            .collect();
        Some(ChangeBatch { version: self.stored.version, changes })
    }

    fn watch(&mut self, call: CallKey, prefix: String, after: u64) -> Option<PlatformResponse> {
        match self.changes_after(&prefix, after) {
            None => Some(PlatformResponse::TooOld),
            Some(batch) if !batch.changes.is_empty() => Some(PlatformResponse::Batch(batch)),
            Some(_) => {
                self.watches.insert(call, WaitingWatch { prefix, after });
                None
            }
        }
    }

    fn end_watch(&mut self, call: CallKey) -> Option<PlatformResponse> {
        let watch = self.watches.remove(call)?;
        Some(self.watch_response(&watch))
    }

    fn watch_response(&self, watch: &WaitingWatch) -> PlatformResponse {
        self.changes_after(&watch.prefix, watch.after)
            .map_or(PlatformResponse::TooOld, PlatformResponse::Batch)
    }

    /// Responds to the watches whose prefix matches the newest change.
    fn wake_watches(&mut self) -> Vec<PlatformEffect> {
        let Some(name) = self.history.back().map(|change| change.name.clone()) else {
            return Vec::new();
        };
        let matching: Vec<_> = self
            .watches
            .iter()
            .filter(|(_, watch)| name.starts_with(&watch.prefix))
            .map(|(call, _)| call)
            .collect();
        matching
            .into_iter()
            .filter_map(|call| Some(PlatformEffect { call, response: self.end_watch(call)? }))
            .collect()
    }

    fn set_vms(&mut self, vms: Vec<ListedVm>, now: Timestamp) {
        while self.vm_lists.get(1).is_some_and(|(set_at, _)| *set_at + self.vm_lag <= now) {
            self.vm_lists.pop_front();
        }
        // The first list is the initial state and takes effect at once.
        let set_at = if self.vm_lists.is_empty() { Timestamp::default() } else { now };
        self.vm_lists.push_back((set_at, vms));
    }

    fn list_vms(&self, now: Timestamp) -> Vec<ListedVm> {
        let mut effective = self.vm_lists.iter().rev();
        let effective = effective.find(|(set_at, _)| *set_at + self.vm_lag <= now);
        effective.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}

impl StateController for PlatformState {
    type Message = PlatformMessage;
    type Effect = PlatformEffect;

    fn handle(&mut self, message: PlatformMessage, now: Timestamp) -> Vec<PlatformEffect> {
        let PlatformMessage { call, request } = message;
        if let Some(kind) = request.kind() {
            self.counts.add(kind);
        }
        let response = match request {
            PlatformRequest::Read { name } => Some(self.read(&name)),
            PlatformRequest::List { prefix } => Some(PlatformResponse::Batch(self.list(&prefix))),
            PlatformRequest::Write { name, content, condition } => {
                Some(self.change(name, Some(content), condition))
            }
            PlatformRequest::Delete { name, version } => {
                Some(self.change(name, None, ChangeCondition::AtVersion(version)))
            }
            PlatformRequest::Watch { prefix, after } => self.watch(call, prefix, after),
            PlatformRequest::EndWatch => self.end_watch(call),
            PlatformRequest::ListVms => Some(PlatformResponse::Vms(self.list_vms(now))),
            PlatformRequest::Seed { name, content } => {
                let condition = match self.stored.objects.get(&name) {
                    Some((version, _)) => ChangeCondition::AtVersion(*version),
                    None => ChangeCondition::Absent,
                };
                Some(self.change(name, Some(content), condition))
            }
            PlatformRequest::SetVms { vms } => {
                self.set_vms(vms, now);
                Some(PlatformResponse::Done)
            }
        };
        let changed = matches!(response, Some(PlatformResponse::Changed { .. }));
        let mut effects: Vec<_> =
            response.map(|response| PlatformEffect { call, response }).into_iter().collect();
        if changed {
            effects.extend(self.wake_watches());
        }
        effects
    }
}
