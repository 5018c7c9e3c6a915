//! Guards against entries that serve old intents or none after store failures, lost and
//! reordered messages, restarts and with clocks that differ.

mod intent_world;

use intent_world::{ENTRIES, SERVICES, Step, View, World, step};
use proptest::prelude::*;
use zinniaport_core::controllers::StoreEra;
use zinniaport_testing::{check_property, test_cases};

test_cases! {
    intents_spread_and_never_revert: "an entry that goes back to an older intent, trusts stale intents, or is ready while incomplete or isolated" => {
        check_property(600, &(any::<bool>(), proptest::collection::vec(step(), 1..120)), |(stale, steps)| {
            let mut world = World::new();
            world.stale = stale;
            world.run_all(&steps)?;
            let newest = world.store_at(world.now);
            for entry in &world.entries {
                prop_assert_eq!(&entry.held, &newest, "all entries hold the newest intents");
                prop_assert!(entry.ready, "all entries are ready");
            }
            Ok(())
        });
    }

    plans_apply_after_a_restore: "a plan accepted after a restore of the store that does not take effect, or is reverted" => {
        check_property(600, &proptest::collection::vec(step(), 1..120), |steps| {
            let mut world = World::new();
            world.restores = true;
            world.run_all(&steps)?;
            let newest = world.store_at(world.now);
            for entry in &world.entries {
                prop_assert_eq!(&entry.held, &world.entries[0].held, "all entries hold the same intents");
                prop_assert!(entry.ready, "all entries are ready");
                for change in &world.store[world.restored..] {
                    let (service, _) = change.in_force();
                    prop_assert_eq!(entry.held.get(service), newest.get(service));
                }
            }
            Ok(())
        });
    }

    plans_apply_at_entries_that_know_less: "a plan confirmed after a restore that is not in force at entries which knew more versions than the one that confirmed it" => {
        check_property(600, &proptest::collection::vec(step(), 1..120), |steps| {
            let mut world = World::new();
            world.restores = true;
            world.era = Some(StoreEra::default());
            world.run_all(&steps)?;
            let newest = world.store_at(world.now);
            for entry in &world.entries {
                prop_assert_eq!(&entry.held, &world.entries[0].held, "all entries hold the same intents");
                prop_assert!(entry.ready, "all entries are ready");
                for change in &world.store[world.restored..] {
                    let (service, _) = change.in_force();
                    prop_assert_eq!(entry.held.get(service), newest.get(service));
                }
            }
            Ok(())
        });
    }

    starting_entries_hold_what_others_hold: "an entry that starts after a restore and serves with an older intent than the acknowledged one that others hold" => {
        let mut world = World::new();
        (world.restores, world.era) = (true, Some(StoreEra::default()));
        world.run_without_faults();
        world.change(SERVICES[0]);
        world.run_without_faults();
        let acknowledged = world.entries[1].held.clone();
        world.store.truncate(1);
        world.era = Some(StoreEra(1));
        world.run(&Step::Restart(0, 0));
        for _ in 0..10 {
            world.run(&Step::Advance(300));
            world.run(&Step::RespondToCall(0, View::Present));
            let entry = &world.entries[0];
            assert!(!entry.ready || entry.held == acknowledged, "ready with {:?}", entry.held);
            world.gossip(0, 1);
            while !world.messages.is_empty() {
                world.deliver(0);
            }
        }
    }

    peers_keep_an_entry_ready: "entries that all become not ready during an outage of the store alone" => {
        let mut world = World::new();
        world.run_without_faults();
        for _ in 0..60 {
            world.run(&Step::Advance(1000));
            for entry in 0..ENTRIES {
                world.run(&Step::FailStore(entry));
                world.gossip(entry, (entry + 1) % ENTRIES);
            }
            while !world.messages.is_empty() {
                world.deliver(0);
            }
            let before = world.state();
            world.check(&before).unwrap();
            assert!(world.entries.iter().all(|entry| entry.ready));
        }
    }
}
