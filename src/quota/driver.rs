//! Runs the quota controller.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::StateController;
use zinniaport_core::placement::CoordinatorCandidate;
use zinniaport_core::quota::{
    FleetEvidence, QuotaController, QuotaEffect, QuotaEvent, QuotaMessage, TakeId,
};
use zinniaport_core::tenants::TenantTable;

use super::TokenDecision;
use super::handle::{DriverEvent, QuotaHandle};
use crate::signals::{SignalDatagram, SignalSender};
use crate::state::SharedState;

/// Time between ticks, at which requests to owners are repeated and delegations renewed.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Maximum number of messages of other entries that wait, the same as for placement.
const MAX_MESSAGES: usize = 2_048;

/// Address of an entry that exchanges no signals.
const ALONE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Owns the quota controller. While no tenant has a limit it has no timer and ignores messages.
pub struct QuotaDriver {
    state: Arc<SharedState>,
    /// `None` if the entry exchanges no signals, so that it owns all limits.
    sender: Option<SignalSender>,
    controller: QuotaController,
    /// Tenants of the last fleet snapshot, and whether any has a limit.
    tenants: Option<Arc<TenantTable>>,
    is_active: bool,
    handle: QuotaHandle,
    events: mpsc::UnboundedReceiver<DriverEvent>,
    messages: mpsc::Receiver<(SocketAddr, QuotaMessage)>,
    takes: HashMap<TakeId, oneshot::Sender<TokenDecision>>,
    next_take: u64,
}

impl QuotaDriver {
    /// Creates a driver that sends through the socket of the signals driver.
    pub fn new(state: Arc<SharedState>, sender: Option<SignalSender>) -> Self {
        let (event_sender, events) = mpsc::unbounded_channel();
        let (message_sender, messages) = mpsc::channel(MAX_MESSAGES);
        let own_address = sender.as_ref().map_or(ALONE, SignalSender::address);
        let now = state.clock.now();
        Self {
            controller: QuotaController::new(own_address, rand::random(), now),
            state,
            sender,
            tenants: None,
            is_active: false,
            handle: QuotaHandle { events: event_sender, messages: message_sender },
            events,
            messages,
            takes: HashMap::new(),
            next_take: 0,
        }
    }

    /// Starts the driver of an entry that exchanges no signals, and so owns all limits.
    pub fn start_alone(state: Arc<SharedState>) -> QuotaHandle {
        let driver = Self::new(state, None);
        let handle = driver.handle();
        handle.set_peers(vec![CoordinatorCandidate { address: ALONE, capacity: 1 }], 1);
        handle.set_fleet(FleetEvidence::alone());
        tokio::spawn(driver.run(CancellationToken::new()));
        handle
    }

    /// Returns a handle that sends events to this driver.
    pub fn handle(&self) -> QuotaHandle {
        self.handle.clone()
    }

    /// Handles events until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let state = self.state.clone();
        loop {
            let mut fleet_changed = pin!(state.fleet_changed.notified());
            fleet_changed.as_mut().enable();
            self.update_tenants();
            tokio::select! {
                () = stop.cancelled() => return,
                () = fleet_changed => {}
                Some(event) = self.events.recv() => self.handle_event(event),
                Some((from, message)) = self.messages.recv() => {
                    if self.is_active {
                        self.step(QuotaEvent::Received(from, message));
                    }
                }
                _ = ticks.tick(), if self.is_active => self.step(QuotaEvent::Tick),
            }
        }
    }

    /// Takes over the tenants of the newest fleet snapshot, if they changed.
    fn update_tenants(&mut self) {
        let fleet = self.state.fleet.load();
        let is_same = match (&self.tenants, &fleet.tenants) {
            (Some(known), Some(tenants)) => Arc::ptr_eq(known, tenants),
            (known, tenants) => known.is_none() && tenants.is_none(),
        };
        if is_same {
            return;
        }
        self.tenants.clone_from(&fleet.tenants);
        drop(fleet);
        let table = self.tenants.clone().unwrap_or_default();
        let limited = table.iter().filter(|(_, tenant)| tenant.limit.is_some()).count();
        if self.is_active != (limited > 0) {
            self.is_active = limited > 0;
            log::info!(tenants = table.len(), limited; "limits of tenants changed");
        }
        self.step(QuotaEvent::Tenants(table));
    }

    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Take(tenant, sender) => {
                self.next_take += 1;
                let id = TakeId(self.next_take);
                self.takes.insert(id, sender);
                self.step(QuotaEvent::Take(id, tenant));
            }
            DriverEvent::Return(tenant) => self.step(QuotaEvent::Return(tenant)),
            DriverEvent::Fleet(evidence) => self.step(QuotaEvent::Fleet(evidence)),
            DriverEvent::Peers(candidates, entry_count) => {
                self.step(QuotaEvent::Peers(candidates, entry_count));
            }
        }
    }

    fn step(&mut self, event: QuotaEvent) {
        let now = self.state.clock.now();
        let metrics = &self.state.metrics.quota;
        for effect in self.controller.handle(event, now) {
            let (id, decision) = match effect {
                QuotaEffect::Send(to, message) => {
                    if let Some(sender) = &self.sender {
                        metrics.messages.increment(1);
                        sender.send(&SignalDatagram::Quota(message), &[to]);
                    }
                    continue;
                }
                QuotaEffect::Suspected(owner) => {
                    log::warn!(owner:% = owner; "owner of limits of tenants does not respond; turning to the next one");
                    continue;
                }
                QuotaEffect::Held(tokens) => {
                    metrics.held.set(tokens as f64);
                    continue;
                }
                QuotaEffect::Granted(id, delay) => {
                    metrics.granted.increment(1);
                    (id, TokenDecision::Granted(now + delay))
                }
                QuotaEffect::Exceeded(id, delay) => {
                    metrics.exceeded.increment(1);
                    (id, TokenDecision::Exceeded(delay))
                }
                QuotaEffect::Unavailable(id, delay) => {
                    metrics.unavailable.increment(1);
                    (id, TokenDecision::Unavailable(delay))
                }
            };
            if let Some(sender) = self.takes.remove(&id) {
                // If the request is gone, its token expires.
                let _ = sender.send(decision);
            }
        }
    }
}
