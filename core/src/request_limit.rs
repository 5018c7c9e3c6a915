//! Limits on the requests per second that targets state in their responses.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;

/// Lowest limit that is told apart from zero, in thousandths of a request per second. A target
/// that states zero gets a request in 100 s, which shows whether it still does.
const MIN_LIMIT_MILLI: u32 = 10;

/// Limit from which on a target counts as unlimited, in requests per second.
const MAX_LIMIT: f64 = 100_000.0;

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

    /// Returns the last statement if it is at most `max_age` old.
    pub fn statement(&self, max_age: Duration, now: Timestamp) -> Option<AgedStatement> {
        let age = now.since(Timestamp(self.stated_at.load(Ordering::Relaxed)));
        let age_ms = u16::try_from(age.as_millis()).ok().filter(|_| age <= max_age)?;
        let statement = self.limit().map_or(LimitStatement::Unlimited, LimitStatement::Limited);
        Some(AgedStatement { statement, age_ms })
    }
}
