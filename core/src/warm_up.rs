//! Limits on the requests per second that cold targets take from all entries together.
//!
//! Designed for a data centre whose targets all return cold while requests for several times
//! what they take arrive, through one coordinator, through two of them, and through entries
//! that place requests alone.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use serde::Deserialize;
use strum::{Display, IntoStaticStr};

use crate::clock::Timestamp;

/// Groups of entries that may place requests at a target at the same time without knowing of
/// each other: those of a coordinator, those of its successor, and those that place alone. Each
/// of them counts entries of the others for a while after these have left it.
const GROUP_COUNT: f64 = 3.0;

/// Lowest rate of a group, in requests per second. A bound without slack would leave none for a
/// service whose cold targets take few.
const MIN_GROUP_RATE: f64 = 0.1;

/// Share of the limit above which an entry spaces its requests evenly. At most one entry of a
/// group has more; the others use their turns.
const SPACED_SHARE: f64 = 0.5;

/// Length of a turn. A request waits for a few pick periods of 5 ms, and a shorter turn would
/// often pass unused.
const TURN_TIME: Duration = Duration::from_millis(250);

/// Factor on the time between two turns of an entry, by which a group stays within its rate in
/// each second: a turn that began before the second may be used within it.
const TURN_FACTOR: f64 = 1.25;

/// Longest time for which a target counts as cold after one statement. The deployments that
/// state one need 3 s; a longer time is a fault in a header or an object.
pub const MAX_WARM_UP: Duration = Duration::from_secs(60);

/// Requests that a cold target may get in any second: its rate times `overage`, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmUpBound {
    /// Factor on the requests per second that the operator states.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl Default for WarmUpBound {
    /// Returns the bound of the deployments that have cold targets.
    fn default() -> Self {
        Self { overage: 1.5, slack: 8.0 }
    }
}

impl WarmUpBound {
    /// Returns the requests per second that one group of entries may send to a cold target that
    /// takes `per_second`. A group sends at most this rate plus one in any second, so that
    /// `GROUP_COUNT` of them stay within the bound.
    pub fn group_rate(self, per_second: f64) -> f64 {
        let allowed = (per_second * self.overage + self.slack) / GROUP_COUNT - 1.0;
        per_second.min(allowed).max(MIN_GROUP_RATE)
    }
}

/// Where a cold period was learned from.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum WarmUpSource {
    /// Registration of the target.
    Registration,
    /// Response to a health check.
    HealthResponse,
    /// Return of the data centre of the target from an evacuation.
    EndedEvacuation,
}

/// Change of a target between cold and warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmUpChange {
    /// The target is cold for this time.
    Started(Duration),
    /// The target is no longer cold, although an earlier statement said so.
    Ended,
}

/// Whether a target is cold, and the requests that this entry sent to it meanwhile. The request
/// path updates it without locks.
#[derive(Debug, Default)]
pub struct WarmUpLimit {
    /// Rate of a group of entries while the target is cold, in thousandths of a request per
    /// second; 0 if the operator states no limit.
    group_rate_milli: AtomicU32,
    /// When the target became cold, in microseconds.
    cold_since: AtomicU64,
    /// Until when the target is cold, in microseconds.
    cold_until: AtomicU64,
    /// Earliest time of the next request of this entry, in microseconds.
    used_until: AtomicU64,
    /// Position of this entry among the live entries, in units of 2^-32, which tells the turns
    /// of entries apart.
    position: AtomicU32,
    /// Whether the end of the cold period is still to be reported.
    is_reported: AtomicBool,
}

impl WarmUpLimit {
    /// Sets the rate of a group of entries while the target is cold; `None` for no limit.
    pub fn set_group_rate(&self, per_second: Option<f64>) {
        let milli = per_second.map_or(0, |rate| ((rate * 1e3) as u32).max(1));
        self.group_rate_milli.store(milli, Ordering::Relaxed);
    }

    /// Sets the position of this entry among `count` live entries.
    pub fn set_position(&self, position: usize, count: usize) {
        let position = ((position as u64) << 32) / count.max(1) as u64;
        self.position.store(position as u32, Ordering::Relaxed);
    }

    /// Returns `true` if the operator limits the requests to this target while it is cold.
    pub fn is_set(&self) -> bool {
        self.group_rate_milli.load(Ordering::Relaxed) > 0
    }

    /// Returns `true` if the target is cold and the operator limits its requests.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.is_set() && now.0 < self.cold_until.load(Ordering::Relaxed)
    }

    /// Returns the time for which the target is still cold.
    pub fn time_left(&self, now: Timestamp) -> Option<Duration> {
        let until = Timestamp(self.cold_until.load(Ordering::Relaxed));
        self.is_cold(now).then(|| until.since(now))
    }

    /// Records that the target is cold until `until`, or longer if that is known. Returns the
    /// change if it was not cold.
    pub fn extend(&self, until: Timestamp, now: Timestamp) -> Option<WarmUpChange> {
        let until = until.min(now + MAX_WARM_UP);
        let last = self.cold_until.fetch_max(until.0, Ordering::Relaxed);
        if last > now.0 || until <= now || !self.is_set() {
            return None;
        }
        self.cold_since.store(now.0, Ordering::Relaxed);
        self.is_reported.store(true, Ordering::Relaxed);
        Some(WarmUpChange::Started(until.since(now)))
    }

    /// Records the cold time that is left according to a health check that was sent at `asked`.
    /// A longer time always counts; a shorter one only if the check was sent after the target
    /// was known to be cold, since it may be older than what made it cold.
    pub fn record(&self, left: Duration, asked: Timestamp, now: Timestamp) -> Option<WarmUpChange> {
        let until = now + left.min(MAX_WARM_UP);
        let known = self.cold_until.load(Ordering::Relaxed);
        if until.0 >= known {
            return self.extend(until, now);
        }
        if known <= now.0 || asked.0 <= self.cold_since.load(Ordering::Relaxed) {
            return None;
        }
        self.cold_until.store(until.0, Ordering::Relaxed);
        left.is_zero().then_some(WarmUpChange::Ended)
    }

    /// Returns the requests per second that an entry with this share of the limit may send, if
    /// the target is cold.
    pub fn rate(&self, share: f64, now: Timestamp) -> Option<f64> {
        let rate = f64::from(self.group_rate_milli.load(Ordering::Relaxed)) / 1e3 * share;
        self.is_cold(now).then_some(rate)
    }

    /// Returns when the next request after one at `now` may follow, or `None` if none may be
    /// sent at `now`. `used_until` is the earliest time of a request.
    fn next_time(&self, share: f64, used_until: u64, now: Timestamp) -> Option<u64> {
        let rate = self.rate(share, now).filter(|rate| *rate > 0.0)?;
        if used_until > now.0 {
            return None;
        }
        let interval = 1e6 / rate;
        if share > SPACED_SHARE {
            return Some(now.0 + interval as u64);
        }
        let interval = ((interval * TURN_FACTOR) as u64).max(1);
        let position = u64::from(self.position.load(Ordering::Relaxed));
        let offset = ((u128::from(interval) * u128::from(position)) >> 32) as u64;
        let elapsed = (now.0 + offset) % interval;
        let is_turn = u128::from(elapsed) < TURN_TIME.as_micros();
        is_turn.then(|| now.0 + (interval - elapsed))
    }

    /// Returns the number of requests that an entry with this share may send now.
    pub fn permits(&self, share: f64, now: Timestamp) -> u32 {
        if !self.is_cold(now) {
            return u32::MAX;
        }
        let used_until = self.used_until.load(Ordering::Relaxed);
        u32::from(self.next_time(share, used_until, now).is_some())
    }

    /// Takes a request if an entry with this share may send one now. Returns `false` otherwise.
    pub fn try_take(&self, share: f64, now: Timestamp) -> bool {
        let next = |used_until| self.next_time(share, used_until, now);
        !self.is_cold(now)
            || self.used_until.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).is_ok()
    }

    /// Returns `true` once after the target has become warm.
    pub fn take_end(&self, now: Timestamp) -> bool {
        // Read first: nearly all targets of a fleet have nothing to report.
        self.is_reported.load(Ordering::Relaxed)
            && !self.is_cold(now)
            && self.is_reported.swap(false, Ordering::Relaxed)
    }
}
