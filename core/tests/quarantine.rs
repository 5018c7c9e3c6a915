//! Bounds on the number of targets that one request can crash.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use zinniaport_core::call::CallFingerprint;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::quarantine::{
    CrashRecord, MAX_CRASH_RECORDS, QUARANTINE_TIME, QuarantineTable, RunDecision, RunEnd,
    TargetCrash, TargetProcess,
};
use zinniaport_testing::{check_property, test_cases};

const CALL: CallFingerprint = CallFingerprint(7);

fn target(index: usize) -> TargetProcess {
    SocketAddr::from(([10, 0, 0, index as u8], 80)).into()
}

fn crash_records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let crash = (0_u64..900, 0_usize..30);
    let crash = crash.prop_map(|(seconds, index)| TargetCrash {
        at: Timestamp(seconds * 1_000_000),
        process: TargetProcess { instance: index as u64 % 3, ..target(index) },
    });
    let crashes = proptest::collection::vec(crash, 1..20);
    let record = (0_u64..3, crashes, 0_u64..900, 0_u64..900);
    let record = record.prop_map(|(fingerprint, crashes, success, trial)| CrashRecord {
        last_success: Timestamp(success.saturating_sub(300) * 1_000_000),
        last_trial: Timestamp(trial * 1_000_000),
        ..CrashRecord::new(CallFingerprint(fingerprint), crashes)
    });
    proptest::collection::vec(record, 1..8)
}

/// Tables of entries that tell each other all crash records.
fn exchange(tables: &mut [QuarantineTable<()>], now: Timestamp) {
    let records: Vec<CrashRecord> =
        tables.iter().flat_map(|table| table.crash_records().cloned()).collect();
    for table in tables {
        for record in &records {
            table.merge(record, now);
        }
    }
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

    shared_paths_outlive_crashed_targets: "a path that callers share and that all entries refuse for minutes, because two targets crashed while they ran requests for it" => {
        let mut tables = [(); 3].map(|()| QuarantineTable::<()>::default());
        for table in &mut tables {
            assert_eq!(table.begin(CALL, 2, Timestamp(1_000)), RunDecision::Run);
            table.end(CALL, RunEnd::Answered, (2, Timestamp(90_000)), |()| true);
        }
        for (index, table) in tables.iter_mut().take(2).enumerate() {
            assert_eq!(table.begin(CALL, 2, Timestamp(100_000)), RunDecision::Run);
            table.end(CALL, RunEnd::Crashed(target(index)), (2, Timestamp(150_000)), |()| true);
        }
        exchange(&mut tables, Timestamp(152_000));
        let mut restarted = QuarantineTable::<()>::default();
        for record in tables[0].crash_records() {
            restarted.merge(record, Timestamp(155_000));
        }
        for table in tables.iter_mut().chain([&mut restarted]) {
            assert_eq!(table.begin(CALL, 2, Timestamp(160_000)), RunDecision::Run);
        }
    }

    responses_end_a_quarantine_everywhere: "a request that stays quarantined at the other entries, or again after their old records arrive" => {
        let mut tables = [(); 3].map(|()| QuarantineTable::<()>::default());
        assert_eq!(tables[2].begin(CALL, 2, Timestamp(1)), RunDecision::Run);
        for (index, table) in tables.iter_mut().take(2).enumerate() {
            assert_eq!(table.begin(CALL, 2, Timestamp(1)), RunDecision::Run);
            table.end(CALL, RunEnd::Crashed(target(index)), (2, Timestamp(5)), |()| true);
        }
        exchange(&mut tables, Timestamp(6));
        let old: Vec<_> = tables[0].crash_records().cloned().collect();
        for table in &mut tables {
            assert_eq!(table.begin(CALL, 2, Timestamp(7)), RunDecision::Quarantined);
        }
        tables[2].end(CALL, RunEnd::Answered, (2, Timestamp(8)), |()| true);
        exchange(&mut tables, Timestamp(9));
        for table in &mut tables {
            for record in &old {
                table.merge(record, Timestamp(10));
            }
            assert_eq!(table.begin(CALL, 2, Timestamp(11)), RunDecision::Run);
        }
    }

    harmless_requests_are_tried_again_soon: "a path that callers share and that is refused for seconds, because a network fault ended all connections at once" => {
        let mut table = QuarantineTable::<()>::default();
        table.begin(CALL, 2, Timestamp(1));
        table.end(CALL, RunEnd::Answered, (2, Timestamp(2)), |()| true);
        for index in 0..12 {
            assert_eq!(table.begin(CALL, 2, Timestamp(3)), RunDecision::Run, "copy {index}");
        }
        for index in 0..12 {
            table.end(CALL, RunEnd::Crashed(target(index)), (2, Timestamp(4)), |()| true);
        }
        let mut now = Timestamp(5);
        while table.begin(CALL, 2, now) != RunDecision::Run && !table.begin_trial(CALL, 2, now) {
            now = now + Duration::from_millis(50);
            assert!(now < Timestamp(30_000_000), "not tried again within 30 s");
        }
        table.end(CALL, RunEnd::Answered, (2, now), |()| true);
        assert_eq!(table.begin(CALL, 2, now), RunDecision::Run);
    }

    mistaken_quarantines_end: "a request that no target has run before and that is refused for longer than a recovery may take, because its first two targets crashed" => {
        let mut tables = [(); 2].map(|()| QuarantineTable::<()>::default());
        for index in 0..2 {
            tables[0].begin(CALL, 2, Timestamp(1));
            tables[0].end(CALL, RunEnd::Crashed(target(index)), (2, Timestamp(2)), |()| true);
        }
        exchange(&mut tables, Timestamp(3));
        let due = Timestamp(15_000_000);
        assert!(!tables[0].begin_trial(CALL, 2, Timestamp(1_000_000)));
        assert!(tables[0].begin_trial(CALL, 2, due));
        exchange(&mut tables, due);
        assert!(!tables[1].begin_trial(CALL, 2, due), "two entries try at the same time");
        tables[0].end(CALL, RunEnd::Answered, (2, due), |()| true);
        exchange(&mut tables, due);
        for table in &mut tables {
            assert_eq!(table.begin(CALL, 2, due), RunDecision::Run);
        }
    }

    trials_become_rare: "a request that crashes a target in each of many trials" => {
        let mut table = QuarantineTable::<()>::default();
        let mut crashes = Vec::new();
        for second in 0..300 {
            let now = Timestamp(second * 1_000_000);
            while table.begin(CALL, 2, now) == RunDecision::Run || table.begin_trial(CALL, 2, now) {
                crashes.push(now);
                table.end(CALL, RunEnd::Crashed(target(crashes.len())), (2, now), |()| true);
            }
        }
        let later = crashes.iter().filter(|at| at.since(crashes[2]) > Duration::from_secs(3)).count();
        assert!(later <= 3, "{later} crashes later than 3 s after the third: {crashes:?}");
    }

    crashes_at_one_address_count_each: "a request that crashes the only target of a service again and again, since the process that replaces it has the same address" => {
        for instances in [[1, 2, 3], [0, 0, 0]] {
            let mut table = QuarantineTable::<()>::default();
            let mut runs = 0;
            for (second, instance) in (0..).step_by(3).zip(instances) {
                let now = Timestamp(second * 1_000_000);
                if table.begin(CALL, 2, now) == RunDecision::Run {
                    runs += 1;
                    let crashed = TargetProcess { instance, ..target(1) };
                    table.end(CALL, RunEnd::Crashed(crashed), (2, now), |()| true);
                }
            }
            assert_eq!(runs, 2, "instances {instances:?}");
        }
    }

    one_crash_counts_once: "a request that is quarantined because several entries or copies lost the same process" => {
        for instance in [0, 5] {
            let process = TargetProcess { instance, ..target(1) };
            let mut tables = [(); 3].map(|()| QuarantineTable::<()>::default());
            for (delay, table) in (0..).zip(&mut tables) {
                let now = Timestamp(1_000_000 + delay * 3_000);
                for _ in 0..2 {
                    assert_eq!(table.begin(CALL, 2, now), RunDecision::Run);
                }
                for _ in 0..2 {
                    table.end(CALL, RunEnd::Crashed(process), (2, now), |()| true);
                }
            }
            exchange(&mut tables, Timestamp(1_100_000));
            for table in &mut tables {
                assert_eq!(table.crash_count(CALL), 1, "instance {instance}");
                assert_eq!(table.begin(CALL, 2, Timestamp(1_200_000)), RunDecision::Run);
            }
        }
    }

    many_losses_of_one_process_hide_no_other: "a crash that is forgotten, since many entries lost the process that crashed after it" => {
        let mut table = QuarantineTable::<()>::default();
        for (index, instance) in (0..41).map(|loss| if loss == 0 { (0, 4) } else { (1, 5) }).enumerate() {
            let (host, instance) = instance;
            let process = TargetProcess { instance, ..target(host) };
            let crash = TargetCrash { at: Timestamp(1 + index as u64), process };
            table.merge(&CrashRecord::new(CALL, [crash]), Timestamp(100));
        }
        assert_eq!(table.crash_count(CALL), 2);
    }

    merges_commute: "entries that have received the same crash records in a different order and disagree" => {
        check_property(512, &(crash_records(), any::<u64>()), |(crash_records, seed)| {
            let known = merge_all(&crash_records);
            let mut shuffled = crash_records.clone();
            shuffled.sort_by_key(|record| (record.last_event().0 ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15));
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
