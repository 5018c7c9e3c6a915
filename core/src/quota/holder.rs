//! What an entry does to get tokens: it delegates its shares to owners and asks them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::hand::TokenHand;
use super::link::OwnerLink;
use super::{
    GROUP_COUNT, HOLD_TIME, MAX_BACKOFF, MAX_OWNERS, MAX_WAIT, MIN_BACKOFF, OwnShare, QuotaRequest,
    QuotaResponse, RESEND_AFTER, TokenAsk, TokenGrant, group_of,
};
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::placement::CoordinatorCandidate;
use crate::tenants::TenantTag;

/// `Retry-After` of a request for which no owner responded, if no delegation has to end first.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time between two ticks from which on this entry was paused, so that responses may have arrived
/// that it has not read yet.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// Identifies a request of this entry that needs a token.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct TakeId(pub u64);

/// Effects that a holder requests.
#[derive(Clone, Debug, PartialEq)]
pub enum HolderEffect {
    /// Send a request to an owner, which may be this entry.
    Send(SocketAddr, QuotaRequest),
    /// The request may run after the delay.
    Granted(TakeId, Duration),
    /// The tenant is over its limit. A token is due after the delay.
    Exceeded(TakeId, Duration),
    /// No owner could decide. One may after the delay.
    Unavailable(TakeId, Duration),
    /// An owner does not respond.
    Suspected(SocketAddr),
}

/// State of the share of this entry in a group.
#[derive(Debug, Default)]
struct HeldGroup {
    /// Entries that may own the group, the preferred one first.
    order: Vec<SocketAddr>,
    /// Entry to which the share was delegated last, and until when.
    delegate: Option<(SocketAddr, Timestamp)>,
}

/// Requests that asked for tokens of a tenant, of which one response is used.
#[derive(Clone, Copy, Debug)]
struct OpenAsk {
    first_sequence: u32,
    last_sequence: u32,
    first_sent: Timestamp,
    last_sent: Timestamp,
    /// Requests that waited when the first of them was sent.
    needed: u8,
}

/// State of the tokens of one tenant.
#[derive(Debug, Default)]
struct HeldTenant {
    hand: TokenHand,
    waiting: VecDeque<(TakeId, Timestamp)>,
    /// Requests that asked for tokens and have no response yet.
    asked: Option<OpenAsk>,
    /// When the owner may be asked again after it denied tokens, and when a token is due.
    denied: Option<(Timestamp, Timestamp)>,
}

/// Tokens of this entry, and its messages to owners.
#[derive(Debug)]
pub struct TokenHolder {
    own_address: SocketAddr,
    own: OwnShare,
    /// Entries that own groups.
    owners: Vec<SocketAddr>,
    groups: [HeldGroup; GROUP_COUNT],
    links: IndexMap<SocketAddr, OwnerLink>,
    tenants: HashMap<TenantTag, HeldTenant>,
    /// Tenants with requests that wait.
    waiting: IndexSet<TenantTag>,
    sequence: u32,
    last_tick: Timestamp,
}

impl TokenHolder {
    /// Creates a holder that delegates nothing until [`Self::set_owners`] is called.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            own: OwnShare { entries: 1, is_settled: false },
            owners: Vec::new(),
            groups: std::array::from_fn(|_| HeldGroup::default()),
            links: IndexMap::new(),
            tenants: HashMap::new(),
            waiting: IndexSet::new(),
            sequence: 0,
            last_tick: Timestamp::default(),
        }
    }

    /// Sets the entries that may own groups. Those with the largest capacity do.
    pub fn set_owners(&mut self, candidates: &[CoordinatorCandidate]) {
        let mut eligible: Vec<_> =
            candidates.iter().filter(|candidate| candidate.capacity > 0).collect();
        eligible
            .sort_by_key(|candidate| (std::cmp::Reverse(candidate.capacity), candidate.address));
        let owners: Vec<_> =
            eligible.into_iter().map(|candidate| candidate.address).take(MAX_OWNERS).collect();
        for (index, group) in self.groups.iter_mut().enumerate() {
            group.order.clone_from(&owners);
            group.order.sort_by_cached_key(|owner| hash_score(index, *owner));
        }
        self.links.retain(|address, _| owners.contains(address));
        self.owners = owners;
    }

    /// Sets what is known about the number of entries.
    pub fn set_own(&mut self, own: OwnShare) {
        self.own = own;
    }

    /// Returns the entry to which the share in a group should be delegated: the preferred owner
    /// that responds, or this entry.
    fn preferred(&self, group: usize) -> SocketAddr {
        let mut order = self.groups[group].order.iter();
        let responds =
            |owner: &&SocketAddr| self.links.get(*owner).is_none_or(|link| !link.is_suspected());
        order.find(responds).copied().unwrap_or(self.own_address)
    }

    /// Returns the entry to ask for tokens of a group. The entry that the share is delegated to is
    /// asked until the delegation ends.
    fn owner(&self, group: usize, now: Timestamp) -> SocketAddr {
        let delegate = self.groups[group].delegate.filter(|(_, until)| *until > now);
        let responds =
            |owner: SocketAddr| self.links.get(&owner).is_none_or(|link| !link.is_suspected());
        match delegate {
            Some((owner, _)) if responds(owner) => owner,
            _ => self.preferred(group),
        }
    }

    /// Returns the entry that grants tokens of a tenant.
    pub fn owner_of(&self, tenant: TenantTag, now: Timestamp) -> SocketAddr {
        self.owner(group_of(tenant), now)
    }

    /// Takes a token for a request.
    pub fn take(&mut self, id: TakeId, tenant: TenantTag, now: Timestamp) -> Vec<HolderEffect> {
        let held = self.tenants.entry(tenant).or_default();
        held.hand.record_demand(now);
        if let Some(delay) = held.hand.take(now) {
            return vec![HolderEffect::Granted(id, delay)];
        }
        if let Some((until, due)) = held.denied.filter(|(until, _)| *until > now) {
            return vec![HolderEffect::Exceeded(id, due.max(until).since(now))];
        }
        held.waiting.push_back((id, now));
        self.waiting.insert(tenant);
        self.ask(tenant, now)
    }

    /// Asks the owner of a tenant for tokens unless a response is awaited.
    fn ask(&mut self, tenant: TenantTag, now: Timestamp) -> Vec<HolderEffect> {
        let owner = self.owner(group_of(tenant), now);
        let sequence = self.sequence.wrapping_add(1);
        let Some(held) = self.tenants.get_mut(&tenant) else { return Vec::new() };
        let needed = u8::try_from(held.waiting.len()).unwrap_or(u8::MAX);
        let open = held.asked.get_or_insert(OpenAsk {
            first_sequence: sequence,
            last_sequence: sequence,
            first_sent: now,
            last_sent: now,
            needed,
        });
        if open.last_sequence != sequence {
            if now.since(open.last_sent) < RESEND_AFTER {
                return Vec::new();
            }
            (open.last_sequence, open.last_sent) = (sequence, now);
        }
        let asks = vec![TokenAsk { tenant, needed, wanted: held.hand.expected_demand(now) }];
        vec![self.request(owner, asks, now)]
    }

    /// Creates a request to an owner that delegates all shares that may be delegated to it.
    fn request(&mut self, owner: SocketAddr, asks: Vec<TokenAsk>, now: Timestamp) -> HolderEffect {
        self.sequence = self.sequence.wrapping_add(1);
        let mut request = QuotaRequest {
            sequence: self.sequence,
            entries: u16::try_from(self.own.entries).unwrap_or(u16::MAX),
            asks,
            ..QuotaRequest::default()
        };
        let link = self.links.entry(owner).or_default();
        link.record_request(now);
        let link = *link;
        if let Some((echo, until)) = link.delegation(now).filter(|_| self.own.is_settled) {
            request.echo = echo;
            for index in 0..GROUP_COUNT {
                if self.preferred(index) == owner && self.may_delegate(index, owner, now) {
                    request.groups |= 1 << index;
                    self.groups[index].delegate = Some((owner, until));
                }
            }
        }
        HolderEffect::Send(owner, request)
    }

    fn may_delegate(&self, group: usize, owner: SocketAddr, now: Timestamp) -> bool {
        self.groups[group].delegate.is_none_or(|(held, until)| held == owner || until <= now)
    }

    /// Uses the tokens that an owner granted.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        response: &QuotaResponse,
        now: Timestamp,
    ) -> Vec<HolderEffect> {
        let Some(link) = self.links.get_mut(&from) else { return Vec::new() };
        link.record_response(response.stamp, now);
        let mut effects = Vec::new();
        for grant in &response.grants {
            self.receive_grant(grant, response.sequence, now, &mut effects);
        }
        if self.has_undelegated(from, now) {
            effects.push(self.request(from, Vec::new(), now));
        }
        effects
    }

    fn receive_grant(
        &mut self,
        grant: &TokenGrant,
        sequence: u32,
        now: Timestamp,
        effects: &mut Vec<HolderEffect>,
    ) {
        let Some(held) = self.tenants.get_mut(&grant.tenant) else { return };
        let is_open =
            |open: &mut OpenAsk| (open.first_sequence..=open.last_sequence).contains(&sequence);
        // Without a share of the limit the owner decides nothing, and the request is sent again.
        let Some(delay) = grant.delay() else { return };
        let Some(open) = held.asked.take_if(is_open) else { return };
        held.denied = None;
        held.hand.add(grant.tokens, now + delay, open.first_sent + HOLD_TIME);
        while let Some((id, _)) = held.waiting.front().copied() {
            let Some(delay) = held.hand.take(now) else { break };
            held.waiting.pop_front();
            effects.push(HolderEffect::Granted(id, delay));
        }
        if grant.tokens < open.needed || grant.tokens == 0 {
            let backoff = delay.clamp(MIN_BACKOFF, MAX_BACKOFF);
            held.denied = Some((now + backoff, now + delay));
            let waiting = std::mem::take(&mut held.waiting);
            let delay = delay.max(backoff);
            effects.extend(waiting.into_iter().map(|(id, _)| HolderEffect::Exceeded(id, delay)));
        }
        if held.waiting.is_empty() {
            self.waiting.swap_remove(&grant.tenant);
        } else {
            effects.extend(self.ask(grant.tenant, now));
        }
    }

    /// Returns `true` if shares should be delegated to an owner and are not delegated to any.
    fn has_undelegated(&self, owner: SocketAddr, now: Timestamp) -> bool {
        let is_open = |group: usize| {
            self.groups[group].delegate.is_none_or(|(_, until)| until <= now)
                && self.preferred(group) == owner
        };
        self.own.is_settled
            && self.links.get(&owner).is_some_and(|link| link.delegation(now).is_some())
            && (0..GROUP_COUNT).any(is_open)
    }

    /// Renews delegations, repeats requests and refuses what has waited too long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<HolderEffect> {
        let mut effects = Vec::new();
        let was_paused = now.since(self.last_tick) >= MAX_TICK_DELAY;
        self.last_tick = now;
        for (address, link) in &mut self.links {
            if was_paused {
                link.restart_wait(now);
            }
            if link.check(now) {
                effects.push(HolderEffect::Suspected(*address));
            }
        }
        let mut owners = self.owners.clone();
        if owners.iter().all(|owner| self.links.get(owner).is_some_and(OwnerLink::is_suspected)) {
            owners.push(self.own_address);
        }
        for owner in owners {
            let is_due = self.links.get(&owner).is_none_or(|link| link.is_due(now));
            if is_due || self.has_undelegated(owner, now) {
                effects.push(self.request(owner, Vec::new(), now));
            }
        }
        for tenant in self.waiting.clone() {
            self.expire(tenant, now, &mut effects);
            effects.extend(self.ask(tenant, now));
        }
        effects
    }

    fn expire(&mut self, tenant: TenantTag, now: Timestamp, effects: &mut Vec<HolderEffect>) {
        let delegate = self.groups[group_of(tenant)].delegate;
        let open_after = delegate.map_or(Duration::ZERO, |(_, until)| until.since(now));
        let Some(held) = self.tenants.get_mut(&tenant) else { return };
        while let Some((id, since)) = held.waiting.front().copied() {
            if now.since(since) < MAX_WAIT {
                break;
            }
            held.waiting.pop_front();
            let delay = open_after.max(UNAVAILABLE_RETRY_AFTER);
            effects.push(HolderEffect::Unavailable(id, delay));
        }
        if held.waiting.is_empty() {
            self.waiting.swap_remove(&tenant);
        }
    }

    /// Forgets idle tenants. Returns the number of tokens held.
    pub fn sweep(&mut self, now: Timestamp) -> usize {
        self.tenants.retain(|_, held| !held.waiting.is_empty() || !held.hand.is_idle(now));
        self.tenants.values().map(|held| held.hand.len(now)).sum()
    }
}

fn hash_score(group: usize, owner: SocketAddr) -> (u64, SocketAddr) {
    let text = owner.to_string();
    let digest = ShortDigest::of(&[b"quota", &group.to_be_bytes(), text.as_bytes()]);
    (digest.high_bits(), owner)
}
