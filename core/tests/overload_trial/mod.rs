//! Replays offered load against one service with a given order of admission.
//!
//! Model: `SLOTS` slots; a run takes the work of its kind times a random slowdown that a busy
//! fleet shows. Callers send a refused request again after `Retry-After`. They honour it up to
//! a third of their time left, and then either give up or send again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;
use strum::{Display, EnumIter};
use zinniaport_core::admission::{
    AdmissionLimits, AdmissionOrder, AdmissionQueue, CallDemand, CostQueue, KindTerms, KindWork,
    QueueDeparture, RunQuantile, ServiceRate,
};
use zinniaport_core::call::CallFacts;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::keys::{KindKey, TenantKey};

const SLOTS: usize = 60;

/// Ratio of waiting requests to slots from which a service is overloaded, as in the gate.
const OVERLOAD_RATIO: f32 = 0.34;

/// Mean of the slowdowns that [`run_time`] returns.
const MEAN_SLOWDOWN: f64 = 1.43;

/// Requests of a tenant from which its share is judged.
const MIN_SENT: f64 = 15.0;

/// Time of the overload; as long again the load is 0.7 of what the slots serve.
const OVERLOAD_US: u64 = 8_000_000;

/// One kind of a sheet.
pub struct KindLoad {
    pub name: &'static str,
    pub per_second: f64,
    pub work_ms: u64,
    pub soft_ms: u64,
    pub deadline_ms: u64,
    pub rank: u8,
    pub value: (f64, f64),
    pub retries: u8,
}

const fn kind(
    name: &'static str,
    per_second: f64,
    [work_ms, soft_ms, deadline_ms]: [u64; 3],
    (rank, retries): (u8, u8),
    value: (f64, f64),
) -> KindLoad {
    KindLoad { name, per_second, work_ms, soft_ms, deadline_ms, rank, value, retries }
}

/// Kinds that share one service of the deployment with tenants.
pub const PORTAL: [KindLoad; 4] = [
    kind("lookup", 561.0, [270, 500, 4_000], (0, 1), (1.3, 0.054)),
    kind("submission", 205.0, [350, 800, 5_000], (1, 1), (1.4, 0.14)),
    kind("download", 79.9, [220, 2_500, 5_000], (2, 1), (0.35, 0.053)),
    kind("offer", 78.8, [220, 600, 3_000], (1, 1), (0.71, 0.071)),
];

/// Kinds that share one service of the deployment with uneven demand.
pub const POLLED: [KindLoad; 2] = [
    kind("invoice", 117.0, [130, 400, 3_000], (0, 2), (3.0, 0.3)),
    kind("poll", 87.9, [750, 2_000, 15_000], (2, 2), (1.0, 0.1)),
];

/// Another service of that deployment.
pub const PREVIEWED: [KindLoad; 2] = [
    kind("invoice", 117.0, [130, 400, 3_000], (0, 2), (3.0, 0.3)),
    kind("preview", 454.0, [190, 600, 4_000], (2, 2), (1.0, 0.1)),
];

#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderName {
    FirstCome,
    EarliestDeadline,
    StrictRank,
    Present,
    Chosen,
}

pub struct TrialInput<'a> {
    pub kinds: &'a [KindLoad],
    pub order: OrderName,
    /// Offered work during the overload, as a factor on what the slots serve.
    pub load: f64,
    /// Number of tenants, 0 for none, and the factor on the requests of the third.
    pub tenants: usize,
    pub burst: f64,
    /// Whether callers give up if `Retry-After` exceeds a third of their time left, instead of
    /// sending again after that third.
    pub gives_up: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct TrialCounts {
    pub sent: f64,
    pub in_time: f64,
    pub served: f64,
    pub refused_again: f64,
}

impl TrialCounts {
    pub fn served_share(self) -> f64 {
        self.served / self.sent
    }

    pub fn in_time_share(self) -> f64 {
        self.in_time / self.sent
    }
}

#[derive(Debug)]
pub struct TrialResult {
    pub kinds: Vec<TrialCounts>,
    pub tenants: Vec<TrialCounts>,
    pub all: TrialCounts,
    /// Value of the responses as a share of that of all requests in time.
    pub value: f64,
}

impl TrialResult {
    /// Returns the least served share of a tenant as a factor on that of all. Tenants with few
    /// requests say nothing.
    pub fn least_tenant_share(&self) -> f64 {
        let tenants = self.tenants.iter().filter(|counts| counts.sent >= MIN_SENT);
        let least = tenants.map(|counts| counts.served_share()).fold(1.0, f64::min);
        least / self.all.served_share()
    }

    /// Returns the refusals of requests that were refused before, for each request.
    pub fn refused_again_share(&self) -> f64 {
        self.kinds.iter().map(|counts| counts.refused_again).sum::<f64>() / self.all.sent
    }
}

/// A request of a caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SentCall {
    kind: usize,
    tenant: usize,
    sent: u64,
    attempts: u8,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Next,
    Arrived(SentCall),
    Answered(SentCall, u64),
}

fn draw(weights: &(impl Iterator<Item = f64> + Clone), random: &mut SmallRng) -> usize {
    let mut drawn = random.random_range(0.0..weights.clone().sum());
    let found = weights.clone().position(|weight| {
        drawn -= weight;
        drawn < 0.0
    });
    found.unwrap_or(0)
}

fn run_time(work_ms: u64, random: &mut SmallRng) -> u64 {
    let slowdown = match random.random_range(0..10) {
        0..5 => 1.1,
        5..9 => 1.6,
        _ => 2.4,
    };
    (work_ms as f64 * 1_000.0 * slowdown * random.random_range(0.75..1.25)) as u64
}

/// Position of a request in the plain orders.
fn plain_position(order: OrderName, kind: &KindLoad, call: SentCall) -> (u8, u64) {
    match order {
        OrderName::EarliestDeadline => (0, call.sent + kind.soft_ms * 1_000),
        OrderName::StrictRank => (kind.rank, call.sent),
        _ => (0, call.sent),
    }
}

pub fn run_trial(input: &TrialInput<'_>) -> TrialResult {
    let kinds = input.kinds;
    let mut random = SmallRng::seed_from_u64(11);
    let mut arena: SlotMap<TenantKey, ()> = SlotMap::with_key();
    let tenant_keys: Vec<_> = (0..input.tenants).map(|_| arena.insert(())).collect();
    let mut arena: SlotMap<KindKey, ()> = SlotMap::with_key();
    let kind_keys: Vec<_> = kinds.iter().map(|_| arena.insert(())).collect();
    // The largest of 82 sends a fifth of all requests.
    let size = |tenant: usize| 1.0 / (tenant + 1) as f64;
    let mean_ms = kinds.iter().map(|kind| kind.per_second * kind.work_ms as f64).sum::<f64>()
        / kinds.iter().map(|kind| kind.per_second).sum::<f64>();
    let capacity = SLOTS as f64 * 1_000.0 / (mean_ms * MEAN_SLOWDOWN);
    let limits = AdmissionLimits { max_waiting: 1_000, max_overtakes: 8 };
    let mut queue: Option<Box<dyn AdmissionOrder<SentCall>>> = match input.order {
        OrderName::Present => Some(Box::new(AdmissionQueue::new(limits))),
        OrderName::Chosen => Some(Box::new(CostQueue::new(limits))),
        _ => None,
    };
    let mut plain: Vec<SentCall> = Vec::new();
    let (work, quantile) = (KindWork::default(), RunQuantile::default());
    let nominal = Duration::from_micros((mean_ms * 1_000.0) as u64);
    let mut result = TrialResult {
        kinds: vec![TrialCounts::default(); kinds.len()],
        tenants: vec![TrialCounts::default(); input.tenants.max(1)],
        all: TrialCounts::default(),
        value: 0.0,
    };
    let (mut events, mut running, mut possible) = (BinaryHeap::new(), 0, 0.0);
    events.push(Reverse((0, Event::Next)));
    while let Some(Reverse((now, event))) = events.pop() {
        let waiting = queue.as_ref().map_or(0, |queue| queue.waiting());
        let rate = ServiceRate {
            window: SLOTS as u32,
            service_time: nominal,
            enforces_soft_deadline: waiting as f32 > SLOTS as f32 * OVERLOAD_RATIO,
        };
        let mut refused: Vec<(SentCall, Duration)> = Vec::new();
        match event {
            Event::Next if now < 4 * OVERLOAD_US => {
                let tenant_size =
                    |tenant| size(tenant) * if tenant == 2 { input.burst } else { 1.0 };
                let usual: f64 = (0..input.tenants).map(size).sum();
                let sizes = (0..input.tenants.max(1)).map(tenant_size);
                let growth =
                    if input.tenants > 0 { sizes.clone().sum::<f64>() / usual } else { 1.0 };
                let load = if now % (2 * OVERLOAD_US) < OVERLOAD_US { input.load } else { 0.7 };
                let gap = 1e6 / (capacity * load * growth) * random.random_range(0.0..2.0);
                events.push(Reverse((now + gap as u64 + 1, Event::Next)));
                let kind = draw(&kinds.iter().map(|kind| kind.per_second), &mut random);
                let tenant = draw(&sizes, &mut random);
                possible += kinds[kind].value.0;
                for counts in
                    [&mut result.kinds[kind], &mut result.tenants[tenant], &mut result.all]
                {
                    counts.sent += 1.0;
                }
                events.push(Reverse((
                    now,
                    Event::Arrived(SentCall { kind, tenant, sent: now, attempts: 0 }),
                )));
            }
            Event::Next => {}
            Event::Arrived(call) => match &mut queue {
                None => plain.push(call),
                Some(queue) => {
                    let kind = &kinds[call.kind];
                    let left_us = call.sent + kind.deadline_ms * 1_000 - now;
                    let facts = CallFacts {
                        kind: kind_keys[call.kind],
                        tenant: tenant_keys.get(call.tenant).copied().unwrap_or_default(),
                        rank: kind.rank,
                        arrived: Timestamp(now),
                        deadline: Timestamp(now + left_us),
                        soft_deadline: Some(Timestamp(now + left_us.min(kind.soft_ms * 1_000))),
                        ..CallFacts::default()
                    };
                    let demand = CallDemand {
                        facts,
                        kind: KindTerms::with_rank(kind.rank),
                        work: work.expected(kind_keys[call.kind], nominal),
                        entitlement: (input.tenants > 0).then(|| size(call.tenant) as f32),
                        is_repeated: false,
                    };
                    match queue.join(&demand, call, rate, Timestamp(now)) {
                        Ok(joined) => refused.extend(
                            joined.displaced.map(|call| (call, Duration::from_millis(200))),
                        ),
                        Err(refusal) => refused.push((call, refusal.retry_after)),
                    }
                }
            },
            Event::Answered(call, started) => {
                running -= 1;
                let kind = &kinds[call.kind];
                work.record(kind_keys[call.kind], Duration::from_micros(now - started));
                quantile.record(Duration::from_micros(now - started), nominal);
                let (in_time, served) = (
                    now <= call.sent + kind.soft_ms * 1_000,
                    now <= call.sent + kind.deadline_ms * 1_000,
                );
                result.value += if in_time {
                    kind.value.0
                } else if served {
                    kind.value.1
                } else {
                    0.0
                };
                for counts in [
                    &mut result.kinds[call.kind],
                    &mut result.tenants[call.tenant],
                    &mut result.all,
                ] {
                    counts.in_time += f64::from(u8::from(in_time));
                    counts.served += f64::from(u8::from(served));
                }
            }
        }
        plain.retain(|call| call.sent + kinds[call.kind].deadline_ms * 1_000 > now);
        while running < SLOTS {
            let next = match &mut queue {
                Some(queue) => match queue.take_next(Timestamp(now), quantile.estimate(nominal)) {
                    Some(QueueDeparture::Admitted(_, call)) => Some(call),
                    Some(QueueDeparture::Expired(_)) => continue,
                    None => None,
                },
                None => {
                    let first = (0..plain.len()).min_by_key(|index| {
                        plain_position(input.order, &kinds[plain[*index].kind], plain[*index])
                    });
                    first.map(|index| plain.swap_remove(index))
                }
            };
            let Some(call) = next else { break };
            running += 1;
            let end = now + run_time(kinds[call.kind].work_ms, &mut random);
            events.push(Reverse((end, Event::Answered(call, now))));
        }
        if let Some(queue) = &mut queue {
            let removed = queue.remove_unservable(Timestamp(now), rate);
            refused.extend(
                removed.into_iter().map(|call| {
                    (call.waiter, call.retry_after.unwrap_or(Duration::from_millis(200)))
                }),
            );
        }
        for (call, delay) in refused {
            let kind = &kinds[call.kind];
            let left =
                Duration::from_micros((call.sent + kind.deadline_ms * 1_000).saturating_sub(now));
            if call.attempts > 0 {
                result.kinds[call.kind].refused_again += 1.0;
            }
            let honoured = left / 3;
            if call.attempts < kind.retries && (delay <= honoured || !input.gives_up) {
                let delay = delay.min(honoured);
                let again = SentCall { attempts: call.attempts + 1, ..call };
                events.push(Reverse((now + delay.as_micros() as u64, Event::Arrived(again))));
            }
        }
    }
    result.value /= possible;
    result
}
