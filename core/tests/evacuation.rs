//! Guards against requests to evacuated data centres, and against an evacuation that is forgotten
//! or outlasts its end, after stale reads, late batches and outages of the store.

use std::sync::Arc;
use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
    TargetsController, TargetsEffect, TargetsMessage,
};
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    RegisteredTarget, ServiceDefinition,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetState};
use zinniaport_core::intent::TargetInstance;
use zinniaport_testing::test_cases;

const SECOND: u64 = 1_000_000;
const PART: DirectoryPart = DirectoryPart::Evacuations;

fn target(number: usize) -> DirectoryChange {
    let target = RegisteredTarget {
        instance: TargetInstance { id: format!("i-{number}").into(), started_ms: 5 },
        service: "records".to_owned(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: ["a", "b", "c"][number % 3].to_owned(),
        slots: 6,
        leaving: false,
        warm_up_left: Duration::ZERO,
        sequence: 0,
    };
    let name = format!("i-{number}");
    DirectoryChange { name, revision: 5, item: Some(DirectoryItem::Target(target)) }
}

fn configuration() -> DirectoryChange {
    let service = ServiceDefinition {
        name: "records".to_owned(),
        warm_up: Duration::from_secs(3),
        warm_up_per_second: Some(2.0),
        ..ServiceDefinition::default()
    };
    let configuration = OperatorConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits: None,
        tenants: None,
        unused_items: Vec::new(),
    };
    let item = Some(DirectoryItem::Configuration(configuration));
    DirectoryChange { name: "main".to_owned(), revision: 4, item }
}

fn evacuation(data_centre: &str, revision: u64) -> DirectoryChange {
    let item = Some(DirectoryItem::Evacuation);
    DirectoryChange { name: data_centre.to_owned(), revision, item }
}

fn withdrawal(data_centre: &str, revision: u64) -> DirectoryChange {
    DirectoryChange { name: data_centre.to_owned(), revision, item: None }
}

fn batch(revision: u64, changes: Vec<DirectoryChange>) -> DirectoryBatch {
    DirectoryBatch { era: 0, revision, changes }
}

/// An entry's controllers of the directory and of targets, without I/O.
struct FollowingEntry {
    directory: DirectoryController,
    targets: TargetsController,
    fleet: Arc<FleetSnapshot>,
    is_ready: bool,
}

impl FollowingEntry {
    /// Creates an entry that has listed 9 targets in 3 data centres, and the configuration.
    fn new(evacuations: bool) -> Self {
        let settings = DirectorySettings { evacuations, ..DirectorySettings::default() };
        let mut entry = Self {
            directory: DirectoryController::new(settings, 1),
            targets: TargetsController::default(),
            fleet: Arc::default(),
            is_ready: false,
        };
        let targets = batch(20, (0..9).map(target).collect());
        entry.send(DirectoryMessage::Listed(DirectoryPart::Targets, targets), 0);
        let configuration = batch(20, vec![configuration()]);
        entry.send(DirectoryMessage::Listed(DirectoryPart::Configuration, configuration), 0);
        entry
    }

    /// Creates an entry that follows evacuations, with these in force.
    fn with_evacuations(evacuations: Vec<DirectoryChange>) -> Self {
        let mut entry = Self::new(true);
        entry.send(DirectoryMessage::Listed(PART, batch(20, evacuations)), 0);
        entry
    }

    fn send(&mut self, message: DirectoryMessage, at: u64) {
        for effect in self.directory.handle(message, Timestamp(at)) {
            match effect {
                DirectoryEffect::Publish(fleet) => {
                    self.send_to_targets(TargetsMessage::Intents(fleet), at);
                }
                DirectoryEffect::Ready => self.is_ready = true,
                _ => {}
            }
        }
    }

    fn send_to_targets(&mut self, message: TargetsMessage, at: u64) {
        for TargetsEffect::Publish(fleet) in self.targets.handle(message, Timestamp(at)) {
            self.fleet = fleet;
        }
    }

    /// Returns the data centres whose targets take requests, by the states of all their targets.
    fn open(&self) -> Vec<&str> {
        let is_open = |data_centre: &&str| {
            let targets = self.fleet.targets.values();
            let mut targets = targets.filter(|target| *target.data_centre == **data_centre);
            targets.all(|target| {
                let takes_requests = target.state.takes_requests();
                assert_eq!(takes_requests, !target.counters.is_evacuated());
                takes_requests
            })
        };
        ["a", "b", "c"].into_iter().filter(is_open).collect()
    }
}

test_cases! {
    evacuated_targets_take_no_requests: "requests to an evacuated data centre, or to none because of one" => {
        let mut entry = FollowingEntry::with_evacuations(Vec::new());
        assert_eq!(entry.open(), ["a", "b", "c"]);
        entry.send(DirectoryMessage::Watched(PART, batch(30, vec![evacuation("b", 30)])), SECOND);
        assert_eq!(entry.open(), ["a", "c"]);
        // The tables that requests are placed by contain no target of it either.
        let (_, service) = entry.fleet.find("records").unwrap();
        assert!(service.table.available.iter().all(|target| *target.data_centre != *"b"));
        assert_eq!(service.table.available.len(), 6);
    }

    returning_targets_are_cold: "a data centre that gets its full load at once although its targets are cold" => {
        let mut entry = FollowingEntry::with_evacuations(vec![evacuation("b", 9)]);
        assert_eq!(entry.open(), ["a", "c"]);
        entry.send(DirectoryMessage::Watched(PART, batch(30, vec![withdrawal("b", 30)])), SECOND);
        assert_eq!(entry.open(), ["a", "b", "c"]);
        for target in entry.fleet.targets.values() {
            let is_returning = *target.data_centre == *"b";
            let limit = &target.counters.limit.warm_up;
            assert_eq!(limit.rate(1.0, Timestamp(3 * SECOND)), is_returning.then_some(2.0));
            assert!(!limit.is_cold(Timestamp(4 * SECOND)));
            assert_eq!(target.state == TargetState::Starting, is_returning);
        }
    }

    entries_are_not_ready_before_they_know: "an entry that restarts and sends requests to an evacuated data centre" => {
        let mut entry = FollowingEntry::new(true);
        assert!(!entry.is_ready && entry.fleet.targets.is_empty());
        entry.send(DirectoryMessage::Failed(PART), SECOND);
        assert!(!entry.is_ready);
        entry.send(DirectoryMessage::Listed(PART, batch(20, vec![evacuation("a", 9)])), 2 * SECOND);
        assert!(entry.is_ready);
        assert_eq!(entry.open(), ["b", "c"]);
    }

    evacuations_are_not_followed_unasked: "further calls of a deployment that has no evacuations, or one that waits for a list that never comes" => {
        for (evacuations, lists) in [(false, 2), (true, 3)] {
            let settings = DirectorySettings { evacuations, ..DirectorySettings::default() };
            assert_eq!(DirectoryController::new(settings, 1).start().len(), lists);
        }
        let entry = FollowingEntry::new(false);
        assert!(entry.is_ready);
        assert_eq!(entry.open(), ["a", "b", "c"]);
    }

    outages_keep_evacuations: "requests to an evacuated data centre while the store does not respond" => {
        let mut entry = FollowingEntry::with_evacuations(vec![evacuation("c", 9)]);
        for second in 1..60 {
            entry.send(DirectoryMessage::Failed(PART), second * SECOND);
            entry.send(DirectoryMessage::Tick, second * SECOND);
            entry.send_to_targets(TargetsMessage::Tick, second * SECOND);
            assert_eq!(entry.open(), ["a", "b"]);
        }
        // Targets that register again stay closed.
        let mut again = target(2);
        again.revision = 70;
        entry.send(DirectoryMessage::Watched(DirectoryPart::Targets, batch(70, vec![again])), 61 * SECOND);
        assert_eq!(entry.open(), ["a", "b"]);
    }

    stale_reads_change_nothing: "an evacuation that a stale list ends, or one that a late batch brings back" => {
        let mut entry = FollowingEntry::with_evacuations(Vec::new());
        entry.send(DirectoryMessage::Watched(PART, batch(30, vec![evacuation("b", 30)])), SECOND);
        entry.send(DirectoryMessage::Listed(PART, batch(25, Vec::new())), SECOND);
        assert_eq!(entry.open(), ["a", "c"]);
        entry.send(DirectoryMessage::Watched(PART, batch(40, vec![withdrawal("b", 40)])), SECOND);
        entry.send(DirectoryMessage::Watched(PART, batch(30, vec![evacuation("b", 30)])), SECOND);
        entry.send(DirectoryMessage::Listed(PART, batch(35, vec![evacuation("b", 30)])), SECOND);
        assert_eq!(entry.open(), ["a", "b", "c"]);
        entry.send(DirectoryMessage::Watched(PART, batch(50, vec![evacuation("b", 50)])), SECOND);
        assert_eq!(entry.open(), ["a", "c"]);
    }

    lists_end_evacuations: "an evacuation that never ends because its withdrawal was missed" => {
        let mut entry = FollowingEntry::with_evacuations(vec![evacuation("a", 9), evacuation("b", 10)]);
        entry.send(DirectoryMessage::HistoryGone(PART), SECOND);
        entry.send(DirectoryMessage::Listed(PART, batch(90, vec![evacuation("b", 10)])), SECOND);
        assert_eq!(entry.open(), ["a", "c"]);
    }
}
