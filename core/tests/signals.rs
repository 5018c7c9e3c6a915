//! Liveness and membership from the signals of entries.

use std::net::SocketAddr;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    SignalsController, SignalsEffect, SignalsMessage, StateController,
};
use zinniaport_core::placement::CoordinatorCandidate;
use zinniaport_core::signals::SignalMessage;
use zinniaport_testing::test_cases;

const MS: u64 = 1_000;

fn address(entry: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry], 7000))
}

fn controller() -> SignalsController {
    SignalsController::new(address(0), [address(1)])
}

fn message(incarnation: u64, sequence: u64, capacity: u16) -> SignalMessage {
    SignalMessage { incarnation, sequence, capacity, ..SignalMessage::default() }
}

fn member(entry: u8, capacity: u16) -> CoordinatorCandidate {
    CoordinatorCandidate { address: address(entry), capacity }
}

test_cases! {
    replaced_seeds_are_contacted: "an entry whose stale seeds are contacted for ever instead of those that the settings name now" => {
        let mut controller = controller();
        controller.handle(SignalsMessage::Tick, Timestamp(1_000 * MS));
        controller.handle(SignalsMessage::Received(address(2), message(1, 1, 20)), Timestamp(1_001 * MS));
        let seeds = vec![address(0), address(3), address(4)];
        let effects = controller.handle(SignalsMessage::SeedsChanged(seeds), Timestamp(1_002 * MS));
        // Itself, the live entry and the two new seeds may be running.
        assert_eq!(effects, [SignalsEffect::PeersChanged(vec![member(2, 20)], 4)]);
        let contacted = |effects: Vec<SignalsEffect>| -> Vec<SocketAddr> {
            let sent = effects.into_iter().filter_map(|effect| match effect {
                SignalsEffect::Send(addresses) | SignalsEffect::Announce(addresses) => Some(addresses),
                _ => None,
            });
            sent.flatten().collect()
        };
        let contacted = contacted(controller.handle(SignalsMessage::Tick, Timestamp(1_003 * MS)));
        assert!(contacted.contains(&address(3)) && contacted.contains(&address(4)), "{contacted:?}");
        assert!(!contacted.contains(&address(1)), "the stale seed is still contacted");
    }

    starting_fleets_are_reported_together: "tables of all targets that are rebuilt once for each of hundreds of entries that start" => {
        let mut controller = controller();
        let mut reports = Vec::new();
        for entry in 1..=200_u8 {
            // Five of them are heard in each millisecond.
            let now = Timestamp(u64::from(entry) * MS / 5);
            let received = SignalsMessage::Received(address(entry), message(1, 1, 20));
            reports.extend(controller.handle(received, now));
        }
        for tick in 1..=10 {
            reports.extend(controller.handle(SignalsMessage::Tick, Timestamp(tick * 50 * MS)));
        }
        reports.retain(|effect| matches!(effect, SignalsEffect::PeersChanged(..)));
        assert!(reports.len() <= 8, "{} reports", reports.len());
        let Some(SignalsEffect::PeersChanged(live, _)) = reports.last() else { panic!("no report") };
        assert_eq!(live.len(), 200);
    }

    silent_entries_do_not_count: "placement requests to a coordinator that is gone" => {
        let mut controller = controller();
        let effects = controller.handle(SignalsMessage::Received(address(1), message(1, 1, 20)), Timestamp(MS));
        assert!(effects.contains(&SignalsEffect::PeersChanged(vec![member(1, 20)], 2)), "{effects:?}");
        let effects = controller.handle(SignalsMessage::Tick, Timestamp(900 * MS));
        assert!(effects.contains(&SignalsEffect::PeersChanged(Vec::new(), 2)), "{effects:?}");
        assert_eq!(controller.live_peers(), []);
    }

    restarted_entry_starts_over: "a new process whose state is overwritten by late messages of the previous one" => {
        let mut controller = controller();
        controller.handle(SignalsMessage::Received(address(1), message(1, 50, 20)), Timestamp(MS));
        controller.handle(SignalsMessage::Received(address(1), message(2, 1, 0)), Timestamp(2 * MS));
        assert_eq!(controller.live_peers(), [member(1, 0)]);
        controller.handle(SignalsMessage::Received(address(1), message(1, 51, 20)), Timestamp(3 * MS));
        assert_eq!(controller.live_peers(), [member(1, 0)]);
        // An older message of the same process that arrives late is ignored too.
        controller.handle(SignalsMessage::Received(address(1), message(2, 3, 10)), Timestamp(4 * MS));
        controller.handle(SignalsMessage::Received(address(1), message(2, 2, 0)), Timestamp(5 * MS));
        assert_eq!(controller.live_peers(), [member(1, 10)]);
    }

    entries_find_each_other: "an entry that remains unknown to all but its seeds" => {
        let mut controller = controller();
        let message_with_members = SignalMessage { members: vec![address(2), address(0)], ..message(1, 1, 20) };
        controller.handle(SignalsMessage::Received(address(1), message_with_members), Timestamp(MS));
        let effects = controller.handle(SignalsMessage::Tick, Timestamp(1_100 * MS));
        let sent: Vec<_> = effects.iter().filter_map(|effect| match effect {
            SignalsEffect::Send(addresses) | SignalsEffect::Announce(addresses) => {
                Some(addresses.clone())
            }
            _ => None,
        }).flatten().collect();
        assert!(sent.contains(&address(2)) && !sent.contains(&address(0)), "{sent:?}");
    }
}
