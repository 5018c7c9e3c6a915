//! Bounds on the number of targets that one request can crash.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use zinniaport_core::call::CallFingerprint;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::quarantine::{
    CrashRecord, MAX_CRASH_RECORDS, QUARANTINE_TIME, QuarantineTable, RunDecision, RunEnd,
};
use zinniaport_testing::{check_property, test_cases};

const CALL: CallFingerprint = CallFingerprint(7);

fn target(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 80))
}

fn crash_records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let record = (0_u64..3, proptest::collection::btree_set(0_usize..30, 1..20), 0_u64..900);
    let record = record.prop_map(|(fingerprint, targets, seconds)| CrashRecord {
        fingerprint: CallFingerprint(fingerprint),
        targets: targets.into_iter().map(target).collect(),
        last_crash: Timestamp(seconds * 1_000_000),
    });
    proptest::collection::vec(record, 1..8)
}

fn merge_all(crash_records: &[CrashRecord]) -> Vec<CrashRecord> {
    let mut table = QuarantineTable::<()>::default();
    for record in crash_records {
        table.merge(record, Timestamp(900_000_000));
    }
    let mut known: Vec<_> = table.crash_records().cloned().collect();
    known.sort_by_key(|record| record.fingerprint);
    known
}

test_cases! {
    copies_crash_few_targets: "many copies of a crashing request in flight before the first crash is known" => {
        // Each step starts a copy or ends a running one, either by a crash of its target or
        // because its caller disconnected.
        let steps = proptest::collection::vec((0_u8..4, 0_usize..20), 1..200);
        check_property(512, &(1_u8..5, steps), |(max_crashed, steps)| {
            let mut table = QuarantineTable::default();
            let (mut running, mut waiting, mut crashed) = (Vec::new(), Vec::new(), BTreeSet::new());
            for (position, (action, index)) in steps.into_iter().enumerate() {
                let now = Timestamp(position as u64);
                if action < 2 || running.is_empty() {
                    match table.begin(CALL, max_crashed, now) {
                        RunDecision::Run => running.push(target(index)),
                        RunDecision::Wait if table.enqueue(CALL, index).is_none() => waiting.push(index),
                        _ => {}
                    }
                    continue;
                }
                let at = running.swap_remove(index % running.len());
                let end = if action == 2 { RunEnd::Crashed(at) } else { RunEnd::Other };
                if action == 2 {
                    crashed.insert(at);
                }
                prop_assert!(crashed.len() <= usize::from(max_crashed), "{} targets crashed, {max_crashed} allowed", crashed.len());
                for (index, decision) in table.end(CALL, end, (max_crashed, now), |_| true) {
                    waiting.retain(|waits| *waits != index);
                    if decision == RunDecision::Run {
                        running.push(target(index));
                    }
                }
                prop_assert!(waiting.is_empty() || !running.is_empty(), "copies wait although none runs");
                prop_assert!(crashed.is_empty() || running.len() < usize::from(max_crashed).max(2), "several copies run after the first crash");
            }
            Ok(())
        });
    }

    harmless_requests_run_together: "a frequent harmless request whose copies run one at a time" => {
        let mut table = QuarantineTable::<()>::default();
        assert_eq!(table.begin(CALL, 2, Timestamp(1)), RunDecision::Run);
        table.end(CALL, RunEnd::Answered, (2, Timestamp(2)), |()| true);
        for _ in 0..500 {
            assert_eq!(table.begin(CALL, 2, Timestamp(3)), RunDecision::Run);
        }
    }

    merges_commute: "entries that have received the same crash records in a different order and disagree" => {
        check_property(512, &(crash_records(), any::<u64>()), |(crash_records, seed)| {
            let known = merge_all(&crash_records);
            let mut shuffled = crash_records.clone();
            shuffled.sort_by_key(|record| (record.last_crash.0 ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            shuffled.extend(crash_records.iter().rev().cloned());
            prop_assert_eq!(&merge_all(&shuffled), &known);
            let (first, second) = crash_records.split_at(crash_records.len() / 2);
            prop_assert_eq!(merge_all(&[merge_all(second), merge_all(first)].concat()), known);
            Ok(())
        });
    }

    repeated_crashes_outlast_single_ones: "a request that crashes targets again after many lost responses" => {
        let mut table = QuarantineTable::<()>::default();
        for port in [1, 2] {
            table.begin(CALL, 2, Timestamp(1));
            table.end(CALL, RunEnd::Crashed(target(port)), (2, Timestamp(1)), |()| true);
        }
        for call in 0..3 * MAX_CRASH_RECORDS as u64 {
            let lost = CallFingerprint(1_000 + call);
            table.begin(lost, 2, Timestamp(2 + call));
            table.end(lost, RunEnd::Crashed(target(3)), (2, Timestamp(2 + call)), |()| true);
        }
        assert_eq!(table.crash_records().count(), MAX_CRASH_RECORDS);
        assert_eq!(table.begin(CALL, 2, Timestamp(10_000)), RunDecision::Quarantined);
    }

    crashes_expire_and_stay_bounded: "a table that grows without bound, or a request that is refused forever" => {
        let mut table = QuarantineTable::<()>::default();
        for call in 0..3 * MAX_CRASH_RECORDS as u64 {
            table.begin(CallFingerprint(call), 1, Timestamp(call));
            table.end(CallFingerprint(call), RunEnd::Crashed(target(1)), (1, Timestamp(call)), |()| true);
        }
        assert_eq!(table.crash_records().count(), MAX_CRASH_RECORDS);
        let last = CallFingerprint(3 * MAX_CRASH_RECORDS as u64 - 1);
        assert_eq!(table.begin(last, 1, Timestamp(10_000)), RunDecision::Quarantined);
        let later = Timestamp(10_000) + QUARANTINE_TIME + Duration::from_secs(1);
        assert_eq!(table.begin(last, 1, later), RunDecision::Run);
    }
}
