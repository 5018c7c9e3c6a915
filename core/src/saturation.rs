//! Whether targets of a service slow down when all their slots are busy.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Share of its slots up to which every target works at its usual speed. Many slow down
/// above it.
pub const SAFE_UTILIZATION: f32 = 0.8;

/// Requests of each sort before they are compared. The time of work spreads by a third,
/// so the mean of 48 is known to some 5%.
const MIN_SAMPLES: u32 = 48;

/// Factor on the time of work from which on full targets count as slower. Targets that
/// take 1.7 times as long while they are full showed 1.19 to 1.48, since few stay full
/// for the whole of a request.
const SLOWER_FACTOR: f32 = 1.12;

/// A sample counts as this multiple of the mean at most, since some requests meet a
/// target that was slowed after it reported its pace.
const MAX_SAMPLE_FACTOR: u64 = 2;

/// Mean of the latest requests of one sort.
#[derive(Debug, Default)]
struct TimeAverage {
    samples: AtomicU32,
    mean_us: AtomicU64,
}

impl TimeAverage {
    /// Adds a sample; concurrent ones may lose one another.
    fn record(&self, sample_us: u64) {
        let samples = self.samples.load(Ordering::Relaxed).min(MIN_SAMPLES - 1);
        let mean = self.mean_us.load(Ordering::Relaxed);
        let sample = if samples < 4 { sample_us } else { sample_us.min(mean * MAX_SAMPLE_FACTOR) };
        let weight = u64::from(samples);
        self.mean_us.store((mean * weight + sample) / (weight + 1), Ordering::Relaxed);
        self.samples.fetch_add(1, Ordering::Relaxed);
    }

    fn mean_us(&self) -> Option<u64> {
        let enough = self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        enough.then(|| self.mean_us.load(Ordering::Relaxed))
    }
}

/// What is known of full targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SaturationEffect {
    /// Whether they are slower.
    pub slows_down: bool,
    /// Mean time of requests on other targets, in microseconds.
    pub unsaturated_us: u64,
    /// Mean time of requests that took the last slot, in microseconds.
    pub saturated_us: u64,
}

/// Compares requests that began on full targets with others of the same service.
#[derive(Debug, Default)]
pub struct SaturationMonitor {
    part: TimeAverage,
    full: TimeAverage,
}

impl SaturationMonitor {
    /// Records a request that took `latency` at a target whose pace was `pace_percent`
    /// when it began; `full` tells whether it took the last slot. Returns what is now
    /// known of full targets if that changed.
    pub fn record(
        &self,
        full: bool,
        latency: Duration,
        pace_percent: u32,
    ) -> Option<SaturationEffect> {
        let before = self.verdict();
        let usual_us = latency.as_micros() as u64 * 100 / u64::from(pace_percent.max(1));
        let average = if full { &self.full } else { &self.part };
        average.record(usual_us.max(1));
        let verdict = self.verdict()?;
        before.is_none_or(|before| before.slows_down != verdict.slows_down).then_some(verdict)
    }

    fn verdict(&self) -> Option<SaturationEffect> {
        let (part_us, full_us) = (self.part.mean_us()?, self.full.mean_us()?);
        let slower = full_us as f32 > part_us as f32 * SLOWER_FACTOR;
        Some(SaturationEffect {
            slows_down: slower,
            unsaturated_us: part_us,
            saturated_us: full_us,
        })
    }

    /// Gives the time of a request on a target that is neither full nor slowed, once it
    /// is known.
    pub fn nominal_service_time(&self) -> Option<Duration> {
        self.part.mean_us().map(Duration::from_micros)
    }

    /// Tells whether full targets are taken to be slower: until it is known, and when
    /// they are.
    pub fn slows_when_full(&self) -> bool {
        self.verdict().is_none_or(|verdict| verdict.slows_down)
    }

    /// Gives the requests that a target should run at the same time: as many as keep it
    /// at its usual speed, and one at least. A few requests are let in beyond that to
    /// find out whether it has to be.
    pub fn usable_slots(&self, slots: u32) -> u32 {
        let tries = self.part.mean_us().is_some() && self.full.mean_us().is_none();
        if tries || !self.slows_when_full() {
            return slots.max(1);
        }
        ((slots as f32 * SAFE_UTILIZATION) as u32).max(1)
    }
}
