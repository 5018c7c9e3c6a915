//! Guards against a directory that differs from the store after the store came back from an older
//! copy, in which changes have the same revisions as others had before.

use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
};
use zinniaport_core::directory::{
    BatchOrigin, DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart,
    OperatorConfiguration, PartLedger, RegisteredTarget,
};
use zinniaport_core::intent::TargetInstance;
use zinniaport_testing::test_cases;

const SECOND: u64 = 1_000_000;

fn configuration(version: u64, revision: u64) -> DirectoryChange {
    let configuration = OperatorConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: None,
        tenants: None,
        unused_items: Vec::new(),
    };
    let item = Some(DirectoryItem::Configuration(configuration));
    DirectoryChange { name: "main".to_owned(), revision, item }
}

fn target(revision: u64, sequence: u64, leaving: bool) -> DirectoryChange {
    let target = RegisteredTarget {
        instance: TargetInstance { id: "i-1".into(), started_ms: 5 },
        service: "history".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 3,
        leaving,
        warm_up_left: Duration::ZERO,
        sequence,
    };
    DirectoryChange { name: "i-1".to_owned(), revision, item: Some(DirectoryItem::Target(target)) }
}

fn removal(revision: u64) -> DirectoryChange {
    DirectoryChange { name: "i-1".to_owned(), revision, item: None }
}

fn batch(era: u64, revision: u64, changes: Vec<DirectoryChange>) -> DirectoryBatch {
    DirectoryBatch { era, revision, changes }
}

/// Returns the content of the only object of a ledger.
fn content(ledger: &PartLedger) -> Option<DirectoryItem> {
    ledger.batch(None).changes.into_iter().find_map(|change| change.item)
}

fn version(ledger: &PartLedger) -> Option<u64> {
    match content(ledger)? {
        DirectoryItem::Configuration(configuration) => Some(configuration.version),
        _ => None,
    }
}

test_cases! {
    newer_versions_at_a_reused_revision_apply: "a new configuration that is ignored because it got the same revision as the one before the restore" => {
        let mut ledger = PartLedger::default();
        ledger.apply(&mut batch(1, 100, vec![configuration(3, 50)]), BatchOrigin::Listed);
        ledger.apply(&mut batch(1, 101, vec![configuration(4, 101)]), BatchOrigin::Watched);
        // The copy is of revision 100, and the operator writes first after the restore.
        ledger.apply(&mut batch(2, 101, vec![configuration(5, 101)]), BatchOrigin::Listed);
        assert_eq!(version(&ledger), Some(5));
    }

    announcements_at_a_reused_revision_apply: "a target that is used although it has left, because its report got the same revision as one before the restore" => {
        let mut ledger = PartLedger::default();
        ledger.apply(&mut batch(1, 100, Vec::new()), BatchOrigin::Listed);
        ledger.apply(&mut batch(1, 101, vec![target(101, 1, false)]), BatchOrigin::Watched);
        ledger.apply(&mut batch(2, 101, vec![target(101, 2, true)]), BatchOrigin::Listed);
        assert!(matches!(content(&ledger), Some(DirectoryItem::Target(target)) if target.leaving));
    }

    live_targets_of_the_copy_are_used_in_the_end: "a live target that is never used again because its registration had expired before the restore" => {
        let mut ledger = PartLedger::default();
        ledger.apply(&mut batch(1, 100, vec![target(50, 1, false)]), BatchOrigin::Listed);
        ledger.apply(&mut batch(1, 101, vec![removal(101)]), BatchOrigin::Watched);
        // The copy still has the registration. The reports of the target raise only its sequence,
        // which is no change of the object, and the store would remove it if they stopped.
        for sequence in 2..60 {
            let revision = 100 + sequence;
            ledger.apply(&mut batch(2, revision, vec![target(50, sequence, false)]), BatchOrigin::Listed);
        }
        assert!(content(&ledger).is_some());
    }

    unusable_content_in_a_new_era_ends_the_use: "a target that stays in use after another writer replaced its registration by content that names no target" => {
        let mut ledger = PartLedger::default();
        ledger.apply(&mut batch(1, 100, vec![target(50, 1, false)]), BatchOrigin::Listed);
        ledger.apply(&mut batch(2, 100, vec![target(50, 1, false)]), BatchOrigin::Listed);
        let unusable = DirectoryChange { item: Some(DirectoryItem::Unusable), ..removal(120) };
        ledger.apply(&mut batch(2, 120, vec![unusable]), BatchOrigin::Watched);
        assert_eq!(content(&ledger), Some(DirectoryItem::Unusable));
    }

    evacuations_that_a_second_list_lacks_end: "an evacuation that never ends because it was withdrawn between two lists soon after a restore" => {
        let part = DirectoryPart::Evacuations;
        let settings = DirectorySettings { evacuations: true, ..DirectorySettings::default() };
        let mut controller = DirectoryController::new(settings, 1);
        let evacuation = || DirectoryChange { name: "a".to_owned(), revision: 50, item: Some(DirectoryItem::Evacuation) };
        let mut changes = Vec::new();
        let mut send = |message, at| {
            for effect in controller.handle(message, Timestamp(at)) {
                if let DirectoryEffect::Evacuation(change) = effect {
                    changes.push(change.is_evacuated);
                }
            }
        };
        send(DirectoryMessage::Listed(part, batch(1, 100, vec![evacuation()])), 0);
        send(DirectoryMessage::Listed(part, batch(2, 100, vec![evacuation()])), 20 * SECOND);
        // The withdrawal at revision 110 is missed: the store discards its history.
        send(DirectoryMessage::HistoryGone(part), 22 * SECOND);
        send(DirectoryMessage::Listed(part, batch(2, 120, Vec::new())), 23 * SECOND);
        for second in 24..100 {
            send(DirectoryMessage::Watched(part, batch(2, 120, Vec::new())), second * SECOND);
            send(DirectoryMessage::Tick, second * SECOND);
        }
        assert_eq!(changes, [true, false]);
    }

    withheld_targets_are_listed_again: "a live target that stays unused because nothing shows that it goes on to report" => {
        let part = DirectoryPart::Targets;
        let mut controller = DirectoryController::new(DirectorySettings::default(), 1);
        controller.handle(DirectoryMessage::Listed(part, batch(1, 100, Vec::new())), Timestamp(0));
        controller.handle(DirectoryMessage::Listed(part, batch(2, 100, vec![removal(50)])), Timestamp(SECOND));
        let mut lists = Vec::new();
        for second in 2..30 {
            let effects = controller.handle(DirectoryMessage::Tick, Timestamp(second * SECOND));
            if effects.iter().any(|effect| matches!(effect, DirectoryEffect::CatchUp(DirectoryPart::Targets, None))) {
                lists.push(second);
                let list = batch(2, 120, vec![target(120, 9, false)]);
                controller.handle(DirectoryMessage::CaughtUp(part, Some(list)), Timestamp(second * SECOND));
            }
        }
        assert_eq!(lists, [7]);
    }
}
