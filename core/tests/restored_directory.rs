//! Guards against state that goes back after the store came back from an older copy: older
//! versions, targets that had left, entries that disagree.

mod restored_world;

use proptest::prelude::*;
use restored_world::{
    ENTRIES, Numbering, PARTS, RestoredWorld, StoreCounts, WorldStep, world_steps,
};
use zinniaport_testing::{check_property, test_cases};

const CASES: u32 = 1_024;

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
}
