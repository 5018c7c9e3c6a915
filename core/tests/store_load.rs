//! Guards against too many calls to the store from entries that recover or change.

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    EntryLocation, IntentsController, IntentsEffect, IntentsMessage, StateController,
    choose_watchers,
};
use zinniaport_testing::test_cases;

fn location(entry: usize) -> EntryLocation {
    EntryLocation { name: format!("entry-{entry}"), region: "south".to_owned() }
}

/// Returns the number of list calls that 200 entries make in each second of an outage of
/// two minutes.
fn list_calls_per_second() -> Vec<usize> {
    let locations: Vec<_> = (0..200)
        .map(|entry| EntryLocation { name: format!("e{entry}"), region: format!("r{}", entry % 6) })
        .collect();
    let mut due = Vec::new();
    let mut entries: Vec<_> = Vec::new();
    for (seed, location) in locations.iter().enumerate() {
        let mut entry = IntentsController::following(location.clone(), Timestamp(0), seed as u64);
        let effects = entry.handle(IntentsMessage::Members(locations.clone()), Timestamp(0));
        due.push(due_at(&effects, Timestamp(0)));
        entries.push(entry);
    }
    let mut load = vec![0; 120];
    for millis in 0..120_000_u64 {
        let now = Timestamp(millis * 1000);
        for (entry, due) in entries.iter_mut().zip(&mut due) {
            if *due <= now {
                load[(millis / 1000) as usize] += 1;
                *due = due_at(&entry.handle(IntentsMessage::StoreFailed, now), now);
            }
        }
    }
    load
}

fn due_at(effects: &[IntentsEffect], now: Timestamp) -> Timestamp {
    let delay = effects.iter().find_map(|effect| match effect {
        IntentsEffect::List { delay } => Some(*delay),
        _ => None,
    });
    now + delay.expect("an entry without intents calls the store")
}

test_cases! {
    recovery_load_is_bounded: "all entries calling the store in the same second after an outage" => {
        let load = list_calls_per_second();
        // By then the delays between failed calls have reached their longest values.
        let late = &load[40..];
        let most = late.iter().max().unwrap();
        assert!(*most <= 32, "up to {most} lists in one second: {late:?}");
    }

    watchers_stay_when_others_leave: "a replaced entry that moves the watches of its whole region" => {
        let mut locations: Vec<_> = (0..30).map(location).collect();
        let chosen = choose_watchers(&locations, "south").join(",");
        assert_eq!(chosen.split(',').count(), 3);
        assert!(choose_watchers(&locations, "north").is_empty());
        let unaffected = locations.iter().position(|location| !chosen.contains(&location.name)).unwrap();
        locations.remove(unaffected);
        assert_eq!(choose_watchers(&locations, "south").join(","), chosen);
    }
}
