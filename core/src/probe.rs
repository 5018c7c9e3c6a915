//! What measuring may cost.
//!
//! An entry's share of the budget depends on the intent alone and on no member
//! list: the budget divided by the greatest number of entries. Probes of one
//! entry to one target keep a distance that makes the sum over all entries stay
//! within the budget in every window of [`BUDGET_WINDOW`] or longer, whenever
//! the entries start, pause or resume.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::intent::MeasuringIntent;

/// Shortest window over which the budget holds. A probe is not divisible, so
/// that no budget holds over an instant.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(60);

/// Longest time from the charge of a probe to its arrival. A probe that was not
/// sent and answered within it is given up.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Time after a confirmation was asked for in which the intent may be spent. A
/// lowered budget has to take effect at the targets within 5 s of acceptance,
/// 1 s of which a probe may be on its way.
pub const CONFIRMED_TIME: Duration = Duration::from_secs(4);

/// Permission to send one probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbePermit {
    /// The probe must have reached the target by then, or be given up.
    pub arrive_before: Timestamp,
}

/// Share of one entry of the budget for one target. Starts empty, holds at most
/// one probe and is charged when the probe is sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeBudget {
    distance: Option<Duration>,
    earliest: Timestamp,
}

impl ProbeBudget {
    /// Takes over the budget of an intent for a target with this number of
    /// slots. A changed budget starts empty again.
    pub fn set(&mut self, intent: &MeasuringIntent, slots: u32, now: Timestamp) {
        let distance = probe_distance(intent, slots);
        if distance == self.distance {
            return;
        }
        self.distance = distance;
        if let Some(distance) = distance {
            self.earliest = self.earliest.max(now + distance);
        }
    }

    /// Takes one probe. `confirmed` is when the store or a peer was last asked
    /// for the intent and answered that it is the newest.
    pub fn try_spend(
        &mut self,
        confirmed: Option<Timestamp>,
        now: Timestamp,
    ) -> Option<ProbePermit> {
        let distance = self.distance?;
        if !is_confirmed(confirmed, now) || now < self.earliest {
            return None;
        }
        self.earliest = now + distance;
        Some(ProbePermit { arrive_before: now + MAX_PROBE_DELAY })
    }
}

/// Slot time of one service's targets that this entry spent on measuring, and
/// what its share of the budget allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeasuringAccount {
    /// Slot time of the probes that were charged.
    pub spent: Duration,
    /// Share of this entry over the same time, while it could be spent.
    pub allowed: Duration,
    /// Slot time of all targets over the same time.
    pub slot_time: Duration,
}

impl MeasuringAccount {
    /// Counts a time in which the service had this number of slots.
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

    /// Counts a charged probe.
    pub fn record_probe(&mut self, intent: &MeasuringIntent) {
        self.spent += Duration::from_secs_f64(intent.probe_cost_ms.max(0.0) / 1_000.0);
    }

    /// Gives the share of the slot time that was spent, in percent.
    pub fn spent_percent(&self) -> f64 {
        let slot_time = self.slot_time.as_secs_f64();
        if slot_time > 0.0 { self.spent.as_secs_f64() / slot_time * 100.0 } else { 0.0 }
    }
}

/// Tells whether a grant that was confirmed at `confirmed` may still be spent.
pub fn is_confirmed(confirmed: Option<Timestamp>, now: Timestamp) -> bool {
    confirmed.is_some_and(|confirmed| now.since(confirmed) < CONFIRMED_TIME)
}

/// Gives the distance between the probes of one entry to one target, none if the
/// budget does not allow one probe of each entry per window.
///
/// In a window W, probes that take up to D to arrive come from W + D, so that an
/// entry with the distance T lands at most (W + D) / T + 1 of them. Setting this
/// equal to the entry's share of the window gives T = (W + D) / (share - 1).
fn probe_distance(intent: &MeasuringIntent, slots: u32) -> Option<Duration> {
    let slot_time = BUDGET_WINDOW.as_secs_f64() * f64::from(slots);
    let budget = slot_time * intent.budget_percent.clamp(0.0, 100.0) / 100.0;
    let probes = budget / (intent.probe_cost_ms / 1_000.0);
    let share = probes / f64::from(intent.max_entries.max(1));
    let distance = (BUDGET_WINDOW + MAX_PROBE_DELAY).as_secs_f64() / (share - 1.0);
    // Rounded up, as a distance that is too short would exceed the budget.
    let micros = (distance * 1e6).ceil() + 1.0;
    (share > 1.0 && micros.is_finite()).then(|| Duration::from_micros(micros as u64))
}
