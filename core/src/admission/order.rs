//! The interface of an admission queue to its driver.

use std::time::Duration;

use super::queue::{
    AdmissionLimits, AdmissionQueue, AdmissionRefusal, JoinedCall, QueueDeparture, ServiceRate,
    WaitKey,
};
use super::work::ExpectedWork;
use crate::call::CallFacts;
use crate::clock::Timestamp;
use crate::intent::KindIntent;

/// What the configuration in force states for the requests of a kind.
#[derive(Clone, Copy, Debug)]
pub struct KindTerms {
    /// Rank, from which that of a request differs if its tenant has one.
    pub rank: u8,
    /// Longest time from the arrival of a request to its deadline.
    pub time_limit: Duration,
    /// Longest time from the arrival of a request to its soft deadline.
    pub soft_time_limit: Duration,
}

impl KindTerms {
    /// Returns the terms of a kind.
    pub fn of(kind: &KindIntent) -> Self {
        Self {
            rank: kind.rank,
            time_limit: kind.deadline(),
            soft_time_limit: kind.target_latency(),
        }
    }

    /// Returns the terms of a kind of which only the rank is known.
    pub fn with_rank(rank: u8) -> Self {
        Self { rank, time_limit: Duration::MAX, soft_time_limit: Duration::MAX }
    }
}

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct CallDemand {
    /// Attributes of the request.
    pub facts: CallFacts,
    /// What holds for all requests of its kind.
    pub kind: KindTerms,
    /// Work that it is expected to cause.
    pub work: ExpectedWork,
    /// Requests per second that its tenant is entitled to; `None` if that is not limited.
    pub entitlement: Option<f32>,
    /// Whether it is a retry or hedge of a request that was admitted before. Its work is charged
    /// to its tenant, but it is no further request.
    pub is_repeated: bool,
}

/// A waiting request that is refused.
#[derive(Debug)]
pub struct RefusedCall<W> {
    /// The request.
    pub waiter: W,
    /// Time after which room for it is expected, if the queue derives it for each request.
    pub retry_after: Option<Duration>,
}

/// Tenants with waiting requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingTenants {
    /// Number of these tenants.
    pub count: u32,
    /// Largest number of waiting requests of one of them.
    pub largest: u32,
}

/// Queue of the requests that wait for a slot of one service.
pub trait AdmissionOrder<W>: Send {
    /// Sets the limits. Requests that already wait stay in the queue.
    fn set_limits(&mut self, limits: AdmissionLimits);

    /// Returns the number of waiting requests.
    fn waiting(&self) -> usize;

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request cannot be served in time or the queue is full.
    fn join(
        &mut self,
        demand: &CallDemand,
        waiter: W,
        rate: ServiceRate,
        now: Timestamp,
    ) -> Result<JoinedCall<W>, AdmissionRefusal>;

    /// Removes a request, for example because its caller has disconnected.
    fn remove(&mut self, key: WaitKey) -> Option<W>;

    /// Removes and returns the request to admit next, or one whose deadline has passed.
    /// `run_time` is the time within which most requests of the service are answered.
    fn take_next(&mut self, now: Timestamp, run_time: Duration) -> Option<QueueDeparture<W>>;

    /// Like [`Self::take_next`], for a target on which runs take `slowdown` times as long, or an
    /// unknown time: among the requests that meet their soft deadline there, then among those that
    /// cannot meet it anywhere.
    fn take_slowed(
        &mut self,
        now: Timestamp,
        run_time: Duration,
        slowdown: Option<f32>,
    ) -> Option<QueueDeparture<W>>;

    /// Removes and returns the requests that are to be refused because they would end too late.
    fn remove_unservable(&mut self, now: Timestamp, rate: ServiceRate) -> Vec<RefusedCall<W>>;

    /// Records a request that was admitted without joining the queue.
    fn record_admission(&mut self, demand: &CallDemand, now: Timestamp);

    /// Returns the tenants with waiting requests.
    fn waiting_tenants(&self) -> WaitingTenants;
}

impl<W: Send> AdmissionOrder<W> for AdmissionQueue<W> {
    fn set_limits(&mut self, limits: AdmissionLimits) {
        Self::set_limits(self, limits);
    }

    fn waiting(&self) -> usize {
        self.len()
    }

    fn join(
        &mut self,
        demand: &CallDemand,
        waiter: W,
        rate: ServiceRate,
        now: Timestamp,
    ) -> Result<JoinedCall<W>, AdmissionRefusal> {
        Self::join(self, &demand.facts, waiter, rate, now)
    }

    fn remove(&mut self, key: WaitKey) -> Option<W> {
        Self::remove(self, key)
    }

    fn take_next(&mut self, now: Timestamp, run_time: Duration) -> Option<QueueDeparture<W>> {
        Self::take_next(self, now, run_time)
    }

    fn take_slowed(
        &mut self,
        now: Timestamp,
        run_time: Duration,
        slowdown: Option<f32>,
    ) -> Option<QueueDeparture<W>> {
        Self::take_slowed(self, now, run_time, slowdown)
    }

    fn remove_unservable(&mut self, now: Timestamp, rate: ServiceRate) -> Vec<RefusedCall<W>> {
        let removed =
            Self::remove_unservable(self, now, rate.service_time, rate.enforces_soft_deadline);
        removed.into_iter().map(|waiter| RefusedCall { waiter, retry_after: None }).collect()
    }

    fn record_admission(&mut self, _demand: &CallDemand, _now: Timestamp) {}

    fn waiting_tenants(&self) -> WaitingTenants {
        WaitingTenants::default()
    }
}
