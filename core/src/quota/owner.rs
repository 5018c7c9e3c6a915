//! What an entry grants as the owner of groups of tenants.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    BucketLimit, DELEGATION_TIME, GROUP_COUNT, QuotaRequest, QuotaResponse, TokenAsk, TokenBucket,
    TokenGrant, group_of,
};
use crate::clock::Timestamp;
use crate::tenants::{TenantLimit, TenantTable, TenantTag};

/// Part of its highest share down to which the share of an owner may fall before its buckets are
/// clamped. The tokens beyond, a twentieth of the burst, are within the overage.
const CLAMP_BELOW: f64 = 0.95;

/// Time for which the share of a group is used before it is computed again, so that a tenant far
/// above its limit does not make its owner add up all delegations for each request.
const SHARE_AGE: Duration = Duration::from_millis(5);

/// What an owner knows about the number of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnShare {
    /// Number of entries that may be running.
    pub entries: usize,
    /// Whether that number is known well enough to use the share of this entry.
    pub is_settled: bool,
}

/// What an owner decides by.
#[derive(Clone, Copy, Debug)]
pub struct OwnerView<'a> {
    /// Tenants of the newest configuration.
    pub table: &'a TenantTable,
    /// Number of entries.
    pub own: OwnShare,
    /// Current time.
    pub now: Timestamp,
}

/// Share of one entry that is delegated to this one.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    until: Timestamp,
    entries: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct OwnedBucket {
    bucket: TokenBucket,
    /// Value of [`OwnedGroup::filled`] up to which the bucket is filled.
    filled: f64,
}

#[derive(Debug, Default)]
struct OwnedGroup {
    delegations: IndexMap<SocketAddr, Delegation>,
    /// Sum of the delegated shares.
    share: f64,
    /// Highest share since the buckets were clamped.
    highest_share: f64,
    /// Integral of the share over time, in seconds.
    filled: f64,
    /// Value of [`Self::filled`] at which new buckets are empty.
    empty_at: f64,
    advanced: Timestamp,
    buckets: HashMap<TenantTag, OwnedBucket>,
}

impl OwnedGroup {
    /// Returns the share of each entry, by the highest number of entries that any of them knows.
    /// Entries delegate only while they know it, so that this one need not.
    fn part(&self, own: OwnShare) -> f64 {
        let reported = self.delegations.values().map(|delegation| delegation.entries.into());
        let entries = reported.chain([own.entries, self.delegations.len()]).max().unwrap_or(1);
        1.0 / entries.max(1) as f64
    }

    /// Returns the sum of the shares whose delegations have not ended.
    fn share_at(&self, own: OwnShare, now: Timestamp) -> f64 {
        let valid = self.delegations.values().filter(|delegation| delegation.until > now);
        valid.count() as f64 * self.part(own)
    }

    /// Brings the share to `now`. Each delegation counts up to its end, however late that is.
    fn advance(&mut self, own: OwnShare, now: Timestamp) {
        let valid = self.delegations.values().map(|delegation| {
            delegation.until.min(now).since(self.advanced.min(now)).as_secs_f64()
        });
        self.filled += valid.sum::<f64>() * self.part(own);
        self.advanced = now;
        self.share = self.share_at(own, now);
        self.delegations.retain(|_, delegation| delegation.until > now);
    }

    /// Records the share of an entry.
    fn delegate(&mut self, from: SocketAddr, new: Delegation, own: OwnShare, now: Timestamp) {
        if let Some(known) = self.delegations.get_mut(&from).filter(|known| known.until > now) {
            *known = Delegation { until: known.until.max(new.until), ..new };
            return;
        }
        self.advance(own, now);
        self.delegations.insert(from, new);
    }

    /// Removes the tokens that the share no longer allows, since other owners may grant them.
    fn clamp(&mut self, limit_of: impl Fn(TenantTag) -> Option<TenantLimit>) {
        if self.share >= self.highest_share * CLAMP_BELOW {
            self.highest_share = self.highest_share.max(self.share);
            return;
        }
        self.highest_share = self.share;
        self.empty_at = self.filled;
        let (share, filled) = (self.share, self.filled);
        if share <= 0.0 {
            return self.buckets.clear();
        }
        self.buckets.retain(|tenant, bucket| {
            let Some(limit) = limit_of(*tenant) else { return false };
            bucket.fill(limit, share, filled);
            true
        });
    }
}

impl OwnedBucket {
    fn fill(&mut self, limit: TenantLimit, share: f64, filled: f64) {
        let tokens = limit.requests_per_second * (filled - self.filled);
        self.bucket.fill(tokens, BucketLimit::of(limit, share));
        self.filled = filled;
    }
}

/// Token buckets of the groups that other entries delegate to this one.
#[derive(Debug)]
pub struct TokenOwner {
    started: Timestamp,
    groups: [OwnedGroup; GROUP_COUNT],
    random: SmallRng,
}

impl TokenOwner {
    /// Creates an owner without tokens. `seed` is that of its random draws.
    pub fn new(seed: u64, started: Timestamp) -> Self {
        let groups =
            std::array::from_fn(|_| OwnedGroup { advanced: started, ..OwnedGroup::default() });
        Self { started, groups, random: SmallRng::seed_from_u64(seed) }
    }

    /// Records the delegations of an entry and grants it tokens.
    pub fn handle(
        &mut self,
        from: SocketAddr,
        request: &QuotaRequest,
        view: OwnerView<'_>,
    ) -> QuotaResponse {
        let OwnerView { own, now, .. } = view;
        let until = Timestamp(request.echo) + DELEGATION_TIME;
        // A stamp of an earlier process of this entry may be later than the clock of this one.
        let is_current = (self.started..=now).contains(&Timestamp(request.echo)) && until > now;
        for (index, group) in self.groups.iter_mut().enumerate() {
            if is_current && request.groups & (1 << index) != 0 {
                group.delegate(from, Delegation { until, entries: request.entries }, own, now);
            }
        }
        let grants = request.asks.iter().map(|ask| self.grant(*ask, view)).collect();
        QuotaResponse { sequence: request.sequence, stamp: now.0, grants }
    }

    fn grant(&mut self, ask: TokenAsk, view: OwnerView<'_>) -> TokenGrant {
        let OwnerView { table, own, now } = view;
        let TokenAsk { tenant, needed, wanted } = ask;
        let group = &mut self.groups[group_of(tenant)];
        if now.since(group.advanced) >= SHARE_AGE {
            group.advance(own, now);
            group.clamp(|tenant| limit_of(table, tenant));
        }
        let Some(limit) = limit_of(table, tenant).filter(|_| group.share > 0.0) else {
            return TokenGrant::unavailable(tenant);
        };
        let new = OwnedBucket { filled: group.empty_at, ..OwnedBucket::default() };
        let bucket = group.buckets.entry(tenant).or_insert(new);
        bucket.fill(limit, group.share, group.filled);
        let limit = BucketLimit::of(limit, group.share);
        let (tokens, delay) = bucket.bucket.take(needed, wanted, limit, &mut self.random);
        TokenGrant::new(tenant, tokens, delay)
    }

    /// Takes back a token that was not used. A bucket that is full or new loses it.
    pub fn take_back(&mut self, tenant: TenantTag, view: OwnerView<'_>) {
        let group = &mut self.groups[group_of(tenant)];
        let Some(limit) = limit_of(view.table, tenant) else { return };
        if let Some(bucket) = group.buckets.get_mut(&tenant) {
            bucket.fill(limit, group.share, group.filled);
            bucket.bucket.fill(1.0, BucketLimit::of(limit, group.share));
        }
    }

    /// Ends the delegations that have expired. Due every tick.
    pub fn tick(&mut self, view: OwnerView<'_>) {
        let OwnerView { table, own, now } = view;
        for group in &mut self.groups {
            group.advance(own, now);
            group.clamp(|tenant| limit_of(table, tenant));
        }
    }

    /// Removes the buckets of tenants that are gone or have no limit any more.
    pub fn retain(&mut self, table: &TenantTable) {
        for group in &mut self.groups {
            group.buckets.retain(|tenant, _| limit_of(table, *tenant).is_some());
        }
    }

    /// Returns the share of the limits of a group that this entry may grant.
    pub fn share(&self, group: usize, own: OwnShare, now: Timestamp) -> f64 {
        self.groups.get(group).map_or(0.0, |group| group.share_at(own, now))
    }
}

fn limit_of(table: &TenantTable, tenant: TenantTag) -> Option<TenantLimit> {
    table.get(table.key_of(tenant)?)?.limit
}
