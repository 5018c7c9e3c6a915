//! Timestamps and clocks.

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the Unix epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Source of the current time.
pub trait ClockSource: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Timestamp;
}

/// Clock that reads the wall-clock time once and advances monotonically from there, so that
/// a step of the wall clock does not move deadlines.
#[derive(Debug)]
pub struct SystemClock {
    wall: Timestamp,
    started: Instant,
}

impl SystemClock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { wall: Timestamp(wall.as_micros() as u64), started: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for SystemClock {
    fn now(&self) -> Timestamp {
        self.wall + self.started.elapsed()
    }
}

/// Clock for tests that advances only when [`advance`](Self::advance) is called.
#[derive(Debug, Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Duration) {
        self.0.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }
}
