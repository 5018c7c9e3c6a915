//! Builds the fleet snapshot from the registered targets and the configuration.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{DirectoryController, DirectoryEffect};
use crate::clock::Timestamp;
use crate::directory::RegisteredTarget;
use crate::fleet::DirectoryState;
use crate::intent::{DesiredState, MeasuringIntent, ServiceIntent, TargetIntent};

/// Greatest number of requests that wait for one service at one entry.
const MAX_QUEUE_LENGTH: u32 = 256;

/// Greatest share of the targets of a service that may be ejected, in percent.
const MAX_EJECTED_PERCENT: f64 = 50.0;

/// Number of targets that a request may crash before it is quarantined: one less than the
/// three after which the platform limits the retries of the request.
const MAX_CRASHED_TARGETS: u8 = 2;

impl DirectoryController {
    pub(super) fn publish(&mut self, now: Timestamp) -> Vec<DirectoryEffect> {
        let Some(configuration) = &self.configuration else { return Vec::new() };
        let mut targets: IndexMap<&str, Vec<TargetIntent>> = IndexMap::new();
        for target in self.targets.values().filter_map(|record| record.target.as_ref()) {
            targets.entry(&target.service).or_default().push(self.target_intent(target));
        }
        let services = configuration.services.iter().map(|service| {
            let routes = configuration.routes.iter();
            let used =
                routes.filter(|route| route.parts.iter().any(|part| part.service == service.name));
            ServiceIntent {
                service: service.name.clone(),
                team: String::new(),
                kinds: used.map(|route| route.kind.clone()).collect(),
                targets: targets.swap_remove(service.name.as_str()).unwrap_or_default(),
                measuring: MeasuringIntent {
                    probe_path: Some(service.health_path.clone()).filter(|path| !path.is_empty()),
                    ..MeasuringIntent::default()
                },
                max_queue_length: MAX_QUEUE_LENGTH,
                retry_percent: self.settings.retry_ratio * 100.0,
                max_ejected_percent: MAX_EJECTED_PERCENT,
                max_crashed_targets: MAX_CRASHED_TARGETS,
            }
        });
        let directory = DirectoryState {
            version: configuration.version,
            services: services.collect(),
            routes: configuration.routes.clone(),
            limits: configuration.limits,
            tenants: configuration.tenants.clone(),
            unused_items: configuration.unused_items.clone(),
        };
        self.fleet.apply_directory(directory, self.initial_cursor, now);
        self.mark_evacuated();
        let mut effects = self.update_cold_targets(now);
        effects.push(DirectoryEffect::Publish(Arc::new(self.fleet.clone())));
        effects
    }

    fn target_intent(&self, target: &RegisteredTarget) -> TargetIntent {
        let takes_none = target.leaving || self.evacuations.is_evacuated(&target.data_centre);
        let state = match (takes_none, target.warm_up_left.is_zero()) {
            (true, _) => DesiredState::Leaving,
            (false, true) => DesiredState::Serving,
            (false, false) => DesiredState::Joining,
        };
        TargetIntent {
            address: target.address,
            data_centre: target.data_centre.clone(),
            slots: target.slots,
            state,
            instance: Some(target.instance.clone()),
        }
    }
}
