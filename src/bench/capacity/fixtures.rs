//! Fixtures of a given size: intents, fleets and members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    MemberGossip, MemberInfo, MembershipController, MembershipMessage, StateController,
    VersionedIntent,
};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{
    DesiredState, KindIntent, MeasuringIntent, ServiceIntent, TargetIntent,
};
use zinniaport_core::policy::EntryView;

/// Timestamp of all measurements.
pub const NOW: Timestamp = Timestamp(1_790_000_000_000_000);

/// Number of data centres at the design size.
const DATA_CENTRES: usize = 24;

/// Returns a service name of ordinary length.
pub fn service_name(number: usize) -> String {
    format!("pump-history-{number:03}")
}

/// Creates the intent of a service with three kinds. `first_target` is the number of its first
/// target in the fleet, from which its targets get distinct addresses.
pub fn intent(number: usize, targets: usize, first_target: usize) -> ServiceIntent {
    let kind = |name: &str, rank: u8| KindIntent {
        name: name.to_owned(),
        methods: vec!["GET".to_owned()],
        path_prefix: format!("/{name}"),
        rank,
        idempotent: true,
        max_runs: 2,
        deadline_ms: 1_000,
        require_key: false,
        objective_percent: 99.0,
        target_latency_ms: None,
        max_dispatches: None,
    };
    let target = |position: usize| {
        let index = first_target + position;
        let [high, middle, low] =
            [index / 62_500, index / 250 % 250, index % 250].map(|octet| octet as u8);
        TargetIntent {
            address: SocketAddr::from(([10, high, middle, low], 8080)),
            data_centre: format!("region-{}-{}", index % 6, index % DATA_CENTRES / 6),
            slots: 3,
            state: DesiredState::Serving,
            instance: None,
        }
    };
    ServiceIntent {
        service: service_name(number),
        team: "co-operative".to_owned(),
        kinds: vec![kind("lookup", 0), kind("upload", 1), kind("report", 2)],
        targets: (0..targets).map(target).collect(),
        measuring: MeasuringIntent::default(),
        max_queue_length: 256,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}

/// Creates an intent with a version as large as a store reaches within a year.
pub fn versioned(number: usize, targets: usize) -> VersionedIntent {
    let intent = Arc::new(intent(number, targets, number * targets));
    VersionedIntent { intent, version: 1_000_000 + number as u64 }
}

/// Creates the view of the first of `entries` entries.
pub fn view(entries: usize) -> EntryView {
    EntryView {
        name: "entry-0000".into(),
        data_centre: "region-0-0".into(),
        members: (0..entries).map(|entry| format!("entry-{entry:04}").into()).collect(),
        is_coordinated: false,
    }
}

/// Creates a snapshot of `targets` targets divided evenly among `services` services. All targets
/// have reported their load.
pub fn fleet(services: usize, targets: usize, entries: usize) -> FleetSnapshot {
    let mut fleet = FleetSnapshot { view: view(entries), ..FleetSnapshot::default() };
    for number in 0..services {
        let first_target = targets * number / services;
        let target_count = targets * (number + 1) / services - first_target;
        fleet.apply(intent(number, target_count, first_target), 1_000_000 + number as u64, NOW);
    }
    for (position, target) in fleet.targets.values().enumerate() {
        target.counters.record_report((2 + position as u32 % 4).into(), NOW);
        target.counters.record_success(Duration::from_millis(5));
    }
    fleet
}

fn member_info(member: usize) -> MemberInfo {
    let [high, low] = [member / 250, member % 250].map(|octet| octet as u8);
    MemberInfo {
        name: format!("entry-{member:04}"),
        incarnation: NOW.0 - member as u64,
        address: SocketAddr::from(([10, 200, high, low], 7400)),
        call_address: SocketAddr::from(([10, 200, high, low], 7401)),
        data_centre: format!("region-{}-{}", member % 6, member % DATA_CENTRES / 6),
        region: format!("region-{}", member % 6),
        beat: NOW,
    }
}

/// Creates the membership controller of the first of `members` entries, all of them alive.
pub fn membership(members: usize) -> MembershipController {
    let mut controller = MembershipController::new(member_info(0));
    let all = (1..members).map(member_info).collect();
    let message = MemberGossip { members: all, ..MemberGossip::default() };
    controller.handle(MembershipMessage::Received { message, is_reply: false }, NOW);
    controller
}

/// Creates an ordinary gossip message and one with the full list of members.
pub fn member_messages(members: usize) -> (MemberGossip, MemberGossip) {
    let mut controller = membership(members);
    let ordinary = controller.message(None, NOW);
    let other_digest = MemberGossip { digest: !ordinary.digest, ..MemberGossip::default() };
    let full = controller.message(Some(&other_digest), NOW);
    (ordinary, full)
}
