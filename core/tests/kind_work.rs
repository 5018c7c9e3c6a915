//! Expected work of the kinds of a service.

use std::time::Duration;

use slotmap::SlotMap;
use zinniaport_core::admission::KindWork;
use zinniaport_core::keys::KindKey;
use zinniaport_testing::test_cases;

const NOMINAL: Duration = Duration::from_millis(200);

fn kind_keys<const COUNT: usize>() -> [KindKey; COUNT] {
    let mut kinds: SlotMap<KindKey, ()> = SlotMap::with_key();
    std::array::from_fn(|_| kinds.insert(()))
}

test_cases! {
    kinds_are_learned_apart: "a short kind that is expected to take as long as a long one of its service" => {
        let (work, [short, long, unused]) = (KindWork::default(), kind_keys());
        for _ in 0..100 {
            work.record(short, Duration::from_millis(130));
            work.record(long, Duration::from_millis(750));
        }
        assert_eq!(work.expected(short, NOMINAL).mean, Duration::from_millis(130));
        assert_eq!(work.expected(long, NOMINAL).mean, Duration::from_millis(750));
        assert_eq!(work.expected(unused, NOMINAL).mean, NOMINAL, "a kind without responses");
    }

    slowdown_is_learned: "an expected work that stays constant when the targets become nearly full and slower" => {
        let (work, [kind]) = (KindWork::default(), kind_keys());
        (0..100).for_each(|_| work.record(kind, Duration::from_millis(200)));
        (0..100).for_each(|_| work.record(kind, Duration::from_millis(340)));
        let expected = work.expected(kind, NOMINAL);
        assert!(expected.mean > Duration::from_millis(325), "{expected:?}");
        assert!(expected.run_time >= expected.mean, "{expected:?}");
    }

    outliers_count_little: "a single request of a minute that makes all requests of its kind seem unservable" => {
        let (work, [kind]) = (KindWork::default(), kind_keys());
        (0..100).for_each(|_| work.record(kind, Duration::from_millis(200)));
        work.record(kind, Duration::from_secs(60));
        assert!(work.expected(kind, NOMINAL).mean < Duration::from_millis(220));
    }

    unknown_kinds_are_accepted: "a kind of another configuration version that has no key" => {
        let work = KindWork::default();
        work.record(KindKey::default(), Duration::from_millis(50));
        assert_eq!(work.expected(KindKey::default(), NOMINAL).mean, NOMINAL);
    }
}
