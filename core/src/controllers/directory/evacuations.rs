//! Applies the evacuations in the directory to the registered targets.

use super::warm_up::ColdPeriod;
use super::{DirectoryController, DirectoryEffect};
use crate::clock::Timestamp;
use crate::directory::DirectoryBatch;
use crate::warm_up::WarmUpSource;

impl DirectoryController {
    /// Applies a batch of evacuations, all of them if it is a list. Targets of a data centre that
    /// returns count as cold for the time that the configuration states for their service.
    /// Returns `true` if an evacuation started or ended.
    pub(super) fn apply_evacuations(
        &mut self,
        batch: &DirectoryBatch,
        listed: bool,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
        let changes = self.evacuations.apply(batch, listed);
        for change in changes.iter().filter(|change| !change.is_evacuated) {
            self.mark_returned(&change.data_centre, now);
        }
        let changed = !changes.is_empty();
        effects.extend(changes.into_iter().map(DirectoryEffect::Evacuation));
        changed
    }

    /// Records that the targets of a data centre are cold from now on.
    fn mark_returned(&mut self, data_centre: &str, now: Timestamp) {
        let Some(configuration) = &self.configuration else { return };
        for record in self.targets.values_mut() {
            let Some(target) = &record.target else { continue };
            let services = &configuration.services;
            let service = services.iter().find(|service| service.name == target.service);
            let Some(service) = service.filter(|_| target.data_centre == data_centre) else {
                continue;
            };
            let until = now + service.warm_up;
            if record.cold.is_none_or(|cold| cold.until < until) {
                record.cold = Some(ColdPeriod { until, source: WarmUpSource::EndedEvacuation });
            }
        }
    }

    /// Marks the targets of evacuated data centres in the newest snapshot, so that requests which
    /// already wait for a connection to one of them are not sent.
    pub(super) fn mark_evacuated(&self) {
        for target in self.fleet.targets.values() {
            target.counters.set_evacuated(self.evacuations.is_evacuated(&target.data_centre));
        }
    }
}
