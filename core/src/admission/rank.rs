//! Requests of one rank that wait, in the order in which their callers take turns.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::queue::WaitKey;
use crate::clock::Timestamp;
use crate::keys::CallerKey;

#[derive(Debug)]
pub(super) struct WaitingCall<W> {
    pub(super) waiter: W,
    pub(super) rank: u8,
    pub(super) caller: CallerKey,
    pub(super) useful_until: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) order: u64,
    pub(super) queued: Timestamp,
    pub(super) queue_length: u32,
    pub(super) overtaken: u32,
}

impl<W> WaitingCall<W> {
    /// Gives its place among those of its caller that can still be useful.
    pub(super) fn place(&self) -> (Timestamp, u64) {
        (self.useful_until, self.order)
    }

    /// Gives its place among all by deadline.
    pub(super) fn deadline_place(&self) -> (Timestamp, u64) {
        (self.deadline, self.order)
    }
}

/// Requests of one rank. Callers take turns; a caller that has been served, or
/// that is new, goes to the back.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    pub(super) turns: VecDeque<CallerKey>,
    pub(super) callers: HashMap<CallerKey, BTreeMap<(Timestamp, u64), WaitKey>>,
    /// Requests whose answers come too late to have their full worth, by deadline.
    pub(super) late: BTreeMap<(Timestamp, u64), WaitKey>,
    pub(super) waiting: usize,
    pub(super) overtaken: u32,
}

impl RankQueue {
    pub(super) fn add(&mut self, caller: CallerKey, place: (Timestamp, u64), key: WaitKey) {
        let calls = self.callers.entry(caller).or_default();
        if calls.is_empty() {
            self.turns.push_back(caller);
        }
        calls.insert(place, key);
        self.waiting += 1;
    }

    pub(super) fn remove(&mut self, caller: CallerKey, place: (Timestamp, u64)) {
        let Some(calls) = self.callers.get_mut(&caller) else { return };
        if calls.remove(&place).is_some() {
            self.waiting -= 1;
        }
        if calls.is_empty() {
            self.callers.remove(&caller);
            self.turns.retain(|turn| *turn != caller);
        }
    }

    /// Moves a request to those that come too late.
    pub(super) fn demote<W>(&mut self, key: WaitKey, call: &WaitingCall<W>) {
        self.remove(call.caller, call.place());
        self.late.insert(call.deadline_place(), key);
        self.waiting += 1;
    }

    /// Gives the request whose turn it is among those that can still be useful.
    pub(super) fn next_useful(&self) -> Option<WaitKey> {
        let calls = self.callers.get(self.turns.front()?)?;
        calls.first_key_value().map(|(_, key)| *key)
    }

    pub(super) fn waiting_of(&self, caller: CallerKey) -> usize {
        self.callers.get(&caller).map_or(0, BTreeMap::len)
    }

    /// Counts the requests that go before a new one of `caller`, which waits
    /// for all earlier turns of its own and as many of each other caller.
    pub(super) fn ahead_of(&self, caller: CallerKey) -> usize {
        let own = self.waiting_of(caller);
        let others = self.callers.iter().filter(|(other, _)| **other != caller);
        own + others.map(|(_, calls)| calls.len().min(own + 1)).sum::<usize>()
    }
}
