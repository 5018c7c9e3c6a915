//! Guards against state that goes back after the store came back from an older copy: older
//! versions, targets that had left, evacuations, entries that disagree.

mod restored_world;

use WorldStep::{
    Announce, Change, Configure, Deliver, End, LoseHistory, Pause, ReadAll, Remove, Repeat,
    Restore, Send, Start, WriteOthers,
};
use indexmap::IndexSet;
use proptest::prelude::*;
use restored_world::{
    ENTRIES, Numbering, PARTS, ReadKind, RestoredWorld, StoreCounts, WorldStep, world_steps,
};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    DirectoryController, DirectoryEffect, DirectoryMessage, DirectorySettings, StateController,
};
use zinniaport_core::directory::{
    BatchOrigin, DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, PartLedger,
    StoreRevision,
};
use zinniaport_testing::{check_property, test_cases};

/// 6,000 cases took 22 s in a debug build; 1,024 take 3 to 8 s.
const CASES: u32 = 1_024;

const EVACUATIONS: DirectoryPart = DirectoryPart::Evacuations;
const SECOND: u64 = 1_000_000;

fn change(name: &str, revision: u64, item: Option<DirectoryItem>) -> DirectoryChange {
    DirectoryChange { name: name.to_owned(), revision, item }
}

fn evacuation(data_centre: &str, revision: u64) -> DirectoryChange {
    change(data_centre, revision, Some(DirectoryItem::Evacuation))
}

fn batch(era: u64, revision: u64, changes: Vec<DirectoryChange>) -> DirectoryBatch {
    DirectoryBatch { era, revision, changes }
}

/// Entry that follows the evacuations through its ledger.
struct EvacuationFollower {
    ledger: PartLedger,
    controller: DirectoryController,
    evacuated: IndexSet<String>,
}

impl EvacuationFollower {
    /// Creates an entry that has listed these evacuations at revision 1.20.
    fn new(evacuations: Vec<DirectoryChange>) -> Self {
        let settings = DirectorySettings { evacuations: true, ..DirectorySettings::default() };
        let controller = DirectoryController::new(settings, 1);
        let (ledger, evacuated) = Default::default();
        let mut follower = Self { ledger, controller, evacuated };
        follower.list(batch(1, 20, evacuations), 0);
        follower
    }

    fn list(&mut self, mut batch: DirectoryBatch, at: u64) -> Vec<&str> {
        self.ledger.apply(&mut batch, BatchOrigin::Listed);
        self.send(DirectoryMessage::Listed(EVACUATIONS, batch), at)
    }

    fn watch(&mut self, mut batch: DirectoryBatch, at: u64) -> Vec<&str> {
        self.ledger.apply(&mut batch, BatchOrigin::Watched);
        self.send(DirectoryMessage::Watched(EVACUATIONS, batch), at)
    }

    /// Returns the evacuated data centres after a message.
    fn send(&mut self, message: DirectoryMessage, at: u64) -> Vec<&str> {
        for effect in self.controller.handle(message, Timestamp(at)) {
            let DirectoryEffect::Evacuation(change) = effect else { continue };
            if change.is_evacuated {
                self.evacuated.insert(change.data_centre);
            } else {
                self.evacuated.shift_remove(&change.data_centre);
            }
        }
        self.evacuated.iter().map(String::as_str).collect()
    }
}

/// Returns a fault of a world, if there is one.
type WorldCheck = fn(&RestoredWorld) -> Option<String>;

/// Applies steps, with a check after each of them, and lets everything be written again.
fn run(
    numbering: Numbering,
    steps: &[WorldStep],
    check: WorldCheck,
) -> Result<RestoredWorld, TestCaseError> {
    let mut world = RestoredWorld::new(1, numbering);
    for step in steps {
        world.apply(step);
        prop_assert_eq!(check(&world), None);
    }
    world.finish();
    prop_assert_eq!(check(&world), None);
    Ok(world)
}

fn check_world(numbering: Numbering, check: WorldCheck, final_check: WorldCheck) {
    check_property(CASES, &world_steps(), |steps| {
        let world = run(numbering, &steps, check)?;
        prop_assert_eq!(final_check(&world), None);
        Ok(())
    });
}

/// Applies steps and lets the entries read what is due.
fn play(steps: &[WorldStep]) -> RestoredWorld {
    let mut world = RestoredWorld::new(1, Numbering::Repeated);
    let reads = [WorldStep::ReadAll, WorldStep::ReadAll, WorldStep::ReadAll];
    steps.iter().chain(&reads).for_each(|step| world.apply(step));
    world
}

test_cases! {
    versions_never_go_back: "an older version of the configuration that is in force after a restore" => {
        check_world(Numbering::Distinct, RestoredWorld::reverted_version, |_| None);
        check_world(Numbering::Repeated, RestoredWorld::reverted_version, |_| None);
    }

    entries_agree_in_the_end: "entries that keep different or outdated state after everything was written again" => {
        check_world(Numbering::Distinct, |_| None, RestoredWorld::outdated_entry);
    }

    lists_are_bounded: "entries that list the store again and again after a restore" => {
        check_property(CASES, &world_steps(), |steps| {
            let world = run(Numbering::Repeated, &steps, |_| None)?;
            let StoreCounts { restores, lost_histories, lists } = world.counts();
            let bound = ENTRIES * PARTS.len() * (1 + 2 * (restores + lost_histories));
            prop_assert!(lists <= bound, "{lists} lists, {bound} allowed");
            prop_assert_eq!(world.late_lists, 0);
            Ok(())
        });
    }

    stores_without_eras_behave_as_before: "a restore that is assumed of a store which never states an era" => {
        check_property(CASES, &world_steps(), |steps| {
            let mut world = RestoredWorld::new(0, Numbering::Repeated);
            for step in steps.iter().filter(|step| !matches!(step, WorldStep::Restore(_))) {
                world.apply(step);
                prop_assert_eq!(world.reverted_version(), None);
                prop_assert_eq!(world.used_after_leaving(), None);
            }
            world.finish();
            prop_assert_eq!(world.outdated_entry(), None);
            prop_assert_eq!(world.noticed_restores(), 0);
            Ok(())
        });
    }

    evacuations_outlast_a_copy_without_them: "an evacuation that ends because the store came back from a copy without it, or one that never ends" => {
        let mut follower = EvacuationFollower::new(vec![evacuation("a", 12), evacuation("b", 13)]);
        assert_eq!(follower.list(batch(2, 11, Vec::new()), SECOND), ["a", "b"]);
        // A list within this time proves no more than the first one.
        assert_eq!(follower.list(batch(2, 12, Vec::new()), 3 * SECOND), ["a", "b"]);
        // The operator writes one of them again.
        assert_eq!(follower.watch(batch(2, 13, vec![evacuation("a", 13)]), 5 * SECOND), ["a", "b"]);
        assert_eq!(follower.send(DirectoryMessage::Tick, 11 * SECOND - 1), ["a", "b"]);
        assert_eq!(follower.send(DirectoryMessage::Tick, 11 * SECOND), ["a"]);
        let withdrawal = change("a", 14, None);
        assert!(follower.watch(batch(2, 14, vec![withdrawal]), 12 * SECOND).is_empty());
    }

    withdrawals_after_a_restore_take_effect_at_once: "an evacuation that stays in force for 10 s after the operator withdrew it" => {
        let mut follower = EvacuationFollower::new(vec![evacuation("a", 12)]);
        assert_eq!(follower.list(batch(2, 11, Vec::new()), SECOND), ["a"]);
        assert_eq!(follower.watch(batch(2, 12, vec![evacuation("a", 12)]), 2 * SECOND), ["a"]);
        assert!(follower.watch(batch(2, 13, vec![change("a", 13, None)]), 3 * SECOND).is_empty());
        assert!(follower.send(DirectoryMessage::Tick, 20 * SECOND).is_empty());
    }

    evacuations_in_the_copy_are_in_force: "requests to a data centre whose evacuation the store states, or an evacuation that outlasts its removal" => {
        let mut follower = EvacuationFollower::new(vec![evacuation("a", 12)]);
        let withdrawal = change("a", 21, None);
        assert!(follower.watch(batch(1, 21, vec![withdrawal]), SECOND).is_empty());
        assert_eq!(follower.list(batch(2, 15, vec![evacuation("a", 12)]), 2 * SECOND), ["a"]);
        // A late response of the earlier era ends nothing.
        assert_eq!(follower.watch(batch(1, 30, vec![change("a", 21, None)]), 3 * SECOND), ["a"]);
        assert_eq!(follower.send(DirectoryMessage::Tick, 20 * SECOND), ["a"]);
        assert!(follower.watch(batch(2, 16, vec![change("a", 16, None)]), 21 * SECOND).is_empty());
    }

    lists_of_the_same_era_end_evacuations: "an evacuation that never ends because its withdrawal was missed after a restore" => {
        let mut follower = EvacuationFollower::new(vec![evacuation("a", 5), evacuation("b", 6)]);
        let kept = vec![evacuation("a", 5), evacuation("b", 6)];
        assert_eq!(follower.list(batch(2, 15, kept), SECOND), ["a", "b"]);
        assert_eq!(follower.send(DirectoryMessage::Tick, 11 * SECOND), ["a", "b"]);
        assert_eq!(follower.list(batch(2, 18, vec![evacuation("b", 6)]), 12 * SECOND), ["b"]);
        assert!(follower.list(batch(2, 19, Vec::new()), 13 * SECOND).is_empty());
    }

    earlier_eras_change_nothing: "a late response from before a restore that removes or changes what has been written since" => {
        let mut world = play(&[Configure, Start(0), Start(1), ReadAll, WriteOthers(9), Restore(1), Change(0)]);
        let (fleet, ledgers) = (world.used_targets(), world.ledger_batches());
        for part in PARTS {
            let name = if part == DirectoryPart::Targets { "t-1" } else { "main" };
            let late = [
                batch(1, 90, Vec::new()),
                batch(1, 91, vec![change(name, 91, None)]),
                batch(1, 92, vec![change(name, 92, Some(DirectoryItem::Unusable))]),
            ];
            for batch in late {
                for origin in [BatchOrigin::Listed, BatchOrigin::Watched] {
                    assert!(!world.entry(0).ledgers[part as usize].apply(&mut batch.clone(), origin));
                    world.deliver_late(part, &batch, origin.is_list());
                }
            }
        }
        world.apply(&Pause(10));
        assert_eq!((world.used_targets(), world.ledger_batches()), (fleet, ledgers));
        assert_eq!(world.outdated_entry(), None);
    }

    repeated_states_are_no_news: "requests to a target that had left, because it had raised its sequence before, which the copy shows" => {
        let steps = [
            Configure, Start(0), ReadAll, Repeat(0), WriteOthers(1), End(0), Remove(0), ReadAll,
            Pause(10), Restore(1),
        ];
        assert_eq!(play(&steps).used_after_leaving(), None);
    }

    repeated_revisions_are_changes: "entries that ignore what is written after a restore because its object had the same revision before" => {
        let outdated = RestoredWorld::outdated_entry;
        check_world(Numbering::Repeated, RestoredWorld::used_after_leaving, outdated);
    }

    configurations_with_a_repeated_revision_are_used: "a version that stays unknown because an older one had its revision before the restore" => {
        let world = play(&[Configure, ReadAll, Restore(1), Configure]);
        assert_eq!(world.outdated_entry(), None);
    }

    announcements_with_a_repeated_revision_count: "requests to a target whose announcement has the revision that its registration had before the restore" => {
        let world = play(&[Configure, Start(0), ReadAll, Restore(1), Announce(0)]);
        assert_eq!(world.outdated_entry(), None);
    }

    targets_with_a_repeated_revision_are_used: "a live target that is not used because its removed registration had the same revision before the restore" => {
        let steps = [Configure, Start(0), ReadAll, Remove(0), ReadAll, Pause(10), Restore(2), Change(0)];
        assert_eq!(play(&steps).outdated_entry(), None);
    }

    left_targets_stay_gone: "requests to a target that had left, because the copy has it" => {
        check_world(Numbering::Distinct, RestoredWorld::used_after_leaving, |_| None);
    }

    removals_outlast_two_restores: "requests to a target that was dropped after the first restore, because the copy of the second one is older" => {
        let steps = [
            Configure, Start(0), End(0), ReadAll, Remove(0), WriteOthers(1),
            Restore(1), ReadAll, ReadAll, ReadAll, Pause(10), Restore(1),
        ];
        assert_eq!(play(&steps).used_after_leaving(), None);
    }

    missed_removals_are_not_covered: "changes that are complete for a reader who knows an object that was registered and removed between two lists" => {
        let mut ledger = PartLedger::default();
        ledger.apply(&mut batch(1, 10, Vec::new()), BatchOrigin::Listed);
        ledger.apply(&mut batch(1, 15, Vec::new()), BatchOrigin::Listed);
        assert!(!ledger.covers(StoreRevision { era: 1, number: 12 }));
        assert!(ledger.covers(StoreRevision { era: 1, number: 15 }));
    }

    missed_removals_reach_followers: "an entry that uses a target for good because it reads from another one that never knew it" => {
        let (entry, part, kind) = (1, DirectoryPart::Targets, ReadKind::Follow);
        let world = play(&[
            Configure, ReadAll, Start(1), LoseHistory, Pause(5), ReadAll, Pause(5),
            Send { entry, part, kind, follows: false }, Deliver { entry, part, kind }, Announce(1), Remove(1),
            ReadAll, ReadAll, ReadAll, ReadAll, ReadAll,
        ]);
        assert_eq!(world.outdated_entry(), None);
    }

    lists_soon_after_a_restore_end_evacuations: "an evacuation that never ends because its withdrawal was missed within 10 s of a restore" => {
        let mut follower = EvacuationFollower::new(vec![evacuation("a", 5)]);
        assert_eq!(follower.list(batch(2, 15, vec![evacuation("a", 5)]), SECOND), ["a"]);
        follower.list(batch(2, 18, Vec::new()), 5 * SECOND);
        assert!(follower.send(DirectoryMessage::Tick, 11 * SECOND).is_empty());
        assert!(follower.watch(batch(2, 30, Vec::new()), 60 * SECOND).is_empty());
    }

    expired_targets_are_used_again: "a live target that stays unused because its registration had expired, and the copy from before that has it" => {
        let steps = [
            Configure, Start(0), ReadAll, Remove(0), ReadAll, Pause(10),
            Restore(1), ReadAll, ReadAll, ReadAll, Repeat(0), ReadAll, LoseHistory, Pause(25), ReadAll,
        ];
        assert_eq!(play(&steps).outdated_entry(), None);
    }
}
