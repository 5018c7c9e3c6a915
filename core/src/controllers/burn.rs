//! Counts finished requests against the objectives of their kinds, off the request path.

use std::sync::Arc;

use indexmap::IndexMap;
use slotmap::SecondaryMap;

use super::StateController;
use crate::burn::{BURN_WINDOWS, BurnEvent, BurnReport, KindBurn, WindowBurn, WindowCounter};
use crate::clock::Timestamp;
use crate::decision::RingBatch;
use crate::fleet::FleetSnapshot;
use crate::keys::ServiceKey;
use crate::probe::MeasuringAccount;

/// Messages that the burn controller handles.
pub enum BurnMessage {
    /// Records of the requests that finished since the last message.
    Finished {
        /// The records.
        batch: RingBatch,
        /// Names and objectives of the kinds.
        fleet: Arc<FleetSnapshot>,
    },
    /// Cost of measuring so far. It appears from the next report on.
    Measured(Arc<SecondaryMap<ServiceKey, MeasuringAccount>>),
}

/// Effects that the burn controller requests from its driver.
#[derive(Debug)]
pub enum BurnEffect {
    /// Publish this report to the administration API.
    Publish(Arc<BurnReport>),
}

type KindWindows = [WindowCounter; BURN_WINDOWS.len()];

/// Owns the window counters of each kind of each service.
#[derive(Default)]
pub struct BurnController {
    kinds: IndexMap<ServiceKey, IndexMap<String, KindWindows>>,
    measured: Arc<SecondaryMap<ServiceKey, MeasuringAccount>>,
    lost: u64,
}

impl BurnController {
    fn count(&mut self, batch: &RingBatch, fleet: &FleetSnapshot) {
        self.lost += batch.lost;
        for (_, record) in &batch.records {
            let failure = match BurnEvent::of(record) {
                BurnEvent::Good => None,
                BurnEvent::Bad(reason) => Some(reason),
                BurnEvent::Excluded => continue,
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

    /// Reports every kind of every service in force, including kinds without requests.
    fn report(&self, fleet: &FleetSnapshot, now: Timestamp) -> BurnReport {
        let mut report =
            BurnReport { taken: now, lost: self.lost, entries: 1, answered: 1, kinds: Vec::new() };
        for (key, service) in &fleet.services {
            let intent = &service.intent;
            let spent = self.measured.get(key).map(MeasuringAccount::spent_percent);
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
                    measuring_spent_percent: spent.unwrap_or_default(),
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
        let (batch, fleet) = match message {
            BurnMessage::Finished { batch, fleet } => (batch, fleet),
            BurnMessage::Measured(measured) => {
                self.measured = measured;
                return Vec::new();
            }
        };
        self.kinds.retain(|key, _| fleet.services.contains_key(*key));
        self.count(&batch, &fleet);
        vec![BurnEffect::Publish(Arc::new(self.report(&fleet, now)))]
    }
}
