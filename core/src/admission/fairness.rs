//! What tenants, kinds and ranks have got of a service recently.

use std::time::Duration;

use slotmap::{Key, SecondaryMap};

use super::order::CallDemand;
use crate::clock::Timestamp;
use crate::keys::{KindKey, TenantKey};

/// Time after which a past request counts for 1/e of a new one in the shares of kinds. It spans the
/// 6 to 8 s for which one kind or tenant sends several times its rate.
const KIND_SHARE_TIME: Duration = Duration::from_secs(10);

/// The same for the shares of tenants, most of which send less than a request per second.
const TENANT_SHARE_TIME: Duration = Duration::from_secs(60);

/// The same for the offered work of ranks and the used work of tenants. Bursts and waves last for
/// several seconds and should show well before they end.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// Time between two decays of all values.
const SWEEP_PERIOD: Duration = Duration::from_millis(125);

/// Least share of its requests that a kind or tenant gets served, as a factor on that share for
/// all. The required factor is a quarter; the rest covers requests that are admitted but fail.
const FLOOR_FACTOR: f32 = 0.4;

/// Recent requests from which the share of a kind or tenant says something.
const MIN_OFFERED: f32 = 3.0;

/// Lead in the served share up to which a more urgent kind is not safe from a less urgent one. In
/// simulated overload 0.06 left a less urgent kind a lead of 0.051; operators accept 0.05.
const LEAD: f32 = 0.1;

/// Factor on the fair use of a tenant above which it only gets what the others leave.
const OVER_FACTOR: f32 = 1.25;

/// Requests that a tenant may use beyond that, since small tenants send few at uneven times.
const OVER_REQUESTS: f32 = 2.0;

/// Recent requests below which a tenant counts as idle.
const IDLE_OFFERED: f32 = 0.05;

/// Number of ranks that are told apart; intents state ranks from 0 to 9.
const MAX_RANKS: usize = 10;

/// Decrease of the usual time of a kind for each request that has less, as a share of the
/// difference. Requests that come for the first time set it at once.
const USUAL_STEP: u32 = 1024;

/// Recent requests and those of them that were admitted.
#[derive(Clone, Copy, Debug, Default)]
struct ServedShare {
    offered: f32,
    served: f32,
}

impl ServedShare {
    fn share(self) -> f32 {
        if self.offered > 0.0 { (self.served / self.offered).min(1.0) } else { 1.0 }
    }

    fn decay(&mut self, factor: f32) {
        self.offered *= factor;
        self.served *= factor;
    }

    fn is_below_floor(self, all: Self) -> bool {
        self.offered >= MIN_OFFERED && self.share() < all.share() * FLOOR_FACTOR
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct TenantUse {
    share: ServedShare,
    /// Seconds of work of its admitted requests.
    used: f32,
    entitlement: Option<f32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindUse {
    share: ServedShare,
    rank: u8,
    /// Time until the deadline and the soft deadline with which its requests usually come.
    usual_time: Duration,
    usual_soft_time: Duration,
}

/// Shares of tenants and kinds in the recently admitted requests, and the load by rank.
#[derive(Debug)]
pub(super) struct FairShares {
    tenants: SecondaryMap<TenantKey, TenantUse>,
    /// Requests without a tenant, together.
    untenanted: TenantUse,
    kinds: SecondaryMap<KindKey, KindUse>,
    /// Requests of kinds that this entry does not know, together.
    unknown_kinds: KindUse,
    /// Seconds of offered work by rank.
    offered: [f32; MAX_RANKS],
    /// Seconds of admitted work by rank.
    admitted: [f32; MAX_RANKS],
    all: ServedShare,
    /// Seconds of used work for each unit of entitlement of the active tenants.
    fair_use: f32,
    /// Entitlement that is assumed for tenants without a limit: the mean of the others.
    mean_entitlement: f32,
    has_several_tenants: bool,
    swept: Timestamp,
}

impl FairShares {
    pub(super) fn new() -> Self {
        Self {
            tenants: SecondaryMap::new(),
            untenanted: TenantUse::default(),
            kinds: SecondaryMap::new(),
            unknown_kinds: KindUse::default(),
            offered: [0.0; MAX_RANKS],
            admitted: [0.0; MAX_RANKS],
            all: ServedShare::default(),
            fair_use: 0.0,
            mean_entitlement: 1.0,
            has_several_tenants: false,
            swept: Timestamp(0),
        }
    }

    /// Records a request that asks for admission. Returns the time since its caller first sent
    /// it, as far as its deadline shows it: requests that were refused before have less time left
    /// than is usual for their kind.
    pub(super) fn record_offer(&mut self, demand: &CallDemand, now: Timestamp) -> Duration {
        self.sweep(now);
        let facts = &demand.facts;
        self.offered[rank_index(facts.rank)] += demand.work.mean.as_secs_f32();
        let (kind, terms) = (self.kind(facts.kind), demand.kind);
        let left = facts.deadline.since(now);
        // An earlier version may have allowed more time.
        let usual_time = kind.usual_time.min(terms.time_limit);
        let usual_soft_time = kind.usual_soft_time.min(terms.soft_time_limit);
        let elapsed = usual_time.saturating_sub(left);
        kind.rank = terms.rank;
        kind.usual_time = approach(usual_time, left);
        kind.usual_soft_time = approach(usual_soft_time, facts.soft_deadline().since(now));
        elapsed
    }

    /// Counts a request that its caller sent for the first time.
    pub(super) fn count_offer(&mut self, demand: &CallDemand) {
        self.kind(demand.facts.kind).share.offered += 1.0;
        self.tenant(demand).share.offered += 1.0;
        self.all.offered += 1.0;
    }

    /// Counts an admitted request and charges its work to its tenant.
    pub(super) fn count_admission(&mut self, demand: &CallDemand) {
        let work = demand.work.mean.as_secs_f32();
        self.admitted[rank_index(demand.facts.rank)] += work;
        let tenant = self.tenant(demand);
        tenant.used += work;
        if demand.is_repeated {
            return;
        }
        tenant.share.served += 1.0;
        self.kind(demand.facts.kind).share.served += 1.0;
        self.all.served += 1.0;
    }

    /// Returns the usual time until the soft deadline of a kind.
    pub(super) fn usual_soft_time(&self, kind: KindKey) -> Duration {
        self.use_of_kind(kind).usual_soft_time
    }

    /// Returns `true` if the kind or the tenant gets so little that it goes first.
    pub(super) fn is_owed(&self, demand: &CallDemand) -> bool {
        self.use_of_kind(demand.facts.kind).share.is_below_floor(self.all)
            || self.use_of(demand).share.is_below_floor(self.all)
    }

    /// Returns `true` if the kind gets nearly as much as a more urgent one of the service, or more.
    pub(super) fn is_ahead(&self, demand: &CallDemand) -> bool {
        let own = self.use_of_kind(demand.facts.kind);
        let kinds = self.kinds.values().chain([&self.unknown_kinds]);
        let mut urgent = kinds.filter(|kind| kind.rank < demand.kind.rank);
        urgent.any(|kind| {
            kind.share.offered >= MIN_OFFERED && kind.share.share() < own.share.share() + LEAD
        })
    }

    /// Returns the use of a tenant relative to its entitlement, in percent of the fair one, if it
    /// uses more than that; otherwise 0.
    pub(super) fn excess_percent(&self, demand: &CallDemand) -> u32 {
        if !self.has_several_tenants {
            return 0;
        }
        let tenant = self.use_of(demand);
        let fair = self.fair_use * tenant.entitlement.unwrap_or(self.mean_entitlement);
        let allowed = fair * OVER_FACTOR + OVER_REQUESTS * demand.work.mean.as_secs_f32();
        if tenant.used <= allowed { 0 } else { (tenant.used / fair.max(0.001) * 100.0) as u32 }
    }

    /// Returns the slots that the requests of better ranks than `rank` would keep busy.
    pub(super) fn better_demand(&self, rank: u8) -> f32 {
        self.offered[..rank_index(rank)].iter().sum::<f32>() / LOAD_TIME.as_secs_f32()
    }

    /// Returns the slots that the requests of better ranks than `rank` keep busy.
    pub(super) fn better_load(&self, rank: u8) -> f32 {
        self.admitted[..rank_index(rank)].iter().sum::<f32>() / LOAD_TIME.as_secs_f32()
    }

    /// Returns the slots that the requests of `rank` and better ones would keep busy.
    pub(super) fn load_up_to(&self, rank: u8) -> f32 {
        self.offered[..=rank_index(rank)].iter().sum::<f32>() / LOAD_TIME.as_secs_f32()
    }

    fn kind(&mut self, kind: KindKey) -> &mut KindUse {
        match self.kinds.entry(kind) {
            Some(entry) => entry.or_default(),
            None => &mut self.unknown_kinds,
        }
    }

    /// Returns the use of a kind; that of the unknown ones if it has sent no request yet.
    fn use_of_kind(&self, kind: KindKey) -> &KindUse {
        self.kinds.get(kind).unwrap_or(&self.unknown_kinds)
    }

    fn tenant(&mut self, demand: &CallDemand) -> &mut TenantUse {
        let key = demand.facts.tenant;
        let tenant = match key.is_null() {
            true => &mut self.untenanted,
            false => match self.tenants.entry(key) {
                Some(entry) => entry.or_default(),
                None => &mut self.untenanted,
            },
        };
        tenant.entitlement = demand.entitlement;
        tenant
    }

    fn use_of(&self, demand: &CallDemand) -> &TenantUse {
        self.tenants.get(demand.facts.tenant).unwrap_or(&self.untenanted)
    }

    /// Decays all values if that is due, and forgets idle tenants.
    fn sweep(&mut self, now: Timestamp) {
        let passed = now.since(self.swept);
        if passed < SWEEP_PERIOD {
            return;
        }
        self.swept = now;
        let factor = |time: Duration| (-passed.as_secs_f32() / time.as_secs_f32()).exp();
        let (kind_factor, share_factor) = (factor(KIND_SHARE_TIME), factor(TENANT_SHARE_TIME));
        let load_factor = factor(LOAD_TIME);
        self.all.decay(share_factor);
        let kinds = self.kinds.values_mut().chain([&mut self.unknown_kinds]);
        kinds.for_each(|kind| kind.share.decay(kind_factor));
        self.offered.iter_mut().chain(&mut self.admitted).for_each(|load| *load *= load_factor);
        self.tenants.retain(|_, tenant| tenant.share.offered * share_factor >= IDLE_OFFERED);
        let (mut used, mut stated, mut limited, mut active) = (0.0, 0.0, 0, 0);
        for tenant in self.tenants.values_mut().chain([&mut self.untenanted]) {
            tenant.share.decay(share_factor);
            tenant.used *= load_factor;
            used += tenant.used;
            stated += tenant.entitlement.unwrap_or_default();
            limited += u32::from(tenant.entitlement.is_some());
            active += u32::from(tenant.share.offered >= IDLE_OFFERED);
        }
        self.mean_entitlement = if limited > 0 { stated / limited as f32 } else { 1.0 };
        let unlimited = active.saturating_sub(limited) as f32;
        self.fair_use = used / (stated + unlimited * self.mean_entitlement).max(f32::MIN_POSITIVE);
        self.has_several_tenants = active > 1;
    }
}

/// Returns `usual` after a request that has `time` left.
fn approach(usual: Duration, time: Duration) -> Duration {
    usual.saturating_sub(usual.saturating_sub(time) / USUAL_STEP).max(time)
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(MAX_RANKS - 1)
}
