//! Owns the tokens of an entry and what it grants to others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{
    FleetEvidence, HolderEffect, OwnShare, OwnerView, QuotaMessage, QuotaRequest, QuotaResponse,
    SETTLE_TIME, TakeId, TokenHolder, TokenOwner,
};
use crate::clock::Timestamp;
use crate::controllers::StateController;
use crate::placement::CoordinatorCandidate;
use crate::tenants::{TenantTable, TenantTag};

/// Time between two sweeps of idle tenants.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Messages that the quota controller handles.
#[derive(Clone, Debug)]
pub enum QuotaEvent {
    /// The tenants of a new version of the configuration.
    Tenants(Arc<TenantTable>),
    /// The live entries, this one included, and the number of entries that may be running.
    Peers(Vec<CoordinatorCandidate>, usize),
    /// What is known of the number of registered entries.
    Fleet(FleetEvidence),
    /// A request needs a token of its tenant.
    Take(TakeId, TenantTag),
    /// A request that took a token of this tenant was passed on to no target.
    Return(TenantTag),
    /// A message of another entry arrived.
    Received(SocketAddr, QuotaMessage),
    /// Time passed. Due every 20 ms.
    Tick,
}

/// Effects that the quota controller requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaEffect {
    /// Send a message to another entry.
    Send(SocketAddr, QuotaMessage),
    /// The request may run after the delay.
    Granted(TakeId, Duration),
    /// The tenant is over its limit. A token is due after the delay.
    Exceeded(TakeId, Duration),
    /// No owner could decide. One may after the delay.
    Unavailable(TakeId, Duration),
    /// An owner does not respond.
    Suspected(SocketAddr),
    /// Number of tokens that this entry holds.
    Held(usize),
}

/// Owns the tokens of an entry and what it grants to others.
#[derive(Debug)]
pub struct QuotaController {
    own_address: SocketAddr,
    started: Timestamp,
    /// Number of entries that were heard of, this one included.
    heard: usize,
    /// `None` until this entry is registered.
    evidence: Option<FleetEvidence>,
    own: OwnShare,
    table: Arc<TenantTable>,
    holder: TokenHolder,
    owner: TokenOwner,
    swept: Timestamp,
}

impl QuotaController {
    /// Creates a controller of an entry that starts. `seed` is that of its random draws.
    pub fn new(own_address: SocketAddr, seed: u64, now: Timestamp) -> Self {
        Self {
            own_address,
            started: now,
            heard: 1,
            evidence: None,
            own: OwnShare { entries: 1, is_settled: false },
            table: Arc::default(),
            holder: TokenHolder::new(own_address),
            owner: TokenOwner::new(seed, now),
            swept: now,
        }
    }

    /// Returns the share of the limits of a group that this entry may grant.
    pub fn share(&self, group: usize, now: Timestamp) -> f64 {
        self.owner.share(group, self.own, now)
    }

    fn set_peers(&mut self, candidates: &[CoordinatorCandidate], entries: usize, now: Timestamp) {
        self.heard = entries.max(1);
        self.holder.set_owners(candidates);
        self.update_own(now);
    }

    /// Updates the number of entries. Entries that were heard of count too, since those of earlier
    /// versions do not register.
    fn update_own(&mut self, now: Timestamp) {
        let evidence = self.evidence.filter(|evidence| evidence.is_usable(now));
        self.own = OwnShare {
            entries: evidence.map_or(0, |evidence| evidence.entries).max(self.heard),
            is_settled: evidence.is_some() && now.since(self.started) >= SETTLE_TIME,
        };
        self.holder.set_own(self.own);
    }

    /// Applies the effects of the holder. Requests to this entry itself are handled at once.
    fn apply(&mut self, effects: Vec<HolderEffect>, now: Timestamp) -> Vec<QuotaEffect> {
        let mut applied = Vec::new();
        let mut open = effects;
        while !open.is_empty() {
            let mut next = Vec::new();
            for effect in open {
                match effect {
                    HolderEffect::Send(to, request) if to == self.own_address => {
                        let response = self.respond(to, &request, now);
                        next.extend(self.holder.receive(to, &response, now));
                    }
                    HolderEffect::Send(to, request) => {
                        applied.push(QuotaEffect::Send(to, QuotaMessage::Request(request)));
                    }
                    HolderEffect::Granted(id, delay) => {
                        applied.push(QuotaEffect::Granted(id, delay));
                    }
                    HolderEffect::Exceeded(id, delay) => {
                        applied.push(QuotaEffect::Exceeded(id, delay));
                    }
                    HolderEffect::Unavailable(id, delay) => {
                        applied.push(QuotaEffect::Unavailable(id, delay));
                    }
                    HolderEffect::Suspected(owner) => applied.push(QuotaEffect::Suspected(owner)),
                }
            }
            open = next;
        }
        applied
    }

    fn respond(
        &mut self,
        from: SocketAddr,
        request: &QuotaRequest,
        now: Timestamp,
    ) -> QuotaResponse {
        let view = OwnerView { table: &self.table, own: self.own, now };
        self.owner.handle(from, request, view)
    }

    fn take_back(&mut self, tenant: TenantTag, now: Timestamp) {
        let view = OwnerView { table: &self.table, own: self.own, now };
        self.owner.take_back(tenant, view);
    }

    fn tick(&mut self, now: Timestamp) -> Vec<QuotaEffect> {
        self.update_own(now);
        self.owner.tick(OwnerView { table: &self.table, own: self.own, now });
        let effects = self.holder.tick(now);
        let mut applied = self.apply(effects, now);
        if now.since(self.swept) >= SWEEP_PERIOD {
            self.swept = now;
            applied.push(QuotaEffect::Held(self.holder.sweep(now)));
        }
        applied
    }
}

impl StateController for QuotaController {
    type Message = QuotaEvent;
    type Effect = QuotaEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        match message {
            QuotaEvent::Tenants(table) => {
                self.owner.retain(&table);
                self.table = table;
                Vec::new()
            }
            QuotaEvent::Peers(candidates, entries) => {
                self.set_peers(&candidates, entries, now);
                Vec::new()
            }
            QuotaEvent::Fleet(evidence) => {
                self.evidence = Some(evidence);
                self.update_own(now);
                Vec::new()
            }
            QuotaEvent::Take(id, tenant) => {
                let effects = self.holder.take(id, tenant, now);
                self.apply(effects, now)
            }
            QuotaEvent::Return(tenant) => {
                let owner = self.holder.owner_of(tenant, now);
                if owner != self.own_address {
                    return vec![QuotaEffect::Send(owner, QuotaMessage::Return(tenant))];
                }
                self.take_back(tenant, now);
                Vec::new()
            }
            QuotaEvent::Received(_, QuotaMessage::Return(tenant)) => {
                self.take_back(tenant, now);
                Vec::new()
            }
            QuotaEvent::Received(from, QuotaMessage::Request(request)) => {
                let response = QuotaMessage::Response(self.respond(from, &request, now));
                vec![QuotaEffect::Send(from, response)]
            }
            QuotaEvent::Received(from, QuotaMessage::Response(response)) => {
                let effects = self.holder.receive(from, &response, now);
                self.apply(effects, now)
            }
            QuotaEvent::Tick => self.tick(now),
        }
    }
}
