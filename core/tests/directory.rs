//! Targets and configuration as a directory states them.

use std::time::Duration;

use proptest::prelude::*;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
};
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    RegisteredTarget, ServiceDefinition,
};
use zinniaport_core::fleet::{FleetSnapshot, TargetState};
use zinniaport_core::intent::TargetInstance;
use zinniaport_testing::{check_property, test_cases};

const SECOND: u64 = 1_000_000;

fn target(name: &str, revision: u64, leaving: bool) -> DirectoryChange {
    let note = RegisteredTarget {
        instance: TargetInstance { id: name.into(), started_ms: 5 },
        service: "history".to_owned(),
        address: format!("10.0.0.{}:80", name.len()).parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 3,
        leaving,
        warm_up_left: Duration::ZERO,
    };
    DirectoryChange { name: name.to_owned(), revision, item: Some(DirectoryItem::Target(note)) }
}

fn removal(name: &str, revision: u64) -> DirectoryChange {
    DirectoryChange { name: name.to_owned(), revision, item: None }
}

fn configuration(version: u64, revision: u64) -> DirectoryChange {
    let service = ServiceDefinition {
        name: "history".to_owned(),
        health_path: "/health".to_owned(),
        max_connections: 220,
    };
    let note = OperatorConfiguration {
        version,
        routes: Vec::new(),
        services: vec![service],
        limits: None,
    };
    let item = Some(DirectoryItem::Configuration(note));
    DirectoryChange { name: "main".to_owned(), revision, item }
}

fn batch(revision: u64, changes: Vec<DirectoryChange>) -> DirectoryBatch {
    DirectoryBatch { revision, changes }
}

/// A controller that has listed one configuration and these targets.
struct Followed {
    controller: DirectoryController,
    fleet: FleetSnapshot,
}

impl Followed {
    fn new(targets: Vec<DirectoryChange>) -> Self {
        let mut followed = Self {
            controller: DirectoryController::new(DirectorySettings::default(), 1),
            fleet: FleetSnapshot::default(),
        };
        let part = DirectoryPart::Configuration;
        followed.tell(DirectoryMessage::Listed(part, batch(20, vec![configuration(3, 2)])), 0);
        followed.tell(DirectoryMessage::Listed(DirectoryPart::Targets, batch(20, targets)), 0);
        followed
    }

    fn tell(&mut self, message: DirectoryMessage, at: u64) -> Vec<DirectoryEffect> {
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
        self.tell(DirectoryMessage::Watched(DirectoryPart::Targets, batch), at);
    }

    fn open(&self) -> usize {
        let targets = self.fleet.targets.values();
        targets.filter(|target| target.state.takes_requests()).count()
    }
}

test_cases! {
    announced_leaving_counts_at_once: "work for a target that said that it leaves" => {
        let mut followed = Followed::new(vec![target("i", 5, false), target("ii", 6, false)]);
        assert_eq!(followed.open(), 2);
        followed.targets_changed(21, vec![target("i", 21, true)], SECOND);
        assert_eq!(followed.open(), 1);
        assert!(followed.fleet.targets.values().any(|target| target.state == TargetState::Leaving));
        followed.targets_changed(22, vec![removal("i", 22)], 2 * SECOND);
        assert_eq!(followed.fleet.targets.len(), 1);
    }

    unannounced_removal_is_bounded: "a target that is used longer than the drain time after its removal, or given up at a lapse" => {
        let mut followed = Followed::new(vec![target("i", 5, false), target("ii", 6, false)]);
        followed.targets_changed(21, vec![removal("i", 21), removal("ii", 21)], SECOND);
        assert_eq!(followed.open(), 2);
        followed.targets_changed(22, vec![target("ii", 22, false)], SECOND + 500_000);
        followed.tell(DirectoryMessage::Tick, SECOND + 1_600_000);
        assert_eq!(followed.open(), 1);
    }

    lapsed_entries_come_back: "live targets given up because their registrations lapsed while the store was away" => {
        let mut followed = Followed::new(vec![target("i", 5, false), target("ii", 6, false)]);
        followed.tell(DirectoryMessage::Failed(DirectoryPart::Targets), SECOND);
        let back = 6 * SECOND;
        followed.targets_changed(22, vec![removal("i", 21), removal("ii", 22)], back);
        followed.tell(DirectoryMessage::Tick, back + 1_900_000);
        assert_eq!(followed.open(), 2);
        followed.targets_changed(23, vec![target("i", 23, false)], back + 1_950_000);
        followed.tell(DirectoryMessage::Tick, back + 2_000_000);
        assert_eq!(followed.open(), 1, "the one that is still missing is gone");
    }

    partial_loss_is_no_outage: "a target that left and stays in use for seconds because another part was out of reach" => {
        let mut followed = Followed::new(vec![target("i", 5, false)]);
        followed.tell(DirectoryMessage::Failed(DirectoryPart::Configuration), SECOND);
        followed.targets_changed(21, vec![removal("i", 21)], SECOND + 600_000);
        let back = SECOND + 1_200_000;
        followed.tell(DirectoryMessage::Watched(DirectoryPart::Configuration, batch(21, Vec::new())), back);
        followed.tell(DirectoryMessage::Tick, SECOND + 1_700_000);
        assert_eq!(followed.open(), 0);
    }

    dropped_history_is_listed: "a watch that starts over without the changes in between" => {
        let mut followed = Followed::new(vec![target("i", 5, false)]);
        let effects = followed.tell(DirectoryMessage::HistoryGone(DirectoryPart::Targets), SECOND);
        assert!(matches!(effects[..], [DirectoryEffect::List(DirectoryPart::Targets, _)]));
        followed.tell(DirectoryMessage::Listed(DirectoryPart::Targets, batch(30, vec![target("ii", 25, false)])), SECOND);
        followed.tell(DirectoryMessage::Tick, 3 * SECOND);
        let ids: Vec<_> = followed.fleet.targets.values().map(|target| target.instance.clone().unwrap().id).collect();
        assert_eq!(ids, ["ii".into()]);
    }

    news_of_others_is_read: "a change that a lagging watch shows seconds after other entries know it" => {
        let mut followed = Followed::new(vec![target("i", 5, false)]);
        followed.tell(DirectoryMessage::PeerRevision(DirectoryPart::Targets, 30), SECOND);
        assert!(followed.tell(DirectoryMessage::Tick, SECOND + 300_000).is_empty(), "the watch has its time");
        let effects = followed.tell(DirectoryMessage::Tick, SECOND + 500_000);
        assert!(matches!(effects[..], [DirectoryEffect::CatchUp(DirectoryPart::Targets, Some(20))]), "{effects:?}");
        let change = batch(31, vec![target("i", 30, true)]);
        let effects = followed.tell(DirectoryMessage::CaughtUp(DirectoryPart::Targets, Some(change)), SECOND + 510_000);
        assert_eq!(followed.open(), 0);
        let watches = effects.iter().any(|effect| matches!(effect, DirectoryEffect::Watch(..)));
        assert!(!watches, "the watch under way goes on");
        assert!(followed.tell(DirectoryMessage::Tick, 2 * SECOND).is_empty());
    }

    failed_catch_up_lists: "a change that stays unknown because the history before it is gone" => {
        let mut followed = Followed::new(vec![target("i", 5, false)]);
        followed.tell(DirectoryMessage::PeerRevision(DirectoryPart::Targets, 30), SECOND);
        followed.tell(DirectoryMessage::Tick, SECOND + 500_000);
        followed.tell(DirectoryMessage::CaughtUp(DirectoryPart::Targets, None), SECOND + 510_000);
        let effects = followed.tell(DirectoryMessage::Tick, SECOND + 1_000_000);
        assert!(matches!(effects[..], [DirectoryEffect::CatchUp(DirectoryPart::Targets, None)]), "{effects:?}");
        followed.tell(DirectoryMessage::CaughtUp(DirectoryPart::Targets, Some(batch(40, Vec::new()))), SECOND + 1_010_000);
        followed.tell(DirectoryMessage::Tick, 4 * SECOND);
        assert_eq!(followed.open(), 0, "the list shows the removal");
    }

    same_name_restarted_is_another_target: "counters of a process that is gone applied to its successor" => {
        let mut followed = Followed::new(vec![target("i", 5, false)]);
        let before = followed.fleet.targets.keys().next();
        let mut restarted = target("i", 21, false);
        if let Some(DirectoryItem::Target(note)) = &mut restarted.item {
            note.instance.started_ms = 9;
        }
        followed.targets_changed(21, vec![restarted], SECOND);
        assert_ne!(followed.fleet.targets.keys().next(), before);
    }

    nothing_goes_back: "a stale read or late batch that brings back an older version or a removed target" => {
        // Batches in any order and repeated, as relays, stale reads and retries deliver them.
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
            let mut followed = Followed::new(Vec::new());
            let (mut version, mut removed) = (3, false);
            for (at, (step, listed)) in (1_u64..).zip(order) {
                let part = if step < 4 { DirectoryPart::Targets } else { DirectoryPart::Configuration };
                let batch = history[step].clone();
                // A list at a revision holds what existed then.
                let message = if listed && step < 3 { DirectoryMessage::Listed(part, batch) } else { DirectoryMessage::Watched(part, batch) };
                followed.tell(message, 2 * at * SECOND);
                // By then a removal that was not announced has taken effect too.
                followed.tell(DirectoryMessage::Tick, 2 * at * SECOND + 1_900_000);
                removed |= step == 3;
                let now = followed.fleet.routes.as_ref().map_or(3, |book| book.version);
                prop_assert!(now >= version, "{now} after {version}");
                version = now;
                if removed {
                    let open = followed.fleet.targets.values().any(|target| target.state.takes_requests() && target.instance.as_ref().unwrap().id.as_ref() == "ii");
                    prop_assert!(!open, "a removed target is open again");
                }
            }
            Ok(())
        });
    }
}
