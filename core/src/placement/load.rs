//! How far an entry is behind the placement events that it receives.

use std::time::Duration;

use crate::clock::Timestamp;

/// Age of an event from which the entry counts as behind. Senders repeat a placement request
/// after 15 ms without a response.
const BEHIND_AGE: Duration = Duration::from_millis(10);

/// Time without an old event after which the entry has caught up.
const CAUGHT_UP_AFTER: Duration = Duration::from_secs(1);

/// Time between two reports while the entry is behind.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Placement events of one period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadSummary {
    /// Events handled.
    pub events: u32,
    /// Largest number of events that waited to be handled.
    pub max_waiting: u32,
    /// Largest age of an event when it was handled.
    pub max_age: Duration,
    /// Placement requests that were decided on.
    pub decisions: u32,
    /// Placement requests that had been received before.
    pub repeats: u32,
    /// Placement requests that had ended before they were decided on.
    pub wasted: u32,
    /// Placement requests that were turned away because the entry was behind.
    pub turned_away: u32,
    /// Targets that were compared for the decisions.
    pub compared: u64,
}

/// Change of the load that operators are told about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadChange {
    /// Events wait for longer than they should.
    Behind(LoadSummary),
    /// Events are handled at once again.
    CaughtUp(LoadSummary),
}

/// Counts placement events and notices when the entry falls behind.
#[derive(Debug, Default)]
pub struct LoadMonitor {
    summary: LoadSummary,
    period_start: Timestamp,
    last_old_event: Option<Timestamp>,
}

impl LoadMonitor {
    /// Records an event that is handled at an age of `age` while `waiting` others wait.
    pub fn record_event(&mut self, age: Duration, waiting: usize, now: Timestamp) {
        let summary = &mut self.summary;
        summary.events += 1;
        summary.max_waiting = summary.max_waiting.max(u32::try_from(waiting).unwrap_or(u32::MAX));
        summary.max_age = summary.max_age.max(age);
        if age >= BEHIND_AGE && self.last_old_event.replace(now).is_none() {
            // The first report comes at the next tick.
            self.period_start = Timestamp::default();
        }
    }

    /// Returns the counts of the current period, for the parts of placement that add to them.
    pub fn summary_mut(&mut self) -> &mut LoadSummary {
        &mut self.summary
    }

    /// Returns the change to report, if one is due, and begins a new period.
    pub fn tick(&mut self, now: Timestamp) -> Option<LoadChange> {
        if now.since(self.period_start) < REPORT_PERIOD {
            return None;
        }
        self.period_start = now;
        let summary = std::mem::take(&mut self.summary);
        let last = self.last_old_event?;
        if now.since(last) < CAUGHT_UP_AFTER {
            return Some(LoadChange::Behind(summary));
        }
        self.last_old_event = None;
        Some(LoadChange::CaughtUp(summary))
    }
}
