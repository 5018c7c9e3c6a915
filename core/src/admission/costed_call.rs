//! A waiting request and its position in the order by cost.

use std::time::Duration;

use super::order::CallDemand;
use super::work::ExpectedWork;
use crate::clock::Timestamp;

/// Part of the time until the soft deadline that is reserved for the run at most, unless the mean
/// run takes longer. With more, kinds whose runs take about as long as their callers want to wait
/// count as late as soon as they arrive.
const MAX_RESERVED_SHARE: f32 = 0.85;

/// Order of the requests of one rank.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum TurnLane {
    /// Was refused before and can still meet its soft deadline.
    Returned,
    /// Of a tenant that uses no more than it is entitled to.
    Entitled,
    /// Of a tenant that uses more.
    Leftover,
}

/// Position in the order of admission; the least is admitted first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TurnPosition {
    pub(super) is_not_owed: bool,
    pub(super) rank: u8,
    pub(super) lane: TurnLane,
    pub(super) excess_percent: u32,
    pub(super) latest_start: Timestamp,
    pub(super) order: u64,
}

/// Returns the time that must be left until the soft deadline when a request of a kind starts:
/// the time within which most of them are answered, but less if that leaves hardly any time to
/// wait, down to the mean.
pub(super) fn reserved_time(work: ExpectedWork, soft_time: Duration) -> Duration {
    work.run_time.min(soft_time.mul_f32(MAX_RESERVED_SHARE)).max(work.mean)
}

/// A waiting request.
#[derive(Debug)]
pub(super) struct CostedCall<W> {
    pub(super) waiter: W,
    pub(super) demand: CallDemand,
    /// Soft deadline, counted from when the caller first sent the request.
    pub(super) soft_deadline: Timestamp,
    pub(super) is_returned: bool,
    /// Time that must be left until the soft deadline when it starts.
    pub(super) reserved: Duration,
    pub(super) order: u64,
    pub(super) queued: Timestamp,
    pub(super) queue_length: u32,
    pub(super) overtaken: u32,
}

impl<W> CostedCall<W> {
    pub(super) fn latest_start(&self) -> Timestamp {
        self.soft_deadline - self.reserved
    }

    pub(super) fn is_late(&self, now: Timestamp) -> bool {
        now > self.latest_start()
    }

    /// Returns its position among requests that cannot meet their soft deadline.
    pub(super) fn late_position(&self) -> (bool, u8, Timestamp, u64) {
        let facts = &self.demand.facts;
        (!self.is_returned, facts.rank, facts.deadline, self.order)
    }
}
