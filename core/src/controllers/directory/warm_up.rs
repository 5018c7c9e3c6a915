//! Which targets are cold, from their registrations and the configuration.

use std::time::Duration;

use super::{DirectoryController, DirectoryEffect};
use crate::clock::Timestamp;
use crate::directory::RegisteredTarget;
use crate::warm_up::{WarmUpChange, WarmUpSource};

/// Time by which the clocks of a target and this entry may differ when the age of a listed
/// registration is estimated.
const MAX_CLOCK_OFFSET: Duration = Duration::from_secs(5);

/// Cold period of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdPeriod {
    pub(super) until: Timestamp,
    pub(super) source: WarmUpSource,
}

/// Returns the cold period that a registration states. One in a list may have been written long
/// ago, with a time left that has passed since; it counts if the target started recently or does
/// not state when it started.
pub(super) fn registered_period(
    target: &RegisteredTarget,
    is_listed: bool,
    now: Timestamp,
) -> Option<ColdPeriod> {
    if target.warm_up_left.is_zero() {
        return None;
    }
    let started_ms = target.instance.started_ms;
    let started = Timestamp(started_ms.saturating_mul(1_000));
    let is_old = started_ms > 0 && now.since(started) > target.warm_up_left + MAX_CLOCK_OFFSET;
    let until = now + target.warm_up_left;
    (!is_listed || !is_old).then_some(ColdPeriod { until, source: WarmUpSource::Registration })
}

impl DirectoryController {
    /// Sets the limits of cold targets in the newest snapshot. Returns an effect for each source
    /// from which cold targets were learned.
    pub(super) fn update_cold_targets(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let Some(configuration) = &self.configuration else { return Vec::new() };
        let mut counts = [(WarmUpSource::Registration, 0), (WarmUpSource::EndedEvacuation, 0)];
        for service in self.fleet.services.values() {
            let services = &configuration.services;
            let definition = services.iter().find(|known| known.name == service.intent.service);
            let rate = definition.and_then(|definition| definition.warm_up_per_second);
            let group_rate = rate.map(|rate| self.settings.warm_up.group_rate(rate));
            for target in service.targets.iter().filter_map(|key| self.fleet.targets.get(*key)) {
                let limit = &target.counters.limit.warm_up;
                limit.set_group_rate(group_rate);
                let name = target.instance.as_ref().map_or("", |instance| &instance.id);
                let period = self.targets.get(name).and_then(|record| record.cold);
                let Some(ColdPeriod { until, source }) = period else { continue };
                if let Some(WarmUpChange::Started(_)) = limit.extend(until, now) {
                    let count = counts.iter_mut().find(|(known, _)| *known == source);
                    count.into_iter().for_each(|(_, count)| *count += 1);
                }
            }
        }
        let counts = counts.into_iter().filter(|(_, count)| *count > 0);
        counts.map(|(source, count)| DirectoryEffect::ColdTargets(source, count)).collect()
    }
}
