//! Bounded queue that orders requests by what a delay or refusal costs their callers.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::costed_call::{CostedCall, TurnLane, TurnPosition, reserved_time};
use super::fairness::FairShares;
use super::order::{AdmissionOrder, CallDemand, RefusedCall, WaitingTenants};
use super::queue::{
    AdmissionLimits, AdmissionRefusal, JoinedCall, QueueDeparture, ServiceRate, WaitKey,
};
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::decision::AdmissionTrace;
use crate::keys::TenantKey;

/// Time by which a request must have less left than is usual for its kind to count as sent again.
/// Requests of other entries arrive up to 25 ms late at a coordinator that is behind.
const RETURN_MARGIN: Duration = Duration::from_millis(50);

/// Minimum `Retry-After`, above [`RETURN_MARGIN`] so that the request is recognized.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Divisor of the time until its deadline that gives the longest `Retry-After` for which a caller
/// waits before it sends a refused request again.
pub const HONOURED_DELAY_DIVISOR: u32 = 3;

/// Maximum `Retry-After`. Bursts last for up to 8 s.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Expected wait of requests that are not admitted at the present load.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Least share of the slots that is expected for requests of a rank while those of better ranks
/// keep all busy. In simulated overload
/// the value of the responses was 0.636 with 0.1 and 0.650 with 0.4.
const MIN_FREE_SHARE: f32 = 0.4;

/// Least share of the slots that is expected for a backlog while more arrives than can be served.
const MIN_SPARE_SHARE: f32 = 0.05;

/// Of so many admissions one is for a request that was refused before and can no longer meet its
/// soft deadline. Without a bound such requests would take all slots of a lasting overload. With 4,
/// callers that come back early were in simulation worse off than with 8 by up to 0.05 of the value.
const LATE_RETURN_TURN: u32 = 8;

/// Refused requests that are expected back.
#[derive(Clone, Copy, Debug)]
struct InvitedWork {
    due: Timestamp,
    rank: u8,
    seconds: f32,
}

/// Requests that wait for a slot of one service.
///
/// It is designed for a service that gets 1.5 to 2.5 times what its targets serve, for some
/// seconds, from kinds of different rank and work and from tenants of which few send several times
/// their usual rate. Kinds and tenants that have got less than the least share go first, then
/// better ranks. Within a rank, requests that were refused before go first, then those of tenants
/// within their entitlement, by the latest time at which they must start, and then the others,
/// those of the tenant with the least excess first.
#[derive(Debug)]
pub struct CostQueue<W> {
    limits: AdmissionLimits,
    calls: SlotMap<WaitKey, CostedCall<W>>,
    shares: FairShares,
    invited: VecDeque<InvitedWork>,
    joined: u64,
    /// Admissions since the last one of a late request that was refused before.
    since_late_return: u32,
}

impl<W> CostQueue<W> {
    /// Creates an empty queue.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            calls: SlotMap::with_key(),
            shares: FairShares::new(),
            invited: VecDeque::new(),
            joined: 0,
            since_late_return: 0,
        }
    }

    fn position(&self, call: &CostedCall<W>) -> TurnPosition {
        let excess_percent = self.shares.excess_percent(&call.demand);
        let lane = match excess_percent {
            _ if call.is_returned => TurnLane::Returned,
            0 => TurnLane::Entitled,
            _ => TurnLane::Leftover,
        };
        TurnPosition {
            is_not_owed: !self.shares.is_owed(&call.demand),
            rank: call.demand.facts.rank,
            lane,
            excess_percent: if lane == TurnLane::Leftover { excess_percent } else { 0 },
            latest_start: call.latest_start(),
            order: call.order,
        }
    }

    /// Returns the time until a request at this position is expected to be admitted. A kind that
    /// is ahead of a more urgent one gives way to all requests of better ranks that still come.
    fn expected_wait(
        &self,
        position: TurnPosition,
        demand: &CallDemand,
        rate: ServiceRate,
        now: Timestamp,
    ) -> Duration {
        let waiting = self.calls.values().filter(|call| !call.is_late(now));
        let ahead = waiting.filter(|call| self.position(call) < position);
        let ahead = ahead.map(|call| call.demand.work.mean.as_secs_f32()).sum::<f32>();
        let work = ahead + demand.work.mean.as_secs_f32();
        let slots = rate.window.max(1) as f32;
        let free = match position.is_not_owed {
            false => slots,
            true if self.shares.is_ahead(demand) => {
                slots - self.shares.better_demand(position.rank)
            }
            true => (slots - self.shares.better_load(position.rank)).max(slots * MIN_FREE_SHARE),
        };
        Duration::try_from_secs_f32(work / free).unwrap_or(Duration::MAX).min(MAX_WAIT)
    }

    /// Returns the time after which room for a request is expected: until the waiting requests of
    /// its rank and better ones and those that were told to come back have been served beside the
    /// new ones. Expects the request back if its caller will wait for so long.
    fn invite(&mut self, demand: &CallDemand, rate: ServiceRate, now: Timestamp) -> Duration {
        let facts = &demand.facts;
        let own = demand.work.mean.as_secs_f32();
        let (rank, slots) = (facts.rank, rate.window.max(1) as f32);
        let waiting = self.calls.values().filter(|call| call.demand.facts.rank <= rank);
        let waiting: f32 = waiting.map(|call| call.demand.work.mean.as_secs_f32()).sum();
        while self.invited.front().is_some_and(|invited| invited.due < now) {
            self.invited.pop_front();
        }
        let invited = self.invited.iter().filter(|invited| invited.rank <= rank);
        let invited: f32 = invited.map(|invited| invited.seconds).sum();
        let spare = (slots - self.shares.load_up_to(rank)).max(slots * MIN_SPARE_SHARE);
        let delay = Duration::from_secs_f32((waiting + invited + own) / spare);
        let delay = delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        if delay <= facts.time_left(now) / HONOURED_DELAY_DIVISOR {
            self.invited.push_back(InvitedWork { due: now + delay, rank, seconds: own });
        }
        delay
    }

    fn take(
        &mut self,
        now: Timestamp,
        choose: impl FnOnce(&Self) -> Option<(WaitKey, ReasonCode)>,
    ) -> Option<QueueDeparture<W>> {
        let expired = self.calls.iter().find(|(_, call)| call.demand.facts.deadline <= now);
        if let Some((key, _)) = expired {
            return self.calls.remove(key).map(|call| QueueDeparture::Expired(call.waiter));
        }
        let (key, rule) = choose(self)?;
        let call = self.calls.remove(key)?;
        self.since_late_return = match call.is_returned && call.is_late(now) {
            true => 0,
            false => self.since_late_return.saturating_add(1),
        };
        self.shares.count_admission(&call.demand);
        for other in self.calls.values_mut().filter(|other| other.order < call.order) {
            other.overtaken += 1;
        }
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

    /// Returns the next request among those that can meet their soft deadline and that `is_usable`
    /// selects.
    fn next_timely(
        &self,
        now: Timestamp,
        is_usable: impl Fn(&CostedCall<W>) -> bool,
    ) -> Option<(WaitKey, ReasonCode)> {
        let timely = self.calls.iter().filter(|(_, call)| !call.is_late(now) && is_usable(call));
        let positions = timely.map(|(key, call)| (self.position(call), key));
        let (position, key) = positions.min()?;
        let others = || self.calls.values().filter(|call| call.order != position.order);
        let same_rank = || others().filter(|call| call.demand.facts.rank == position.rank);
        let tenant = self.calls[key].demand.facts.tenant;
        let rule = if !position.is_not_owed {
            ReasonCode::OvertakenEnough
        } else if others().any(|call| call.demand.facts.rank > position.rank) {
            ReasonCode::RankFirst
        } else if same_rank().any(|call| call.demand.facts.tenant != tenant) {
            ReasonCode::CallerTurn
        } else if same_rank().next().is_some() {
            ReasonCode::DeadlineFirst
        } else {
            ReasonCode::AdmittedAfterWait
        };
        Some((key, rule))
    }

    /// Returns the next request among those that cannot meet their soft deadline.
    fn next_late(&self, now: Timestamp, returned_only: bool) -> Option<(WaitKey, ReasonCode)> {
        let late = self.calls.iter().filter(|(_, call)| call.is_late(now));
        let late = late.filter(|(_, call)| call.is_returned || !returned_only);
        let next = late.min_by_key(|(_, call)| call.late_position());
        next.map(|(key, _)| (key, ReasonCode::DeadlineFirst))
    }
}

impl<W: Send> AdmissionOrder<W> for CostQueue<W> {
    fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    fn waiting(&self) -> usize {
        self.calls.len()
    }

    fn join(
        &mut self,
        demand: &CallDemand,
        waiter: W,
        rate: ServiceRate,
        now: Timestamp,
    ) -> Result<JoinedCall<W>, AdmissionRefusal> {
        let (facts, work) = (demand.facts, demand.work);
        let elapsed = self.shares.record_offer(demand, now);
        let is_returned = elapsed > RETURN_MARGIN;
        let mut soft_deadline = facts.soft_deadline();
        if is_returned {
            let soft_time = self.shares.usual_soft_time(facts.kind).saturating_sub(elapsed);
            soft_deadline = soft_deadline.min(now + soft_time);
            self.invited.pop_front();
        } else if !demand.is_repeated {
            self.shares.count_offer(demand);
        }
        let reserved = reserved_time(work, self.shares.usual_soft_time(facts.kind));
        self.joined += 1;
        let call = CostedCall {
            waiter,
            demand: *demand,
            soft_deadline,
            is_returned,
            reserved,
            order: self.joined,
            queued: now,
            queue_length: self.calls.len() as u32,
            overtaken: 0,
        };
        let position = self.position(&call);
        let end = now + self.expected_wait(position, demand, rate, now) + reserved;
        let demanded = self.shares.load_up_to(facts.rank);
        let is_overloaded = rate.enforces_soft_deadline || demanded > rate.window as f32;
        let is_refused = match is_overloaded && (!is_returned || self.shares.is_ahead(demand)) {
            true => end > soft_deadline,
            false => now + work.mean > facts.deadline,
        };
        if is_refused {
            let retry_after = self.invite(demand, rate, now);
            return Err(AdmissionRefusal { reason: ReasonCode::DeadlineUnreachable, retry_after });
        }
        let mut displaced = None;
        if self.calls.len() >= self.limits.max_waiting {
            let last = self.calls.iter().map(|(key, other)| {
                (other.is_late(now) && !other.is_returned, self.position(other), key)
            });
            let Some((_, _, last)) = last.max().filter(|(late, last, _)| *late || *last > position)
            else {
                let retry_after = self.invite(demand, rate, now);
                return Err(AdmissionRefusal { reason: ReasonCode::QueueFull, retry_after });
            };
            displaced = self.remove(last);
        }
        Ok(JoinedCall { key: self.calls.insert(call), displaced, is_returned })
    }

    fn remove(&mut self, key: WaitKey) -> Option<W> {
        self.calls.remove(key).map(|call| call.waiter)
    }

    fn take_next(&mut self, now: Timestamp, _run_time: Duration) -> Option<QueueDeparture<W>> {
        self.take(now, |queue| {
            let is_turn = queue.since_late_return >= LATE_RETURN_TURN - 1;
            let returned = is_turn.then(|| queue.next_late(now, true)).flatten();
            returned
                .or_else(|| queue.next_timely(now, |_| true))
                .or_else(|| queue.next_late(now, false))
        })
    }

    fn take_slowed(
        &mut self,
        now: Timestamp,
        _run_time: Duration,
        slowdown: Option<f32>,
    ) -> Option<QueueDeparture<W>> {
        let meets_soft_deadline = |call: &CostedCall<W>| {
            let run_time = slowdown.map(|slowdown| call.demand.work.run_time.mul_f32(slowdown));
            run_time.is_some_and(|run_time| now + run_time <= call.soft_deadline)
        };
        self.take(now, |queue| {
            let timely = queue.next_timely(now, meets_soft_deadline);
            timely.or_else(|| queue.next_late(now, false))
        })
    }

    fn remove_unservable(&mut self, now: Timestamp, rate: ServiceRate) -> Vec<RefusedCall<W>> {
        let is_unservable = |call: &CostedCall<W>| {
            now + call.demand.work.mean > call.demand.facts.deadline
                || (rate.enforces_soft_deadline && !call.is_returned && call.is_late(now))
        };
        let unservable = self.calls.iter().filter(|(_, call)| is_unservable(call));
        let keys: Vec<WaitKey> = unservable.map(|(key, _)| key).collect();
        let removed = keys.into_iter().filter_map(|key| {
            let call = self.calls.remove(key)?;
            let retry_after = Some(self.invite(&call.demand, rate, now));
            Some(RefusedCall { waiter: call.waiter, retry_after })
        });
        removed.collect()
    }

    fn record_admission(&mut self, demand: &CallDemand, now: Timestamp) {
        let elapsed = self.shares.record_offer(demand, now);
        if elapsed <= RETURN_MARGIN && !demand.is_repeated {
            self.shares.count_offer(demand);
        }
        self.shares.count_admission(demand);
    }

    fn waiting_tenants(&self) -> WaitingTenants {
        let mut counts: IndexMap<TenantKey, u32> = IndexMap::new();
        for call in self.calls.values() {
            *counts.entry(call.demand.facts.tenant).or_default() += 1;
        }
        let largest = counts.values().copied().max().unwrap_or_default();
        WaitingTenants { count: counts.len() as u32, largest }
    }
}
