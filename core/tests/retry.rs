//! Bounds on retries and hedges.

use std::time::Duration;

use proptest::prelude::*;
use zinniaport_core::call::{CallFacts, CallOutcome, ReasonCode};
use zinniaport_core::clock::Timestamp;
use zinniaport_core::retry::{
    DispatchCount, LatencyQuantile, MAX_SAVED_RETRIES, RetryBudget, allows_hedge, allows_retry,
    own_retry_tokens,
};
use zinniaport_testing::{check_property, test_cases};

const OUTCOMES: [(ReasonCode, CallOutcome); 5] = [
    (ReasonCode::TargetRefused, CallOutcome::NotRun),
    (ReasonCode::TargetUnreachable, CallOutcome::NotRun),
    (ReasonCode::TargetLost, CallOutcome::Unknown),
    (ReasonCode::DeadlinePassed, CallOutcome::Unknown),
    (ReasonCode::BodyTooLarge, CallOutcome::NotRun),
];

/// Decides on a retry as the request path does: the rules first, then the budget.
fn may_retry(
    facts: &CallFacts,
    count: DispatchCount,
    failure: (ReasonCode, CallOutcome),
    resendable: bool,
    budget: (&RetryBudget, Timestamp),
) -> bool {
    allows_retry(facts, count, failure, resendable, budget.1) && budget.0.try_spend()
}

fn may_hedge(
    facts: &CallFacts,
    count: DispatchCount,
    budget: &RetryBudget,
    now: Timestamp,
) -> bool {
    allows_hedge(facts, count, now) && budget.try_spend()
}

test_cases! {
    entries_without_peers_save_few_retries: "a fleet whose entries cannot find each other and that together send many times the permitted retries" => {
        for (entries, seeds) in [(8, 3), (15, 3), (19, 2)] {
            let alone = own_retry_tokens(58.0, 0, seeds + 1);
            assert!(alone * entries <= 29, "{entries} entries that hear none save up {}", alone * entries);
            let known = own_retry_tokens(58.0, entries as usize - 1, entries as usize);
            assert!(known * entries <= 29, "{entries} entries that know each other save up {}", known * entries);
        }
        assert_eq!(own_retry_tokens(58.0, 0, 1), 29, "a single entry without seeds has the part of all");
    }

    retries_stay_within_their_share: "retries that multiply the load of a failing service" => {
        // First attempts (`false`) and retries that an entry tries to send (`true`), at three
        // entries.
        let history = proptest::collection::vec((0_usize..3, any::<bool>()), 1..400);
        check_property(256, &(0.0_f64..60.0, history), |(percent, history)| {
            let budgets: [RetryBudget; 3] = Default::default();
            let mut sent = Vec::new();
            for (entry, retry) in history {
                if !retry {
                    budgets[entry].record_first_attempt(percent, MAX_SAVED_RETRIES);
                    sent.push(false);
                } else if budgets[entry].try_spend() {
                    sent.push(true);
                }
            }
            for start in 0..sent.len() {
                let window = &sent[start..];
                let retries = window.iter().filter(|retry| **retry).count() as f64;
                let earned = (window.len() as f64 - retries) * percent / 100.0;
                let saved = if start == 0 { 0.0 } else { 3.0 * MAX_SAVED_RETRIES as f64 };
                prop_assert!(retries <= earned + saved, "{retries} retries for {earned} earned");
            }
            Ok(())
        });
    }

    quiet_hours_save_few_retries: "a burst of retries saved up over hours of healthy traffic" => {
        let budget = RetryBudget::default();
        for _ in 0..100_000 {
            budget.record_first_attempt(10.0, MAX_SAVED_RETRIES);
        }
        let retries = (0..1_000).filter(|_| budget.try_spend()).count();
        assert!(retries <= 10, "{retries} retries at once");
    }

    runs_are_bounded: "a request that runs more often than its intent allows, or twice although it is not idempotent" => {
        let input = (any::<bool>(), 1_u8..4, proptest::collection::vec((0_usize..5, any::<bool>(), 0_u64..90), 1..12));
        check_property(1024, &input, |(idempotent, max_runs, steps)| {
            let budget = RetryBudget::default();
            for _ in 0..1_000 {
                budget.record_first_attempt(100.0, MAX_SAVED_RETRIES);
            }
            let facts = CallFacts { idempotent, max_runs, deadline: Timestamp(100), ..CallFacts::default() };
            let (mut runs, mut now) = (0, 0);
            let mut count = DispatchCount::default();
            count.begin();
            for (outcome, hedges, elapsed) in steps {
                now += elapsed;
                if hedges && may_hedge(&facts, count, &budget, Timestamp(now)) {
                    prop_assert!(now < 100, "hedged after the deadline");
                    count.begin();
                    runs += 1;
                }
                let failure = OUTCOMES[outcome];
                count.end(failure.1);
                runs += u8::from(failure.1 != CallOutcome::NotRun);
                if !may_retry(&facts, count, failure, true, (&budget, Timestamp(now))) {
                    break;
                }
                prop_assert!(now < 100, "retried after the deadline");
                prop_assert!(outcome < 3, "{failure:?} is not a fault of the target");
                prop_assert!(runs < max_runs.max(1) && (idempotent || runs == 0), "{runs} runs and one more");
                count.begin();
            }
            Ok(())
        });
    }

    consumed_bodies_are_not_sent_again: "a retry that sends an empty body because the caller's was already consumed" => {
        let budget = RetryBudget::default();
        (0..100).for_each(|_| budget.record_first_attempt(100.0, MAX_SAVED_RETRIES));
        let facts = CallFacts { idempotent: true, max_runs: 3, deadline: Timestamp(9), ..CallFacts::default() };
        assert!(may_retry(&facts, DispatchCount::default(), OUTCOMES[0], true, (&budget, Timestamp(1))));
        assert!(!may_retry(&facts, DispatchCount::default(), OUTCOMES[0], false, (&budget, Timestamp(1))));
    }

    quantile_follows_latency: "hedges sent after the median latency, which would double the load" => {
        let quantile = LatencyQuantile::default();
        assert_eq!(quantile.get(), None);
        let mut above = 0;
        for sample in 0..40_000_u64 {
            // 1 to 1000 us in an order that covers the range evenly.
            let latency = Duration::from_micros(1 + sample * 7_919 % 1_000);
            above += usize::from(sample >= 20_000 && quantile.get().is_some_and(|limit| latency > limit));
            quantile.record(latency);
        }
        assert!((600..1_400).contains(&above), "{above} of 20000 samples were above the 95th percentile");
    }

    invalid_responses_are_retried: "a corrupt response or a refusal by the new process at an address that reaches the caller although other targets are left" => {
        let facts = |idempotent| CallFacts {
            idempotent,
            max_runs: 2,
            max_dispatches: Some(2),
            deadline: Timestamp(1_000),
            ..CallFacts::default()
        };
        let retried = |idempotent, failure: (ReasonCode, CallOutcome)| {
            let budget = RetryBudget::default();
            budget.record_first_attempt(100.0, MAX_SAVED_RETRIES);
            let mut count = DispatchCount::default();
            count.begin();
            count.end(failure.1);
            may_retry(&facts(idempotent), count, failure, true, (&budget, Timestamp(1)))
        };
        assert!(retried(true, (ReasonCode::SpoiledAnswer, CallOutcome::Unknown)));
        assert!(!retried(false, (ReasonCode::SpoiledAnswer, CallOutcome::Unknown)), "it may have run");
        assert!(retried(false, (ReasonCode::WrongInstance, CallOutcome::NotRun)));
    }
}
