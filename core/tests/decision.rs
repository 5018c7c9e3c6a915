//! Guards against torn or lost decision records under concurrent writers, and against wrong
//! explanations.

use std::collections::HashSet;
use std::sync::Arc;

use zinniaport_core::call::{CallFacts, CallOutcome, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::decision::{
    AdmissionTrace, CallEnd, DecisionRecord, DecisionRing, DecisionTrace, Explanation,
    NamedDispatch, NamedRecord, RequestId, compare, explain,
};
use zinniaport_testing::test_cases;

/// Returns a record whose parts all contain `number`, so that a mix of two records is
/// detected.
fn record(number: u64) -> DecisionRecord {
    DecisionRecord {
        request_id: RequestId::new(&format!("request-{number}")),
        facts: CallFacts { arrived: Timestamp(number), ..CallFacts::default() },
        trace: DecisionTrace::default(),
        end: CallEnd {
            outcome: CallOutcome::Ran,
            reason: ReasonCode::Answered,
            status: 200,
            answered: Timestamp(number),
            snapshot_published: Timestamp(number),
        },
    }
}

fn is_consistent(record: &DecisionRecord) -> bool {
    let number = record.facts.arrived;
    record.request_id.as_str() == format!("request-{number}")
        && record.end.answered == number
        && record.end.snapshot_published == number
}

fn admission(rule: ReasonCode, queued: u64, admitted: u64, number: u64) -> AdmissionTrace {
    AdmissionTrace {
        rule,
        queued: Timestamp(queued),
        admitted: Timestamp(admitted),
        admission_number: number,
        queue_length: 4,
        overtaken: 2,
    }
}

fn named(id: &str, rank: u8, admission: Option<AdmissionTrace>) -> NamedRecord {
    let arrived = admission.map_or(1_000, |trace| trace.queued.0);
    NamedRecord {
        entry: "entry-1".to_owned(),
        number: 1,
        request_id: id.to_owned(),
        service: "media-intake".to_owned(),
        kind: if rank == 0 { "photo" } else { "video" }.to_owned(),
        rank,
        caller: format!("caller-of-{id}"),
        config_version: 7,
        arrived: Timestamp(arrived),
        deadline: Timestamp(arrived + 500_000),
        admission,
        dispatches: vec![NamedDispatch {
            target: "127.0.0.1:7101".to_owned(),
            rule: ReasonCode::LowestReport,
            candidates: 6,
            dispatched: Timestamp(arrived + 20_000),
            report_age_us: Some(1_300),
        }],
        outcome: CallOutcome::Ran,
        reason: ReasonCode::Answered,
        status: 201,
        answered: Timestamp(arrived + 30_000),
        snapshot_age_us: 90_000,
    }
}

fn text(explanation: &Explanation) -> String {
    format!("[{}] {}", explanation.rules.join(", "), explanation.sentence)
}

test_cases! {
    ring_keeps_whole_records: "torn, lost or repeated records under concurrent writers" => {
        const WRITERS: u64 = 4;
        const WRITES: u64 = 20_000;
        let ring = Arc::new(DecisionRing::new(512));
        let writers: Vec<_> = (0..WRITERS).map(|writer| {
            let ring = ring.clone();
            std::thread::spawn(move || {
                for number in 0..WRITES {
                    ring.write(record(writer * WRITES + number));
                }
            })
        }).collect();
        let (mut last, mut read, mut lost) = (0, 0, 0);
        let mut numbers = HashSet::new();
        while last < WRITERS * WRITES {
            let batch = ring.read_after(last, 100);
            for (number, record) in &batch.records {
                assert!(is_consistent(record), "{record:?}");
                assert!(numbers.insert(*number), "record {number} was read twice");
            }
            read += batch.records.len() as u64;
            lost += batch.lost;
            last = batch.last;
            std::thread::yield_now();
        }
        for writer in writers {
            writer.join().unwrap();
        }
        assert_eq!(read + lost, WRITERS * WRITES, "each record is read or counted as lost");
        assert_eq!(ring.read_after(WRITERS * WRITES - 512, 512).records.len(), 512);
    }

    ring_finds_the_newest: "a lookup that misses a kept record or returns an older one" => {
        let ring = DecisionRing::new(8);
        for number in 0..20 {
            ring.write(record(number % 5));
        }
        assert_eq!(ring.find(&RequestId::new("request-4")).unwrap().0, 20);
        assert_eq!(ring.find(&RequestId::new("request-0")).unwrap().0, 16);
        assert!(ring.find(&RequestId::new("request-5")).is_none());
        let batch = ring.read_after(2, 3);
        assert_eq!((batch.records[0].0, batch.lost, batch.last), (13, 10, 15));
    }

    long_ids_are_cut: "an id that is cut inside a character" => {
        let id = RequestId::new(&"ö".repeat(40));
        assert_eq!(id.as_str(), "ö".repeat(32));
        assert_eq!(RequestId::new(&format!("x{}", "ö".repeat(40))).as_str().len(), 63);
    }

    explains_waits_and_refusals: "an explanation that leaves out why a request waited or was refused" => {
        use ReasonCode::{AdmittedAtOnce, CallerTurn};
        let waited = named("a", 1, Some(admission(CallerTurn, 1_000, 13_500, 9)));
        let at_once = named("b", 1, Some(admission(AdmittedAtOnce, 1_000, 1_000, 9)));
        let mut refused = named("c", 1, None);
        refused.dispatches.clear();
        (refused.outcome, refused.reason) = (CallOutcome::NotRun, ReasonCode::QueueFull);
        let mut lost = named("d", 1, None);
        (lost.outcome, lost.reason, lost.status) = (CallOutcome::Unknown, ReasonCode::CallerLeft, 0);
        let sentences: Vec<_> =
            [&waited, &at_once, &refused, &lost].map(|record| text(&explain(record))).into();
        insta::assert_snapshot!(sentences.join("\n"));
        insta::assert_yaml_snapshot!(explain(&waited).rows);
    }

    compares_by_each_rule: "a comparison that names the wrong rule" => {
        use ReasonCode::{AdmittedAfterWait, AdmittedAtOnce, CallerTurn, OvertakenEnough, RankFirst};
        let me = named("me", 1, Some(admission(AdmittedAfterWait, 5_000, 30_000, 10)));
        let rank = named("rank", 0, Some(admission(RankFirst, 6_000, 20_000, 9)));
        let turn = named("turn", 1, Some(admission(CallerTurn, 6_000, 20_000, 9)));
        let bound = named("bound", 2, Some(admission(OvertakenEnough, 4_000, 20_000, 9)));
        let mut earlier = named("earlier", 1, Some(admission(AdmittedAfterWait, 4_000, 20_000, 9)));
        earlier.deadline = me.deadline;
        let mut nearer = named("nearer", 1, Some(admission(AdmittedAfterWait, 6_000, 20_000, 9)));
        nearer.deadline = Timestamp(me.deadline.0 - 100_000);
        let left = named("left", 1, Some(admission(AdmittedAtOnce, 3_000, 3_000, 8)));
        let later = named("later", 1, Some(admission(AdmittedAfterWait, 6_000, 40_000, 11)));
        let mut jumped = named("jumped", 2, Some(admission(AdmittedAfterWait, 6_000, 20_000, 9)));
        jumped.deadline = me.deadline;
        let mut elsewhere = earlier.clone();
        elsewhere.entry = "entry-2".to_owned();
        let refused = named("refused", 1, None);
        let others =
            [rank, turn, bound, earlier, nearer, left, later, jumped, elsewhere, refused];
        let sentences: Vec<_> = others.iter().map(|other| text(&compare(&me, other))).collect();
        insta::assert_snapshot!(sentences.join("\n"));
    }
}
