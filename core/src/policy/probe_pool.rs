//! Pool of recent load reports with the hot/cold rule of Prequal (Wydrowski et al.,
//! "Load is not what you should balance", NSDI 2024): a target is hot if its requests in
//! flight are among the highest in the pool.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use rand::RngCore;
use slotmap::{Key, KeyData};

use super::{RoutingPolicy, TargetChoice, TargetQuery, TwoChoices};
use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::keys::TargetKey;

/// Number of reports in a pool; the paper uses 16.
const POOL_SIZE: usize = 16;

/// Age at which a report is no longer used; the paper uses 1 s.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Number of picks after which a report is no longer used.
const MAX_USES: u32 = 3;

/// Minimum number of usable reports; with fewer, the policy falls back to two choices.
const MIN_USABLE: usize = 2;

/// Share of the reports that count as cold, by requests in flight. The paper found that
/// values from 0.6 to 0.9 work well.
const COLD_QUANTILE: f32 = 0.8;

/// One report. The fields are separate atomics, so a reader may see a mix of two reports.
/// That affects one pick only, and the key is checked before use.
#[derive(Debug, Default)]
struct ProbeSlot {
    target: AtomicU64,
    load: AtomicU32,
    latency_us: AtomicU32,
    received: AtomicU64,
    uses: AtomicU32,
}

/// Recent load reports of the targets of one service.
#[derive(Debug, Default)]
pub struct ProbePool {
    slots: [ProbeSlot; POOL_SIZE],
    next: AtomicU32,
}

/// Copy of a usable report.
#[derive(Clone, Copy, Debug, Default)]
struct UsableProbe {
    slot: usize,
    target: TargetKey,
    load: u32,
    latency_us: u32,
}

impl ProbePool {
    /// Adds a report and replaces the oldest one.
    pub fn add(&self, target: TargetKey, load: u32, latency: Duration, now: Timestamp) {
        let position = self.next.fetch_add(1, Ordering::Relaxed) as usize % POOL_SIZE;
        let slot = &self.slots[position];
        // Readers skip the slot while its fields change.
        slot.uses.store(MAX_USES, Ordering::Relaxed);
        slot.target.store(target.data().as_ffi(), Ordering::Relaxed);
        slot.load.store(load, Ordering::Relaxed);
        slot.latency_us.store(latency.as_micros() as u32, Ordering::Relaxed);
        slot.received.store(now.0, Ordering::Relaxed);
        slot.uses.store(0, Ordering::Release);
    }

    /// Copies the usable reports to `probes` and returns their number.
    fn read(&self, query: &TargetQuery<'_>, probes: &mut [UsableProbe; POOL_SIZE]) -> usize {
        let mut count = 0;
        for (position, slot) in self.slots.iter().enumerate() {
            let received = Timestamp(slot.received.load(Ordering::Relaxed));
            if slot.uses.load(Ordering::Acquire) >= MAX_USES || received == Timestamp::default() {
                continue;
            }
            let target = KeyData::from_ffi(slot.target.load(Ordering::Relaxed)).into();
            if query.now.since(received) > MAX_AGE || !takes_requests(query, target) {
                continue;
            }
            probes[count] = UsableProbe {
                slot: position,
                target,
                load: slot.load.load(Ordering::Relaxed),
                latency_us: slot.latency_us.load(Ordering::Relaxed),
            };
            count += 1;
        }
        count
    }

    /// Counts a use of the report and adds the picked request to its load.
    fn use_probe(&self, probe: &UsableProbe) {
        let slot = &self.slots[probe.slot];
        slot.uses.fetch_add(1, Ordering::Relaxed);
        slot.load.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns `true` if a reported target can take the request and its last request succeeded.
fn takes_requests(query: &TargetQuery<'_>, target: TargetKey) -> bool {
    query.fleet.targets.get(target).is_some_and(|snapshot| {
        snapshot.state.takes_requests()
            && snapshot.counters.consecutive_failures.load(Ordering::Relaxed) == 0
            && !snapshot.counters.is_closed(query.now)
            && !query.excluded.contains(&target)
    })
}

/// Picks the reported target with the lowest latency among those that are not hot, or the
/// one with the fewest requests in flight if all are hot.
#[derive(Debug, Default)]
pub struct ProbePolicy {
    fallback: TwoChoices,
}

impl RoutingPolicy for ProbePolicy {
    fn name(&self) -> &'static str {
        "probe-pool"
    }

    fn pick(&self, query: &TargetQuery<'_>, random: &mut dyn RngCore) -> Option<TargetChoice> {
        let pool = &query.service.counters.probes;
        let mut probes = [UsableProbe::default(); POOL_SIZE];
        let count = pool.read(query, &mut probes);
        if count < MIN_USABLE {
            return self.fallback.pick(query, random);
        }
        let probes = &mut probes[..count];
        probes.sort_unstable_by_key(|probe| probe.load);
        let limit = probes[((count - 1) as f32 * COLD_QUANTILE) as usize].load;
        let cold = probes.iter().filter(|probe| probe.load < limit);
        let choice = cold.min_by_key(|probe| probe.latency_us).unwrap_or(&probes[0]);
        pool.use_probe(choice);
        Some(TargetChoice {
            target: choice.target,
            reason: ReasonCode::ProbedCold,
            candidates: count as u16,
            expected_us: 0,
        })
    }
}
