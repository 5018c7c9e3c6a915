//! Applies the evacuations in the directory to the registered targets.

use std::time::Duration;

use super::warm_up::ColdPeriod;
use super::{DirectoryController, DirectoryEffect, LIST_AGAIN_DELAY, OUTAGE_REMOVAL_DELAY};
use crate::clock::Timestamp;
use crate::directory::{DirectoryBatch, DirectoryPart};
use crate::evacuation::EvacuationChange;
use crate::warm_up::WarmUpSource;

/// Time for which an evacuation stays in force that a restored store has not listed, unless the
/// operator writes it again. The operator writes again within seconds, and an evacuation that
/// lasts too long costs no request.
const UNLISTED_EVACUATION_TIME: Duration = Duration::from_secs(10);

impl DirectoryController {
    /// Handles the first list of an era. What it lacks may have been written after the copy was
    /// made from which the store came back.
    pub(super) fn start_era(&mut self, part: DirectoryPart, now: Timestamp) {
        match part {
            DirectoryPart::Targets => {
                // A removal that was seen before stays due when it was.
                self.removals_delayed_until = now + OUTAGE_REMOVAL_DELAY;
                self.part(part).list_again_at = Some(now + LIST_AGAIN_DELAY);
            }
            DirectoryPart::Evacuations => {
                self.unlisted_evacuations_until = Some(now + UNLISTED_EVACUATION_TIME);
            }
            DirectoryPart::Configuration => {}
        }
    }

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
        let keeps_earlier = self.unlisted_evacuations_until.is_some_and(|until| now < until);
        let changes = self.evacuations.apply(batch, listed, keeps_earlier);
        self.apply_evacuation_changes(changes, now, effects)
    }

    /// Ends the evacuations that a restored store does not have, once the operator has had time to
    /// write them again.
    pub(super) fn end_unlisted_evacuations(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        if self.unlisted_evacuations_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.unlisted_evacuations_until = None;
        let follower = &self.parts[DirectoryPart::Evacuations as usize];
        let changes = self.evacuations.end_unlisted(follower.revision.unwrap_or_default());
        let mut effects = Vec::new();
        if self.apply_evacuation_changes(changes, now, &mut effects) {
            effects.extend(self.publish(now));
        }
        effects
    }

    /// Returns `true` if there are changes.
    fn apply_evacuation_changes(
        &mut self,
        changes: Vec<EvacuationChange>,
        now: Timestamp,
        effects: &mut Vec<DirectoryEffect>,
    ) -> bool {
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
