//! How soon all entries of a large deployment know a request that crashes targets.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use zinniaport_core::call::CallFingerprint;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    SignalsController, SignalsEffect, SignalsMessage, StateController,
};
use zinniaport_core::quarantine::{CrashRecord, CrashReport, QuarantineTable, RunDecision, RunEnd};
use zinniaport_core::signals::{SignalMessage, select_relays};
use zinniaport_testing::test_cases;

const MS: u64 = 1_000;

/// Request that crashes every target that runs it.
const CALL: CallFingerprint = CallFingerprint(7);

/// Number of targets that the request may crash, as on the users' platform.
const MAX_CRASHED: u8 = 2;

/// Number of seed entries that each entry knows at its start.
const SEEDS: usize = 3;

/// Time that the entries have to find each other before the first crash.
const WARM_UP: Duration = Duration::from_secs(12);

/// Time after the third crash, and after the start of an entry, from which on runs count.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Number of runs that the platform permits after that.
const MAX_LATER_RUNS: usize = 3;

/// Number of targets that the request may crash in a fleet whose entries reach each other:
/// after the third one, the platform counts.
const MAX_CRASHED_IN_ALL: usize = 3;

const TICK: Duration = Duration::from_millis(50);
const LINK_DELAY: Duration = Duration::from_millis(1);

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry >> 8) as u8, entry as u8], 7000))
}

fn entry_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        IpAddr::V6(_) => usize::MAX,
    }
}

/// One entry: its signals controller and its quarantine table.
struct SimulatedEntry {
    controller: SignalsController,
    table: QuarantineTable<()>,
    started: Timestamp,
    sequence: u64,
}

impl SimulatedEntry {
    fn start(entry: usize, now: Timestamp) -> Self {
        Self {
            controller: SignalsController::new(address(entry), (0..SEEDS).map(address)),
            table: QuarantineTable::default(),
            started: now,
            sequence: 0,
        }
    }

    fn message(&mut self, is_first: bool, now: Timestamp) -> (SignalMessage, Vec<CrashRecord>) {
        self.sequence += 1;
        let report = CrashReport::new(self.table.crash_records().cloned().collect(), now);
        let records = if is_first { report.first_records() } else { report.records(self.sequence) };
        let peers = self.controller.live_peers();
        let start = self.sequence as usize * 8 % peers.len().max(1);
        let listed = peers.iter().cycle().skip(start).take(8.min(peers.len()));
        let message = SignalMessage {
            incarnation: self.started.0,
            sequence: self.sequence,
            capacity: 10,
            members: listed.map(|peer| peer.address).collect(),
            ..SignalMessage::default()
        };
        (message, records)
    }
}

/// What happens at an entry, in the order of time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulatedEvent {
    Tick(usize),
    /// The message with this index arrives at an entry.
    Arrives(usize, usize),
    /// A caller sends the request to any entry.
    Requested,
    /// The entry is replaced by a new process.
    Restarts(usize),
}

/// Entries that exchange signals over links with a delay that lose some datagrams.
struct SimulatedFleet {
    entries: Vec<SimulatedEntry>,
    events: BinaryHeap<Reverse<(Timestamp, SimulatedEvent)>>,
    messages: Vec<(SocketAddr, SignalMessage, Vec<CrashRecord>)>,
    random: StdRng,
    /// Share of datagrams that are lost.
    loss: f64,
    /// Time of each run, and whether its entry had been running for [`STABLE_WINDOW`].
    runs: Vec<(Timestamp, bool)>,
}

impl SimulatedFleet {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut events = BinaryHeap::new();
        let mut entries = Vec::new();
        for entry in 0..count {
            let start = Timestamp(1_000_000 + random.random_range(0..300 * MS));
            entries.push(SimulatedEntry::start(entry, start));
            events.push(Reverse((start, SimulatedEvent::Tick(entry))));
        }
        Self { entries, events, messages: Vec::new(), random, loss, runs: Vec::new() }
    }

    /// Schedules `count` requests, one each `period`, after the entries know each other.
    fn schedule_requests(&mut self, count: u32, period: Duration) {
        for request in 0..count {
            let at = Timestamp(1_000_000) + WARM_UP + period * request;
            self.events.push(Reverse((at, SimulatedEvent::Requested)));
        }
    }

    /// Schedules a restart of every entry, one each `period`, after the first requests.
    fn schedule_restarts(&mut self, delay: Duration, period: Duration) {
        for entry in 0..self.entries.len() {
            let at = Timestamp(1_000_000) + WARM_UP + delay + period * entry as u32;
            self.events.push(Reverse((at, SimulatedEvent::Restarts(entry))));
        }
    }

    fn run(&mut self, length: Duration) {
        let end = Timestamp(1_000_000) + length;
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > end {
                return;
            }
            match event {
                SimulatedEvent::Tick(entry) => {
                    self.step(entry, SignalsMessage::Tick, now);
                    self.events.push(Reverse((now + TICK, event)));
                }
                SimulatedEvent::Arrives(entry, index) => {
                    let (from, message, records) = self.messages[index].clone();
                    for record in &records {
                        self.entries[entry].table.merge(record, now);
                    }
                    self.step(entry, SignalsMessage::Received(from, message), now);
                }
                SimulatedEvent::Requested => self.request(now),
                SimulatedEvent::Restarts(entry) => {
                    self.entries[entry] = SimulatedEntry::start(entry, now);
                }
            }
        }
    }

    /// Sends the request to any entry, which retries it until the quarantine refuses it.
    fn request(&mut self, now: Timestamp) {
        let entry = self.random.random_range(0..self.entries.len());
        let started = self.entries[entry].started;
        while self.begins(entry, now) {
            self.runs.push((now, now.since(started) >= STABLE_WINDOW));
            let target = SocketAddr::from(([10, 1, 0, 0], self.runs.len() as u16));
            let end = RunEnd::Crashed(target.into());
            self.entries[entry].table.end(CALL, end, (MAX_CRASHED, now), |()| true);
            self.step(entry, SignalsMessage::CrashRecorded, now);
        }
    }

    /// Returns `true` if an entry runs the request, perhaps as a trial.
    fn begins(&mut self, entry: usize, now: Timestamp) -> bool {
        let table = &mut self.entries[entry].table;
        table.begin(CALL, MAX_CRASHED, now) == RunDecision::Run
            || table.begin_trial(CALL, MAX_CRASHED, now)
    }

    fn step(&mut self, entry: usize, message: SignalsMessage, now: Timestamp) {
        for effect in self.entries[entry].controller.handle(message, now) {
            let (addresses, is_first) = match effect {
                SignalsEffect::Send(addresses) | SignalsEffect::Announce(addresses) => {
                    (addresses, false)
                }
                SignalsEffect::SendFirst(address) => (vec![address], true),
                _ => continue,
            };
            let (message, records) = self.entries[entry].message(is_first, now);
            self.messages.push((address(entry), message, records));
            let index = self.messages.len() - 1;
            for to in addresses {
                if !self.random.random_bool(self.loss) {
                    let arrives = SimulatedEvent::Arrives(entry_at(to), index);
                    self.events.push(Reverse((now + LINK_DELAY, arrives)));
                }
            }
        }
    }

    /// Returns the number of runs that the platform counts: those later than
    /// [`STABLE_WINDOW`] after the third crash, at entries that run for as long.
    fn later_runs(&self) -> usize {
        let Some((third, _)) = self.runs.get(2) else { return 0 };
        let counted =
            |(at, stable): &&(Timestamp, bool)| *stable && at.since(*third) > STABLE_WINDOW;
        self.runs.iter().filter(counted).count()
    }
}

/// Plays 16 s of requests in a fleet of `count` entries, one request each `period`.
fn play(count: usize, loss: f64, period: Duration, restarts: Option<Duration>) -> SimulatedFleet {
    play_for(Duration::from_secs(16), (count, loss), period, restarts)
}

fn play_for(
    length: Duration,
    (count, loss): (usize, f64),
    period: Duration,
    restarts: Option<Duration>,
) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(count, loss, 2);
    fleet.schedule_requests(length.div_duration_f64(period) as u32, period);
    if let Some(period) = restarts {
        fleet.schedule_restarts(Duration::from_secs(4), period);
    }
    fleet.run(WARM_UP + length);
    fleet
}

test_cases! {
    few_targets_crash_in_a_small_fleet: "entries of a small fleet that crash more targets each, since they do not know of the first ones" => {
        let fleet = play(15, 0.0, Duration::from_secs(1), None);
        assert!((1..=MAX_CRASHED_IN_ALL).contains(&fleet.runs.len()), "{} runs", fleet.runs.len());
    }

    few_targets_crash_in_a_large_fleet: "entries of a large fleet that crash more targets each, since they do not know of the first ones" => {
        let fleet = play(139, 0.0, Duration::from_millis(250), None);
        assert!((1..=MAX_CRASHED_IN_ALL).contains(&fleet.runs.len()), "{} runs", fleet.runs.len());
    }

    trials_are_few_in_a_large_fleet: "each entry that tries a quarantined request again, so that it crashes a target at each" => {
        for (count, restarts) in [(15, None), (60, None), (60, Some(Duration::from_millis(500)))] {
            let fleet = play_for(Duration::from_secs(60), (count, 0.01), Duration::from_millis(250), restarts);
            let later = fleet.later_runs();
            assert!(fleet.runs.len() > MAX_CRASHED_IN_ALL, "no second trial in 60 s");
            assert!(later <= MAX_LATER_RUNS, "{count} entries: {} runs, {later} of them later", fleet.runs.len());
        }
    }

    lost_datagrams_hide_no_crash: "a crash that some entries never hear of because a datagram was lost" => {
        let fleet = play(139, 0.03, Duration::from_millis(250), None);
        assert!(!fleet.runs.is_empty());
        assert!(fleet.later_runs() <= MAX_LATER_RUNS, "{} later runs", fleet.later_runs());
    }

    restarted_entries_learn_of_earlier_crashes: "entries that start after the crashes and repeat them" => {
        for (count, restarts) in [(15, 1000), (139, 100), (139, 1000)] {
            let fleet = play(count, 0.0, Duration::from_millis(250), Some(Duration::from_millis(restarts)));
            assert!(!fleet.runs.is_empty());
            let (later, all) = (fleet.later_runs(), fleet.runs.len());
            assert!(all <= MAX_CRASHED_IN_ALL, "{count} entries: {all} runs, {later} of them later");
        }
    }

    relays_cover_each_data_centre: "crash records that cross data centres once for each entry, or that never reach one of them" => {
        let entry = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
        let locations = [Some("a"), Some("a"), None, Some("b"), Some("b"), Some("b"), Some("c")];
        let entries: Vec<_> = (1..).map(entry).zip(locations).collect();
        let mut reached = BTreeSet::new();
        for sequence in 0..3 {
            let relays = select_relays(entries.iter().copied(), "a", sequence);
            assert!([1, 2, 3, 7].iter().all(|near| relays.contains(&entry(*near))), "{relays:?}");
            assert_eq!(relays.iter().filter(|relay| (4..=6).contains(&relay.port())).count(), 2);
            reached.extend(relays);
        }
        assert_eq!(reached.len(), entries.len(), "each entry is a relay in turn");
    }
}
