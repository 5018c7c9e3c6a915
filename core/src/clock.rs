//! Clock readings and the sources that give them.

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
    /// Gives the time since `earlier`, zero if `earlier` lies ahead.
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

/// Gives clock readings.
pub trait ClockSource: Send + Sync {
    /// Reads the clock.
    fn now(&self) -> Timestamp;
}

/// Reads the system's clock once and advances monotonically from there, so that
/// a step of the wall clock does not move deadlines.
#[derive(Debug)]
pub struct SystemClock {
    wall: Timestamp,
    started: Instant,
}

impl SystemClock {
    /// Creates a clock anchored at the present wall-clock time.
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

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    /// Moves the clock forward by `duration`.
    pub fn advance(&self, duration: Duration) {
        self.0.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }
}
