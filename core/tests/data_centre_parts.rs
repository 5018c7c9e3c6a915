//! Parts of services by data centre: their targets and coordinators, and the requests that leave
//! them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    RequesterController, RequesterMessage, StateController, TargetsController, TargetsMessage,
};
use zinniaport_core::fleet::{FleetSnapshot, ServiceSnapshot, TargetState};
use zinniaport_core::intent::{DesiredState, MeasuringIntent, ServiceIntent, TargetIntent};
use zinniaport_core::placement::{
    CoordinatorCandidate, MAX_HEADROOM_AGE, PartChooser, PartHeadroom, PartLocations, PartSenders,
};
use zinniaport_core::policy::EntryView;
use zinniaport_core::signals::ServiceTag;
use zinniaport_testing::{check_property, test_cases};

mod support;

use support::waves::{Strategy, WaveTrial};

const NOW: Timestamp = Timestamp(100_000_000);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, (index / 250) as u8, (index % 250) as u8], 80))
}

fn centre(index: usize) -> Arc<str> {
    format!("dc-{index}").into()
}

fn intent(counts: &[usize]) -> ServiceIntent {
    let centres = counts.iter().enumerate();
    let names = centres.flat_map(|(index, count)| vec![centre(index); *count]);
    let target = |(index, name): (usize, Arc<str>)| TargetIntent {
        address: address(index),
        data_centre: name.to_string(),
        slots: 6,
        state: DesiredState::Serving,
        instance: None,
    };
    ServiceIntent {
        service: "invoice".to_owned(),
        team: "team".to_owned(),
        kinds: Vec::new(),
        targets: names.enumerate().map(target).collect(),
        measuring: MeasuringIntent::default(),
        max_queue_length: 256,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}

/// Returns the divided snapshot of a service with this number of targets in each data centre.
fn fleet(counts: &[usize]) -> FleetSnapshot {
    let view = EntryView { is_coordinated: true, ..EntryView::default() };
    let mut fleet = FleetSnapshot { view, ..FleetSnapshot::default() };
    fleet.apply(intent(counts), 1, Timestamp(1));
    fleet.divide_by_data_centre(true);
    fleet
}

fn service(fleet: &FleetSnapshot) -> &ServiceSnapshot {
    fleet.find("invoice").unwrap().1
}

fn chooser<'a>(service: &'a ServiceSnapshot, data_centre: &'a str) -> PartChooser<'a> {
    let (transfer, soft_left) = (Duration::from_millis(14), Duration::from_millis(400));
    PartChooser { service, data_centre, affinity: 7, transfer, soft_left }
}

fn announce(service: &ServiceSnapshot, part: u16, free: u16, waiting: u16, at: Timestamp) {
    let headroom =
        PartHeadroom { free, waiting, usable: 20, service_time_ms: 200, ..PartHeadroom::default() };
    service.part(Some(part)).counters.headroom.record(headroom, at);
}

/// Returns how many of 1,000 requests a function places in each of four parts, and nowhere.
fn spread(mut choose: impl FnMut(&mut SmallRng) -> Option<u16>) -> [u32; 5] {
    let mut random = SmallRng::seed_from_u64(11);
    let mut counts = [0; 5];
    for _ in 0..1_000 {
        counts[choose(&mut random).map_or(4, usize::from)] += 1;
    }
    counts
}

fn locations(parts: &[(ServiceTag, usize)], entries: &[(SocketAddr, usize)]) -> PartLocations {
    let entries: HashMap<_, _> =
        entries.iter().map(|(entry, index)| (*entry, centre(*index))).collect();
    let parts = parts.iter().map(|(tag, index)| (*tag, centre(*index))).collect();
    PartLocations { entries: Arc::new(entries), parts }
}

test_cases! {
    parts_are_those_of_the_data_centres: "targets that no part has, or a part with targets of two data centres" => {
        let fleet = fleet(&[3, 9, 14, 8]);
        let service = service(&fleet);
        assert_eq!(*service.part_data_centres, [centre(0), centre(1), centre(2), centre(3)]);
        let sizes: Vec<_> = service.parts.iter().map(|part| part.targets.len()).collect();
        assert_eq!(sizes, [3, 9, 14, 8]);
        for (part, name) in service.parts.iter().zip(service.part_data_centres.iter()) {
            assert!(part.table.available.iter().all(|target| target.data_centre == *name));
            assert_eq!(part.table.available.len(), part.targets.len());
            for key in &part.targets {
                assert_eq!(service.group_of(&fleet.targets[*key]).targets, part.targets);
            }
        }
    }

    one_data_centre_is_not_divided: "a service with all targets in one data centre, whose other entries would have no part" => {
        assert!(service(&fleet(&[0, 12, 0])).parts.is_empty());
    }

    large_services_keep_parts_by_address: "a part that is too large for one coordinator" => {
        let fleet = fleet(&[200, 200]);
        let service = service(&fleet);
        assert_eq!((service.part_data_centres.len(), service.parts.len()), (0, 4));
    }

    division_can_be_taken_back: "counters of parts of one division that are used for those of another" => {
        let mut fleet = fleet(&[200, 60]);
        assert_eq!(service(&fleet).part_data_centres.len(), 0);
        fleet.divide_by_data_centre(false);
        assert_eq!(service(&fleet).parts.len(), 4);
        let mut fleet = self::fleet(&[100, 100]);
        let divided = service(&fleet).parts.clone();
        fleet.divide_by_data_centre(false);
        let by_address = service(&fleet).parts.clone();
        assert_eq!((divided.len(), by_address.len()), (2, 2));
        assert!(!Arc::ptr_eq(&divided[0].counters, &by_address[0].counters));
        fleet.divide_by_data_centre(true);
        assert_eq!(service(&fleet).part_data_centres.len(), 2);
    }

    division_outlives_a_new_directory: "a division that is lost, or whose data centres do not match its parts, at each change of the directory" => {
        let view = EntryView { is_coordinated: true, ..EntryView::default() };
        let mut controller = TargetsController::default();
        let mut intents = FleetSnapshot::default();
        intents.apply(intent(&[3, 9]), 1, NOW);
        controller.handle(TargetsMessage::View(view), NOW);
        controller.handle(TargetsMessage::Intents(Arc::new(intents.clone())), NOW);
        controller.handle(TargetsMessage::DivideByDataCentre(true), NOW);
        intents.apply(intent(&[3, 9, 4]), 2, NOW);
        let effects = controller.handle(TargetsMessage::Intents(Arc::new(intents)), NOW);
        let zinniaport_core::controllers::TargetsEffect::Publish(fleet) = &effects[0];
        let sizes: Vec<_> = service(fleet).parts.iter().map(|part| part.targets.len()).collect();
        assert_eq!((sizes, service(fleet).part_data_centres.len()), (vec![3, 9, 4], 3));
    }

    coordinator_is_at_home: "a placement by a coordinator of another data centre while the own one has one, and a data centre without coordinator whose requests reach nobody" => {
        let entry = |index: u8| SocketAddr::from(([10, 0, 0, index], 7000));
        let part = ServiceTag::of_data_centre("invoice", "dc-1");
        let candidates = |home_capacity: u16| -> Vec<_> {
            let capacity = |index: u8| if index % 2 == 1 { home_capacity } else { 50 };
            (1..=8).map(|index| CoordinatorCandidate { address: entry(index), capacity: capacity(index) }).collect()
        };
        let entries: Vec<_> = (1..=8).map(|index| (entry(index), usize::from(index % 2))).collect();
        let mut requester = RequesterController::new(entry(1));
        requester.handle(RequesterMessage::Locations(locations(&[(part, 1)], &entries)), NOW);
        requester.handle(RequesterMessage::Candidates(candidates(10)), NOW);
        let home = requester.coordinator(part, NOW);
        assert!(entries.contains(&(home, 1)), "{home} is elsewhere, and larger");
        requester.handle(RequesterMessage::Candidates(candidates(0)), NOW);
        let elsewhere = requester.coordinator(part, NOW);
        assert!(entries.contains(&(elsewhere, 0)), "no entry of the data centre may coordinate");
        requester.handle(RequesterMessage::Candidates(candidates(10)), NOW);
        assert_eq!(requester.coordinator(part, NOW), home);
        // Entries whose location is not known yet rank like all others.
        requester.handle(RequesterMessage::Locations(locations(&[(part, 1)], &[])), NOW);
        assert!(entries.contains(&(requester.coordinator(part, NOW), 0)));
    }

    calm_requests_stay_at_home: "bytes and time spent on other data centres while the own one has room" => {
        let fleet = fleet(&[3, 9, 14, 8]);
        let service = service(&fleet);
        (0..4).for_each(|part| announce(service, part, 10, 0, NOW));
        let chooser = chooser(service, "dc-2");
        assert_eq!(spread(|random| chooser.first(NOW, random)), [0, 0, 1_000, 0, 0]);
        // A wait that does no harm is no reason either.
        announce(service, 2, 0, 3, NOW);
        assert_eq!(spread(|random| chooser.first(NOW, random)), [0, 0, 1_000, 0, 0]);
    }

    overflow_is_spread_by_headroom: "a peak of one data centre that fills a single other one" => {
        let fleet = fleet(&[3, 9, 14, 8]);
        let service = service(&fleet);
        announce(service, 0, 0, 12, NOW);
        [(1, 30), (2, 10), (3, 10)].into_iter().for_each(|(part, free)| announce(service, part, free, 0, NOW));
        let chooser = chooser(service, "dc-0");
        // 12 requests wait for 20 slots of 200 ms, so 120 ms; 40 of these are worth waiting for.
        let [home, first, second, third, nowhere] = spread(|random| chooser.first(NOW, random));
        assert_eq!(nowhere, 0);
        assert!((300..400).contains(&home), "{home} stay");
        assert!(first > second && first > third && second > 80 && third > 80, "{first} {second} {third}");
        let [home, first, second, third, _] = spread(|random| chooser.next(Some(0), NOW, random));
        assert_eq!(home, 0);
        assert!((550..650).contains(&first) && second.abs_diff(third) < 80, "{first} {second} {third}");
    }

    full_parts_get_no_overflow: "requests that leave one queue for another" => {
        let fleet = fleet(&[3, 9, 14, 8]);
        let service = service(&fleet);
        (0..4).for_each(|part| announce(service, part, 0, 9, NOW));
        let chooser = chooser(service, "dc-0");
        assert_eq!(spread(|random| chooser.first(NOW, random)), [1_000, 0, 0, 0, 0]);
        assert_eq!(spread(|random| chooser.next(Some(0), NOW, random)), [0, 0, 0, 0, 1_000]);
        announce(service, 3, 5, 0, NOW);
        assert_eq!(spread(|random| chooser.next(Some(0), NOW, random)), [0, 0, 0, 1_000, 0]);
        // A request of this entry waited there just now, whatever was announced.
        service.part(Some(3)).counters.record_pressure(NOW);
        assert_eq!(spread(|random| chooser.next(Some(0), NOW, random)), [0, 0, 0, 0, 1_000]);
    }

    aged_headroom_counts_less: "requests that follow an announcement that is seconds old, or none at all after announcements are lost" => {
        let fleet = fleet(&[3, 9, 14, 8]);
        let service = service(&fleet);
        announce(service, 1, 20, 0, NOW - MAX_HEADROOM_AGE.mul_f32(0.9));
        announce(service, 2, 20, 0, NOW);
        announce(service, 3, 0, 0, NOW);
        let chooser = chooser(service, "dc-0");
        let [_, old, new, none, _] = spread(|random| chooser.next(Some(0), NOW, random));
        assert_eq!(none, 0);
        assert!(old > 50 && old < 150 && new > 850, "{old} old, {new} new");
        // What is too old to count is as good as unknown.
        let later = NOW + MAX_HEADROOM_AGE;
        announce(service, 3, 2, 0, later);
        let [_, old, new, known, _] = spread(|random| chooser.next(Some(0), later, random));
        assert!(known > 2 * old && old > 100 && new > 100, "{old} {new} {known}");
    }

    entry_without_part_is_spread: "the requests of a data centre without targets, all sent to one other" => {
        let fleet = fleet(&[5, 5, 5, 5]);
        let service = service(&fleet);
        let chooser = chooser(service, "dc-9");
        let counts = spread(|random| chooser.first(NOW, random));
        assert!(counts[..4].iter().all(|count| *count > 200), "{counts:?}");
    }

    data_centre_without_usable_targets_is_left: "requests that are sent to a data centre whose targets all leave, and to no other" => {
        let mut fleet = fleet(&[5, 5, 5, 5]);
        let (key, leaving) = (fleet.find("invoice").unwrap().0, service(&fleet).parts[0].targets.clone());
        leaving.iter().for_each(|target| fleet.targets[*target].state = TargetState::Leaving);
        fleet.update_table(key);
        let service = service(&fleet);
        let counts = spread(|random| chooser(service, "dc-0").first(NOW, random));
        assert!(counts[0] == 0 && counts[1..4].iter().all(|count| *count > 250), "{counts:?}");
        let counts = spread(|random| chooser(service, "dc-1").next(Some(1), NOW, random));
        assert!(counts[0] == 0 && counts[4] == 0, "{counts:?}");
        // Where all others are full, requests wait in any of them.
        (1..4).for_each(|part| announce(service, part, 0, 5, NOW));
        let counts = spread(|random| chooser(service, "dc-0").first(NOW, random));
        assert!(counts[0] == 0 && counts[1..4].iter().all(|count| *count > 250), "{counts:?}");
    }

    limits_hold_while_cut_off: "coordinators on both sides of a cut that together use more than the request limit of a target" => {
        check_property(256, &(1_usize..30, 1_usize..60, any::<u64>()), |(home, elsewhere, seed)| {
            let entry = |index: usize| SocketAddr::from(([10, 9, 0, index as u8], 7000));
            let all: Vec<_> = (0..home + elsewhere).map(entry).collect();
            let entries: HashMap<_, _> = all.iter().enumerate().map(|(index, entry)| (*entry, centre(usize::from(index >= home)))).collect();
            // Each entry sends its requests to one of two coordinators.
            let coordinators = [all[0], all[all.len() - 1]];
            let (mut sides, mut bits) = ([Vec::new(), Vec::new()], seed);
            for entry in all.iter().filter(|entry| !coordinators.contains(entry)) {
                sides[(bits & 1) as usize].push(*entry);
                bits = bits.rotate_right(1);
            }
            let shares = coordinators.iter().zip(&sides).map(|(own, served)| {
                // The live entries that it knows may be only those of its side.
                let live: Vec<_> = served.iter().copied().chain([*own]).collect();
                PartSenders::count(&centre(0), &entries, (*own, &live, all.len()), served).limit_share()
            });
            let sum: f64 = shares.sum();
            prop_assert!(sum <= 1.0 + 1e-9, "{sum}");
            Ok(())
        });
    }

    lone_entries_share_a_limit: "entries that place requests alone, each with more than its share" => {
        let entry = |index: usize| SocketAddr::from(([10, 9, 0, index as u8], 7000));
        let all: Vec<_> = (0..40).map(entry).collect();
        let entries: HashMap<_, _> = all.iter().enumerate().map(|(index, entry)| (*entry, centre(index % 4))).collect();
        let shares = all.iter().map(|own| PartSenders::count(&centre(0), &entries, (*own, &all, 40), &[]).limit_share());
        let sum: f64 = shares.sum();
        assert!((0.99..=1.0 + 1e-9).contains(&sum), "{sum}");
    }

    waves_are_levelled: "a peak that waits in its own data centre while others have free slots, or that fills them one after the other" => {
        let results: Vec<_> = [Strategy::Home, Strategy::Spread, Strategy::Emptiest].map(|strategy| WaveTrial::run(strategy, 0.75)).into();
        let [home, spread, emptiest] = &results[..] else { unreachable!() };
        assert!(spread.late_share < home.late_share / 2.0, "late: {results:#?}");
        assert!(spread.late_share <= emptiest.late_share, "late: {results:#?}");
        assert!(spread.elsewhere_share < 0.1, "{results:#?}");
        // The busiest part never gets more of the overflow than its share of the room.
        assert!(spread.max_receiver_share < 0.75, "{results:#?}");
    }

    calm_waves_stay_at_home: "placements elsewhere while every data centre has room at its peak" => {
        let calm = WaveTrial::run(Strategy::Spread, 0.5);
        assert!(calm.elsewhere_share < 0.01, "{calm:#?}");
    }
}
