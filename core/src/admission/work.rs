//! Expected work of the requests of each kind, learned from responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use slotmap::{Key, SecondaryMap};

use super::run_quantile::RunQuantile;
use crate::keys::KindKey;

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
#[derive(Debug, Default)]
pub struct KindWork {
    /// Estimates of the kinds that got a response, copied when one is added.
    kinds: ArcSwap<SecondaryMap<KindKey, Arc<WorkEstimate>>>,
    /// Estimate of all kinds that this entry does not know.
    unknown: Arc<WorkEstimate>,
}

impl KindWork {
    /// Records that a request of a kind was answered after `latency`. Concurrent updates may
    /// overwrite one another.
    pub fn record(&self, kind: KindKey, latency: Duration) {
        let estimate = self.estimate(kind).unwrap_or_else(|| self.add(kind));
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
    pub fn expected(&self, kind: KindKey, nominal: Duration) -> ExpectedWork {
        let estimate = self.estimate(kind);
        let estimate =
            estimate.filter(|estimate| estimate.samples.load(Ordering::Relaxed) >= MIN_SAMPLES);
        let Some(estimate) = estimate else {
            return ExpectedWork {
                mean: nominal,
                run_time: RunQuantile::default().estimate(nominal),
            };
        };
        let mean = Duration::from_micros(estimate.mean_us.load(Ordering::Relaxed));
        ExpectedWork { mean, run_time: estimate.run_time.estimate(mean) }
    }

    fn estimate(&self, kind: KindKey) -> Option<Arc<WorkEstimate>> {
        if kind.is_null() {
            return Some(self.unknown.clone());
        }
        self.kinds.load().get(kind).cloned()
    }

    /// Adds an estimate, unless another thread has just done so. It takes the place of that of a
    /// removed kind whose slot in the arena the kind got.
    fn add(&self, kind: KindKey) -> Arc<WorkEstimate> {
        let created = Arc::new(WorkEstimate::default());
        self.kinds.rcu(|kinds| {
            let mut kinds = SecondaryMap::clone(kinds);
            if !kinds.contains_key(kind) {
                kinds.insert(kind, created.clone());
            }
            kinds
        });
        self.estimate(kind).unwrap_or(created)
    }
}
