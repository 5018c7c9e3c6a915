//! Requests that leave the part of their own data centre for another one.
//!
//! Meant for traffic whose peaks reach the data centres one after the other: each has free slots
//! while another one has too few.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};

use super::{choose_part, home_parts};
use crate::clock::Timestamp;
use crate::fleet::ServiceSnapshot;
use crate::signals::ServiceTag;

/// Age at which an announced headroom counts no longer. Traffic that oscillates by half of its
/// mean in 13 s changes by a quarter of it in a second.
pub const MAX_HEADROOM_AGE: Duration = Duration::from_secs(2);

/// Weight, in free slots, of a part whose headroom is not known. It lets a few requests find out
/// while announcements are lost.
const UNKNOWN_HEADROOM: f32 = 0.5;

/// Shortest time without a decision after which a request leaves the part of its data centre. The
/// requester turns to the next coordinator after 45 to 55 ms without a response.
const MIN_HOME_WAIT: Duration = Duration::from_millis(60);

/// Times that a request leaves a part of a data centre. The part that it is placed in then may
/// have been cut off.
const MAX_MOVES: u32 = 2;

/// Part of the time left until the soft deadline that a request may wait in its own data centre,
/// as a divisor. The rest is for its run, on a slowed target perhaps.
const HOME_WAIT_DIVISOR: u32 = 8;

/// Expected wait, as a divisor of the service time, from which requests leave their data centre.
/// From a third of the service time on a queue counts as overloaded and refuses late requests. In
/// simulated waves, a limit of 14 ms instead of 38 ms sent 22% of the requests elsewhere, not 6%.
const LEAVING_DIVISOR: u32 = 5;

/// Weight of a new announcement in the number of requests that wait, as a divisor. Single numbers
/// vary, since a few requests come together even while there is room.
const WAITING_DIVISOR: u32 = 2;

/// Unit of the mean number of waiting requests, as a divisor.
const MEAN_UNIT: u32 = 256;

/// Headroom of a part, as its coordinator announces it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PartHeadroom {
    /// Part.
    pub part: ServiceTag,
    /// Free slots of targets that are not slowed.
    pub free: u16,
    /// Requests that wait for a target.
    pub waiting: u16,
    /// Requests that the targets should run concurrently.
    pub usable: u16,
    /// Mean service time, in milliseconds.
    pub service_time_ms: u16,
}

impl PartHeadroom {
    fn service_time(&self) -> Duration {
        Duration::from_millis(self.service_time_ms.into())
    }
}

/// Last announced headroom of a part, which the request path reads without locks.
#[derive(Debug, Default)]
pub struct HeadroomGauge {
    /// The four numbers of [`PartHeadroom`], 16 bits each.
    numbers: AtomicU64,
    /// Moving average of the requests that wait, in units of 1/256.
    mean_waiting: AtomicU32,
    announced_at: AtomicU64,
}

impl HeadroomGauge {
    /// Records an announcement that arrived at `now`.
    pub fn record(&self, headroom: PartHeadroom, now: Timestamp) {
        let PartHeadroom { free, waiting, usable, service_time_ms, .. } = headroom;
        let sample = u32::from(waiting) * MEAN_UNIT;
        let mean = match self.read(now) {
            Some(_) => {
                let before = self.mean_waiting.load(Ordering::Relaxed);
                before - before / WAITING_DIVISOR + sample / WAITING_DIVISOR
            }
            None => sample,
        };
        self.mean_waiting.store(mean, Ordering::Relaxed);
        let numbers = [free, waiting, usable, service_time_ms];
        let packed = numbers.iter().fold(0, |packed, number| packed << 16 | u64::from(*number));
        self.numbers.store(packed, Ordering::Relaxed);
        self.announced_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns the last announcement and its age, or `None` if it is too old.
    pub fn read(&self, now: Timestamp) -> Option<(PartHeadroom, Duration)> {
        let announced = Timestamp(self.announced_at.load(Ordering::Relaxed));
        let age = now.since(announced);
        if announced.0 == 0 || age >= MAX_HEADROOM_AGE {
            return None;
        }
        let packed = self.numbers.load(Ordering::Relaxed);
        let number = |shift: u32| (packed >> shift) as u16;
        let headroom = PartHeadroom {
            part: ServiceTag::default(),
            free: number(48),
            waiting: number(32),
            usable: number(16),
            service_time_ms: number(0),
        };
        Some((headroom, age))
    }

    /// Returns the time until a request that joins the queue now gets a slot, and the service time.
    fn expected_wait(&self, now: Timestamp) -> Option<(Duration, Duration)> {
        let (headroom, _) = self.read(now)?;
        let waiting = self.mean_waiting.load(Ordering::Relaxed) as f32 / MEAN_UNIT as f32;
        let service_time = headroom.service_time();
        let wait = service_time.mul_f32(waiting / f32::from(headroom.usable.max(1)));
        Some((wait, service_time))
    }

    /// Returns the weight with which requests of other data centres are sent to the part: its free
    /// slots, the less the older the announcement is, and nothing while requests wait there.
    fn weight(&self, now: Timestamp) -> f32 {
        match self.read(now) {
            None => UNKNOWN_HEADROOM,
            Some((headroom, _)) if headroom.waiting > 0 => 0.0,
            Some((headroom, age)) => {
                f32::from(headroom.free) * (1.0 - age.div_duration_f32(MAX_HEADROOM_AGE))
            }
        }
    }
}

/// Choice of the parts of a service that a request is placed in.
#[derive(Clone, Copy, Debug)]
pub struct PartChooser<'a> {
    /// Service of the request.
    pub service: &'a ServiceSnapshot,
    /// Data centre of this entry.
    pub data_centre: &'a str,
    /// Hash of this entry.
    pub affinity: u64,
    /// Added time, or cost in time, of a placement in another data centre.
    pub transfer: Duration,
    /// Time left until the soft deadline.
    pub soft_left: Duration,
}

impl PartChooser<'_> {
    /// Returns the part that a request is placed in first. Of those by data centre it is the one
    /// of this entry. If requests wait there for longer than a transfer takes, so many of them go
    /// elsewhere that the wait approaches that time; all at once would leave its targets idle.
    pub fn first(&self, now: Timestamp, random: &mut dyn RngCore) -> Option<u16> {
        if self.service.part_data_centres.is_empty() {
            return choose_part(self.service, self.affinity, now, random);
        }
        let Some(home) = self.home() else {
            return self.elsewhere(None, now, random).or_else(|| self.any_part(random));
        };
        let announced = self.service.part(Some(home)).counters.headroom.expected_wait(now);
        let Some((wait, service_time)) = announced else { return Some(home) };
        let accepted = self.accepted_wait(service_time);
        if wait <= accepted {
            return Some(home);
        }
        let leaving = (wait - accepted).div_duration_f32(wait);
        if random.random::<f32>() >= leaving {
            return Some(home);
        }
        self.elsewhere(Some(home), now, random).or(Some(home))
    }

    /// Returns the part that a request is placed in after it had to wait in `part`, or was refused
    /// there, if requests do not wait in another one too.
    pub fn next(&self, part: Option<u16>, now: Timestamp, random: &mut dyn RngCore) -> Option<u16> {
        let count = u16::try_from(self.service.parts.len()).ok().filter(|count| *count > 1)?;
        if !self.service.part_data_centres.is_empty() {
            return self.elsewhere(part, now, random);
        }
        let is_usable = |home: &u16| {
            Some(*home) != part && !self.service.part(Some(*home)).counters.is_pressed(now)
        };
        home_parts(self.affinity, count).into_iter().find(is_usable)
    }

    /// Returns the wait in its own data centre that costs a request less than a transfer.
    fn accepted_wait(&self, service_time: Duration) -> Duration {
        let harmless = (self.soft_left / HOME_WAIT_DIVISOR).min(service_time / LEAVING_DIVISOR);
        self.transfer.max(harmless)
    }

    /// Returns how long a request waits for a decision before it is placed in another part, given
    /// the time in which parts by address decide.
    pub fn decision_wait(&self, decision: Duration, now: Timestamp) -> Duration {
        if self.service.part_data_centres.is_empty() {
            return decision;
        }
        let home = self.home().map(|home| &self.service.part(Some(home)).counters.headroom);
        let announced = home.and_then(|headroom| headroom.read(now));
        let accepted =
            announced.map_or(self.transfer, |(home, _)| self.accepted_wait(home.service_time()));
        (accepted * 2).min(self.soft_left / 4).max(MIN_HOME_WAIT)
    }

    /// Returns how often a request may leave a part.
    pub fn max_moves(&self) -> u32 {
        if self.service.part_data_centres.is_empty() { 1 } else { MAX_MOVES }
    }

    /// Returns `true` if the part is one by data centre, and that of another one.
    pub fn is_elsewhere(&self, part: Option<u16>) -> bool {
        let data_centre =
            part.and_then(|part| self.service.part_data_centres.get(usize::from(part)));
        data_centre.is_some_and(|name| **name != *self.data_centre)
    }

    /// Returns the part of this entry's data centre, unless none of its targets takes requests.
    fn home(&self) -> Option<u16> {
        let position =
            self.service.part_data_centres.iter().position(|name| **name == *self.data_centre)?;
        u16::try_from(position).ok().filter(|home| self.target_count(*home) > 0)
    }

    fn target_count(&self, part: u16) -> usize {
        self.service.part(Some(part)).table.available.len()
    }

    /// Chooses a part at random, by the number of its targets.
    fn any_part(&self, random: &mut dyn RngCore) -> Option<u16> {
        self.choose_by(|part| self.target_count(part) as f32, random)
    }

    /// Chooses another part than `part` at random, by the announced headroom of each. None where a
    /// request of this entry had to wait just now, none without headroom.
    fn elsewhere(
        &self,
        part: Option<u16>,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Option<u16> {
        let weight = |index: u16| {
            let counters = &self.service.part(Some(index)).counters;
            let is_excluded = Some(index) == part || counters.is_pressed(now);
            if is_excluded || self.target_count(index) == 0 {
                return 0.0;
            }
            counters.headroom.weight(now)
        };
        self.choose_by(weight, random)
    }

    /// Chooses a part with a probability in proportion to its weight.
    fn choose_by(&self, weight: impl Fn(u16) -> f32, random: &mut dyn RngCore) -> Option<u16> {
        let count = u16::try_from(self.service.parts.len()).unwrap_or(u16::MAX);
        let weights: Vec<_> = (0..count).map(weight).collect();
        let mut left = random.random::<f32>() * weights.iter().sum::<f32>();
        let mut chosen = None;
        for (index, weight) in (0..count).zip(weights).filter(|(_, weight)| *weight > 0.0) {
            chosen = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        chosen
    }
}
