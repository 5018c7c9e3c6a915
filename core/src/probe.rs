//! Budget for probes.
//!
//! The share of one entry is the budget divided by the maximum number of entries. It depends
//! only on the intent, not on a member list. The interval between the probes of one entry
//! to one target keeps the sum over all entries within the budget in every window of
//! [`BUDGET_WINDOW`] or longer, no matter when the entries start, pause or resume.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::intent::MeasuringIntent;

/// Shortest window over which the budget holds. It cannot hold over arbitrarily short times,
/// because a probe is not divisible.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(60);

/// Maximum time from the charge of a probe to its arrival. A probe that has not been
/// sent and answered within this time is cancelled.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Time for which the budget of an intent may be spent after a confirmation of the intent
/// was requested. A lowered budget must take effect at the targets within 5 s of its
/// acceptance, and a probe may be in transit for 1 s of these.
pub const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(4);

/// Permission to send one probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbePermit {
    /// Time by which the probe must reach the target; it is cancelled otherwise.
    pub arrive_before: Timestamp,
}

/// One entry's share of the budget for one target. It starts empty, holds at most one probe
/// and is charged when the probe is sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    interval: Option<Duration>,
    next_probe_at: Timestamp,
}

impl ProbeBudget {
    /// Sets the budget to that of an intent for a target with this number of slots. A changed
    /// budget starts empty again.
    pub fn set(&mut self, intent: &MeasuringIntent, slots: u32, now: Timestamp) {
        let interval = probe_interval(intent, slots);
        if interval == self.interval {
            return;
        }
        self.interval = interval;
        if let Some(interval) = interval {
            self.next_probe_at = self.next_probe_at.max(now + interval);
        }
    }

    /// Takes one probe from the budget. `confirmed` is when the last request was sent to which
    /// the store or a peer responded that the intent is the newest.
    pub fn try_spend(
        &mut self,
        confirmed: Option<Timestamp>,
        now: Timestamp,
    ) -> Option<ProbePermit> {
        let interval = self.interval?;
        if !is_confirmed(confirmed, now) || now < self.next_probe_at {
            return None;
        }
        self.next_probe_at = now + interval;
        Some(ProbePermit { arrive_before: now + MAX_PROBE_DELAY })
    }
}

/// Slot time of one service's targets that this entry spent on probes, and the slot time
/// that its share of the budget allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuringAccount {
    /// Slot time of the probes that were charged.
    pub spent: Duration,
    /// Slot time that this entry's share of the budget allowed while it could be spent.
    pub allowed: Duration,
    /// Total slot time of all targets.
    pub slot_time: Duration,
}

impl MeasuringAccount {
    /// Adds a period in which the service had this number of slots. `confirmed` states
    /// whether the budget could be spent.
    pub fn record_time(
        &mut self,
        intent: &MeasuringIntent,
        slots: u32,
        time: Duration,
        confirmed: bool,
    ) {
        let slot_time = time * slots;
        self.slot_time += slot_time;
        if confirmed {
            let share = intent.budget_percent.clamp(0.0, 100.0) / 100.0;
            self.allowed += slot_time.mul_f64(share / f64::from(intent.max_entries.max(1)));
        }
    }

    /// Adds the cost of one probe.
    pub fn record_probe(&mut self, intent: &MeasuringIntent) {
        self.spent += Duration::from_secs_f64(intent.probe_cost_ms.max(0.0) / 1_000.0);
    }

    /// Returns the share of the slot time that was spent, in percent.
    pub fn spent_percent(&self) -> f64 {
        let slot_time = self.slot_time.as_secs_f64();
        if slot_time > 0.0 { self.spent.as_secs_f64() / slot_time * 100.0 } else { 0.0 }
    }
}

/// Returns `true` if the budget of an intent that was confirmed at `confirmed` may still be
/// spent.
pub fn is_confirmed(confirmed: Option<Timestamp>, now: Timestamp) -> bool {
    confirmed.is_some_and(|confirmed| now.since(confirmed) < CONFIRMATION_LIFETIME)
}

/// Returns the interval between the probes of one entry to one target, or `None` if the
/// budget does not allow more than one probe of each entry per window.
///
/// Probes that arrive in a window W and take up to D to arrive were sent within W + D, so at
/// most (W + D) / T + 1 probes of an entry with the interval T arrive in the window. Setting
/// this equal to the entry's share, in probes per window, gives T = (W + D) / (share - 1).
fn probe_interval(intent: &MeasuringIntent, slots: u32) -> Option<Duration> {
    let slot_time = BUDGET_WINDOW.as_secs_f64() * f64::from(slots);
    let budget = slot_time * intent.budget_percent.clamp(0.0, 100.0) / 100.0;
    let probes = budget / (intent.probe_cost_ms / 1_000.0);
    let share = probes / f64::from(intent.max_entries.max(1));
    let interval = (BUDGET_WINDOW + MAX_PROBE_DELAY).as_secs_f64() / (share - 1.0);
    // Rounded up because a shorter interval would exceed the budget.
    let micros = (interval * 1e6).ceil() + 1.0;
    (share > 1.0 && micros.is_finite()).then(|| Duration::from_micros(micros as u64))
}
