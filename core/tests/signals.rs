//! Requests in flight and waiting at other entries, as they tell them.

use std::net::SocketAddr;

use proptest::prelude::*;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    SignalsController, SignalsEffect, SignalsMessage, StateController,
};
use zinniaport_core::signals::{LoadSignal, SignalMessage, TargetTag};
use zinniaport_testing::{check_property, test_cases};

const MS: u64 = 1_000;

fn address(entry: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry], 7000))
}

fn controller() -> SignalsController {
    SignalsController::new(address(0), [address(1)])
}

fn load(target: u32, in_flight: u16) -> LoadSignal {
    let target = TargetTag(target);
    LoadSignal { target, in_flight, pace_percent: 0, pace_age_ms: 0, latency_us: 0 }
}

fn message(sequence: u64, whole: bool, loads: Vec<LoadSignal>) -> SignalMessage {
    SignalMessage { incarnation: 1, sequence, whole, loads, ..SignalMessage::default() }
}

test_cases! {
    counts_follow_the_last_word: "a load that drifts because datagrams are lost, repeated or reordered" => {
        // Changes told by two entries, each lost or delivered once or twice, then a whole message.
        let told = proptest::collection::vec((1_u8..3, 0_u32..4, 0_u16..5, 0_usize..3), 1..60);
        check_property(256, &told, |told| {
            let mut controller = controller();
            let mut held = std::collections::HashMap::new();
            for (sequence, (entry, target, in_flight, copies)) in (1..).zip(&told) {
                held.insert((*entry, *target), *in_flight);
                for _ in 0..*copies {
                    let message = message(sequence, false, vec![load(*target, *in_flight)]);
                    controller.handle(SignalsMessage::Received(address(*entry), message), Timestamp(sequence * MS));
                }
            }
            for entry in 1..3 {
                let loads = held.iter().filter(|((sender, _), _)| *sender == entry);
                let loads = loads.map(|((_, target), count)| load(*target, *count)).collect();
                controller.handle(SignalsMessage::Received(address(entry), message(1_000, true, loads)), Timestamp(90 * MS));
            }
            for target in 0..4 {
                let expected: u32 = held.iter().filter(|((_, of), _)| *of == target).map(|(_, count)| u32::from(*count)).sum();
                prop_assert_eq!(controller.in_flight(TargetTag(target)), expected);
            }
            Ok(())
        });
    }

    silent_entries_do_not_count: "slots that look taken by an entry that is gone" => {
        let mut controller = controller();
        let told = message(1, true, vec![load(7, 3)]);
        let effects = controller.handle(SignalsMessage::Received(address(1), told), Timestamp(MS));
        assert!(effects.contains(&SignalsEffect::Heard(vec![address(1)], 2)), "{effects:?}");
        assert_eq!(controller.in_flight(TargetTag(7)), 3);
        let effects = controller.handle(SignalsMessage::Tick, Timestamp(900 * MS));
        assert_eq!(controller.in_flight(TargetTag(7)), 0);
        assert!(effects.contains(&SignalsEffect::Heard(Vec::new(), 2)), "{effects:?}");
    }

    restarted_entry_starts_over: "requests of a process that is gone counted beside those of its successor" => {
        let mut controller = controller();
        controller.handle(SignalsMessage::Received(address(1), message(50, true, vec![load(7, 3)])), Timestamp(MS));
        let restarted = SignalMessage { incarnation: 2, ..message(1, true, vec![load(8, 1)]) };
        controller.handle(SignalsMessage::Received(address(1), restarted), Timestamp(2 * MS));
        assert_eq!((controller.in_flight(TargetTag(7)), controller.in_flight(TargetTag(8))), (0, 1));
        let late = message(51, true, vec![load(7, 9)]);
        controller.handle(SignalsMessage::Received(address(1), late), Timestamp(3 * MS));
        assert_eq!(controller.in_flight(TargetTag(7)), 0);
    }

    entries_find_each_other: "an entry that stays unknown to all but its seeds" => {
        let mut controller = controller();
        let told = SignalMessage { members: vec![address(2), address(0)], ..message(1, true, Vec::new()) };
        controller.handle(SignalsMessage::Received(address(1), told), Timestamp(MS));
        let effects = controller.handle(SignalsMessage::Tick, Timestamp(1_100 * MS));
        let sent: Vec<_> = effects.iter().filter_map(|effect| match effect {
            SignalsEffect::SendWhole(addresses) => Some(addresses.clone()),
            _ => None,
        }).flatten().collect();
        assert!(sent.contains(&address(2)) && !sent.contains(&address(0)), "{sent:?}");
    }
}
