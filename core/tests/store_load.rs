//! Which entries ask the store, and how often.

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    EntryLocation, SettingsController, SettingsEffect, SettingsMessage, StateController,
    choose_watchers,
};
use zinniaport_testing::test_cases;

fn place(entry: usize) -> EntryLocation {
    EntryLocation { name: format!("entry-{entry}"), region: "south".to_owned() }
}

/// Lists that 200 entries send in each second of an outage of two minutes.
fn outage_load() -> Vec<usize> {
    let places: Vec<_> = (0..200)
        .map(|entry| EntryLocation { name: format!("e{entry}"), region: format!("r{}", entry % 6) })
        .collect();
    let mut due = Vec::new();
    let mut entries: Vec<_> = Vec::new();
    for (seed, place) in places.iter().enumerate() {
        let mut entry = SettingsController::following(place.clone(), Timestamp(0), seed as u64);
        let effects = entry.handle(SettingsMessage::Members(places.clone()), Timestamp(0));
        due.push(due_at(&effects, Timestamp(0)));
        entries.push(entry);
    }
    let mut load = vec![0; 120];
    for millis in 0..120_000_u64 {
        let now = Timestamp(millis * 1000);
        for (entry, due) in entries.iter_mut().zip(&mut due) {
            if *due <= now {
                load[(millis / 1000) as usize] += 1;
                *due = due_at(&entry.handle(SettingsMessage::StoreFailed, now), now);
            }
        }
    }
    load
}

fn due_at(effects: &[SettingsEffect], now: Timestamp) -> Timestamp {
    let delay = effects.iter().find_map(|effect| match effect {
        SettingsEffect::List { delay } => Some(*delay),
        _ => None,
    });
    now + delay.expect("an entry without intents asks the store")
}

test_cases! {
    recovery_load_is_bounded: "all entries asking the store in the same second after an outage" => {
        let load = outage_load();
        let late = &load[40..];
        let most = late.iter().max().unwrap();
        assert!(*most <= 32, "up to {most} lists in one second: {late:?}");
    }

    watchers_change_little: "a replaced entry that moves the watches of its whole region" => {
        let mut places: Vec<_> = (0..30).map(place).collect();
        let chosen = choose_watchers(&places, "south").join(",");
        assert_eq!(chosen.split(',').count(), 3);
        assert!(choose_watchers(&places, "north").is_empty());
        let left = places.iter().position(|place| !chosen.contains(&place.name)).unwrap();
        places.remove(left);
        assert_eq!(choose_watchers(&places, "south").join(","), chosen);
    }
}
