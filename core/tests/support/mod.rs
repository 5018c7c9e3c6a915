//! Fleets for tests.
#![allow(dead_code)]

pub mod waves;

use std::net::SocketAddr;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::intent::{DesiredState, MeasuringIntent, ServiceIntent, TargetIntent};
use zinniaport_core::policy::{EntryView, MEAN_SLOWDOWN, TargetQuery};

/// Name of the service of every test fleet.
pub const SERVICE: &str = "pump-history";

/// Returns targets with 3 slots each, spread over 3 data centres.
pub fn targets(count: usize) -> Vec<TargetIntent> {
    (0..count)
        .map(|index| TargetIntent {
            address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
            data_centre: format!("valle-{}", ["a", "b", "c"][index % 3]),
            slots: 3,
            state: DesiredState::Serving,
            instance: None,
        })
        .collect()
}

/// Returns the intent of a service with these targets.
pub fn intent(targets: Vec<TargetIntent>) -> ServiceIntent {
    ServiceIntent {
        service: SERVICE.to_owned(),
        team: "co-operative".to_owned(),
        kinds: Vec::new(),
        targets,
        measuring: MeasuringIntent::default(),
        max_queue_length: 256,
        retry_percent: 10.0,
        max_ejected_percent: 34.0,
        max_crashed_targets: 2,
    }
}

/// Returns the view of the entry at `position` among `count` entries.
pub fn view(position: usize, count: usize) -> EntryView {
    EntryView {
        name: format!("entry-{position}").into(),
        data_centre: "valle-a".into(),
        members: (0..count).map(|member| format!("entry-{member}").into()).collect(),
        is_coordinated: false,
    }
}

/// Returns a fleet with one service that has `count` targets.
pub fn fleet(count: usize, view: EntryView) -> FleetSnapshot {
    let mut fleet = FleetSnapshot { view, ..FleetSnapshot::default() };
    fleet.apply(intent(targets(count)), 1, Timestamp(1));
    fleet
}

/// Returns a query for a target of the fleet's service.
pub fn query(fleet: &FleetSnapshot, now: Timestamp) -> TargetQuery<'_> {
    TargetQuery {
        fleet,
        service: fleet.find(SERVICE).unwrap().1,
        data_centre: &fleet.view.data_centre,
        affinity: None,
        assumed_slowdown: MEAN_SLOWDOWN,
        members: &fleet.view.members,
        excluded: &[],
        remote_cost: 0.0,
        now,
    }
}
