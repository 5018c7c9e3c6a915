//! Expected work of the requests of each kind, learned from responses.

use std::array::from_fn;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::run_quantile::RunQuantile;

/// Number of kinds of a service whose work is learned separately; further ones share the last
/// position. A service receives about four kinds.
const MAX_KINDS: usize = 32;

/// Weight of earlier samples in the mean. The slowdown of nearly full targets then shows after
/// about 30 responses, which a busy service gives within a second.
const MEAN_WEIGHT: u64 = 31;

/// Multiple of the mean to which samples are clamped. A request on a slowed target takes five
/// times as long, and its place in the queue should not follow from a few of these.
const MAX_SAMPLE_FACTOR: u64 = 3;

/// Samples before the mean of a kind is used; the first of them may come from slowed targets.
const MIN_SAMPLES: u64 = 4;

/// Work that a request is expected to cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedWork {
    /// Mean time for which it occupies a slot.
    pub mean: Duration,
    /// Time within which most requests of its kind are answered.
    pub run_time: Duration,
}

/// Work of one kind.
#[derive(Debug, Default)]
struct WorkEstimate {
    samples: AtomicU64,
    mean_us: AtomicU64,
    run_time: RunQuantile,
}

/// Expected work by kind. The times are those between dispatch and response under the present
/// load, so they include the slowdown of nearly full targets.
#[derive(Debug)]
pub struct KindWork {
    kinds: [WorkEstimate; MAX_KINDS],
}

impl Default for KindWork {
    fn default() -> Self {
        Self { kinds: from_fn(|_| WorkEstimate::default()) }
    }
}

impl KindWork {
    /// Records that a request of a kind was answered after `latency`. Concurrent updates may
    /// overwrite one another.
    pub fn record(&self, kind: usize, latency: Duration) {
        let estimate = &self.kinds[kind.min(MAX_KINDS - 1)];
        let (samples, mean) =
            (estimate.samples.load(Ordering::Relaxed), estimate.mean_us.load(Ordering::Relaxed));
        let sample = (latency.as_micros() as u64).max(1);
        let sample =
            if samples < MIN_SAMPLES { sample } else { sample.min(mean * MAX_SAMPLE_FACTOR) };
        let weight = samples.min(MEAN_WEIGHT);
        let mean = (mean * weight + sample).div_ceil(weight + 1);
        estimate.mean_us.store(mean, Ordering::Relaxed);
        estimate.samples.store(samples + 1, Ordering::Relaxed);
        estimate.run_time.record(latency, Duration::from_micros(mean));
    }

    /// Returns the expected work of a kind, or one derived from `nominal`, the nominal service
    /// time of the whole service, while too few responses are known.
    pub fn expected(&self, kind: usize, nominal: Duration) -> ExpectedWork {
        let estimate = &self.kinds[kind.min(MAX_KINDS - 1)];
        let is_known = estimate.samples.load(Ordering::Relaxed) >= MIN_SAMPLES;
        if !is_known {
            return ExpectedWork {
                mean: nominal,
                run_time: RunQuantile::default().estimate(nominal),
            };
        }
        let mean = Duration::from_micros(estimate.mean_us.load(Ordering::Relaxed));
        ExpectedWork { mean, run_time: estimate.run_time.estimate(mean) }
    }
}
