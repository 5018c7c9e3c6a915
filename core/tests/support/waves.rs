//! Simulated traffic whose peaks reach the data centres one after the other.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot};
use zinniaport_core::placement::{PartChooser, PartHeadroom};
use zinniaport_core::policy::EntryView;

use super::{SERVICE, intent};

const CENTRES: usize = 4;
const ENTRIES: usize = 5;
const SLOTS: u16 = 24;
const SERVICE_MS: u64 = 190;
const SOFT_DEADLINE_MS: u64 = 400;
const PERIOD_MS: f64 = 13_000.0;
const SWING: f64 = 0.55;
/// Two round trips of 7 ms, and a twentieth of the service time for the bytes.
const TRANSFER_MS: u64 = 24;
const DECISION_WAIT_MS: u64 = 76;
const ANNOUNCED_EVERY_MS: u64 = 200;
const RUN_MS: u64 = 39_000;

/// How requests are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// In their own data centre, however long they wait.
    Home,
    /// As [`PartChooser`] decides.
    Spread,
    /// Those that [`PartChooser`] places elsewhere, all in the part with the largest headroom.
    Emptiest,
}

struct Request {
    arrived: u64,
    queued: u64,
    entry: usize,
    moved: bool,
}

#[derive(Default)]
struct Part {
    queue: VecDeque<Request>,
    /// Ends of the requests that run.
    running: Vec<u64>,
    received: [u32; CENTRES],
}

/// Result of simulated waves.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaveTrial {
    /// Share of requests that end after their soft deadline.
    pub late_share: f64,
    /// Share of requests that are placed outside their data centre.
    pub elsewhere_share: f64,
    /// Share of the overflow of one data centre that the busiest receiver got in the worst second.
    pub max_receiver_share: f64,
}

/// Simulated data centres.
struct Simulation {
    strategy: Strategy,
    random: SmallRng,
    /// What each entry knows, data centre by data centre.
    fleets: Vec<FleetSnapshot>,
    parts: Vec<Part>,
}

fn fleet() -> FleetSnapshot {
    let view = EntryView { is_coordinated: true, ..EntryView::default() };
    let mut fleet = FleetSnapshot { view, ..FleetSnapshot::default() };
    let mut targets = super::targets(CENTRES * 4);
    for (index, target) in targets.iter_mut().enumerate() {
        target.data_centre = name(index % CENTRES);
    }
    fleet.apply(intent(targets), 1, Timestamp(1));
    fleet.divide_by_data_centre(true);
    fleet
}

fn name(centre: usize) -> String {
    format!("dc-{centre}")
}

fn at(ms: u64) -> Timestamp {
    Timestamp(1_000_000_000 + ms * 1_000)
}

impl Simulation {
    fn service(&self, entry: usize) -> &ServiceSnapshot {
        self.fleets[entry].find(SERVICE).unwrap().1
    }

    /// Chooses a part with the rule `first` or `next` of the chooser.
    fn choose(&mut self, entry: usize, from: Option<u16>, now: u64) -> Option<u16> {
        let mut random = self.random.clone();
        let (service, home) = (self.service(entry), entry / ENTRIES);
        let transfer = Duration::from_millis(TRANSFER_MS);
        let data_centre = name(home);
        let soft_left = Duration::from_millis(SOFT_DEADLINE_MS);
        let chooser =
            PartChooser { service, data_centre: &data_centre, affinity: 1, transfer, soft_left };
        let chosen = match from {
            None => chooser.first(at(now), &mut random),
            Some(_) => chooser.next(from, at(now), &mut random),
        };
        let free = |part: u16| {
            let headroom = service.part(Some(part)).counters.headroom.read(at(now));
            headroom.map_or(0, |(headroom, _)| headroom.free)
        };
        let emptiest = (0..CENTRES as u16)
            .filter(|part| usize::from(*part) != home)
            .max_by_key(|part| free(*part));
        let is_home = chosen.is_none_or(|chosen| usize::from(chosen) == home);
        self.random = random;
        match self.strategy {
            Strategy::Home => from.is_none().then_some(home as u16),
            Strategy::Emptiest if !is_home => emptiest,
            _ => chosen,
        }
    }

    fn push(&mut self, part: u16, request: Request) {
        let part = &mut self.parts[usize::from(part)];
        part.received[request.entry / ENTRIES] += 1;
        part.queue.push_back(request);
    }

    fn announce(&self, now: u64) {
        for (index, part) in self.parts.iter().enumerate() {
            let headroom = PartHeadroom {
                free: SLOTS - part.running.len() as u16,
                waiting: part.queue.len() as u16,
                usable: SLOTS,
                service_time_ms: SERVICE_MS as u16,
                ..PartHeadroom::default()
            };
            for entry in 0..self.fleets.len() {
                let part = self.service(entry).part(Some(index as u16));
                part.counters.headroom.record(headroom, at(now));
            }
        }
    }

    /// Moves requests that have waited for too long, and returns those that moved.
    fn move_waiting(&mut self, now: u64) {
        for index in 0..CENTRES {
            let mut waiting = std::mem::take(&mut self.parts[index].queue);
            for _ in 0..waiting.len() {
                let Some(request) = waiting.pop_front() else { break };
                let waited = now - request.queued;
                let is_due =
                    !request.moved && waited > 0 && waited.is_multiple_of(DECISION_WAIT_MS);
                let part = Some(index as u16);
                let other = if is_due {
                    let counters = &self.service(request.entry).part(part).counters;
                    counters.record_pressure(at(now));
                    self.choose(request.entry, part, now)
                } else {
                    None
                };
                match other {
                    Some(other) if other != index as u16 => {
                        self.push(other, Request { queued: now, moved: true, ..request });
                    }
                    _ => waiting.push_back(request),
                }
            }
            // Whatever others moved here meanwhile joined behind.
            waiting.append(&mut self.parts[index].queue);
            self.parts[index].queue = waiting;
        }
    }
}

impl WaveTrial {
    /// Runs three waves with a mean load of `load`, a share of all slots.
    pub fn run(strategy: Strategy, load: f64) -> Self {
        let mut simulation = Simulation {
            strategy,
            random: SmallRng::seed_from_u64(5),
            fleets: (0..CENTRES * ENTRIES).map(|_| fleet()).collect(),
            parts: (0..CENTRES).map(|_| Part::default()).collect(),
        };
        let per_ms = load * f64::from(SLOTS) / SERVICE_MS as f64;
        let (mut total, mut late, mut elsewhere) = (0_u32, 0_u32, 0_u32);
        let mut worst: f64 = 0.0;
        for now in 0..RUN_MS {
            if now.is_multiple_of(ANNOUNCED_EVERY_MS) {
                simulation.announce(now);
            }
            for centre in 0..CENTRES {
                let phase = now as f64 / PERIOD_MS - centre as f64 / CENTRES as f64;
                let rate = per_ms * (1.0 + SWING * (TAU * phase).sin());
                if simulation.random.random::<f64>() < rate {
                    total += 1;
                    let entry = centre * ENTRIES + simulation.random.random_range(0..ENTRIES);
                    let request = Request { arrived: now, queued: now, entry, moved: false };
                    let part = simulation.choose(entry, None, now).unwrap();
                    simulation.push(part, request);
                }
            }
            simulation.move_waiting(now);
            for (index, part) in simulation.parts.iter_mut().enumerate() {
                part.running.retain(|end| *end > now);
                while part.running.len() < usize::from(SLOTS) {
                    let Some(request) = part.queue.pop_front() else { break };
                    let is_elsewhere = request.entry / ENTRIES != index;
                    let end = now + SERVICE_MS;
                    let transfer = if is_elsewhere { TRANSFER_MS } else { 0 };
                    late += u32::from(end + transfer - request.arrived > SOFT_DEADLINE_MS);
                    elsewhere += u32::from(is_elsewhere);
                    part.running.push(end);
                }
            }
            if now % 1_000 == 999 {
                worst = worst.max(simulation.receiver_share());
                simulation.parts.iter_mut().for_each(|part| part.received = [0; CENTRES]);
            }
        }
        let share = |count: u32| f64::from(count) / f64::from(total);
        Self {
            late_share: share(late),
            elsewhere_share: share(elsewhere),
            max_receiver_share: worst,
        }
    }
}

impl Simulation {
    /// Returns the largest share of the overflow of one data centre that another one received. A
    /// few requests say nothing.
    fn receiver_share(&self) -> f64 {
        let shares = (0..CENTRES).map(|from| {
            let received = |to: usize| if to == from { 0 } else { self.parts[to].received[from] };
            let sum: u32 = (0..CENTRES).map(received).sum();
            let most = (0..CENTRES).map(received).max().unwrap_or(0);
            if sum < 30 { 0.0 } else { f64::from(most) / f64::from(sum) }
        });
        shares.fold(0.0, f64::max)
    }
}
