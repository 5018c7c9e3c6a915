//! Limits on the requests per second that targets state in their responses, and those of cold
//! targets.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::warm_up::WarmUpLimit;

/// Lowest limit that is told apart from zero, in thousandths of a request per second. A target
/// that states zero gets a request in 100 s, which shows whether it still does.
const MIN_LIMIT_MILLI: u32 = 10;

/// Limit from which on a target counts as unlimited, in requests per second.
const MAX_LIMIT: f64 = 100_000.0;

/// Time for which unused requests accumulate, so that a target may get as many requests at once
/// as it takes in this time, or one if it takes fewer.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Number of parts into which a limit is divided among entries.
const WHOLE_SHARE: u32 = 1_000;

/// Requests per second that a target takes from all entries together.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[display("{:.3}", self.per_second())]
pub struct RequestLimit(u32);

impl RequestLimit {
    /// Creates a limit of `per_second` requests per second.
    fn new(per_second: f64) -> Self {
        Self(((per_second * 1e3) as u32).max(MIN_LIMIT_MILLI))
    }

    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// What a response states about the limit of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LimitStatement {
    /// The target has no limit.
    Unlimited,
    /// The target has this limit.
    Limited(RequestLimit),
    /// The value cannot be read, so an earlier statement still holds.
    Unreadable,
}

impl LimitStatement {
    /// Parses a decimal number of requests per second. A negative number, NaN and anything
    /// else that is not a number are unreadable; a number above 100,000 is no limit.
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(number) if number >= MAX_LIMIT => Self::Unlimited,
            Ok(number) if number >= 0.0 => Self::Limited(RequestLimit::new(number)),
            _ => Self::Unreadable,
        }
    }
}

/// A statement with its age, as entries pass it on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AgedStatement {
    /// The statement.
    pub statement: LimitStatement,
    /// Time since the response that made it, in milliseconds.
    pub age_ms: u16,
}

/// Change of the limit of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The target states a limit that it had not stated before.
    Started(RequestLimit),
    /// The target no longer states a limit.
    Ended,
}

/// The limit that a target stated last, which the request path updates without locks.
#[derive(Debug, Default)]
pub struct LimitState {
    /// Limit in thousandths of a request per second; 0 if there is none.
    limit_milli: AtomicU32,
    /// When the response arrived that stated the limit, or that stated none after one that
    /// did, in microseconds; 0 if no limit was ever stated.
    stated_at: AtomicU64,
    /// Part of the limit that this entry may use, in units of 1 / [`WHOLE_SHARE`]; 0 stands for
    /// the whole limit.
    share: AtomicU32,
    /// Time up to which this entry has used up its part, in microseconds. Each request moves it
    /// by the interval of the requests.
    used_until: AtomicU64,
    /// Limit while the target is cold, which the operator states. It holds in addition.
    pub warm_up: WarmUpLimit,
}

impl LimitState {
    /// Records a statement of a response that arrived at `at`, unless a newer one is known.
    pub fn record(&self, statement: LimitStatement, at: Timestamp) -> Option<LimitChange> {
        let last = self.stated_at.load(Ordering::Relaxed);
        let limit_milli = match statement {
            LimitStatement::Unreadable => return None,
            LimitStatement::Unlimited if last == 0 => return None,
            LimitStatement::Unlimited => 0,
            LimitStatement::Limited(limit) => limit.0,
        };
        if at.0 < last {
            return None;
        }
        self.stated_at.store(at.0, Ordering::Relaxed);
        match (self.limit_milli.swap(limit_milli, Ordering::Relaxed), limit_milli) {
            (0, 1..) => Some(LimitChange::Started(RequestLimit(limit_milli))),
            (1.., 0) => Some(LimitChange::Ended),
            _ => None,
        }
    }

    /// Returns the limit, if there is one.
    pub fn limit(&self) -> Option<RequestLimit> {
        Some(RequestLimit(self.limit_milli.load(Ordering::Relaxed))).filter(|limit| limit.0 > 0)
    }

    /// Sets the part of the limit that this entry may use, from 0.0 to 1.0.
    pub fn set_share(&self, share: f64) {
        let share = (share * f64::from(WHOLE_SHARE)) as u32;
        self.share.store(share.clamp(1, WHOLE_SHARE), Ordering::Relaxed);
    }

    /// Returns the requests per second that this entry may send, if there is a limit.
    pub fn own_rate(&self, now: Timestamp) -> Option<f64> {
        let cold = self.warm_up.rate(self.known_share(), now);
        [self.stated_rate(), cold].into_iter().flatten().reduce(f64::min)
    }

    /// Returns the part of the stated limit that this entry may send in a second.
    fn stated_rate(&self) -> Option<f64> {
        let share = match self.share.load(Ordering::Relaxed) {
            0 => WHOLE_SHARE,
            share => share,
        };
        Some(self.limit()?.per_second() * f64::from(share) / f64::from(WHOLE_SHARE))
    }

    /// Returns the part of a limit that this entry may use, 0.0 until it is set. Many targets
    /// become cold at once, also while an entry starts, so an unset part must not be the whole.
    fn known_share(&self) -> f64 {
        f64::from(self.share.load(Ordering::Relaxed)) / f64::from(WHOLE_SHARE)
    }

    /// Returns the time between two requests at the own rate and the time for which unused
    /// requests accumulate, both in microseconds.
    fn intervals_us(&self) -> Option<(u64, u64)> {
        let interval = ((1e6 / self.stated_rate()?) as u64).max(1);
        Some((interval, interval.max(BURST_TIME.as_micros() as u64)))
    }

    /// Returns the number of requests that this entry may send now.
    pub fn permits(&self, now: Timestamp) -> u32 {
        self.stated_permits(now).min(self.warm_up.permits(self.known_share(), now))
    }

    fn stated_permits(&self, now: Timestamp) -> u32 {
        let Some((interval, burst)) = self.intervals_us() else { return u32::MAX };
        let used_until = self.used_until.load(Ordering::Relaxed);
        let unused = now.0.saturating_sub(used_until).min(burst) / interval;
        u32::try_from(unused).unwrap_or(u32::MAX)
    }

    /// Returns `true` if this entry may send no request now.
    pub fn is_exhausted(&self, now: Timestamp) -> bool {
        self.permits(now) == 0
    }

    /// Counts a request that this entry is about to send. Returns `false`, and counts nothing, if
    /// another request took the last one that a cold target takes now.
    pub fn try_take(&self, now: Timestamp) -> bool {
        let is_taken = self.warm_up.try_take(self.known_share(), now);
        if is_taken {
            self.take(now);
        }
        is_taken
    }

    /// Counts a request against the stated limit, also if it exceeds the limit.
    pub fn take(&self, now: Timestamp) {
        let Some((interval, burst)) = self.intervals_us() else { return };
        let earliest = now.0.saturating_sub(burst);
        let take = |until: u64| Some(until.max(earliest) + interval);
        let _ = self.used_until.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    }

    /// Returns the last statement if it is at most `max_age` old.
    pub fn statement(&self, max_age: Duration, now: Timestamp) -> Option<AgedStatement> {
        let age = now.since(Timestamp(self.stated_at.load(Ordering::Relaxed)));
        let age_ms = u16::try_from(age.as_millis()).ok().filter(|_| age <= max_age)?;
        let statement = self.limit().map_or(LimitStatement::Unlimited, LimitStatement::Limited);
        Some(AgedStatement { statement, age_ms })
    }
}
