//! Guards against targets and configuration that differ from the directory after stale
//! reads, late batches, expired registrations and outages of the store.

use std::time::Duration;

use proptest::prelude::*;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
};
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    RegisteredTarget, ServiceDefinition, StoreRevision,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetState};
use zinniaport_core::intent::TargetInstance;
use zinniaport_testing::{check_property, test_cases};

const SECOND: u64 = 1_000_000;

fn target(name: &str, revision: u64, leaving: bool) -> DirectoryChange {
    let target = RegisteredTarget {
        instance: TargetInstance { id: name.into(), started_ms: 5 },
        service: "history".to_owned(),
        address: format!("10.0.0.{}:80", name.len()).parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 3,
        leaving,
        warm_up_left: Duration::ZERO,
        sequence: 0,
    };
    DirectoryChange { name: name.to_owned(), revision, item: Some(DirectoryItem::Target(target)) }
}

fn removal(name: &str, revision: u64) -> DirectoryChange {
    DirectoryChange { name: name.to_owned(), revision, item: None }
}

fn configuration(version: u64, revision: u64) -> DirectoryChange {
    let service = ServiceDefinition {
        name: "history".to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 220,
        ..ServiceDefinition::default()
    };
    let configuration = OperatorConfiguration {
        version,
        routes: Vec::new(),
        services: vec![service],
        limits: None,
        tenants: None,
        unused_items: Vec::new(),
    };
    let item = Some(DirectoryItem::Configuration(configuration));
    DirectoryChange { name: "main".to_owned(), revision, item }
}

fn batch(revision: u64, changes: Vec<DirectoryChange>) -> DirectoryBatch {
    DirectoryBatch { era: 0, revision, changes }
}

/// A controller that has listed one configuration and some targets, with the fleet that it
/// published last.
struct FollowedDirectory {
    controller: DirectoryController,
    fleet: FleetSnapshot,
}

impl FollowedDirectory {
    fn new(targets: Vec<DirectoryChange>) -> Self {
        let mut directory = Self {
            controller: DirectoryController::new(DirectorySettings::default(), 1),
            fleet: FleetSnapshot::default(),
        };
        let part = DirectoryPart::Configuration;
        directory.send(DirectoryMessage::Listed(part, batch(20, vec![configuration(3, 2)])), 0);
        directory.send(DirectoryMessage::Listed(DirectoryPart::Targets, batch(20, targets)), 0);
        directory
    }

    fn send(&mut self, message: DirectoryMessage, at: u64) -> Vec<DirectoryEffect> {
        let effects = self.controller.handle(message, Timestamp(at));
        for effect in &effects {
            if let DirectoryEffect::Publish(fleet) = effect {
                self.fleet = fleet.as_ref().clone();
            }
        }
        effects
    }

    fn targets_changed(&mut self, revision: u64, changes: Vec<DirectoryChange>, at: u64) {
        let batch = batch(revision, changes);
        self.send(DirectoryMessage::Watched(DirectoryPart::Targets, batch), at);
    }

    fn available(&self) -> usize {
        let targets = self.fleet.targets.values();
        targets.filter(|target| target.state.takes_requests()).count()
    }
}

/// Requests per second that a cold target takes from the tests' entry, all of which it places.
fn cold_limits(fleet: &FleetSnapshot, now: u64) -> Vec<Option<f64>> {
    let targets = fleet.targets.values();
    targets.map(|target| target.counters.limit.warm_up.rate(1.0, Timestamp(now))).collect()
}

/// A configuration whose cold targets take 6 requests per second for 3 s.
fn cold_configuration(version: u64, revision: u64) -> DirectoryChange {
    let mut change = configuration(version, revision);
    let Some(DirectoryItem::Configuration(configuration)) = &mut change.item else {
        unreachable!()
    };
    configuration.services[0].warm_up = Duration::from_secs(3);
    configuration.services[0].warm_up_per_second = Some(2.0);
    change
}

/// A target that started at `started` seconds and stays cold for 3 s.
fn cold_target(name: &str, revision: u64, started: u64) -> DirectoryChange {
    let mut change = target(name, revision, false);
    let Some(DirectoryItem::Target(target)) = &mut change.item else { unreachable!() };
    target.instance.started_ms = started * 1_000;
    target.warm_up_left = Duration::from_secs(3);
    change
}

test_cases! {
    cold_targets_are_limited_until_they_are_warm: "a cold target that gets as many requests as any other" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        let part = DirectoryPart::Configuration;
        directory.send(DirectoryMessage::Watched(part, batch(30, vec![cold_configuration(4, 30)])), 100 * SECOND);
        assert_eq!(cold_limits(&directory.fleet, 100 * SECOND), [None]);
        directory.targets_changed(31, vec![cold_target("ii", 31, 100)], 101 * SECOND);
        assert_eq!(cold_limits(&directory.fleet, 103 * SECOND), [None, Some(2.0)]);
        assert_eq!(cold_limits(&directory.fleet, 104 * SECOND), [None, None]);
        // Later changes do not prolong it.
        directory.targets_changed(32, vec![target("iii", 32, false)], 103 * SECOND);
        assert_eq!(cold_limits(&directory.fleet, 104 * SECOND), [None; 3]);
    }

    old_registrations_are_not_cold: "a restarted fleet that takes all targets for cold, because their registrations say so since they started" => {
        let mut directory = FollowedDirectory::new(Vec::new());
        let part = DirectoryPart::Configuration;
        directory.send(DirectoryMessage::Watched(part, batch(30, vec![cold_configuration(4, 30)])), 100 * SECOND);
        let targets = vec![cold_target("i", 5, 50), cold_target("ii", 6, 99)];
        directory.send(DirectoryMessage::Listed(DirectoryPart::Targets, batch(31, targets)), 100 * SECOND);
        assert_eq!(cold_limits(&directory.fleet, 101 * SECOND), [None, Some(2.0)]);
    }

    announced_removals_take_effect_at_once: "requests to a target that announced its removal" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false), target("ii", 6, false)]);
        assert_eq!(directory.available(), 2);
        directory.targets_changed(21, vec![target("i", 21, true)], SECOND);
        assert_eq!(directory.available(), 1);
        assert!(directory.fleet.targets.values().any(|target| target.state == TargetState::Leaving));
        directory.targets_changed(22, vec![removal("i", 22)], 2 * SECOND);
        assert_eq!(directory.fleet.targets.len(), 1);
    }

    unannounced_removal_is_bounded: "a target used longer than the drain time after its removal, or dropped because its registration expired" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false), target("ii", 6, false)]);
        directory.targets_changed(21, vec![removal("i", 21), removal("ii", 21)], SECOND);
        assert_eq!(directory.available(), 2);
        directory.targets_changed(22, vec![target("ii", 22, false)], SECOND + 500_000);
        directory.send(DirectoryMessage::Tick, SECOND + 1_600_000);
        assert_eq!(directory.available(), 1);
    }

    expired_registrations_are_renewed: "live targets dropped because their registrations expired during an outage of the store" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false), target("ii", 6, false)]);
        directory.send(DirectoryMessage::Failed(DirectoryPart::Targets), SECOND);
        let recovered_at = 6 * SECOND;
        directory.targets_changed(22, vec![removal("i", 21), removal("ii", 22)], recovered_at);
        directory.send(DirectoryMessage::Tick, recovered_at + 1_900_000);
        assert_eq!(directory.available(), 2);
        directory.targets_changed(23, vec![target("i", 23, false)], recovered_at + 1_950_000);
        directory.send(DirectoryMessage::Tick, recovered_at + 2_000_000);
        assert_eq!(directory.available(), 1, "a target that did not register again is dropped");
    }

    partial_loss_is_no_outage: "a removed target that stays in use for seconds because another part could not be read" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        directory.send(DirectoryMessage::Failed(DirectoryPart::Configuration), SECOND);
        directory.targets_changed(21, vec![removal("i", 21)], SECOND + 600_000);
        let recovered_at = SECOND + 1_200_000;
        directory.send(DirectoryMessage::Watched(DirectoryPart::Configuration, batch(21, Vec::new())), recovered_at);
        directory.send(DirectoryMessage::Tick, SECOND + 1_700_000);
        assert_eq!(directory.available(), 0);
    }

    dropped_history_is_listed: "a watch that restarts without the changes that the platform no longer keeps" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        let effects = directory.send(DirectoryMessage::HistoryGone(DirectoryPart::Targets), SECOND);
        assert!(matches!(effects[..], [DirectoryEffect::List(DirectoryPart::Targets, _)]));
        directory.send(DirectoryMessage::Listed(DirectoryPart::Targets, batch(30, vec![target("ii", 25, false)])), SECOND);
        directory.send(DirectoryMessage::Tick, 3 * SECOND);
        let ids: Vec<_> = directory.fleet.targets.values().map(|target| target.instance.clone().unwrap().id).collect();
        assert_eq!(ids, ["ii".into()]);
    }

    changes_known_to_peers_are_read: "a change that takes effect seconds after other entries know it, because a watch lags" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        directory.send(DirectoryMessage::PeerRevision(DirectoryPart::Targets, 30.into()), SECOND);
        assert!(directory.send(DirectoryMessage::Tick, SECOND + 300_000).is_empty(), "the watch still has time to deliver the change");
        let effects = directory.send(DirectoryMessage::Tick, SECOND + 500_000);
        assert!(matches!(effects[..], [DirectoryEffect::CatchUp(DirectoryPart::Targets, Some(StoreRevision { era: 0, number: 20 }))]), "{effects:?}");
        let change = batch(31, vec![target("i", 30, true)]);
        let effects = directory.send(DirectoryMessage::CaughtUp(DirectoryPart::Targets, Some(change)), SECOND + 510_000);
        assert_eq!(directory.available(), 0);
        let watches = effects.iter().any(|effect| matches!(effect, DirectoryEffect::Watch(..)));
        assert!(!watches, "the watch in progress continues");
        assert!(directory.send(DirectoryMessage::Tick, 2 * SECOND).is_empty());
    }

    listed_removals_are_not_read_again: "entries that all call the platform after their start because the newest change before it was a removal" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        // The list was complete up to revision 20; a peer knows a removal at revision 15.
        directory.send(DirectoryMessage::PeerRevision(DirectoryPart::Targets, 15.into()), SECOND);
        assert!(directory.send(DirectoryMessage::Tick, SECOND + 500_000).is_empty());
        directory.send(DirectoryMessage::PeerRevision(DirectoryPart::Targets, 21.into()), 2 * SECOND);
        assert!(!directory.send(DirectoryMessage::Tick, 2 * SECOND + 500_000).is_empty());
    }

    failed_catch_up_lists: "a change that stays unknown because the platform no longer keeps the history before it" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        directory.send(DirectoryMessage::PeerRevision(DirectoryPart::Targets, 30.into()), SECOND);
        directory.send(DirectoryMessage::Tick, SECOND + 500_000);
        directory.send(DirectoryMessage::CaughtUp(DirectoryPart::Targets, None), SECOND + 510_000);
        let effects = directory.send(DirectoryMessage::Tick, SECOND + 1_000_000);
        assert!(matches!(effects[..], [DirectoryEffect::CatchUp(DirectoryPart::Targets, None)]), "{effects:?}");
        directory.send(DirectoryMessage::CaughtUp(DirectoryPart::Targets, Some(batch(40, Vec::new()))), SECOND + 1_010_000);
        directory.send(DirectoryMessage::Tick, 4 * SECOND);
        assert_eq!(directory.available(), 0, "the list shows the removal");
    }

    same_name_restarted_is_another_target: "counters of a stopped process applied to its successor" => {
        let mut directory = FollowedDirectory::new(vec![target("i", 5, false)]);
        let before = directory.fleet.targets.keys().next();
        let mut restarted = target("i", 21, false);
        if let Some(DirectoryItem::Target(target)) = &mut restarted.item {
            target.instance.started_ms = 9;
        }
        directory.targets_changed(21, vec![restarted], SECOND);
        assert_ne!(directory.fleet.targets.keys().next(), before);
    }

    state_never_reverts: "a stale read or late batch that brings back an older version or a removed target" => {
        // Batches come in any order and repeatedly, as relays, stale reads and retries
        // deliver them.
        let batches = proptest::collection::vec((0_usize..6, any::<bool>()), 1..24);
        check_property(256, &batches, |order| {
            let history = [
                batch(21, vec![target("i", 21, false)]),
                batch(22, vec![target("ii", 22, false)]),
                batch(23, vec![target("ii", 23, true)]),
                batch(24, vec![removal("ii", 24)]),
                batch(25, vec![configuration(5, 25)]),
                batch(26, vec![configuration(9, 26)]),
            ];
            let mut directory = FollowedDirectory::new(Vec::new());
            let (mut version, mut removed) = (3, false);
            for (at, (step, listed)) in (1_u64..).zip(order) {
                let part = if step < 4 { DirectoryPart::Targets } else { DirectoryPart::Configuration };
                let batch = history[step].clone();
                // A list at a revision contains the objects that existed then.
                let message = if listed && step < 3 { DirectoryMessage::Listed(part, batch) } else { DirectoryMessage::Watched(part, batch) };
                directory.send(message, 2 * at * SECOND);
                // By this time an unannounced removal has taken effect too.
                directory.send(DirectoryMessage::Tick, 2 * at * SECOND + 1_900_000);
                removed |= step == 3;
                let published = directory.fleet.routes.as_ref().map_or(3, |routes| routes.version);
                prop_assert!(published >= version, "{published} after {version}");
                version = published;
                if removed {
                    let available = directory.fleet.targets.values().any(|target| target.state.takes_requests() && target.instance.as_ref().unwrap().id.as_ref() == "ii");
                    prop_assert!(!available, "a removed target is available again");
                }
            }
            Ok(())
        });
    }
}
