//! Measures the cost of writing a decision record.
//!
//! `cargo run --release -p zinniaport-core --example record_cost`

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use zinniaport_core::call::{CallFacts, CallOutcome, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::{
    CallEnd, DecisionRecord, DecisionRing, DecisionTrace, DispatchTrace, RequestId,
};

/// Number of records that each thread writes.
const WRITES: u32 = 1_000_000;

fn main() {
    println!("record size: {} bytes", size_of::<DecisionRecord>());
    for threads in [1, 2, 4] {
        let ring = Arc::new(DecisionRing::new(16_384));
        let writers: Vec<_> = (0..threads)
            .map(|_| {
                let ring = ring.clone();
                std::thread::spawn(move || {
                    let started = Instant::now();
                    for number in 0..WRITES {
                        ring.write(black_box(record(u64::from(number))));
                    }
                    started.elapsed() / WRITES
                })
            })
            .collect();
        let costs: Vec<_> = writers.into_iter().filter_map(|writer| writer.join().ok()).collect();
        println!("{threads} threads, time per record on each: {costs:?}");
    }
}

fn record(number: u64) -> DecisionRecord {
    let mut trace = DecisionTrace::default();
    trace.add_dispatch(DispatchTrace {
        target: Default::default(),
        rule: ReasonCode::FewestInFlight,
        candidates: 15,
        dispatched: Timestamp(number),
        report_age_us: None,
    });
    DecisionRecord {
        request_id: RequestId::new(black_box("0190163d-8694-739b-aea5-966c26f8ad91")),
        facts: CallFacts::default(),
        trace,
        end: CallEnd {
            outcome: CallOutcome::Ran,
            reason: ReasonCode::Answered,
            status: 200,
            answered: Timestamp(number),
            snapshot_published: Timestamp(0),
        },
    }
}
