//! Guards against further requests to targets that do not respond, and against targets that are
//! avoided although they do.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{SERVICE, fleet, query, view};
use zinniaport_core::admission::window::{HeadroomInput, service_headroom};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::fleet::LoadReport;
use zinniaport_core::policy::{RoutingPolicy, ShortestWait};
use zinniaport_core::silence::{MAX_SILENT_TIME, SilenceMonitor, SilenceRule};
use zinniaport_testing::test_cases;

const MS: u64 = 1_000;
const START: Timestamp = Timestamp(1_000_000_000);
const LIMIT: Option<Duration> = Some(Duration::from_millis(400));

fn after(ms: u64) -> Timestamp {
    Timestamp(START.0 + ms * MS)
}

test_cases! {
    silence_begins_after_the_limit: "a target that counts as responsive until the deadline of a request, or that is avoided while it responds" => {
        let monitor = SilenceMonitor::default();
        monitor.record_placement(LIMIT, true, START);
        assert!(!monitor.is_silent(1, after(399)));
        assert!(monitor.is_silent(1, after(400)));
        monitor.record_answer(after(450));
        assert!(!monitor.is_silent(3, after(849)));
        assert!(monitor.is_silent(3, after(850)));
        // Nothing is expected of a target without requests.
        assert!(!monitor.is_silent(0, after(10_000)));
    }

    later_requests_do_not_hide_silence: "a silent target that gets request after request, each of which starts the time anew" => {
        let monitor = SilenceMonitor::default();
        for placed in 0..6_u64 {
            monitor.record_placement(LIMIT, placed == 0, after(placed * 100));
        }
        assert!(monitor.is_silent(6, after(500)));
    }

    silence_outlasts_its_request: "a silent target that gets the next request as soon as the last one was abandoned" => {
        let monitor = SilenceMonitor::default();
        monitor.record_placement(LIMIT, true, START);
        assert!(!monitor.record_end(1, after(399)), "the caller left early");
        assert!(!monitor.is_silent(0, after(399)));
        assert!(monitor.record_end(1, after(500)));
        assert!(!monitor.record_end(1, after(500)), "reported twice");
        assert!(monitor.is_silent(0, after(899)));
        assert!(!monitor.is_silent(0, after(900)));
        monitor.record_end(1, after(600));
        monitor.record_answer(after(610));
        assert!(!monitor.is_silent(0, after(611)));
    }

    silence_is_bounded: "a target that is avoided for long because its typical time is" => {
        let monitor = SilenceMonitor::default();
        monitor.record_placement(Some(Duration::from_secs(9)), true, START);
        assert!(monitor.record_end(1, after(9_000)));
        assert!(!monitor.is_silent(0, after(9_000) + MAX_SILENT_TIME));
    }

    limits_follow_the_target: "a slowed target that counts as silent while it works, or rules that are in use unasked" => {
        let typical = Some(Duration::from_millis(200));
        let fresh = Duration::from_millis(10);
        let limit = |rule: SilenceRule, slowdown, full| rule.time_limit(typical, slowdown, full).map(|limit| limit.as_millis());
        assert_eq!(limit(SilenceRule::default(), (100, fresh), false), None);
        let rule = SilenceRule::new(1.5);
        assert_eq!(rule.time_limit(None, (100, fresh), false), None);
        assert_eq!(limit(rule, (100, fresh), false), Some(300));
        assert_eq!(limit(rule, (500, fresh), false), Some(1_500));
        assert_eq!(limit(rule, (500, Duration::from_secs(1)), false), Some(300));
        assert_eq!(limit(rule, (0, fresh), true), Some(510));
    }

    silent_targets_are_passed_over: "requests that are placed at a target that has not responded for longer than a request takes" => {
        let mut view = view(0, 1);
        view.is_coordinated = true;
        let fleet = fleet(4, view);
        let service = fleet.find(SERVICE).unwrap().1;
        let report = LoadReport { running: 0, waiting: 0, slowdown_percent: 100 };
        for target in &service.table.available {
            target.counters.record_success(Duration::from_millis(200));
        }
        let silent = &service.table.available[2];
        silent.counters.record_placement(START);
        silent.counters.silence.record_placement(LIMIT, true, START);
        let input = HeadroomInput { table: &service.table, saturation: &service.counters.saturation };
        for (ms, is_silent) in [(100, false), (400, true)] {
            service.table.available.iter().for_each(|target| target.counters.record_report(report, after(ms)));
            assert_eq!(silent.counters.is_unresponsive(after(ms)), is_silent);
            let headroom = service_headroom(&input, 1, after(ms));
            assert_eq!(headroom.slowed > 0, is_silent, "{headroom:?}");
        }
        let mut random = StdRng::seed_from_u64(4);
        for _ in 0..100 {
            let choice = ShortestWait.pick(&query(&fleet, after(400)), &mut random).unwrap();
            assert_ne!(choice.target, silent.key);
        }
        silent.counters.silence.record_answer(after(410));
        assert!(!silent.counters.is_unresponsive(after(420)));
        assert_eq!(silent.counters.placed.load(Ordering::Relaxed), 1);
    }
}
