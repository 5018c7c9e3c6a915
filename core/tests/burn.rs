//! Burn rates of service-level objectives.

use zinniaport_core::burn::{BURN_WINDOWS, WindowBurn, WindowCounter, WindowSum};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::clock::Timestamp;
use zinniaport_testing::{check_property, test_cases};

test_cases! {
    windows_equal_a_naive_count: "buckets that are counted after they have left the window" => {
        // With steps of up to 40 s the 5 minute window wraps around many times. Reads up to
        // 400 s later see buckets that are out of date but not overwritten yet.
        let event = (0_u64..40_000_000, proptest::bool::ANY, 0_u64..400_000_000);
        let events = proptest::collection::vec(event, 1..200);
        check_property(256, &events, |events| {
            let span = BURN_WINDOWS[0];
            let bucket_us = span.bucket.as_micros() as u64;
            let mut counter = WindowCounter::new(span);
            let mut naive: Vec<(u64, bool)> = Vec::new();
            let mut now = 1_800_000_000_000_000;
            for (step, failed, delay) in events {
                now += step;
                counter.add(Timestamp(now), failed.then_some(ReasonCode::QueueFull));
                naive.push((now / bucket_us, failed));
                let read = now + delay;
                let oldest = read / bucket_us + 1 - span.buckets as u64;
                let in_window: Vec<_> = naive.iter().filter(|(index, _)| *index >= oldest).collect();
                let sum = counter.sum(Timestamp(read));
                proptest::prop_assert_eq!(sum.requests, in_window.len() as u64);
                let failures = in_window.iter().filter(|(_, failed)| *failed).count() as u64;
                proptest::prop_assert_eq!(sum.failed, failures);
                proptest::prop_assert_eq!(sum.causes.iter().map(|(_, n)| n).sum::<u64>(), failures);
            }
            Ok(())
        });
    }

    late_records_are_ignored: "a late record that clears a newer bucket" => {
        let span = BURN_WINDOWS[0];
        let mut counter = WindowCounter::new(span);
        let window_us = span.bucket.as_micros() as u64 * span.buckets as u64;
        counter.add(Timestamp(2 * window_us), None);
        counter.add(Timestamp(window_us), Some(ReasonCode::NoTarget));
        assert_eq!(counter.sum(Timestamp(2 * window_us)).requests, 1);
        assert_eq!(counter.sum(Timestamp(2 * window_us)).failed, 0);
    }

    rates_follow_the_objective: "a burn rate that ignores the objective" => {
        let causes = vec![(ReasonCode::NoTarget, 3), (ReasonCode::QueueFull, 7)];
        let sum = WindowSum { requests: 1000, failed: 10, causes };
        let burn = WindowBurn::new(BURN_WINDOWS[1], sum.clone(), 99.0);
        assert!((burn.burn_rate - 1.0).abs() < 1e-9);
        assert!(burn.budget_left_percent.abs() < 1e-6);
        assert_eq!(burn.causes[0].reason, ReasonCode::QueueFull);
        assert!((WindowBurn::new(BURN_WINDOWS[1], sum.clone(), 99.9).burn_rate - 10.0).abs() < 1e-6);
        assert!(WindowBurn::new(BURN_WINDOWS[1], sum, 100.0).burn_rate.is_finite());
    }
}
