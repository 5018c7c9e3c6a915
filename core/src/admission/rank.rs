//! Waiting requests of one rank, served round robin over their callers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::queue::WaitKey;
use crate::clock::Timestamp;
use crate::keys::CallerKey;

/// A waiting request with the attributes that decide its position in the queue.
#[derive(Debug)]
pub(super) struct WaitingCall<W> {
    pub(super) waiter: W,
    pub(super) rank: u8,
    pub(super) caller: CallerKey,
    pub(super) soft_deadline: Timestamp,
    pub(super) deadline: Timestamp,
    /// Number of the request in the order of joining.
    pub(super) order: u64,
    pub(super) queued: Timestamp,
    /// Number of requests that waited when it joined.
    pub(super) queue_length: u32,
    /// Number of requests that joined later and were admitted before it.
    pub(super) overtaken: u32,
}

impl<W> WaitingCall<W> {
    /// Returns its position among the requests of its caller that can meet their soft
    /// deadline.
    pub(super) fn position(&self) -> (Timestamp, u64) {
        (self.soft_deadline, self.order)
    }

    /// Returns its position among all requests by deadline.
    pub(super) fn deadline_position(&self) -> (Timestamp, u64) {
        (self.deadline, self.order)
    }
}

/// Waiting requests of one rank. Callers take turns; a new caller and one that has just
/// been served go to the back.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    /// Callers in the order of their turns.
    pub(super) turns: VecDeque<CallerKey>,
    /// Requests that can meet their soft deadline, by caller and soft deadline.
    pub(super) callers: HashMap<CallerKey, BTreeMap<(Timestamp, u64), WaitKey>>,
    /// Requests that cannot meet their soft deadline, by deadline.
    pub(super) late: BTreeMap<(Timestamp, u64), WaitKey>,
    /// Number of all waiting requests of the rank.
    pub(super) waiting: usize,
    /// Requests of better ranks admitted since the last admission of this rank.
    pub(super) overtaken: u32,
}

impl RankQueue {
    pub(super) fn add(&mut self, caller: CallerKey, position: (Timestamp, u64), key: WaitKey) {
        let calls = self.callers.entry(caller).or_default();
        if calls.is_empty() {
            self.turns.push_back(caller);
        }
        calls.insert(position, key);
        self.waiting += 1;
    }

    pub(super) fn remove(&mut self, caller: CallerKey, position: (Timestamp, u64)) {
        let Some(calls) = self.callers.get_mut(&caller) else { return };
        if calls.remove(&position).is_some() {
            self.waiting -= 1;
        }
        if calls.is_empty() {
            self.callers.remove(&caller);
            self.turns.retain(|turn| *turn != caller);
        }
    }

    /// Moves a request to the late ones, which cannot meet their soft deadline.
    pub(super) fn mark_late<W>(&mut self, key: WaitKey, call: &WaitingCall<W>) {
        self.remove(call.caller, call.position());
        self.late.insert(call.deadline_position(), key);
        self.waiting += 1;
    }

    /// Returns the next request among those that can meet their soft deadline.
    pub(super) fn next_timely(&self) -> Option<WaitKey> {
        let calls = self.callers.get(self.turns.front()?)?;
        calls.first_key_value().map(|(_, key)| *key)
    }

    /// Returns the number of requests of a caller that can meet their soft deadline.
    pub(super) fn waiting_count(&self, caller: CallerKey) -> usize {
        self.callers.get(&caller).map_or(0, BTreeMap::len)
    }

    /// Counts the requests that are admitted before a new one of `caller`: its own earlier
    /// ones, and at most one more than these of each other caller.
    pub(super) fn requests_ahead(&self, caller: CallerKey) -> usize {
        let own = self.waiting_count(caller);
        let others = self.callers.iter().filter(|(other, _)| **other != caller);
        own + others.map(|(_, calls)| calls.len().min(own + 1)).sum::<usize>()
    }
}
