//! Expected work of the kinds of a service.

use std::time::Duration;

use zinniaport_core::admission::KindWork;
use zinniaport_testing::test_cases;

const NOMINAL: Duration = Duration::from_millis(200);

test_cases! {
    kinds_are_learned_apart: "a short kind that is expected to take as long as a long one of its service" => {
        let work = KindWork::default();
        for _ in 0..100 {
            work.record(0, Duration::from_millis(130));
            work.record(1, Duration::from_millis(750));
        }
        assert_eq!(work.expected(0, NOMINAL).mean, Duration::from_millis(130));
        assert_eq!(work.expected(1, NOMINAL).mean, Duration::from_millis(750));
        assert_eq!(work.expected(2, NOMINAL).mean, NOMINAL, "a kind without responses");
    }

    slowdown_is_learned: "an expected work that stays constant when the targets become nearly full and slower" => {
        let work = KindWork::default();
        (0..100).for_each(|_| work.record(0, Duration::from_millis(200)));
        (0..100).for_each(|_| work.record(0, Duration::from_millis(340)));
        let expected = work.expected(0, NOMINAL);
        assert!(expected.mean > Duration::from_millis(325), "{expected:?}");
        assert!(expected.run_time >= expected.mean, "{expected:?}");
    }

    outliers_count_little: "a single request of a minute that makes all requests of its kind seem unservable" => {
        let work = KindWork::default();
        (0..100).for_each(|_| work.record(0, Duration::from_millis(200)));
        work.record(0, Duration::from_secs(60));
        assert!(work.expected(0, NOMINAL).mean < Duration::from_millis(220));
    }

    unknown_kinds_are_accepted: "a kind of another configuration version that has no index" => {
        let work = KindWork::default();
        work.record(usize::MAX, Duration::from_millis(50));
        assert_eq!(work.expected(usize::MAX, NOMINAL).mean, NOMINAL);
    }
}
