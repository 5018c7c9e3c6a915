//! Decisions of a coordinator: from the datagram with the placement request to the end of the
//! granted placement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use zinniaport_core::call::{CallFacts, ReasonCode};
use zinniaport_core::clock::ManualClock;
use zinniaport_core::controllers::{
    GrantsController, GrantsEffect, GrantsMessage, StateController,
};
use zinniaport_core::fleet::{FleetSnapshot, LoadReport};
use zinniaport_core::placement::{
    AttemptEnd, AttemptKind, EndedPlacement, KindTag, PartKey, PlacementId, PlacementMessage,
    PlacementRequest, PlacementResponse, TargetGrant, choose_part,
};
use zinniaport_core::policy::{EntryView, ShortestWait};
use zinniaport_core::signals::{ServiceTag, TargetTag};
use zinniaport_core::tenants::TenantTag;

use super::fixtures::{NOW, intent, view};
use super::meter::cpu_time_us;
use super::report::{CapacityReport, SlopeRow, SlopeSubject};
use super::{METHOD, ROUNDS};
use crate::exchange::CallResponse;
use crate::gate::AdmissionGates;
use crate::placement::{Coordinator, PlacementCall, TargetProber};
use crate::pool::{TargetCall, TargetTransport, TransportError};
use crate::signals::{SignalDatagram, decode_datagram, encode_datagram};
use crate::state::SharedState;

/// Numbers of entries of the deployments that zinniaport runs in, by name of the row.
const ENTRIES: [(usize, &str); 3] =
    [(15, "15 entries"), (139, "139 entries"), (472, "472 entries")];

/// Numbers of targets of one service there.
const TARGETS: [usize; 4] = [15, 51, 135, 401];

/// Number of decisions of a round.
const DECISIONS: u32 = 2_000;

/// Transport of targets that are not reached, because their reports are fresh.
struct NoTransport;

impl TargetTransport for NoTransport {
    fn send(&self, _call: TargetCall) -> BoxFuture<'_, Result<CallResponse, TransportError>> {
        Box::pin(std::future::pending())
    }
}

/// A coordinator of one service whose targets have fresh reports.
struct Bench {
    state: Arc<SharedState>,
    coordinator: Coordinator,
    grants: GrantsController,
    peers: Vec<SocketAddr>,
    next_id: u64,
}

impl Bench {
    fn new(entries: usize, targets: usize) -> Self {
        let clock = Arc::new(ManualClock::default());
        clock.advance(Duration::from_micros(NOW.0));
        let state = Arc::new(SharedState::new(clock.clone(), "entry-0000", "region-0-0"));
        let mut fleet = FleetSnapshot {
            view: EntryView { is_coordinated: true, ..view(entries) },
            ..FleetSnapshot::default()
        };
        fleet.apply(intent(0, targets, 0), 1, NOW);
        for target in fleet.targets.values() {
            target.counters.record_report(LoadReport::default(), NOW);
            target.counters.record_success(Duration::from_millis(5));
        }
        state.fleet.store(Arc::new(fleet));
        let gates = Arc::new(AdmissionGates::new(clock));
        let prober = TargetProber::new(state.clone(), Arc::new(NoTransport), 60.0, 50);
        let coordinator =
            Coordinator::new(state.clone(), gates, Arc::new(ShortestWait), prober, 58.0);
        let peers = (0..entries)
            .map(|entry| SocketAddr::from(([10, 200, (entry >> 8) as u8, entry as u8], 7400)));
        let grants = GrantsController::default();
        Self { state, coordinator, grants, peers: peers.collect(), next_id: 0 }
    }

    /// Sends a message of a peer through the encoding, as a datagram.
    fn deliver(&mut self, peer: SocketAddr, message: PlacementMessage) -> Vec<GrantsEffect> {
        let bytes = encode_datagram(&SignalDatagram::Placement(message)).unwrap_or_default();
        let Ok(SignalDatagram::Placement(message)) = decode_datagram(&bytes) else {
            return Vec::new();
        };
        self.grants.handle(GrantsMessage::Received(peer, message), NOW)
    }

    /// Decides on one placement request and ends its placement.
    fn decide(&mut self) {
        self.next_id += 1;
        let id = PlacementId(self.next_id);
        let peer = self.peers[self.next_id as usize % self.peers.len()];
        let request = PlacementRequest {
            service: ServiceTag(7),
            data_centre: "region-0-0".to_owned(),
            attempt: AttemptKind::First,
            rank: 1,
            soft_deadline_ms: 600,
            deadline_ms: 4_000,
            remote_cost_percent: 5,
            excluded: Vec::new(),
            tenant: TenantTag::default(),
            kind: KindTag::default(),
        };
        let message = PlacementMessage { requests: vec![(id, request)], ..Default::default() };
        for effect in self.deliver(peer, message) {
            let GrantsEffect::Place(key, _) = effect else { continue };
            let call = self.call();
            let placed = self.coordinator.place(&call).now_or_never();
            let grant = TargetGrant {
                target: TargetTag(1),
                admission_reason: ReasonCode::AdmittedAtOnce,
                target_reason: ReasonCode::ShortestWait,
                admission_number: self.next_id,
                queue_length: 0,
                overtaken: 0,
                candidates: 1,
            };
            let decided = GrantsMessage::Decided(key, PlacementResponse::Granted(grant));
            for effect in self.grants.handle(decided, NOW) {
                if let GrantsEffect::Send(_, message) = effect {
                    drop(encode_datagram(&SignalDatagram::Placement(message)));
                }
            }
            drop(placed);
        }
        let ended = EndedPlacement {
            id,
            end: AttemptEnd::Answered(5_000),
            slowdown_percent: 100,
            slowdown_age_ms: 0,
            leaving: false,
            limit: None,
        };
        self.deliver(peer, PlacementMessage { ended: vec![ended], ..Default::default() });
    }

    fn call(&self) -> PlacementCall {
        let fleet = self.state.fleet.load();
        let service = fleet.services.keys().next().unwrap_or_default();
        let part = fleet
            .services
            .get(service)
            .and_then(|service| choose_part(service, self.next_id, NOW, &mut rand::rng()));
        PlacementCall {
            part: PartKey { service, part },
            facts: CallFacts {
                service,
                deadline: NOW + Duration::from_secs(4),
                soft_deadline: Some(NOW + Duration::from_secs(1)),
                ..CallFacts::default()
            },
            attempt: AttemptKind::First,
            excluded: Vec::new(),
            data_centre: "region-0-0".to_owned(),
            affinity: self.next_id % self.peers.len() as u64,
            remote_cost: 0.05,
        }
    }
}

/// Measures how many decisions a coordinator makes per second of processor time.
pub fn measure_placement() -> CapacityReport {
    let rows = ENTRIES.map(|(entries, name)| {
        let subject = SlopeSubject {
            quantity: "Decisions of a coordinator",
            unit: "per second and core",
            size: "targets",
        };
        let mut row = SlopeRow::measure(subject, &TARGETS, ROUNDS, |targets| {
            let mut bench = Bench::new(entries, targets);
            1e6 / cpu_time_us(DECISIONS, || bench.decide())
        });
        row.variant = Some(name);
        row
    });
    CapacityReport { method: METHOD, rows: rows.into() }
}
