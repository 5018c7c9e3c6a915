//! Decisions of an owner of the limits of tenants: from the datagram with the request for a token
//! to the datagram with the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::StateController;
use zinniaport_core::placement::CoordinatorCandidate;
use zinniaport_core::quota::{
    QuotaController, QuotaEffect, QuotaEvent, QuotaMessage, QuotaRequest, SETTLE_TIME, TokenAsk,
};
use zinniaport_core::tenants::{TenantIntent, TenantLimit, TenantTable, TenantTag};

use super::fixtures::NOW;
use super::meter::cpu_time_us;
use super::report::{CapacityReport, SlopeRow, SlopeSubject};
use super::{METHOD, ROUNDS};
use crate::signals::{SignalDatagram, decode_datagram, encode_datagram};

/// Number of entries that delegate their shares.
const ENTRIES: usize = 127;

/// Numbers of tenants: those of a deployment, and up to the size to design for.
const TENANTS: [usize; 4] = [82, 1_000, 3_000, 10_000];

/// Number of decisions of a round.
const DECISIONS: u32 = 20_000;

/// Time between two requests, so that one owner decides on 1,000 per second.
const REQUEST_PERIOD: Duration = Duration::from_millis(1);

/// An owner of all groups and the entries that ask it.
struct Bench {
    owner: QuotaController,
    peers: Vec<SocketAddr>,
    tags: Vec<TenantTag>,
    now: Timestamp,
    stamp: u64,
    decisions: usize,
}

impl Bench {
    fn new(tenants: usize) -> Self {
        let names: Vec<_> = (0..tenants).map(|index| format!("tenant-{index}")).collect();
        let limit = Some(TenantLimit { requests_per_second: 20.0, burst: 20.0 });
        let intents: Vec<_> = names
            .iter()
            .map(|name| TenantIntent {
                name: name.clone(),
                api_keys: Vec::new(),
                rank: None,
                limit,
            })
            .collect();
        let peers: Vec<_> = (0..ENTRIES)
            .map(|entry| SocketAddr::from(([10, 200, (entry >> 8) as u8, entry as u8], 7400)))
            .collect();
        let candidates =
            peers.iter().map(|address| CoordinatorCandidate { address: *address, capacity: 50 });
        let mut owner = QuotaController::new(peers[0], 1, NOW);
        owner.handle(QuotaEvent::Tenants(Arc::new(TenantTable::default().next(&intents))), NOW);
        owner.handle(QuotaEvent::Peers(candidates.collect(), ENTRIES), NOW);
        let now = NOW + SETTLE_TIME * 2;
        owner.handle(QuotaEvent::Tick, now);
        let tags = names.iter().map(|name| TenantTag::of(name)).collect();
        Self { owner, peers, tags, now, stamp: now.0, decisions: 0 }
    }

    /// Decides on one request for a token.
    fn decide(&mut self) {
        self.decisions += 1;
        self.now = self.now + REQUEST_PERIOD;
        let tenant = self.tags[self.decisions % self.tags.len()];
        let request = QuotaRequest {
            sequence: self.decisions as u32,
            entries: ENTRIES as u16,
            groups: u16::MAX,
            echo: self.stamp,
            asks: vec![TokenAsk { tenant, needed: 1, wanted: 0 }],
        };
        let message = SignalDatagram::Quota(QuotaMessage::Request(request));
        let bytes = encode_datagram(&message).unwrap_or_default();
        let Ok(SignalDatagram::Quota(message)) = decode_datagram(&bytes) else { return };
        let peer = self.peers[self.decisions % self.peers.len()];
        for effect in self.owner.handle(QuotaEvent::Received(peer, message), self.now) {
            let QuotaEffect::Send(_, message) = effect else { continue };
            if let QuotaMessage::Response(response) = &message {
                self.stamp = response.stamp;
            }
            drop(encode_datagram(&SignalDatagram::Quota(message)));
        }
    }
}

/// Measures how many requests for tokens an owner decides on per second of processor time.
pub fn measure_quota() -> CapacityReport {
    let subject = SlopeSubject {
        quantity: "Decisions of an owner of limits",
        unit: "per second and core",
        size: "tenants",
    };
    let row = SlopeRow::measure(subject, &TENANTS, ROUNDS, |tenants| {
        let mut bench = Bench::new(tenants);
        1e6 / cpu_time_us(DECISIONS, || bench.decide())
    });
    CapacityReport { method: METHOD, rows: vec![row] }
}
