//! Bounds on the targets that one request can crash.

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

fn entries() -> impl Strategy<Value = Vec<CrashRecord>> {
    let entry = (0_u64..3, proptest::collection::btree_set(0_usize..30, 1..20), 0_u64..900);
    let entry = entry.prop_map(|(fingerprint, targets, seconds)| CrashRecord {
        fingerprint: CallFingerprint(fingerprint),
        targets: targets.into_iter().map(target).collect(),
        last_crash: Timestamp(seconds * 1_000_000),
    });
    proptest::collection::vec(entry, 1..8)
}

fn merged(entries: &[CrashRecord]) -> Vec<CrashRecord> {
    let mut table = QuarantineTable::<()>::default();
    for entry in entries {
        table.merge(entry, Timestamp(900_000_000));
    }
    let mut known: Vec<_> = table.crash_records().cloned().collect();
    known.sort_by_key(|entry| entry.fingerprint);
    known
}

test_cases! {
    copies_crash_few_targets: "many copies of a deadly request that are in flight before the first crash is known" => {
        // Each step lets a copy arrive at a target or ends one that runs: by a
        // crash, or without effect because its caller left.
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
                prop_assert!(crashed.len() <= usize::from(max_crashed), "{} targets are lost, {max_crashed} allowed", crashed.len());
                for (index, verdict) in table.end(CALL, end, (max_crashed, now), |_| true) {
                    waiting.retain(|waits| *waits != index);
                    if verdict == RunDecision::Run {
                        running.push(target(index));
                    }
                }
                prop_assert!(waiting.is_empty() || !running.is_empty(), "copies wait although none runs");
                prop_assert!(crashed.is_empty() || running.len() < usize::from(max_crashed).max(2), "suspect copies run together");
            }
            Ok(())
        });
    }

    harmless_requests_run_together: "a popular lookup that runs one copy at a time" => {
        let mut table = QuarantineTable::<()>::default();
        assert_eq!(table.begin(CALL, 2, Timestamp(1)), RunDecision::Run);
        table.end(CALL, RunEnd::Answered, (2, Timestamp(2)), |()| true);
        for _ in 0..500 {
            assert_eq!(table.begin(CALL, 2, Timestamp(3)), RunDecision::Run);
        }
    }

    merges_commute: "entries that disagree about a request after the same news in another order" => {
        check_property(512, &(entries(), any::<u64>()), |(entries, seed)| {
            let known = merged(&entries);
            let mut shuffled = entries.clone();
            shuffled.sort_by_key(|entry| (entry.last_crash.0 ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            shuffled.extend(entries.iter().rev().cloned());
            prop_assert_eq!(&merged(&shuffled), &known);
            let (first, second) = entries.split_at(entries.len() / 2);
            prop_assert_eq!(merged(&[merged(second), merged(first)].concat()), known);
            Ok(())
        });
    }

    crashes_expire_and_stay_bounded: "a table that grows without end, or a request that is refused for ever" => {
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
