//! Tells the other entries of requests in flight and waiting, in datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bincode::Options;
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    SignalsController, SignalsEffect, SignalsMessage, StateController, TargetsMessage,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetCounters};
use zinniaport_core::keys::{ServiceKey, TargetKey};
use zinniaport_core::policy::EntryView;
use zinniaport_core::signals::{LoadSignal, ServiceTag, SignalMessage, TargetTag, WaitSignal};

use crate::gate::{AdmissionGates, QuarantineGate};
use crate::runtime::StartError;
use crate::settings::SignalSettings;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Time between ticks while requests wait, which look for room again.
const WAIT_TICK: Duration = Duration::from_millis(5);

/// Time between other ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM: usize = 16 << 10;

/// Entries that one whole message names. At 139 entries all of them would be most
/// of the bytes between data centres.
const MAX_MEMBERS: usize = 8;

/// Targets in one message; a whole message of more is sent in part.
const MAX_LOADS: usize = 256;

/// Time for which whole messages tell of a crash, which several of them repeat.
const CRASH_NEWS_TIME: Duration = Duration::from_secs(2);

/// Crashes in one whole message, of about 30 bytes each.
const MAX_CRASHES: usize = 16;

/// Age from which a report of a target is not passed on, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 500;

/// Entries, those with the lowest addresses that are heard, that watch the
/// directory without lag and tell the others of changes. Two, so that the loss of
/// one goes unnoticed.
const LEADERS: usize = 2;

/// Share of the retries that all entries may save up that is handed out; the rest
/// covers entries that start and are not known yet.
const SAVED_SHARE: f64 = 0.8;

/// Names and counters of the targets and services of one snapshot.
#[derive(Default)]
struct TagTable {
    fleet: Arc<FleetSnapshot>,
    targets: HashMap<TargetTag, TargetKey>,
    services: HashMap<ServiceTag, ServiceKey>,
}

impl TagTable {
    fn new(fleet: Arc<FleetSnapshot>) -> Self {
        let targets = fleet.targets.iter().map(|(key, target)| (TargetTag::of(target), key));
        let services = fleet.names.iter().map(|(name, key)| (ServiceTag::of(name), *key));
        Self { targets: targets.collect(), services: services.collect(), fleet }
    }

    fn counters(&self, tag: TargetTag) -> Option<&TargetCounters> {
        let target = self.fleet.targets.get(*self.targets.get(&tag)?)?;
        Some(&target.counters)
    }
}

/// Owns the signals controller and its socket.
pub struct SignalsDriver {
    state: Arc<SharedState>,
    targets: TargetsHandle,
    gates: Arc<AdmissionGates>,
    quarantine: Arc<QuarantineGate>,
    settings: SignalSettings,
    socket: UdpSocket,
    controller: SignalsController,
    table: TagTable,
    incarnation: u64,
    sequence: u64,
    told_waits: HashMap<ServiceTag, u16>,
    told_revisions: [u64; 2],
}

impl SignalsDriver {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be used.
    pub async fn open(
        state: Arc<SharedState>,
        targets: TargetsHandle,
        gates: Arc<AdmissionGates>,
        quarantine: Arc<QuarantineGate>,
        settings: SignalSettings,
    ) -> Result<Self, StartError> {
        let address = settings.listen;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| StartError { address, source })?;
        let own = socket.local_addr().unwrap_or(address);
        let controller = SignalsController::new(own, settings.seeds.iter().copied());
        let incarnation = state.clock.now().0;
        Ok(Self {
            state,
            targets,
            gates,
            quarantine,
            settings,
            socket,
            controller,
            table: TagTable::default(),
            incarnation,
            sequence: 0,
            told_waits: HashMap::new(),
            told_revisions: [0; 2],
        })
    }

    /// Gives the address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap_or(self.settings.listen)
    }

    /// Exchanges signals until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let state = self.state.clone();
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut datagram = vec![0; MAX_DATAGRAM];
        let mut flushed = Instant::now();
        let mut changed = false;
        loop {
            let waits = !self.told_waits.is_empty();
            tokio::select! {
                () = stop.cancelled() => return,
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((length, from)) => self.receive(from, &datagram[..length]),
                    Err(error) => log::debug!("cannot receive a signal: {error}"),
                },
                () = state.load_changed.notified(), if !changed => changed = true,
                () = sleep_until(flushed + self.controller.change_gap()), if changed => {
                    changed = false;
                    flushed = Instant::now();
                    self.flush();
                }
                () = sleep_until(Instant::now() + WAIT_TICK), if waits => {
                    self.gates.refresh();
                    changed = true;
                }
                _ = ticks.tick() => self.step(SignalsMessage::Tick),
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        match decode_signal(bytes) {
            Ok(message) => {
                self.quarantine.merge(&message.crashes);
                self.step(SignalsMessage::Received(from, message));
                self.gates.refresh();
            }
            Err(error) => log::debug!("a datagram of {from} is not a signal: {error}"),
        }
    }

    fn step(&mut self, message: SignalsMessage) {
        self.update_table();
        let effects = self.controller.handle(message, self.state.clock.now());
        for effect in effects {
            self.carry_out(effect);
        }
    }

    /// Follows the snapshot; targets that are new take over what is known of them.
    fn update_table(&mut self) {
        let fleet = self.state.fleet.load_full();
        if Arc::ptr_eq(&fleet, &self.table.fleet) {
            return;
        }
        self.table = TagTable::new(fleet);
        for (tag, key) in &self.table.targets {
            let counters = &self.table.fleet.targets[*key].counters;
            counters.others_in_flight.store(self.controller.in_flight(*tag), Ordering::Relaxed);
        }
        for (tag, key) in &self.table.services {
            let counters = &self.table.fleet.services[*key].counters;
            counters.others_waiting.store(self.controller.waiting(*tag), Ordering::Relaxed);
        }
    }

    fn carry_out(&mut self, effect: SignalsEffect) {
        match effect {
            SignalsEffect::InFlight(tag, total) => {
                if let Some(counters) = self.table.counters(tag) {
                    counters.others_in_flight.store(total, Ordering::Relaxed);
                }
            }
            SignalsEffect::Waiting(tag, total) => {
                let service = self.table.services.get(&tag);
                let service = service.and_then(|key| self.table.fleet.services.get(*key));
                if let Some(service) = service {
                    service.counters.others_waiting.store(total, Ordering::Relaxed);
                }
            }
            SignalsEffect::Learnt(load) => self.learn(load),
            SignalsEffect::Revisions(revisions) => self.state.revisions.hear(revisions),
            SignalsEffect::SendWhole(addresses) => {
                let message = self.whole_message();
                self.send(&message, &addresses);
            }
            SignalsEffect::Heard(addresses, entries) => self.note_heard(&addresses, entries),
        }
    }

    fn learn(&self, load: LoadSignal) {
        let Some(counters) = self.table.counters(load.target) else { return };
        if load.pace_percent > 0 {
            let age = Duration::from_millis(load.pace_age_ms.into());
            counters.record_pace(load.pace_percent.into(), age, self.state.clock.now());
        }
        if load.latency_us > 0 {
            counters.record_latency(Duration::from_micros(load.latency_us.into()));
        }
    }

    fn note_heard(&self, addresses: &[SocketAddr], entries: usize) {
        log::info!(heard = addresses.len(), entries = entries; "the entries that are heard changed");
        let members = addresses.iter().map(|address| address.to_string().into());
        let own = self.state.entry_name.clone();
        let view = EntryView {
            name: own.clone(),
            data_centre: self.state.data_centre.clone(),
            members: members.chain([own]).collect(),
            shares_load: !addresses.is_empty(),
        };
        self.targets.tell(TargetsMessage::View(view));
        let own = self.address();
        let before = addresses.iter().filter(|address| **address < own).count();
        self.state.revisions.set_leads(before < LEADERS);
        let saved = f64::from(self.settings.saved_retries) * SAVED_SHARE / entries as f64;
        self.state.saved_retries.store((saved as u64).max(1), Ordering::Relaxed);
    }

    /// Sends what changed since the last message.
    fn flush(&mut self) {
        self.update_table();
        let mut loads = Vec::new();
        for (tag, key) in &self.table.targets {
            let counters = &self.table.fleet.targets[*key].counters;
            if counters.untold.swap(false, Ordering::AcqRel) {
                loads.push(load_signal(*tag, counters, self.state.clock.now()));
            }
        }
        let waits = self.changed_waits();
        let revisions = self.state.revisions.known();
        let newer = revisions != std::mem::replace(&mut self.told_revisions, revisions);
        if newer || !loads.is_empty() || !waits.is_empty() {
            let mut message = self.message(loads, waits, false);
            if newer {
                message.revisions = revisions;
            }
            let heard = self.controller.heard().to_vec();
            self.send(&message, &heard);
        }
    }

    fn changed_waits(&mut self) -> Vec<WaitSignal> {
        let mut changed = Vec::new();
        for (tag, key) in &self.table.services {
            let waiting = self.table.fleet.services[*key].counters.waiting.load(Ordering::Relaxed);
            let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
            let told = match waiting {
                0 => self.told_waits.remove(tag),
                _ => self.told_waits.insert(*tag, waiting),
            };
            if told.unwrap_or(0) != waiting {
                changed.push(WaitSignal { service: *tag, waiting });
            }
        }
        changed
    }

    fn whole_message(&mut self) -> SignalMessage {
        let now = self.state.clock.now();
        let mut loads = Vec::new();
        for (tag, key) in &self.table.targets {
            let counters = &self.table.fleet.targets[*key].counters;
            if counters.in_flight.load(Ordering::Relaxed) > 0 && loads.len() < MAX_LOADS {
                // Latencies were told when they were measured.
                let load = LoadSignal { latency_us: 0, ..load_signal(*tag, counters, now) };
                loads.push(load);
            }
        }
        let waits = self.told_waits.iter();
        let waits = waits.map(|(tag, waiting)| WaitSignal { service: *tag, waiting: *waiting });
        let waits = waits.collect();
        let members = self.next_members();
        let mut crashes = self.quarantine.entries();
        crashes.retain(|entry| now.since(entry.last_crash) < CRASH_NEWS_TIME);
        crashes.truncate(MAX_CRASHES);
        SignalMessage { members, crashes, ..self.message(loads, waits, true) }
    }

    /// Gives the next few entries that this one hears, all of them in turn.
    fn next_members(&self) -> Vec<SocketAddr> {
        let heard = self.controller.heard();
        let start = self.sequence as usize * MAX_MEMBERS;
        let turn =
            (0..heard.len().min(MAX_MEMBERS)).map(|step| heard[(start + step) % heard.len()]);
        turn.collect()
    }

    fn message(
        &mut self,
        loads: Vec<LoadSignal>,
        waits: Vec<WaitSignal>,
        whole: bool,
    ) -> SignalMessage {
        self.sequence += 1;
        let (incarnation, sequence) = (self.incarnation, self.sequence);
        let revisions = if whole { self.state.revisions.known() } else { [0; 2] };
        SignalMessage {
            incarnation,
            sequence,
            loads,
            waits,
            whole,
            revisions,
            ..SignalMessage::default()
        }
    }

    fn send(&self, message: &SignalMessage, addresses: &[SocketAddr]) {
        let Ok(bytes) = encode_signal(message) else { return };
        for address in addresses {
            // A signal that the socket cannot take now is repeated by the next whole one.
            if let Err(error) = self.socket.try_send_to(&bytes, *address) {
                log::debug!("cannot send a signal to {address}: {error}");
            }
        }
    }
}

/// Encodes a message. Numbers take as many bytes as they need, since most are small
/// and traffic between data centres is paid for by the byte.
///
/// # Errors
///
/// Returns an error when the message is too large to encode.
pub fn encode_signal(message: &SignalMessage) -> bincode::Result<Vec<u8>> {
    bincode::DefaultOptions::new().serialize(message)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error when the bytes are not a whole message.
pub fn decode_signal(bytes: &[u8]) -> bincode::Result<SignalMessage> {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM as u64).deserialize(bytes)
}

fn load_signal(target: TargetTag, counters: &TargetCounters, now: Timestamp) -> LoadSignal {
    let in_flight = counters.in_flight.load(Ordering::Relaxed);
    let age = now.since(Timestamp(counters.reported_at.load(Ordering::Relaxed)));
    let age_ms = age.as_millis() as u64;
    let pace = counters.reported_pace.load(Ordering::Relaxed);
    let pace = if age_ms <= MAX_REPORT_AGE_MS { pace } else { 0 };
    let latency = counters.untold_latency_us.swap(0, Ordering::Relaxed);
    LoadSignal {
        target,
        in_flight: u16::try_from(in_flight).unwrap_or(u16::MAX),
        pace_percent: u16::try_from(pace).unwrap_or(u16::MAX),
        pace_age_ms: u16::try_from(age_ms).unwrap_or(u16::MAX),
        latency_us: u32::try_from(latency).unwrap_or(u32::MAX),
    }
}
