//! Bounded queue of the requests that wait for a slot of one service.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::rank::{RankQueue, WaitingCall};
use crate::call::{CallFacts, ReasonCode};
use crate::clock::Timestamp;
use crate::decision::AdmissionTrace;
use crate::keys::CallerKey;

slotmap::new_key_type! {
    /// Identifies a request that waits in an admission queue.
    pub struct WaitKey;
}

/// Limits of an admission queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    /// Greatest number of requests that wait.
    pub max_waiting: usize,
    /// Greatest number of requests of better ranks that go ahead of a rank
    /// before that rank goes next.
    pub max_overtakes: u32,
}

/// Rate at which slots become free, for estimates of the wait.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// Requests that may be in flight at the same time.
    pub window: u32,
    /// Recent mean time that a request is in flight.
    pub service_time: Duration,
    /// Whether only requests may wait whose answers keep their full worth, because
    /// more of them arrive than can be served.
    pub enforces_soft_deadline: bool,
}

impl ServiceRate {
    /// Estimates the time until `requests` requests have been admitted.
    pub fn time_to_admit(self, requests: usize) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(requests) / self.window.max(1)
    }
}

/// Why a request may not join the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// The rule that refused.
    pub reason: ReasonCode,
    /// Estimated time until a new request of the same rank would be admitted at once.
    pub retry_after: Duration,
}

/// Time after which another try is worthwhile where no queue says so.
const USUAL_RETRY: Duration = Duration::from_millis(200);

impl AdmissionRefusal {
    /// Creates a refusal that does not come from the state of a queue.
    pub fn with_default_delay(reason: ReasonCode) -> Self {
        Self { reason, retry_after: USUAL_RETRY }
    }
}

/// A request that joined the queue.
#[derive(Debug)]
pub struct JoinedCall<W> {
    /// Its place.
    pub key: WaitKey,
    /// The request that lost its place to it because the queue was full.
    pub displaced: Option<W>,
}

/// A request that left the queue.
#[derive(Debug)]
pub enum QueueDeparture<W> {
    /// It goes next. The admission number of the trace is set by the caller.
    Admitted(AdmissionTrace, W),
    /// Its deadline passed while it waited.
    Expired(W),
}

/// Requests that wait for a slot of one service, ordered by rank, then by
/// turns of their callers, then by deadline.
#[derive(Debug)]
pub struct AdmissionQueue<W> {
    limits: AdmissionLimits,
    calls: SlotMap<WaitKey, WaitingCall<W>>,
    ranks: BTreeMap<u8, RankQueue>,
    deadlines: BTreeMap<(Timestamp, u64), WaitKey>,
    joined: u64,
}

impl<W> AdmissionQueue<W> {
    /// Creates an empty queue.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            calls: SlotMap::with_key(),
            ranks: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            joined: 0,
        }
    }

    /// Replaces the limits. Requests that already wait keep their places.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Counts the requests that wait.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a request. When the queue is full, the request takes the place of
    /// one of a worse rank, or of a caller with more requests of the same rank.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the deadline cannot be met or no place is left.
    pub fn join(
        &mut self,
        facts: &CallFacts,
        waiter: W,
        rate: ServiceRate,
        now: Timestamp,
    ) -> Result<JoinedCall<W>, AdmissionRefusal> {
        let refusal = |reason| AdmissionRefusal {
            reason,
            retry_after: rate.time_to_admit(self.up_to(facts.rank) + 1),
        };
        let expected = rate.time_to_admit(self.ahead_of(facts) + 1);
        let latest =
            if rate.enforces_soft_deadline { facts.soft_deadline() } else { facts.deadline };
        if now + expected + rate.service_time >= latest {
            return Err(refusal(ReasonCode::DeadlineUnreachable));
        }
        let mut displaced = None;
        if self.calls.len() >= self.limits.max_waiting {
            let victim = self.victim_for(facts).ok_or_else(|| refusal(ReasonCode::QueueFull))?;
            displaced = self.remove(victim);
        }
        self.joined += 1;
        let call = WaitingCall {
            waiter,
            rank: facts.rank,
            caller: facts.caller,
            useful_until: facts.soft_deadline(),
            deadline: facts.deadline,
            order: self.joined,
            queued: now,
            queue_length: self.calls.len() as u32,
            overtaken: 0,
        };
        let (place, deadline_place) = (call.place(), call.deadline_place());
        let key = self.calls.insert(call);
        self.deadlines.insert(deadline_place, key);
        self.ranks.entry(facts.rank).or_default().add(facts.caller, place, key);
        Ok(JoinedCall { key, displaced })
    }

    /// Removes a request whose caller no longer waits.
    pub fn remove(&mut self, key: WaitKey) -> Option<W> {
        let call = self.calls.remove(key)?;
        self.forget(&call);
        Some(call.waiter)
    }

    /// Takes out the next request: one whose deadline cannot be met any more, if
    /// any, else the one that is admitted next. A request that takes `service_time`
    /// and would end after its answer has lost its worth gives way to all that can
    /// still be useful, whatever their rank.
    pub fn take_next(
        &mut self,
        now: Timestamp,
        service_time: Duration,
    ) -> Option<QueueDeparture<W>> {
        self.depart(now, service_time, |queue| queue.next_useful().or_else(|| queue.next_late()))
    }

    /// Takes out the next request among those that come too late to keep their full
    /// worth, if there is one.
    pub fn take_late(
        &mut self,
        now: Timestamp,
        service_time: Duration,
    ) -> Option<QueueDeparture<W>> {
        self.depart(now, service_time, Self::next_late)
    }

    fn depart(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        choose: impl FnOnce(&Self) -> Option<(WaitKey, ReasonCode)>,
    ) -> Option<QueueDeparture<W>> {
        if let Some(waiter) = self.take_expired(now) {
            return Some(QueueDeparture::Expired(waiter));
        }
        self.demote_late(now + service_time);
        let (key, rule) = choose(self)?;
        let call = self.calls.remove(key)?;
        self.forget(&call);
        self.count_overtakes(&call);
        let trace = AdmissionTrace {
            rule,
            queued: call.queued,
            admitted: now,
            admission_number: 0,
            queue_length: call.queue_length,
            overtaken: call.overtaken,
        };
        Some(QueueDeparture::Admitted(trace, call.waiter))
    }

    /// Takes out the requests that cannot be served any more: those that would end
    /// after their deadline and, when useful ones wait for more than a moment, those
    /// that come too late to be worth it.
    pub fn remove_unservable(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        overloaded: bool,
    ) -> Vec<W> {
        let end = now + service_time;
        self.demote_late(end);
        let hopeless = self.deadlines.range(..(end, 0)).map(|(_, key)| *key);
        let mut keys: Vec<WaitKey> = hopeless.collect();
        if overloaded {
            keys.extend(self.ranks.values().flat_map(|queue| queue.late.values()));
        }
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Sets aside the requests that would end after `end` of their usefulness.
    fn demote_late(&mut self, end: Timestamp) {
        for queue in self.ranks.values_mut() {
            let late: Vec<WaitKey> = queue
                .callers
                .values()
                .flat_map(|calls| calls.range(..(end, 0)).map(|(_, key)| *key))
                .collect();
            for key in late {
                if let Some(call) = self.calls.get(key) {
                    queue.demote(key, call);
                }
            }
        }
    }

    fn next_useful(&self) -> Option<(WaitKey, ReasonCode)> {
        let (rank, forced) = self.next_rank()?;
        let queue = self.ranks.get(&rank)?;
        let key = queue.next_useful()?;
        Some((key, self.rule_for(rank, forced, *queue.turns.front()?)))
    }

    /// Gives the request of the best rank with the nearest deadline among those
    /// that come too late.
    fn next_late(&self) -> Option<(WaitKey, ReasonCode)> {
        let late = self.ranks.values().find_map(|queue| queue.late.first_key_value());
        late.map(|(_, key)| (*key, ReasonCode::DeadlineFirst))
    }

    fn take_expired(&mut self, now: Timestamp) -> Option<W> {
        let (place, key) = self.deadlines.first_key_value()?;
        if place.0 > now {
            return None;
        }
        self.remove(*key)
    }

    /// Gives the rank that goes next and whether it was overtaken often enough.
    /// Of several such ranks the worst goes first: serving a better one would
    /// overtake the worst once more than allowed.
    fn next_rank(&self) -> Option<(u8, bool)> {
        let limit = self.limits.max_overtakes;
        let mut useful = self.ranks.iter().filter(|(_, queue)| !queue.callers.is_empty());
        let first = useful.clone().next().map(|(rank, _)| (*rank, false))?;
        let forced = useful.rfind(|(_, queue)| queue.overtaken >= limit);
        forced.map(|(rank, _)| (*rank, true)).or(Some(first))
    }

    fn rule_for(&self, rank: u8, forced: bool, caller: CallerKey) -> ReasonCode {
        let queue = &self.ranks[&rank];
        if forced && self.ranks.keys().any(|other| *other < rank) {
            ReasonCode::OvertakenEnough
        } else if self.ranks.keys().any(|other| *other > rank) {
            ReasonCode::RankFirst
        } else if queue.callers.len() > 1 {
            ReasonCode::CallerTurn
        } else if queue.waiting_of(caller) > 1 {
            ReasonCode::DeadlineFirst
        } else {
            ReasonCode::AdmittedAfterWait
        }
    }

    /// Updates the counts of those that the admitted request overtook, and lets
    /// its caller take the next turn last. Walks the queue, which is bounded.
    fn count_overtakes(&mut self, admitted: &WaitingCall<W>) {
        for call in self.calls.values_mut().filter(|call| call.order < admitted.order) {
            call.overtaken += 1;
        }
        for (rank, queue) in &mut self.ranks {
            if *rank > admitted.rank {
                queue.overtaken += 1;
            }
        }
        if let Some(queue) = self.ranks.get_mut(&admitted.rank) {
            queue.overtaken = 0;
            if queue.turns.front() == Some(&admitted.caller) {
                queue.turns.rotate_left(1);
            }
        }
    }

    fn forget(&mut self, call: &WaitingCall<W>) {
        self.deadlines.remove(&call.deadline_place());
        if let Some(queue) = self.ranks.get_mut(&call.rank) {
            if queue.late.remove(&call.deadline_place()).is_some() {
                queue.waiting -= 1;
            } else {
                queue.remove(call.caller, call.place());
            }
            if queue.waiting == 0 {
                self.ranks.remove(&call.rank);
            }
        }
    }

    fn up_to(&self, rank: u8) -> usize {
        self.ranks.range(..=rank).map(|(_, queue)| queue.waiting).sum()
    }

    fn ahead_of(&self, facts: &CallFacts) -> usize {
        let better: usize = self.ranks.range(..facts.rank).map(|(_, queue)| queue.waiting).sum();
        better + self.ranks.get(&facts.rank).map_or(0, |queue| queue.ahead_of(facts.caller))
    }

    /// Gives the last request of the caller with the most requests in the worst rank.
    fn victim_for(&self, facts: &CallFacts) -> Option<WaitKey> {
        let (rank, queue) = self.ranks.last_key_value()?;
        if let Some((_, late)) = queue.late.last_key_value() {
            return Some(*late);
        }
        let calls = queue.callers.values().max_by_key(|calls| calls.len())?;
        let own = queue.waiting_of(facts.caller);
        let gives_way = *rank > facts.rank || (*rank == facts.rank && calls.len() > own + 1);
        gives_way.then(|| calls.last_key_value().map(|(_, key)| *key))?
    }
}
