//! How far apart the data centres of a fleet are.
//!
//! Each entry measures round trips to entries of other data centres with the messages in which
//! entries tell each other where they are. The lowest round trip of the last minute, over all
//! pairs, decides; each message carries the lowest one that its sender knows. A busy machine makes
//! single round trips longer but none shorter, so one good measurement anywhere keeps data centres
//! that are close from counting as far apart, and all entries come to the same result.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;

/// Round trip from which data centres count as far apart. Data centres of one region have round
/// trips of 1 to 3 ms, others of 6 ms and more.
pub const FAR_ROUND_TRIP: Duration = Duration::from_millis(4);

/// Round trip below which data centres that were far apart no longer are.
const NEAR_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Time for which a round trip counts.
const MEASUREMENT_AGE: Duration = Duration::from_secs(60);

/// Number of own measurements close to the lowest round trip without which data centres do not
/// count as far apart. Those of a busy fleet vary, and the lowest one falls with each further one.
const MIN_CLOSE_MEASUREMENTS: u32 = 8;

/// Factor on the lowest round trip up to which a measurement is close to it.
const CLOSE_FACTOR: f32 = 1.25;

/// Time for which the lowest round trip has to be long before data centres count as far apart.
/// While a fleet starts, its entries are busy and messages wait.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);

/// Longest round trip that is recorded.
const MAX_ROUND_TRIP: Duration = Duration::from_secs(1);

/// Lowest known round trip between data centres and its age.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoundTripReport {
    /// Round trip, in microseconds; 0 if none is known.
    pub round_trip_us: u32,
    /// Time since it was measured, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    duration: Duration,
    measured: Timestamp,
}

/// Decides whether the data centres are far apart.
#[derive(Debug, Default)]
pub struct DistanceMonitor {
    lowest: Option<RoundTrip>,
    /// Measurements close to the lowest round trip, and the round trip when they were counted
    /// first.
    close: (u32, Duration),
    long_since: Option<Timestamp>,
    is_far: bool,
}

impl DistanceMonitor {
    /// Records a round trip that this entry measured.
    pub fn record(&mut self, duration: Duration, now: Timestamp) {
        if duration <= MAX_ROUND_TRIP {
            self.merge(RoundTrip { duration, measured: now }, now);
            let (count, counted_at) = self.close;
            if duration.mul_f32(CLOSE_FACTOR) < counted_at {
                self.close = (1, duration);
            } else if count == 0 || duration <= counted_at.mul_f32(CLOSE_FACTOR) {
                let counted_at = if count == 0 { duration } else { counted_at };
                self.close = (count.saturating_add(1), counted_at);
            }
        }
    }

    /// Records the lowest round trip that another entry knows.
    pub fn record_report(&mut self, report: RoundTripReport, now: Timestamp) {
        let measured = now - Duration::from_millis(report.age_ms.into());
        let duration = Duration::from_micros(report.round_trip_us.into());
        if report.round_trip_us > 0 && now.since(measured) < MEASUREMENT_AGE {
            self.merge(RoundTrip { duration, measured }, now);
        }
    }

    fn merge(&mut self, candidate: RoundTrip, now: Timestamp) {
        let is_lower = self.current(now).is_none_or(|lowest| candidate.duration < lowest.duration);
        if is_lower {
            self.lowest = Some(candidate);
        }
    }

    fn current(&self, now: Timestamp) -> Option<RoundTrip> {
        self.lowest.filter(|lowest| now.since(lowest.measured) < MEASUREMENT_AGE)
    }

    /// Returns the lowest round trip of the last minute.
    pub fn round_trip(&self, now: Timestamp) -> Option<Duration> {
        self.current(now).map(|lowest| lowest.duration)
    }

    /// Returns the report for the next message to another entry.
    pub fn report(&self, now: Timestamp) -> RoundTripReport {
        self.current(now).map_or_else(RoundTripReport::default, |lowest| RoundTripReport {
            round_trip_us: (lowest.duration.as_micros() as u32).max(1),
            age_ms: now.since(lowest.measured).as_millis() as u32,
        })
    }

    /// Returns `true` while more measurements may change the result soon.
    pub fn is_unsettled(&self, now: Timestamp) -> bool {
        let is_near = self.round_trip(now).is_some_and(|trip| trip < FAR_ROUND_TRIP);
        !self.is_far && !is_near
    }

    /// Updates the decision and returns whether the data centres are far apart. Without
    /// measurements it stays as it was.
    pub fn decide(&mut self, now: Timestamp) -> bool {
        let Some(lowest) = self.round_trip(now) else { return self.is_far };
        if lowest >= FAR_ROUND_TRIP {
            let since = *self.long_since.get_or_insert(now);
            let is_confirmed = now.since(since) >= CONFIRMATION_TIME;
            let (count, counted_at) = self.close;
            let is_close = counted_at <= lowest.mul_f32(CLOSE_FACTOR);
            self.is_far |= is_confirmed && is_close && count >= MIN_CLOSE_MEASUREMENTS;
            return self.is_far;
        }
        self.long_since = None;
        self.is_far &= lowest >= NEAR_ROUND_TRIP;
        self.is_far
    }
}
