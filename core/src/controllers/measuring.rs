//! Decides which targets are probed, within the measuring budget of their service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::StateController;
use crate::clock::Timestamp;
use crate::fleet::{FleetSnapshot, TargetSnapshot, TargetState};
use crate::keys::{ServiceKey, TargetKey};
use crate::probe::{MeasuringAccount, ProbeBudget, ProbePermit, is_confirmed};

/// Age of a load report below which a target is not probed: while requests run, their
/// responses bring newer reports than a probe would, at no cost.
const FRESH_REPORT: Duration = Duration::from_millis(500);

/// Age of a load report from which a target is probed even though the routing policy does
/// not use probes, so that an idle service still shows the load of its targets.
const LONG_SILENCE: Duration = Duration::from_secs(10);

/// Condition under which targets are probed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ProbeTrigger {
    /// The routing policy uses probes: a target is probed unless its load report is fresh.
    #[default]
    ForRouting,
    /// A target is probed only after a long time without a load report.
    AfterSilence,
}

/// Messages that the measuring controller handles.
#[derive(Clone, Debug)]
pub enum MeasuringMessage {
    /// Intents or states of targets changed.
    Fleet(Arc<FleetSnapshot>),
    /// The store or a peer confirmed that a version of the intent is the newest.
    Confirmed {
        /// The service.
        service: ServiceKey,
        /// The confirmed version.
        version: u64,
        /// When the confirming call was sent. The response may reflect this time, so it
        /// proves nothing about later changes.
        sent: Timestamp,
    },
    /// Time passed. Due every 100 ms.
    Tick,
}

/// Effects that the measuring controller requests from its driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasuringEffect {
    /// Send one probe, which is already charged to the budget.
    Probe {
        /// The service.
        service: ServiceKey,
        /// The target.
        target: TargetKey,
        /// Its address.
        address: SocketAddr,
        /// Latest time at which the probe may arrive.
        permit: ProbePermit,
    },
}

/// Spends this entry's share of the probe budget of each target.
#[derive(Debug, Default)]
pub struct MeasuringController {
    fleet: Arc<FleetSnapshot>,
    budgets: SecondaryMap<TargetKey, ProbeBudget>,
    confirmed: SecondaryMap<ServiceKey, Timestamp>,
    accounts: SecondaryMap<ServiceKey, MeasuringAccount>,
    trigger: ProbeTrigger,
    last_tick: Option<Timestamp>,
}

impl StateController for MeasuringController {
    type Message = MeasuringMessage;
    type Effect = MeasuringEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            MeasuringMessage::Fleet(fleet) => self.apply_fleet(fleet, now),
            MeasuringMessage::Confirmed { service, version, sent } => {
                self.confirm(service, version, sent);
            }
            MeasuringMessage::Tick => return self.due_probes(now),
        }
        Vec::new()
    }
}

impl MeasuringController {
    /// Creates a controller without intents.
    pub fn new(trigger: ProbeTrigger) -> Self {
        Self { trigger, ..Self::default() }
    }

    /// Returns the measuring time spent and allowed since the start, by service.
    pub fn accounts(&self) -> &SecondaryMap<ServiceKey, MeasuringAccount> {
        &self.accounts
    }

    /// Applies the budgets of a snapshot. A snapshot with an older intent is ignored. An
    /// earlier confirmation stays valid, because the newer intent was accepted after it.
    fn apply_fleet(&mut self, fleet: Arc<FleetSnapshot>, now: Timestamp) {
        let known_version = |key| self.fleet.services.get(key).map_or(0, |service| service.version);
        if fleet.services.iter().any(|(key, service)| known_version(key) > service.version) {
            return;
        }
        self.budgets.retain(|target, _| fleet.targets.contains_key(target));
        for service in fleet.services.values() {
            for target in &service.targets {
                let slots = fleet.targets[*target].slots;
                if !self.budgets.contains_key(*target) {
                    self.budgets.insert(*target, ProbeBudget::default());
                }
                self.budgets[*target].set(&service.intent.measuring, slots, now);
            }
        }
        self.fleet = fleet;
    }

    fn confirm(&mut self, service: ServiceKey, version: u64, sent: Timestamp) {
        let known_version = self.fleet.services.get(service).map(|service| service.version);
        if known_version != Some(version) {
            return;
        }
        let newest = self.confirmed.get(service).copied().unwrap_or_default().max(sent);
        self.confirmed.insert(service, newest);
    }

    fn due_probes(&mut self, now: Timestamp) -> Vec<MeasuringEffect> {
        let passed = now.since(self.last_tick.replace(now).unwrap_or(now));
        self.accounts.retain(|service, _| self.fleet.services.contains_key(service));
        let mut effects = Vec::new();
        for (service, snapshot) in &self.fleet.services {
            let confirmed = self.confirmed.get(service).copied();
            let measuring = &snapshot.intent.measuring;
            let slots =
                snapshot.targets.iter().map(|target| self.fleet.targets[*target].slots).sum();
            let mut account = self.accounts.get(service).copied().unwrap_or_default();
            account.record_time(measuring, slots, passed, is_confirmed(confirmed, now));
            for target in &snapshot.targets {
                let target_snapshot = &self.fleet.targets[*target];
                if !self.trigger.is_due(target_snapshot, now) {
                    continue;
                }
                let budget = self.budgets.get_mut(*target);
                if let Some(permit) = budget.and_then(|budget| budget.try_spend(confirmed, now)) {
                    account.record_probe(measuring);
                    let (target, address) = (*target, target_snapshot.address);
                    effects.push(MeasuringEffect::Probe { service, target, address, permit });
                }
            }
            self.accounts.insert(service, account);
        }
        effects
    }
}

impl ProbeTrigger {
    fn is_due(self, target: &TargetSnapshot, now: Timestamp) -> bool {
        let reported = Timestamp(target.counters.reported_at.load(Ordering::Relaxed));
        let due = match self {
            Self::ForRouting => reported + FRESH_REPORT,
            Self::AfterSilence => reported.max(target.since) + LONG_SILENCE,
        };
        target.state != TargetState::Leaving && now >= due
    }
}
