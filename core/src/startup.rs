//! Decides where an entry that starts takes the directory from.
//!
//! A platform's store answers a few entries quickly but not all entries of a large fleet at
//! once, and each call is paid for. So only the seeds read it; the other entries take its
//! content from an entry that has it or is about to. An entry that serves several others
//! refers further ones to those, so that a fleet of any size is served as a tree.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Timestamp;

/// Time for which an entry that starts asks other entries before it reads the whole directory
/// from the platform itself. Seeds that run respond within a few hundred milliseconds.
const PEER_WAIT: Duration = Duration::from_millis(800);

/// Longest time that is added to [`PEER_WAIT`], by chance, so that entries without a seed
/// do not call the platform together.
const PEER_WAIT_JITTER: Duration = Duration::from_millis(800);

/// Time without a response of another entry after which the platform is asked for a directory
/// that fits one call. In a small deployment that costs less than the wait for a seed. The
/// seeds of a fleet start within 300 ms of each other, so most entries need not ask.
const SMALL_READ_WAIT: Duration = Duration::from_millis(200);

/// Time after a failed read of the platform in which other entries are asked again.
const FAILED_READ_PATIENCE: Duration = Duration::from_millis(500);

/// Time after which an entry that refused is asked again, such as one that is starting.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// Time after which an entry that did not respond is asked again. It may be starting, like this
/// one.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(150);

/// Greatest number of entries that are remembered from referrals.
const MAX_REFERRALS: usize = 16;

/// What an entry that starts does next to get the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartupStep {
    /// Ask another entry.
    AskEntry(SocketAddr),
    /// Read the platform if one call returns the whole directory.
    ReadSmall,
    /// Read the platform.
    ReadPlatform,
    /// Wait, then decide again.
    Wait(Duration),
}

/// What an entry that was asked responded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartupResponse {
    /// It has nothing to give now, and names other entries to ask.
    Referred(Vec<SocketAddr>),
    /// It cannot be reached or does not respond.
    Unresponsive,
}

/// Progress of an entry that starts.
#[derive(Debug)]
pub struct StartupPlan {
    own_address: SocketAddr,
    /// Other seeds, in the order in which this entry asks them.
    seeds: Vec<SocketAddr>,
    /// From when on the platform is asked for a small directory; `None` once it was.
    read_small_at: Option<Timestamp>,
    /// From when on the platform is read.
    read_at: Timestamp,
    /// When entries that failed are asked again.
    paused_until: IndexMap<SocketAddr, Timestamp>,
    referrals: Vec<SocketAddr>,
    random: u32,
}

impl StartupPlan {
    /// Creates the plan of an entry that starts at `now`. `random` spreads the entries over the
    /// seeds and over the time at which they stop waiting.
    pub fn new(
        own_address: SocketAddr,
        seeds: impl IntoIterator<Item = SocketAddr>,
        random: u32,
        now: Timestamp,
    ) -> Self {
        let seeds: Vec<_> = seeds.into_iter().collect();
        let is_seed = seeds.contains(&own_address);
        let mut seeds: Vec<_> = seeds.into_iter().filter(|seed| *seed != own_address).collect();
        let jitter = PEER_WAIT_JITTER.mul_f64(f64::from(random) / f64::from(u32::MAX));
        let reads_at_once = is_seed || seeds.is_empty();
        let read_at = if reads_at_once { now } else { now + PEER_WAIT + jitter };
        let read_small_at = Some(now + SMALL_READ_WAIT + jitter / 8);
        if !seeds.is_empty() {
            let count = seeds.len();
            seeds.rotate_left(random as usize % count);
        }
        let (paused_until, referrals) = (IndexMap::new(), Vec::new());
        Self { own_address, seeds, read_small_at, read_at, paused_until, referrals, random }
    }

    /// Returns the next step. `holders` are entries that announced that they have the directory.
    pub fn next_step(&mut self, holders: &[SocketAddr], now: Timestamp) -> StartupStep {
        if now >= self.read_at {
            return StartupStep::ReadPlatform;
        }
        if self.read_small_at.is_some_and(|at| at <= now) {
            self.read_small_at = None;
            return StartupStep::ReadSmall;
        }
        let paused_until = &self.paused_until;
        let is_usable = |address: &&SocketAddr| {
            **address != self.own_address
                && paused_until.get(*address).is_none_or(|until| *until <= now)
        };
        // Each entry starts with another holder.
        let (later, first) = holders.split_at(self.random as usize % holders.len().max(1));
        let known = self.referrals.iter().chain(first).chain(later).chain(&self.seeds);
        match known.copied().find(|address| is_usable(&address)) {
            Some(address) => {
                self.referrals.retain(|referral| *referral != address);
                StartupStep::AskEntry(address)
            }
            None => StartupStep::Wait(REFUSED_PAUSE.min(self.read_at.since(now))),
        }
    }

    /// Records the response of an entry that did not have the directory.
    pub fn record_response(
        &mut self,
        address: SocketAddr,
        response: StartupResponse,
        now: Timestamp,
    ) {
        let pause = match response {
            StartupResponse::Referred(referrals) => {
                if !referrals.is_empty() {
                    // The directory is about to come from other entries.
                    self.read_small_at = None;
                }
                for referral in referrals {
                    let is_known = self.referrals.contains(&referral);
                    if !is_known && self.referrals.len() < MAX_REFERRALS {
                        self.referrals.push(referral);
                    }
                }
                REFUSED_PAUSE
            }
            StartupResponse::Unresponsive => UNRESPONSIVE_PAUSE,
        };
        self.paused_until.insert(address, now + pause);
    }

    /// Records that the platform did not respond. Other entries are asked again meanwhile.
    pub fn record_failed_read(&mut self, now: Timestamp) {
        self.read_at = now + FAILED_READ_PATIENCE;
    }
}

/// Number of entries that one entry serves the whole directory to within
/// [`TRANSFER_PERIOD`]. At an estimated 30 KB each, they take 50 ms of
/// a link of 20 Mbit/s.
const MAX_TRANSFERS: usize = 4;

/// Period in which [`MAX_TRANSFERS`] counts.
const TRANSFER_PERIOD: Duration = Duration::from_millis(200);

/// Time for which others are referred to an entry that was admitted.
const REFERRAL_LIFETIME: Duration = Duration::from_secs(5);

/// Which entries get the whole directory from this one, and whom others are referred to.
#[derive(Debug, Default)]
pub struct TransferTable {
    /// The last entries that were admitted, oldest first, with the time of admission.
    admitted: Vec<(SocketAddr, Timestamp)>,
    /// Number of referrals, so that they rotate.
    referred: usize,
}

impl TransferTable {
    /// Admits an entry to a transfer, or returns the entries that it should ask instead, which
    /// have the directory or are about to.
    ///
    /// # Errors
    ///
    /// Returns the entries to ask when enough others were admitted recently.
    pub fn admit(&mut self, entry: SocketAddr, now: Timestamp) -> Result<(), Vec<SocketAddr>> {
        let recent = |(_, at): &&(SocketAddr, Timestamp)| now.since(*at) < TRANSFER_PERIOD;
        if self.admitted.iter().filter(recent).count() < MAX_TRANSFERS {
            if self.admitted.len() >= 2 * MAX_TRANSFERS {
                self.admitted.remove(0);
            }
            self.admitted.push((entry, now));
            return Ok(());
        }
        self.referred += 1;
        let mut others = self.admitted.clone();
        others.retain(|(other, at)| *other != entry && now.since(*at) < REFERRAL_LIFETIME);
        let mut others: Vec<_> = others.into_iter().map(|(address, _)| address).collect();
        let count = others.len();
        if count > 0 {
            others.rotate_left(self.referred % count);
        }
        others.truncate(2);
        Err(others)
    }
}
