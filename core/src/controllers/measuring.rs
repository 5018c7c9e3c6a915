//! Measuring: which targets are probed, within the budget of their service.

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

/// Age of a report below which a target is not probed: reports on responses are
/// free and newer than any probe's answer would be.
const FRESH_REPORT: Duration = Duration::from_millis(500);

/// Age of a report from which a target is probed although the routing policy
/// does not use probes. An idle service then still shows the load of its targets.
const LONG_SILENCE: Duration = Duration::from_secs(10);

/// When targets are probed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ProbeTrigger {
    /// The routing policy in force uses probes.
    #[default]
    ForRouting,
    /// Only a target without a report for long.
    AfterSilence,
}

/// What the measuring controller is told.
#[derive(Clone, Debug)]
pub enum MeasuringMessage {
    /// Intents and states of targets changed.
    Fleet(Arc<FleetSnapshot>),
    /// The store or a peer confirmed that a version is the newest.
    Confirmed {
        /// The service.
        service: ServiceKey,
        /// The confirmed version.
        version: u64,
        /// When the question was sent, before which the answer says nothing.
        sent: Timestamp,
    },
    /// Time has passed; due every 100 ms.
    Tick,
}

/// What the measuring controller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasuringEffect {
    /// Send one probe. It is already charged.
    Probe {
        /// The service.
        service: ServiceKey,
        /// The target.
        target: TargetKey,
        /// Its address.
        address: SocketAddr,
        /// Until when it may arrive.
        permit: ProbePermit,
    },
}

/// Spends this entry's share of the probe budgets.
#[derive(Debug, Default)]
pub struct MeasuringController {
    fleet: Arc<FleetSnapshot>,
    budgets: SecondaryMap<TargetKey, ProbeBudget>,
    confirmed: SecondaryMap<ServiceKey, Timestamp>,
    accounts: SecondaryMap<ServiceKey, MeasuringAccount>,
    need: ProbeTrigger,
    ticked: Option<Timestamp>,
}

impl StateController for MeasuringController {
    type Message = MeasuringMessage;
    type Effect = MeasuringEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            MeasuringMessage::Fleet(fleet) => self.take_fleet(fleet, now),
            MeasuringMessage::Confirmed { service, version, sent: asked } => {
                self.confirm(service, version, asked);
            }
            MeasuringMessage::Tick => return self.probes(now),
        }
        Vec::new()
    }
}

impl MeasuringController {
    /// Creates a controller without intents.
    pub fn new(need: ProbeTrigger) -> Self {
        Self { need, ..Self::default() }
    }

    /// Gives what was spent and allowed since the start, by service.
    pub fn accounts(&self) -> &SecondaryMap<ServiceKey, MeasuringAccount> {
        &self.accounts
    }

    /// Takes over budgets; a snapshot with an older intent is ignored. An earlier
    /// confirmation stays valid: the newer intent was accepted after it.
    fn take_fleet(&mut self, fleet: Arc<FleetSnapshot>, now: Timestamp) {
        let held = |key| self.fleet.services.get(key).map_or(0, |service| service.version);
        if fleet.services.iter().any(|(key, service)| held(key) > service.version) {
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

    fn confirm(&mut self, service: ServiceKey, version: u64, asked: Timestamp) {
        let held = self.fleet.services.get(service).map(|service| service.version);
        if held != Some(version) {
            return;
        }
        let newest = self.confirmed.get(service).copied().unwrap_or_default().max(asked);
        self.confirmed.insert(service, newest);
    }

    fn probes(&mut self, now: Timestamp) -> Vec<MeasuringEffect> {
        let passed = now.since(self.ticked.replace(now).unwrap_or(now));
        self.accounts.retain(|service, _| self.fleet.services.contains_key(service));
        let mut effects = Vec::new();
        for (service, held) in &self.fleet.services {
            let confirmed = self.confirmed.get(service).copied();
            let measuring = &held.intent.measuring;
            let slots = held.targets.iter().map(|target| self.fleet.targets[*target].slots).sum();
            let mut account = self.accounts.get(service).copied().unwrap_or_default();
            account.record_time(measuring, slots, passed, is_confirmed(confirmed, now));
            for target in &held.targets {
                let entry = &self.fleet.targets[*target];
                if !self.need.includes(entry, now) {
                    continue;
                }
                let budget = self.budgets.get_mut(*target);
                if let Some(grant) = budget.and_then(|budget| budget.try_spend(confirmed, now)) {
                    account.record_probe(measuring);
                    let (target, address) = (*target, entry.address);
                    effects.push(MeasuringEffect::Probe {
                        service,
                        target,
                        address,
                        permit: grant,
                    });
                }
            }
            self.accounts.insert(service, account);
        }
        effects
    }
}

impl ProbeTrigger {
    fn includes(self, target: &TargetSnapshot, now: Timestamp) -> bool {
        let reported = Timestamp(target.counters.reported_at.load(Ordering::Relaxed));
        let due = match self {
            Self::ForRouting => reported + FRESH_REPORT,
            Self::AfterSilence => reported.max(target.since) + LONG_SILENCE,
        };
        target.state != TargetState::Leaving && now >= due
    }
}
