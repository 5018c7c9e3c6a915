//! Simulates entries, a store and the messages between them in simulated time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::Index;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ConfigMessage, EntryLocation, IntentsController, IntentsEffect, IntentsMessage,
    StateController, StoreBatch, StoreEra, VersionedIntent,
};
use zinniaport_core::intent::{MeasuringIntent, ServiceIntent};

pub const ENTRIES: usize = 4;
pub const SERVICES: [&str; 3] = ["calendar", "photo-archive", "roster-sign-up"];

/// Version in force of each service.
pub type Versions = BTreeMap<&'static str, u64>;

pub fn intent(service: &str, version: u64) -> VersionedIntent {
    let intent = ServiceIntent {
        service: service.to_owned(),
        team: "poteca".to_owned(),
        kinds: Vec::new(),
        targets: Vec::new(),
        measuring: MeasuringIntent::default(),
        max_queue_length: version as u32,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    };
    VersionedIntent { intent: Arc::new(intent), version }
}

pub fn location(entry: usize) -> EntryLocation {
    EntryLocation { name: format!("entry-{entry}"), region: "south".to_owned() }
}

pub fn members() -> IntentsMessage {
    IntentsMessage::Members((0..ENTRIES).map(location).collect())
}

#[derive(Clone, Debug)]
pub enum Step {
    Change(Index),
    /// Restores the store to an earlier state, from which its versions continue.
    Restore(Index),
    /// Time passes, in milliseconds.
    Advance(u64),
    /// Responds to the store call of an entry. The response may reflect the store as of
    /// now, as of when the call was sent, or in an older state.
    RespondToCall(usize, View),
    FailStore(usize),
    Gossip(usize, usize),
    Deliver(Index),
    Lose(Index),
    /// Restarts an entry with this offset of its clock, in microseconds.
    Restart(usize, u64),
}

/// State of the store that a response reflects.
#[derive(Clone, Copy, Debug)]
pub enum View {
    Present,
    AsSent,
    Stale,
}

pub fn step() -> impl Strategy<Value = Step> {
    let view =
        prop_oneof![4 => Just(View::Present), 2 => Just(View::AsSent), 1 => Just(View::Stale)];
    prop_oneof![
        3 => any::<Index>().prop_map(Step::Change),
        1 => any::<Index>().prop_map(Step::Restore),
        3 => (1_u64..6_000).prop_map(Step::Advance),
        5 => (0..ENTRIES, view).prop_map(|(entry, view)| Step::RespondToCall(entry, view)),
        2 => (0..ENTRIES).prop_map(Step::FailStore),
        5 => (0..ENTRIES, 0..ENTRIES).prop_map(|(from, to)| Step::Gossip(from, to)),
        10 => any::<Index>().prop_map(Step::Deliver),
        1 => any::<Index>().prop_map(Step::Lose),
        1 => (0..ENTRIES, 0_u64..1 << 40).prop_map(|(entry, offset)| Step::Restart(entry, offset)),
    ]
}

pub struct Entry {
    pub controller: IntentsController,
    /// Offset of the entry's clock, in microseconds.
    pub clock_offset: u64,
    pub incarnation: usize,
    pub call: Option<(IntentsEffect, Timestamp)>,
    pub last_reply: Timestamp,
    pub was_complete: bool,
    pub ready: bool,
    pub held: Versions,
    /// States of which the entry has to hold at least one before it is ready.
    pub sources: Vec<Versions>,
}

pub struct Message {
    pub from: (usize, usize),
    pub to: usize,
    pub sent: Timestamp,
    pub request: ConfigMessage,
    pub reply: Option<ConfigMessage>,
}

/// A change of an intent in the store.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Timestamp,
    pub service: &'static str,
    pub version: u64,
    /// Offset that is added to the version.
    pub offset: u64,
}

impl Change {
    pub fn in_force(&self) -> (&'static str, u64) {
        (self.service, self.version + self.offset)
    }
}

pub struct World {
    pub now: Timestamp,
    pub store: Vec<Change>,
    /// Length of the store's history after the last restore.
    pub restored: usize,
    pub entries: Vec<Entry>,
    pub messages: Vec<Message>,
    /// Whether reads of the store may return old states. An entry that knows nothing newer
    /// cannot detect this, so freshness and start are not checked then.
    pub stale: bool,
    /// Whether the store may be restored to an older state.
    pub restores: bool,
    pub incarnations: usize,
    /// Era of the store; `None` if it does not report it. With it, plans are confirmed at the
    /// entry that knows the least.
    pub era: Option<StoreEra>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Timestamp(1_000_000),
            store: vec![Change { at: Timestamp(1), service: SERVICES[0], version: 1, offset: 0 }],
            restored: 0,
            entries: Vec::new(),
            messages: Vec::new(),
            stale: false,
            restores: false,
            incarnations: 0,
            era: None,
        };
        for entry in 0..ENTRIES {
            let started = world.start(entry, entry as u64 * 977);
            world.entries.push(started);
            world.send(entry, members());
        }
        world
    }

    pub fn start(&mut self, entry: usize, clock_offset: u64) -> Entry {
        self.incarnations += 1;
        let mut sources = vec![self.store_at(self.now)];
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != entry);
        sources.extend(others.filter(|(_, other)| other.was_complete).map(|(_, o)| o.held.clone()));
        let started = Timestamp(self.now.0 + clock_offset);
        Entry {
            controller: IntentsController::following(location(entry), started, clock_offset),
            clock_offset,
            incarnation: self.incarnations,
            call: None,
            last_reply: self.now,
            was_complete: false,
            ready: false,
            held: Versions::new(),
            sources,
        }
    }

    pub fn store_at(&self, time: Timestamp) -> Versions {
        let until = self.store.iter().take_while(|change| change.at <= time);
        until.map(Change::in_force).collect()
    }

    pub fn clock(&self, entry: usize) -> Timestamp {
        Timestamp(self.now.0 + self.entries[entry].clock_offset)
    }

    pub fn send(&mut self, entry: usize, message: IntentsMessage) {
        let clock = self.clock(entry);
        for effect in self.entries[entry].controller.handle(message, clock) {
            match effect {
                call @ (IntentsEffect::List { .. } | IntentsEffect::Watch { .. }) => {
                    let (IntentsEffect::List { delay } | IntentsEffect::Watch { delay, .. }) = call
                    else {
                        unreachable!()
                    };
                    self.entries[entry].call = Some((call, self.now + delay));
                }
                IntentsEffect::Ready(ready) => self.entries[entry].ready = ready,
                _ => {}
            }
        }
        let controller = &self.entries[entry].controller;
        self.entries[entry].held = SERVICES
            .into_iter()
            .map(|service| (service, controller.version_of(service)))
            .filter(|(_, version)| *version > 0)
            .collect();
        let clock = self.clock(entry);
        let complete = self.entries[entry].controller.summary(clock).complete;
        if complete && !self.entries[entry].was_complete {
            self.entries[entry].was_complete = true;
            let held = self.entries[entry].held.clone();
            let others = self.entries.iter_mut().enumerate().filter(|(other, _)| *other != entry);
            others.for_each(|(_, other)| other.sources.push(held.clone()));
        }
    }

    pub fn respond_to_call(&mut self, entry: usize, view: View) {
        if self.entries[entry].call.as_ref().is_none_or(|(_, due)| *due > self.now) {
            return;
        }
        let Some((call, sent)) = self.entries[entry].call.take() else { return };
        let visible = match view {
            View::Present => self.store.len(),
            View::AsSent => self.store.partition_point(|change| change.at <= sent),
            View::Stale if self.stale => self.store.len() / 2,
            View::Stale => self.store.len(),
        };
        let after = match call {
            IntentsEffect::Watch { version, .. } => version,
            _ => 0,
        };
        let shown: BTreeMap<_, _> =
            self.store[..visible].iter().map(|change| (change.service, *change)).collect();
        let shown: Vec<_> = shown.into_values().filter(|change| change.version > after).collect();
        let batch = StoreBatch {
            sent: Timestamp(sent.0 + self.entries[entry].clock_offset),
            version: self.store[..visible].last().map_or(0, |change| change.version),
            era: self.era.unwrap_or_default(),
            offset: shown.iter().map(|change| change.offset).max().unwrap_or_default(),
            intents: shown
                .iter()
                .map(|change| intent(change.service, change.in_force().1))
                .collect(),
            fully_decoded: true,
        };
        self.entries[entry].last_reply = self.now;
        self.send(
            entry,
            match call {
                IntentsEffect::List { .. } => IntentsMessage::Listed(batch),
                _ => IntentsMessage::Watched(batch),
            },
        );
    }

    /// Accepts a plan at the entry that holds the newest intent of the service, or the oldest
    /// one if the store reports its era.
    pub fn change(&mut self, service: &'static str) {
        let version = self.store.last().map_or(0, |change| change.version) + 1;
        let present = self.store.iter().rfind(|change| change.service == service);
        let (shown, offset) = present.map_or((0, 0), |change| (change.version, change.offset));
        let held = |entry: &&Entry| entry.held.get(service).copied();
        let entries = self.entries.iter();
        let confirming =
            if self.era.is_some() { entries.min_by_key(held) } else { entries.max_by_key(held) };
        let era = self.era.unwrap_or_default();
        let floor = confirming.unwrap().controller.version_floor(service).in_era(era);
        self.now = self.now + Duration::from_micros(1);
        let offset = floor.offset_after(offset, shown);
        self.store.push(Change { at: self.now, service, version, offset });
    }

    pub fn send_request(&mut self, from: usize, to: usize, request: ConfigMessage) {
        let from = (from, self.entries[from].incarnation);
        self.messages.push(Message { from, to, sent: self.now, request, reply: None });
    }

    pub fn deliver(&mut self, position: usize) {
        let mut message = self.messages.swap_remove(position);
        let (from, incarnation) = message.from;
        let Some(reply) = message.reply.take() else {
            for VersionedIntent { intent, version } in &message.request.intents {
                let intent = intent.as_ref().clone();
                self.send(message.to, IntentsMessage::Accepted { intent, version: *version });
            }
            let clock = self.clock(message.to);
            let reply = self.entries[message.to].controller.respond(&message.request, clock);
            self.messages.push(Message { reply: Some(reply), ..message });
            return;
        };
        if self.entries[from].incarnation != incarnation {
            return;
        }
        self.entries[from].last_reply = self.now;
        let sent = Timestamp(message.sent.0 + self.entries[from].clock_offset);
        let peer = location(message.to).name;
        self.send(from, IntentsMessage::PeerReplied { peer, sent, reply: reply.clone() });
        let clock = self.clock(from);
        let controller = &self.entries[from].controller;
        if let Some(next) = controller.continue_exchange(&message.request, &reply, clock) {
            self.send_request(from, message.to, next);
        }
    }

    pub fn gossip(&mut self, from: usize, to: usize) {
        let clock = self.clock(from);
        let opening = self.entries[from].controller.open_exchange(clock);
        self.send_request(from, to, opening);
    }

    pub fn run(&mut self, step: &Step) {
        match step {
            Step::Change(service) => {
                self.change(SERVICES[service.index(SERVICES.len())]);
            }
            Step::Restore(kept) if self.restores => {
                self.store.truncate(1 + kept.index(self.store.len()));
                self.restored = self.store.len();
                self.era = self.era.map(|era| StoreEra(era.0 + 1));
                let kept = self.store_at(self.now);
                self.entries.iter_mut().for_each(|entry| entry.sources.push(kept.clone()));
                // The store closes its connections, so that the calls in progress fail.
                (0..ENTRIES).for_each(|entry| self.run(&Step::FailStore(entry)));
            }
            Step::Advance(millis) => self.now = self.now + Duration::from_millis(*millis),
            Step::RespondToCall(entry, view) => self.respond_to_call(*entry, *view),
            Step::FailStore(entry) if self.entries[*entry].call.take().is_some() => {
                self.send(*entry, IntentsMessage::StoreFailed);
            }
            Step::Gossip(from, to) if from != to => self.gossip(*from, *to),
            Step::Deliver(message) if !self.messages.is_empty() => {
                self.deliver(message.index(self.messages.len()));
            }
            Step::Lose(message) if !self.messages.is_empty() => {
                self.messages.swap_remove(message.index(self.messages.len()));
            }
            Step::Restart(entry, offset) => {
                self.entries[*entry] = self.start(*entry, *offset);
                self.send(*entry, members());
            }
            _ => {}
        }
    }

    pub fn check(&mut self, before: &[(usize, Versions, bool)]) -> Result<(), TestCaseError> {
        for (entry, (old_incarnation, old_held, was_ready)) in before.iter().enumerate() {
            self.send(entry, IntentsMessage::Tick);
            let Entry { held, incarnation, ready, clock_offset, last_reply, sources, .. } =
                &self.entries[entry];
            let covers = |wanted: &Versions| {
                wanted.iter().all(|(service, version)| held.get(service) >= Some(version))
            };
            let same = old_incarnation == incarnation;
            prop_assert!(
                !same || covers(old_held),
                "entry {entry} went back to older intents from {old_held:?}"
            );
            if *ready && !(same && *was_ready) && !self.stale {
                prop_assert!(
                    sources.iter().any(covers),
                    "entry {entry} is ready although it holds only {held:?}"
                );
            }
            let isolated = self.now.since(*last_reply) > Duration::from_secs(10);
            prop_assert!(!(isolated && *ready), "entry {entry} is isolated and ready");
            if let Some(confirmed) = self.entries[entry].controller.confirmed()
                && !self.stale
            {
                let time = Timestamp(confirmed.0.saturating_sub(*clock_offset));
                prop_assert!(
                    covers(&self.store_at(time)),
                    "entry {entry} holds older intents than the store did at {time}, up to which it is confirmed"
                );
            }
        }
        Ok(())
    }

    pub fn state(&self) -> Vec<(usize, Versions, bool)> {
        let entries = self.entries.iter();
        entries.map(|entry| (entry.incarnation, entry.held.clone(), entry.ready)).collect()
    }

    /// Runs the steps with a check after each, and then a time without faults.
    pub fn run_all(&mut self, steps: &[Step]) -> Result<(), TestCaseError> {
        for step in steps {
            let before = self.state();
            self.run(step);
            self.check(&before)?;
        }
        self.run_without_faults();
        Ok(())
    }

    /// Runs 14 s without faults, with one exchange per entry and second.
    pub fn run_without_faults(&mut self) {
        self.messages.clear();
        for tenth in 0..140 {
            self.now = self.now + Duration::from_millis(100);
            for entry in 0..ENTRIES {
                self.respond_to_call(entry, View::Present);
                if tenth % 10 == 0 {
                    self.gossip(entry, (entry + 1 + tenth / 10 % (ENTRIES - 1)) % ENTRIES);
                }
                while !self.messages.is_empty() {
                    self.deliver(0);
                }
                self.send(entry, IntentsMessage::Tick);
            }
        }
    }
}
