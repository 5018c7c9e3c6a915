//! Decisions on the request path, and their records.

use std::hint::black_box;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinniaport_core::admission::window::concurrency_window;
use zinniaport_core::call::{CallFacts, CallOutcome, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::{CallEnd, DecisionRecord, DecisionRing, DecisionTrace, RequestId};
use zinniaport_core::fleet::FleetSnapshot;
use zinniaport_core::policy::{MEAN_SLOWDOWN, TargetQuery, policies};

use super::fixtures::{NOW, fleet, service_name};
use super::meter::{cpu_time_us, resident_growth_bytes};
use super::report::{SlopeRow, SlopeSubject};
use super::{ROUNDS, TARGETS};

/// Number of picks of a round. There are four times as many writes of records, and a tenth as many
/// concurrency windows.
const OPERATIONS: u32 = 5_000;

/// Capacities of the rings, in records.
const RECORDS: [usize; 3] = [1_024, 4_096, 16_384];

fn record(number: u64) -> DecisionRecord {
    let end = CallEnd {
        outcome: CallOutcome::Ran,
        reason: ReasonCode::Answered,
        status: 200,
        answered: Timestamp(number),
        snapshot_published: NOW,
    };
    DecisionRecord {
        request_id: RequestId::new(black_box("0190163d-8694-739b-aea5-966c26f8ad91")),
        facts: CallFacts::default(),
        trace: DecisionTrace::default(),
        end,
    }
}

fn filled_ring(records: usize) -> DecisionRing {
    let ring = DecisionRing::new(records);
    for number in 0..records as u64 {
        ring.write(record(number));
    }
    ring
}

/// Measures the memory of a full ring and keeps the rings in `kept`.
///
/// Must run before any measurement that frees memory, because freed memory would be reused
/// without growth.
pub fn memory_row(kept: &mut Vec<DecisionRing>) -> SlopeRow {
    let subject =
        SlopeSubject { quantity: "Full ring of decision records", unit: "bytes", size: "records" };
    SlopeRow::measure(subject, &RECORDS, 3, |records| {
        resident_growth_bytes(RECORDS[2] / records, kept, || filled_ring(records))
    })
}

/// Returns the CPU time of writing a record to a full ring.
fn write_us(records: usize) -> f64 {
    let ring = filled_ring(records);
    let mut number = 0;
    cpu_time_us(OPERATIONS * 4, || {
        number += 1;
        ring.write(record(number));
    })
}

/// Returns the query that a policy gets for the first service of a fleet.
fn query(fleet: &FleetSnapshot) -> Option<TargetQuery<'_>> {
    Some(TargetQuery {
        fleet,
        service: fleet.find(&service_name(0))?.1,
        data_centre: &fleet.view.data_centre,
        affinity: None,
        assumed_slowdown: MEAN_SLOWDOWN,
        members: &fleet.view.members,
        excluded: &[],
        remote_cost: 0.0,
        now: NOW,
    })
}

/// Measures the CPU time of target picks by every policy, of the concurrency window and of
/// writing records.
pub fn time_rows() -> Vec<SlopeRow> {
    let fleets = TARGETS.map(|targets| fleet(1, targets, 200));
    let fleet_of =
        |targets| &fleets[TARGETS.iter().position(|known| *known == targets).unwrap_or(0)];
    let subject = |quantity, size| SlopeSubject { quantity, unit: "us", size };
    let mut rows = Vec::new();
    for (name, policy) in policies() {
        let mut random = SmallRng::seed_from_u64(1);
        let subject = SlopeSubject { quantity: "Pick of a target", unit: "us", size: "targets" };
        let mut row = SlopeRow::measure(subject, &TARGETS, ROUNDS, |targets| {
            let Some(query) = query(fleet_of(targets)) else { return f64::NAN };
            cpu_time_us(OPERATIONS, || {
                black_box(policy.pick(&query, &mut random));
            })
        });
        row.variant = Some(name);
        rows.push(row);
    }
    rows.push(SlopeRow::measure(
        subject("Concurrency window of one service", "targets"),
        &TARGETS,
        ROUNDS,
        |targets| {
            let Some(query) = query(fleet_of(targets)) else { return f64::NAN };
            cpu_time_us(OPERATIONS / 10, || {
                black_box(concurrency_window(&query.service.table, 6, NOW));
            })
        },
    ));
    let written = subject("Write of a decision record", "records in the ring");
    rows.push(SlopeRow::measure(written, &RECORDS, ROUNDS, write_us));
    rows
}
