//! Bounded queue of requests that wait for a slot of one service.

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
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum number of requests of better ranks that are admitted ahead of a waiting
    /// rank before that rank is admitted next.
    pub max_overtakes: u32,
}

/// Rate at which slots become free, used to estimate queueing times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceRate {
    /// Maximum number of requests in flight.
    pub window: u32,
    /// Recent mean time for which a request is in flight.
    pub service_time: Duration,
    /// Whether to refuse requests that cannot meet their soft deadline. Set under overload,
    /// when more requests arrive than can be served.
    pub enforces_soft_deadline: bool,
}

impl ServiceRate {
    /// Estimates the time until `requests` requests have been admitted.
    pub fn time_to_admit(self, requests: usize) -> Duration {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(requests) / self.window.max(1)
    }
}

/// Refusal of a request before it joins the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Rule that refused the request.
    pub reason: ReasonCode,
    /// Estimated time until a new request of the same rank would be admitted immediately.
    pub retry_after: Duration,
}

/// Retry delay of refusals that are not derived from the length of a queue.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

impl AdmissionRefusal {
    /// Creates a refusal that is not derived from the length of a queue and has the default
    /// retry delay.
    pub fn with_default_delay(reason: ReasonCode) -> Self {
        Self { reason, retry_after: DEFAULT_RETRY_DELAY }
    }
}

/// A request that joined the queue.
#[derive(Debug)]
pub struct JoinedCall<W> {
    /// Key of the request in the queue.
    pub key: WaitKey,
    /// Request that was removed to make room for it because the queue was full.
    pub displaced: Option<W>,
    /// Whether it is taken for a request that was refused before.
    pub is_returned: bool,
}

/// A request that left the queue.
#[derive(Debug)]
pub enum QueueDeparture<W> {
    /// Admitted. The user of the queue sets the admission number of the trace.
    Admitted(AdmissionTrace, W),
    /// Removed because its deadline passed while it waited.
    Expired(W),
}

/// Requests that wait for a slot of one service, ordered by rank, then round robin over
/// callers, then by soft deadline. Late requests, which cannot meet their soft deadline, come
/// after all others.
#[derive(Debug)]
pub struct AdmissionQueue<W> {
    limits: AdmissionLimits,
    calls: SlotMap<WaitKey, WaitingCall<W>>,
    ranks: BTreeMap<u8, RankQueue>,
    deadlines: BTreeMap<(Timestamp, u64), WaitKey>,
    /// Number of requests that have joined so far.
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

    /// Sets the limits. Requests that already wait stay in the queue.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a request. If the queue is full, removes another one in its favour: a late request
    /// of the worst rank, a request of a worse rank, or one of a caller with more waiting
    /// requests of the same rank.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the deadline cannot be met or the queue is full.
    pub fn join(
        &mut self,
        facts: &CallFacts,
        waiter: W,
        rate: ServiceRate,
        now: Timestamp,
    ) -> Result<JoinedCall<W>, AdmissionRefusal> {
        let refusal = |reason| AdmissionRefusal {
            reason,
            retry_after: rate.time_to_admit(self.waiting_up_to(facts.rank) + 1),
        };
        let expected = rate.time_to_admit(self.requests_ahead(facts) + 1);
        let latest =
            if rate.enforces_soft_deadline { facts.soft_deadline() } else { facts.deadline };
        if now + expected + rate.service_time >= latest {
            return Err(refusal(ReasonCode::DeadlineUnreachable));
        }
        let mut displaced = None;
        if self.calls.len() >= self.limits.max_waiting {
            let evicted =
                self.eviction_candidate(facts).ok_or_else(|| refusal(ReasonCode::QueueFull))?;
            displaced = self.remove(evicted);
        }
        self.joined += 1;
        let call = WaitingCall {
            waiter,
            rank: facts.rank,
            caller: facts.caller,
            soft_deadline: facts.soft_deadline(),
            deadline: facts.deadline,
            order: self.joined,
            queued: now,
            queue_length: self.calls.len() as u32,
            overtaken: 0,
        };
        let (position, deadline_position) = (call.position(), call.deadline_position());
        let key = self.calls.insert(call);
        self.deadlines.insert(deadline_position, key);
        self.ranks.entry(facts.rank).or_default().add(facts.caller, position, key);
        Ok(JoinedCall { key, displaced, is_returned: false })
    }

    /// Removes a request, for example because its caller has disconnected.
    pub fn remove(&mut self, key: WaitKey) -> Option<W> {
        let call = self.calls.remove(key)?;
        self.unlink(&call);
        Some(call.waiter)
    }

    /// Removes and returns the next request: one whose deadline has passed, if any,
    /// otherwise the one to admit next. Requests that would end after their soft deadline if
    /// they take `service_time` are admitted after all requests, of any rank, that can still
    /// meet theirs.
    pub fn take_next(
        &mut self,
        now: Timestamp,
        service_time: Duration,
    ) -> Option<QueueDeparture<W>> {
        self.take(now, service_time, |queue| queue.next_timely().or_else(|| queue.next_late()))
    }

    /// Removes and returns the next request for a target on which runs take `slowdown` times
    /// `service_time`, or an unknown time: the next of all if it can meet its soft deadline
    /// there, otherwise one that cannot meet it anywhere, or one whose deadline has passed.
    pub fn take_slowed(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        slowdown: Option<f32>,
    ) -> Option<QueueDeparture<W>> {
        let end = slowdown.map(|slowdown| now + service_time.mul_f32(slowdown));
        self.take(now, service_time, |queue| {
            let is_met = |key| {
                let call: Option<&WaitingCall<W>> = queue.calls.get(key);
                call.zip(end).is_some_and(|(call, end)| end <= call.soft_deadline)
            };
            queue.next_timely().filter(|(key, _)| is_met(*key)).or_else(|| queue.next_late())
        })
    }

    /// Removes and returns a request whose deadline has passed, if any, otherwise the one
    /// that `choose` returns.
    fn take(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        choose: impl FnOnce(&Self) -> Option<(WaitKey, ReasonCode)>,
    ) -> Option<QueueDeparture<W>> {
        if let Some(waiter) = self.take_expired(now) {
            return Some(QueueDeparture::Expired(waiter));
        }
        self.mark_late(now + service_time);
        let (key, rule) = choose(self)?;
        let call = self.calls.remove(key)?;
        self.unlink(&call);
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

    /// Removes and returns the requests that would end after their deadline and, if
    /// `overloaded`, also those that would end after their soft deadline.
    pub fn remove_unservable(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        overloaded: bool,
    ) -> Vec<W> {
        let end = now + service_time;
        self.mark_late(end);
        let unservable = self.deadlines.range(..(end, 0)).map(|(_, key)| *key);
        let mut keys: Vec<WaitKey> = unservable.collect();
        if overloaded {
            keys.extend(self.ranks.values().flat_map(|queue| queue.late.values()));
        }
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Moves the requests whose soft deadline is before `end` to the late ones of their rank.
    fn mark_late(&mut self, end: Timestamp) {
        for queue in self.ranks.values_mut() {
            let late: Vec<WaitKey> = queue
                .callers
                .values()
                .flat_map(|calls| calls.range(..(end, 0)).map(|(_, key)| *key))
                .collect();
            for key in late {
                if let Some(call) = self.calls.get(key) {
                    queue.mark_late(key, call);
                }
            }
        }
    }

    /// Returns the next request among those that can meet their soft deadline.
    fn next_timely(&self) -> Option<(WaitKey, ReasonCode)> {
        let (rank, forced) = self.next_rank()?;
        let queue = self.ranks.get(&rank)?;
        let key = queue.next_timely()?;
        Some((key, self.rule_for(rank, forced, *queue.turns.front()?)))
    }

    /// Returns the late request with the best rank and the earliest deadline.
    fn next_late(&self) -> Option<(WaitKey, ReasonCode)> {
        let late = self.ranks.values().find_map(|queue| queue.late.first_key_value());
        late.map(|(_, key)| (*key, ReasonCode::DeadlineFirst))
    }

    fn take_expired(&mut self, now: Timestamp) -> Option<W> {
        let (position, key) = self.deadlines.first_key_value()?;
        if position.0 > now {
            return None;
        }
        self.remove(*key)
    }

    /// Returns the rank to serve next and whether it is served because it was overtaken as
    /// often as allowed. Of several such ranks the worst is served first: serving a better
    /// one would overtake the worst once more than allowed.
    fn next_rank(&self) -> Option<(u8, bool)> {
        let limit = self.limits.max_overtakes;
        let mut timely = self.ranks.iter().filter(|(_, queue)| !queue.callers.is_empty());
        let first = timely.clone().next().map(|(rank, _)| (*rank, false))?;
        let forced = timely.rfind(|(_, queue)| queue.overtaken >= limit);
        forced.map(|(rank, _)| (*rank, true)).or(Some(first))
    }

    /// Returns the rule by which the next request of a rank is admitted.
    fn rule_for(&self, rank: u8, forced: bool, caller: CallerKey) -> ReasonCode {
        let queue = &self.ranks[&rank];
        if forced && self.ranks.keys().any(|other| *other < rank) {
            ReasonCode::OvertakenEnough
        } else if self.ranks.keys().any(|other| *other > rank) {
            ReasonCode::RankFirst
        } else if queue.callers.len() > 1 {
            ReasonCode::CallerTurn
        } else if queue.waiting_count(caller) > 1 {
            ReasonCode::DeadlineFirst
        } else {
            ReasonCode::AdmittedAfterWait
        }
    }

    /// Increments the overtake counts of the requests and ranks that the admitted request
    /// overtook and moves its caller to the end of the round. Iterates over the whole queue,
    /// whose length is bounded.
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

    /// Removes a request from the indices by deadline and by rank.
    fn unlink(&mut self, call: &WaitingCall<W>) {
        self.deadlines.remove(&call.deadline_position());
        if let Some(queue) = self.ranks.get_mut(&call.rank) {
            if queue.late.remove(&call.deadline_position()).is_some() {
                queue.waiting -= 1;
            } else {
                queue.remove(call.caller, call.position());
            }
            if queue.waiting == 0 {
                self.ranks.remove(&call.rank);
            }
        }
    }

    /// Returns the number of waiting requests of this rank and better ones.
    fn waiting_up_to(&self, rank: u8) -> usize {
        self.ranks.range(..=rank).map(|(_, queue)| queue.waiting).sum()
    }

    /// Returns the number of waiting requests that would be admitted before a new one.
    fn requests_ahead(&self, facts: &CallFacts) -> usize {
        let better: usize = self.ranks.range(..facts.rank).map(|(_, queue)| queue.waiting).sum();
        better + self.ranks.get(&facts.rank).map_or(0, |queue| queue.requests_ahead(facts.caller))
    }

    /// Returns the request to remove from a full queue in favour of a new one, if any: in the
    /// worst rank the late request with the latest deadline, otherwise the last request of
    /// the caller with the most waiting requests.
    fn eviction_candidate(&self, facts: &CallFacts) -> Option<WaitKey> {
        let (rank, queue) = self.ranks.last_key_value()?;
        if let Some((_, late)) = queue.late.last_key_value() {
            return Some(*late);
        }
        let calls = queue.callers.values().max_by_key(|calls| calls.len())?;
        let own = queue.waiting_count(facts.caller);
        let may_evict = *rank > facts.rank || (*rank == facts.rank && calls.len() > own + 1);
        may_evict.then(|| calls.last_key_value().map(|(_, key)| *key))?
    }
}
