//! How soon the entries of a fleet that start together have the directory, and how many of them
//! read the platform for it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::startup::{StartupPlan, StartupResponse, StartupStep, TransferTable};
use zinniaport_testing::test_cases;

const MS: u64 = 1_000;

/// Entries of the users' largest deployment, and of a small one.
const LARGE_FLEET: usize = 472;
const SMALL_FLEET: usize = 15;

const SEEDS: usize = 3;

/// Time within which all entries of a fleet start.
const START_SPREAD_MS: u64 = 300;

/// Time of a transfer of the directory over a link of 20 Mbit/s to four entries at once.
const TRANSFER_MS: u64 = 50;

/// Time of a list of the platform in 15 pages.
const LIST_MS: u64 = 120;

/// Longest time for which an entry holds a query while it has nothing.
const HOLD_MS: u64 = 300;

/// Time until a query to an entry that does not respond fails.
const UNRESPONSIVE_MS: u64 = 100;

/// Time until another entry has heard that an entry has the directory.
const ANNOUNCED_MS: u64 = 250;

#[derive(Clone, Copy, PartialEq)]
enum SeedState {
    Running,
    /// Accepts nothing, as a machine without power.
    Silent,
}

/// What an entry is waiting for.
#[derive(Clone, Copy)]
enum PendingCall {
    None,
    Platform { until: u64 },
    Entry { server: usize, admitted: bool, until: u64 },
}

struct StartingEntry {
    starts: u64,
    plan: StartupPlan,
    table: TransferTable,
    pending: PendingCall,
    has_since: Option<u64>,
    is_silent: bool,
}

struct FleetOutcome {
    platform_reads: usize,
    /// Entries that asked the platform for a small directory.
    small_reads: usize,
    /// Time from the start of an entry until it has the directory, the longest of all.
    longest: Option<Duration>,
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry >> 8) as u8, entry as u8], 7000))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!() };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Starts a fleet whose first entries are the seeds. The platform responds from `platform_from`
/// on, in milliseconds.
fn start_fleet(size: usize, seeds: &[SeedState], platform_from: u64, seed: u64) -> FleetOutcome {
    let mut random = StdRng::seed_from_u64(seed);
    let seed_addresses: Vec<_> = (0..seeds.len()).map(address).collect();
    let mut entries: Vec<_> = (0..size)
        .map(|entry| {
            let starts = random.random_range(0..START_SPREAD_MS);
            let now = Timestamp(starts * MS);
            let plan =
                StartupPlan::new(address(entry), seed_addresses.clone(), random.random(), now);
            StartingEntry {
                starts,
                plan,
                table: TransferTable::default(),
                pending: PendingCall::None,
                has_since: None,
                is_silent: seeds.get(entry) == Some(&SeedState::Silent),
            }
        })
        .collect();
    let (mut platform_reads, mut small_reads) = (0, 0);
    for now in 0..10_000 {
        let holders: Vec<_> = (0..size)
            .filter(|entry| entries[*entry].has_since.is_some_and(|at| at + ANNOUNCED_MS <= now))
            .take(8)
            .map(address)
            .collect();
        for entry in 0..size {
            if !entries[entry].is_silent && entries[entry].starts <= now {
                match step_entry(&mut entries, entry, &holders, platform_from, now) {
                    Some(StartupStep::ReadPlatform) => platform_reads += 1,
                    Some(StartupStep::ReadSmall) => small_reads += 1,
                    _ => {}
                }
            }
        }
    }
    let running = entries.iter().filter(|entry| !entry.is_silent);
    let times: Option<Vec<_>> =
        running.map(|entry| Some(entry.has_since? - entry.starts)).collect();
    let longest = times.and_then(|times| times.into_iter().max()).map(Duration::from_millis);
    FleetOutcome { platform_reads, small_reads, longest }
}

/// Advances an entry by a millisecond. Returns its step, if it took one. The directory is too
/// large for one call.
fn step_entry(
    entries: &mut [StartingEntry],
    entry: usize,
    holders: &[SocketAddr],
    platform_from: u64,
    now: u64,
) -> Option<StartupStep> {
    let time = Timestamp(now * MS);
    if entries[entry].has_since.is_some() {
        return None;
    }
    match entries[entry].pending {
        PendingCall::Platform { until } if now >= until => {
            entries[entry].pending = PendingCall::None;
            if until >= platform_from + LIST_MS {
                entries[entry].has_since = Some(now);
                return None;
            }
            entries[entry].plan.record_failed_read(time);
        }
        PendingCall::Entry { server, admitted, until } => {
            let server_has = entries[server].has_since;
            if admitted && server_has.is_some_and(|at| now >= at.max(until - HOLD_MS) + TRANSFER_MS)
            {
                entries[entry].has_since = Some(now);
                return None;
            }
            if now < until || (admitted && server_has.is_some()) {
                return None;
            }
            let response = if entries[server].is_silent {
                StartupResponse::Unresponsive
            } else {
                StartupResponse::Referred(Vec::new())
            };
            entries[entry].plan.record_response(address(server), response, time);
            entries[entry].pending = PendingCall::None;
        }
        PendingCall::Platform { .. } => return None,
        PendingCall::None => {}
    }
    let step = entries[entry].plan.next_step(holders, time);
    match step {
        StartupStep::Wait(_) | StartupStep::ReadSmall => {}
        StartupStep::ReadPlatform => {
            entries[entry].pending = PendingCall::Platform { until: now + LIST_MS };
        }
        StartupStep::AskEntry(server_address) => ask(entries, entry, index(server_address), now),
    }
    Some(step)
}

fn ask(entries: &mut [StartingEntry], entry: usize, server: usize, now: u64) {
    let time = Timestamp(now * MS);
    if entries[server].is_silent {
        let until = now + UNRESPONSIVE_MS;
        entries[entry].pending = PendingCall::Entry { server, admitted: false, until };
        return;
    }
    let admitted = if entries[server].starts > now {
        Err(Vec::new())
    } else {
        entries[server].table.admit(address(entry), time)
    };
    match admitted {
        Ok(()) => {
            let until = now + HOLD_MS;
            entries[entry].pending = PendingCall::Entry { server, admitted: true, until };
        }
        Err(others) => {
            let response = StartupResponse::Referred(others);
            entries[entry].plan.record_response(address(server), response, time);
        }
    }
}

test_cases! {
    only_seeds_read_the_platform: "a store that hundreds of entries list at the same moment" => {
        for seed in 0..5 {
            for size in [SMALL_FLEET, LARGE_FLEET] {
                let outcome = start_fleet(size, &[SeedState::Running; SEEDS], 0, seed);
                assert_eq!(outcome.platform_reads, SEEDS, "size {size}, seed {seed}");
                // Those that start before any seed. The goal is one call an entry.
                assert!(outcome.small_reads < size, "{} small reads", outcome.small_reads);
                // Not longer than the entries wait before they read the platform themselves.
                let longest = outcome.longest.expect("an entry never has the directory");
                assert!(longest < Duration::from_millis(800), "{longest:?}, size {size}, seed {seed}");
            }
        }
    }

    one_seed_is_enough: "a fleet that overloads the only seed, or reads the platform itself, because the other seeds are gone" => {
        for seed in 0..5 {
            let seeds = [SeedState::Silent, SeedState::Running, SeedState::Silent];
            let outcome = start_fleet(LARGE_FLEET, &seeds, 0, seed);
            // The goal is one call an entry; a list takes 15.
            assert!(outcome.platform_reads <= LARGE_FLEET / 15, "{} reads", outcome.platform_reads);
            let longest = outcome.longest.expect("an entry never has the directory");
            assert!(longest < Duration::from_secs(2), "{longest:?}");
        }
    }

    silent_seeds_stop_no_start: "entries that never serve because all seeds are gone" => {
        for seed in 0..5 {
            let outcome = start_fleet(LARGE_FLEET, &[SeedState::Silent; SEEDS], 0, seed);
            let longest = outcome.longest.expect("an entry never has the directory");
            assert!(longest < Duration::from_secs(3), "{longest:?}");
        }
    }

    entries_start_once_the_platform_is_back: "entries that overload the platform during an outage, or give up" => {
        for seed in 0..5 {
            let outcome = start_fleet(LARGE_FLEET, &[SeedState::Running; SEEDS], 4_000, seed);
            let longest = outcome.longest.expect("an entry never has the directory");
            assert!(longest < Duration::from_secs(6), "{longest:?}");
        }
    }

    known_holders_serve_a_single_start: "a restarted entry that waits, or reads the platform, although others have the directory" => {
        let now = Timestamp(MS);
        let mut plan = StartupPlan::new(address(9), [address(0)], 7, now);
        plan.record_response(address(0), StartupResponse::Unresponsive, now);
        assert_eq!(plan.next_step(&[address(4)], now), StartupStep::AskEntry(address(4)));
        // A small directory is read before a seed that does not respond is waited for.
        let soon = now + Duration::from_millis(400);
        let mut plan = StartupPlan::new(address(9), [address(0)], 7, now);
        plan.record_response(address(0), StartupResponse::Unresponsive, now);
        assert_eq!(plan.next_step(&[], soon), StartupStep::ReadSmall);
        assert_eq!(plan.next_step(&[], soon), StartupStep::AskEntry(address(0)));
        // An entry without others has only the platform.
        let mut alone = StartupPlan::new(address(9), [address(9)], 7, now);
        assert_eq!(alone.next_step(&[], now), StartupStep::ReadPlatform);
    }
}
