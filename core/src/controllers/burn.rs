//! Service-level burn: counts finished requests away from the request path.

use std::sync::Arc;

use indexmap::IndexMap;

use super::StateController;
use crate::burn::{BURN_WINDOWS, BurnReport, BurnVerdict, KindBurn, WindowBurn, WindowCounter};
use crate::clock::Timestamp;
use crate::decision::RingBatch;
use crate::fleet::FleetSnapshot;
use crate::keys::ServiceKey;

/// What the burn controller is told.
pub enum BurnMessage {
    /// Records of requests that finished since the last message.
    Finished {
        /// The records.
        batch: RingBatch,
        /// Names and objectives.
        fleet: Arc<FleetSnapshot>,
    },
}

/// What the burn controller asks for.
#[derive(Debug)]
pub enum BurnEffect {
    /// Publish this report for administration.
    Publish(Arc<BurnReport>),
}

type KindWindows = [WindowCounter; BURN_WINDOWS.len()];

/// Owns the window counters of each kind.
#[derive(Default)]
pub struct BurnController {
    kinds: IndexMap<ServiceKey, IndexMap<String, KindWindows>>,
    lost: u64,
}

impl BurnController {
    fn count(&mut self, batch: &RingBatch, fleet: &FleetSnapshot) {
        self.lost += batch.lost;
        for (_, record) in &batch.records {
            let failure = match BurnVerdict::of(record) {
                BurnVerdict::Good => None,
                BurnVerdict::Bad(reason) => Some(reason),
                BurnVerdict::Excluded => continue,
            };
            let service = self.kinds.entry(record.facts.service).or_default();
            let name = record.kind_name(fleet);
            let windows =
                service.entry(name).or_insert_with(|| BURN_WINDOWS.map(WindowCounter::new));
            for window in windows {
                window.add(record.end.answered, failure);
            }
        }
    }

    /// Reports every kind of every service in force, also those without requests.
    fn report(&self, fleet: &FleetSnapshot, now: Timestamp) -> BurnReport {
        let mut report = BurnReport { taken: now, lost: self.lost, kinds: Vec::new() };
        for (key, service) in &fleet.services {
            let intent = &service.intent;
            for kind in &intent.kinds {
                let windows = self.kinds.get(&key).and_then(|kinds| kinds.get(&kind.name));
                let windows = BURN_WINDOWS.iter().enumerate().map(|(position, span)| {
                    let sum = windows.map(|windows| windows[position].sum(now));
                    WindowBurn::new(*span, sum.unwrap_or_default(), kind.objective_percent)
                });
                report.kinds.push(KindBurn {
                    service: intent.service.clone(),
                    kind: kind.name.clone(),
                    objective_percent: kind.objective_percent,
                    measuring_allowed_percent: intent.measuring.budget_percent,
                    // No controller spends on measuring yet.
                    measuring_spent_percent: 0.0,
                    windows: windows.collect(),
                });
            }
        }
        report
    }
}

impl StateController for BurnController {
    type Message = BurnMessage;
    type Effect = BurnEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        let BurnMessage::Finished { batch, fleet } = message;
        self.kinds.retain(|key, _| fleet.services.contains_key(*key));
        self.count(&batch, &fleet);
        vec![BurnEffect::Publish(Arc::new(self.report(&fleet, now)))]
    }
}
