//! Entries that follow a store which is restored from earlier copies, over simulated calls.

mod entry;
mod steps;
mod store;

use std::net::SocketAddr;
use std::time::Duration;

pub use entry::ReadKind;
use entry::{FollowingEntry, ReadResponse, TargetContent};
use indexmap::{IndexMap, IndexSet};
pub use steps::{ENTRIES, PARTS, TARGETS, WorldStep, world_steps};
use store::RestoredStore;
pub use store::{Numbering, StoreCounts};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::DirectoryMessage;
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryItem, DirectoryPart, OperatorConfiguration, RegisteredTarget,
    ServiceDefinition, StoreRevision,
};
use zinniaport_core::intent::TargetInstance;

const TARGET_NAMES: [&str; TARGETS] = ["t-0", "t-1", "t-2"];
const CONFIGURATION: &str = "main";
const STEP: Duration = Duration::from_millis(300);

/// Time between two reads of an entry at the end, and number of these reads.
const FINAL_PERIOD: Duration = Duration::from_millis(200);
const FINAL_ROUNDS: usize = 80;

/// Process of a target.
#[derive(Clone, Copy, Debug, Default)]
struct TargetProcess {
    started_ms: u64,
    sequence: u64,
    /// Number of its content, which stands in the place of its slots.
    content: u32,
    is_live: bool,
    /// Whether it has not written its state since the store was restored.
    is_unwritten: bool,
}

/// Store, writers and entries.
#[derive(Debug)]
pub struct RestoredWorld {
    store: RestoredStore,
    entries: Vec<FollowingEntry>,
    processes: [TargetProcess; TARGETS],
    version: u64,
    now: Timestamp,
    /// Number of lists of the store in the second half of the final reads.
    pub late_lists: usize,
}

impl RestoredWorld {
    /// Creates a world whose store has no objects.
    pub fn new(era: u64, numbering: Numbering) -> Self {
        let entries = (0..ENTRIES).map(|position| FollowingEntry::new(position as u64));
        Self {
            store: RestoredStore::new(era, numbering),
            entries: entries.collect(),
            processes: Default::default(),
            version: 0,
            now: Timestamp(1_000_000),
            late_lists: 0,
        }
    }

    pub fn counts(&self) -> StoreCounts {
        self.store.counts
    }

    /// Returns the number of restores that entries noticed, in all parts.
    pub fn noticed_restores(&self) -> usize {
        self.entries.iter().map(|entry| entry.restores).sum()
    }

    pub fn apply(&mut self, step: &WorldStep) {
        self.pass(STEP);
        match *step {
            WorldStep::Configure => {
                self.version += 1;
                self.write_configuration();
            }
            WorldStep::ConfigureAgain => self.write_missing_configuration(),
            WorldStep::Start(target) => {
                let started_ms = self.now.0 / 1_000;
                let is_live = true;
                self.processes[target] =
                    TargetProcess { started_ms, is_live, ..TargetProcess::default() };
                self.write_target(target, false);
            }
            WorldStep::Change(target) if self.processes[target].is_live => {
                self.write_target(target, false);
            }
            WorldStep::Repeat(target) if self.processes[target].is_live => {
                if self.store_has_newest(target) {
                    self.processes[target].sequence += 1;
                    self.store.repeat(TARGET_NAMES[target], self.target_item(target, false));
                }
            }
            WorldStep::Announce(target) if self.processes[target].is_live => {
                self.write_target(target, true);
                self.processes[target].is_live = false;
            }
            WorldStep::End(target) => self.processes[target].is_live = false,
            WorldStep::Remove(target) => self.remove_target(target),
            WorldStep::WriteOthers(count) => self.store.raise(count),
            WorldStep::Restore(writes) => {
                self.store.restore(writes);
                self.processes.iter_mut().for_each(|process| process.is_unwritten = true);
            }
            WorldStep::LoseHistory => self.store.lose_history(),
            WorldStep::Send { entry, part, kind, follows } => {
                self.send_read(entry, part, kind, follows);
            }
            WorldStep::Deliver { entry, part, kind } => {
                self.entries[entry].deliver(part, kind, self.now);
            }
            WorldStep::Refuse { entry, part } => {
                let reads = &mut self.entries[entry].reads[part as usize];
                if reads.due(ReadKind::Follow, self.now).is_some() {
                    reads.keep(ReadKind::Follow, ReadResponse::Refused);
                    self.entries[entry].deliver(part, ReadKind::Follow, self.now);
                }
            }
            WorldStep::ReadAll => self.read_all(),
            WorldStep::Inform { from, to } => self.inform(from, to),
            WorldStep::Pause(steps) => (0..steps).for_each(|_| self.pass(STEP)),
            WorldStep::Change(_) | WorldStep::Repeat(_) | WorldStep::Announce(_) => {}
        }
    }

    /// Writes everything again and lets all entries read.
    pub fn finish(&mut self) {
        self.write_missing_configuration();
        for target in 0..TARGETS {
            let stored = self.stored_target(target);
            let is_announced =
                stored.is_some_and(|stored| stored.leaving) && self.store_has_newest(target);
            let process = self.processes[target];
            if process.is_live && (process.is_unwritten || !self.store_has_newest(target)) {
                self.write_target(target, false);
            } else if !process.is_live && !is_announced {
                self.remove_target(target);
            }
        }
        let mut lists = 0;
        for round in 0..FINAL_ROUNDS {
            self.pass(FINAL_PERIOD);
            for from in 0..ENTRIES {
                (0..ENTRIES).for_each(|to| self.inform(from, to));
            }
            self.read_all();
            if round == FINAL_ROUNDS / 2 {
                lists = self.store.counts.lists;
            }
        }
        self.late_lists = self.store.counts.lists - lists;
    }

    /// Returns an entry's published versions that were lower than the one before.
    pub fn reverted_version(&self) -> Option<String> {
        let reverted = |(position, entry): (usize, &FollowingEntry)| {
            let (known, version) = entry.reverted.first()?;
            Some(format!("entry {position} published version {version} after {known}"))
        };
        self.entries.iter().enumerate().find_map(reverted)
    }

    /// Returns a target that an entry uses although it has left and the entry knew it.
    pub fn used_after_leaving(&self) -> Option<String> {
        self.entries.iter().enumerate().find_map(|(position, entry)| {
            let (name, content) = entry.used_after_leaving().find(|(name, content)| {
                let target = TARGET_NAMES.iter().position(|known| known == name).unwrap();
                let process = &self.processes[target];
                process.started_ms != content.0 || !process.is_live
            })?;
            Some(format!("entry {position} uses {name} again, start and content {content:?}"))
        })
    }

    /// Returns an entry that does not have the newest version, or does not use the live targets.
    pub fn outdated_entry(&self) -> Option<String> {
        let live = (0..TARGETS).filter(|target| self.processes[*target].is_live);
        let live: IndexSet<&str> = live.map(|target| TARGET_NAMES[target]).collect();
        self.entries.iter().enumerate().find_map(|(position, entry)| {
            let used: IndexSet<&str> = entry.used.keys().map(String::as_str).collect();
            if entry.version != self.version {
                let (known, newest) = (entry.version, self.version);
                return Some(format!("entry {position} has version {known} instead of {newest}"));
            }
            let is_outdated = self.version > 0 && used != live;
            is_outdated.then(|| format!("entry {position} uses {used:?}, live are {live:?}"))
        })
    }

    /// Returns the targets that each entry uses, with their content.
    pub fn used_targets(&self) -> Vec<IndexMap<String, TargetContent>> {
        self.entries.iter().map(|entry| entry.used.clone()).collect()
    }

    /// Returns all objects in the ledgers of each entry.
    pub fn ledger_batches(&self) -> Vec<Vec<DirectoryBatch>> {
        let batches = |entry: &FollowingEntry| {
            entry.ledgers.iter().map(|ledger| ledger.batch(None)).collect()
        };
        self.entries.iter().map(batches).collect()
    }

    /// Returns an entry.
    pub fn entry(&mut self, position: usize) -> &mut FollowingEntry {
        &mut self.entries[position]
    }

    /// Delivers a response to each kind of read of an entry.
    pub fn deliver_late(&mut self, part: DirectoryPart, batch: &DirectoryBatch, is_list: bool) {
        for entry in &mut self.entries {
            for kind in [ReadKind::Follow, ReadKind::CatchUp] {
                let batch = batch.clone();
                let response = ReadResponse::Batch { batch, is_list, is_from_store: true };
                entry.reads[part as usize].keep(kind, response);
                entry.deliver(part, kind, self.now);
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        for entry in &mut self.entries {
            entry.send(DirectoryMessage::Tick, self.now);
        }
    }

    fn inform(&mut self, from: usize, to: usize) {
        if from == to {
            return;
        }
        for part in PARTS {
            let revision = self.entries[from].known[part as usize];
            let entry = &mut self.entries[to];
            let announced = revision.max(entry.announced[part as usize]);
            entry.announced[part as usize] = announced;
            entry.send(DirectoryMessage::PeerRevision(part, announced), self.now);
        }
    }

    /// Lets all entries read what is due. The first one reads from the store, the others follow.
    fn read_all(&mut self) {
        for entry in 0..ENTRIES {
            for part in PARTS {
                for kind in [ReadKind::Follow, ReadKind::CatchUp] {
                    self.send_read(entry, part, kind, entry > 0);
                    self.entries[entry].deliver(part, kind, self.now);
                }
            }
        }
    }

    fn send_read(&mut self, entry: usize, part: DirectoryPart, kind: ReadKind, follows: bool) {
        let reads = &self.entries[entry].reads[part as usize];
        let Some(after) = reads.due(kind, self.now) else { return };
        let relayed = follows.then(|| self.ask_others(entry, part, after)).flatten();
        let announced = self.entries[entry].announced[part as usize];
        let relayed = relayed.filter(|response| match response {
            ReadResponse::Batch { batch, is_list: false, .. } => {
                kind == ReadKind::Follow || batch.position() >= announced
            }
            _ => true,
        });
        let response = relayed.unwrap_or_else(|| self.ask_store(part, after));
        self.entries[entry].reads[part as usize].keep(kind, response);
    }

    fn ask_store(&mut self, part: DirectoryPart, after: Option<StoreRevision>) -> ReadResponse {
        let (is_list, is_from_store) = (after.is_none(), true);
        let batch = match after {
            Some(after) => self.store.watch(part, after),
            None => Some(self.store.list(part)),
        };
        batch.map_or(ReadResponse::TooOld, |batch| ReadResponse::Batch {
            batch,
            is_list,
            is_from_store,
        })
    }

    /// Asks the other entries in turn, as a follower asks its leaders.
    fn ask_others(
        &self,
        entry: usize,
        part: DirectoryPart,
        after: Option<StoreRevision>,
    ) -> Option<ReadResponse> {
        let is_starting = !self.entries[entry].ledgers[part as usize].is_complete();
        for other in (1..ENTRIES).map(|distance| &self.entries[(entry + distance) % ENTRIES]) {
            let ledger = &other.ledgers[part as usize];
            if !ledger.is_complete() || !(is_starting || other.is_fresh(part, self.now)) {
                continue;
            }
            match after.filter(|after| !ledger.covers(*after)) {
                Some(after) if after.era > ledger.position().era => {}
                Some(_) => return Some(ReadResponse::TooOld),
                None => {
                    let (batch, is_list) = (ledger.batch(after), after.is_none());
                    return Some(ReadResponse::Batch { batch, is_list, is_from_store: false });
                }
            }
        }
        None
    }

    fn write_configuration(&mut self) {
        let service = ServiceDefinition { name: "records".to_owned(), ..Default::default() };
        let configuration = OperatorConfiguration {
            version: self.version,
            routes: Vec::new(),
            services: vec![service],
            limits: None,
            tenants: None,
            unused_items: Vec::new(),
        };
        let item = Some(DirectoryItem::Configuration(configuration));
        self.store.write(DirectoryPart::Configuration, CONFIGURATION, item);
    }

    fn write_missing_configuration(&mut self) {
        let stored = match self.store.item(CONFIGURATION) {
            Some(DirectoryItem::Configuration(stored)) => stored.version,
            _ => 0,
        };
        if stored < self.version {
            self.write_configuration();
        }
    }

    fn stored_target(&self, target: usize) -> Option<&RegisteredTarget> {
        match self.store.item(TARGET_NAMES[target]) {
            Some(DirectoryItem::Target(stored)) => Some(stored),
            _ => None,
        }
    }

    fn store_has_newest(&self, target: usize) -> bool {
        let TargetProcess { started_ms, content, .. } = self.processes[target];
        self.stored_target(target).is_some_and(|stored| {
            (stored.instance.started_ms, stored.slots) == (started_ms, content)
        })
    }

    fn target_item(&self, target: usize, leaving: bool) -> DirectoryItem {
        let TargetProcess { started_ms, sequence, content: slots, .. } = self.processes[target];
        DirectoryItem::Target(RegisteredTarget {
            instance: TargetInstance { id: TARGET_NAMES[target].into(), started_ms },
            service: "records".to_owned(),
            address: SocketAddr::from(([10, 0, 0, target as u8 + 1], 80)),
            data_centre: "a".to_owned(),
            slots,
            leaving,
            warm_up_left: Duration::ZERO,
            sequence,
        })
    }

    fn write_target(&mut self, target: usize, leaving: bool) {
        self.processes[target].sequence += 1;
        self.processes[target].content += 1;
        self.processes[target].is_unwritten = false;
        let item = self.target_item(target, leaving);
        self.store.write(DirectoryPart::Targets, TARGET_NAMES[target], Some(item));
    }

    fn remove_target(&mut self, target: usize) {
        self.store.write(DirectoryPart::Targets, TARGET_NAMES[target], None);
    }
}
