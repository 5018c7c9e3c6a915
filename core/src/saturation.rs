//! Detection of targets that slow down when all their slots are busy.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Share of busy slots up to which no target slows down. Above it many targets do.
pub const SAFE_UTILIZATION: f32 = 0.8;

/// Minimum number of samples in each average before the averages are compared. Service times
/// vary by about a third, so the mean of 48 samples is accurate to about 5%.
const MIN_SAMPLES: u32 = 48;

/// Factor between the averages above which full targets count as slower. Targets that take
/// 1.7 times as long while they are full showed factors of 1.19 to 1.48, because few stay
/// full for the whole duration of a request.
const SLOWER_FACTOR: f32 = 1.12;

/// Multiple of the mean to which samples are clamped, because some requests run on a target
/// that was slowed after its last report.
const MAX_SAMPLE_FACTOR: u64 = 2;

/// Moving average of request times.
#[derive(Debug, Default)]
struct TimeAverage {
    samples: AtomicU32,
    mean_us: AtomicU64,
}

impl TimeAverage {
    /// Records a sample. Concurrent updates may overwrite one another.
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

/// Measured effect of saturation on request times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SaturationEffect {
    /// Whether full targets are slower.
    pub slows_down: bool,
    /// Mean time of requests that left a slot of their target free, in microseconds.
    pub unsaturated_us: u64,
    /// Mean time of requests that took the last slot of their target, in microseconds.
    pub saturated_us: u64,
}

/// Compares requests that took the last slot of a target with others of the same service.
#[derive(Debug, Default)]
pub struct SaturationMonitor {
    unsaturated: TimeAverage,
    saturated: TimeAverage,
}

impl SaturationMonitor {
    /// Records a request that took `latency` on a target whose service time was
    /// `slowdown_percent` of the nominal one when the request began. `saturated` states
    /// whether it took the last slot. Returns the effect of saturation if this request changed
    /// whether full targets count as slower.
    pub fn record(
        &self,
        saturated: bool,
        latency: Duration,
        slowdown_percent: u32,
    ) -> Option<SaturationEffect> {
        let before = self.effect();
        let nominal_us = latency.as_micros() as u64 * 100 / u64::from(slowdown_percent.max(1));
        let average = if saturated { &self.saturated } else { &self.unsaturated };
        average.record(nominal_us.max(1));
        let effect = self.effect()?;
        before.is_none_or(|before| before.slows_down != effect.slows_down).then_some(effect)
    }

    fn effect(&self) -> Option<SaturationEffect> {
        let (unsaturated_us, saturated_us) =
            (self.unsaturated.mean_us()?, self.saturated.mean_us()?);
        let slows_down = saturated_us as f32 > unsaturated_us as f32 * SLOWER_FACTOR;
        Some(SaturationEffect { slows_down, unsaturated_us, saturated_us })
    }

    /// Returns the mean time of a request on a target that is neither full nor slowed, once
    /// there are enough samples.
    pub fn nominal_service_time(&self) -> Option<Duration> {
        self.unsaturated.mean_us().map(Duration::from_micros)
    }

    /// Returns `true` if full targets are slower or there are not enough samples to tell.
    pub fn slows_when_full(&self) -> bool {
        self.effect().is_none_or(|effect| effect.slows_down)
    }

    /// Returns the number of requests that a target should run concurrently, at least 1: all
    /// its slots, or those up to [`SAFE_UTILIZATION`] if full targets are slower. All slots
    /// are used for a few requests to measure whether full targets are slower.
    pub fn usable_slots(&self, slots: u32) -> u32 {
        let needs_samples =
            self.unsaturated.mean_us().is_some() && self.saturated.mean_us().is_none();
        if needs_samples || !self.slows_when_full() {
            return slots.max(1);
        }
        ((slots as f32 * SAFE_UTILIZATION) as u32).max(1)
    }
}
