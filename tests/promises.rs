//! Refusals of requests that may have run: no part of the response may promise that they were
//! not run.

use std::time::Duration;

use http_body_util::BodyExt;
use proptest::prelude::*;
use serde_json::Value;
use strum::IntoEnumIterator;
use zinniaport::dialect::DefaultDialect;
use zinniaport::front::{OUTCOME_HEADER, problem_response};
use zinniaport::refusal::Refusal;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::claims::ClaimState;
use zinniaport_testing::{check_property, test_cases};

const OUTCOMES: [CallOutcome; 3] = [CallOutcome::NotRun, CallOutcome::Unknown, CallOutcome::Ran];

/// The only instruction to send a request again that fits a request that may have run.
const CONDITIONAL_REMEDY: &str =
    "send it again if it is idempotent; otherwise look up whether it was done";

/// Reason and outcome of a failed attempt.
type Attempt = (ReasonCode, CallOutcome);

/// Returns all reasons for a refusal with all outcomes.
fn attempts() -> Vec<Attempt> {
    let reasons = ReasonCode::iter().filter(|reason| reason.can_refuse());
    reasons.flat_map(|reason| OUTCOMES.map(|outcome| (reason, outcome))).collect()
}

/// Returns the refusal that is reported for several attempts.
fn combined(attempts: &[Attempt]) -> Refusal {
    let combine = |earlier: Option<Refusal>, (reason, outcome): &Attempt| {
        let later = Refusal::new(*reason, *outcome, "refused").retry_after(Duration::from_secs(1));
        Some(Refusal::combine(earlier, later))
    };
    attempts.iter().fold(None, combine).unwrap()
}

/// Returns what is wrong with the response to a refusal. `may_have_run` states whether one of the
/// attempts ran or may have run.
fn find_fault(refusal: &Refusal, may_have_run: bool) -> Option<String> {
    let response = problem_response(refusal, "request-1", &DefaultDialect);
    let (head, body) = response.into_parts();
    let body = futures::executor::block_on(body.collect()).unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let status = head.status.as_u16();
    let outcome = head.headers[OUTCOME_HEADER].to_str().unwrap();
    let retry_after = head.headers.get(http::header::RETRY_AFTER);
    let remedy = body["remedy"].as_str().unwrap();
    let promising_status = matches!(status, 408 | 421 | 429 | 503);
    let tells_to_send = ["send", "use"].iter().any(|verb| remedy.starts_with(verb));
    let faults = [
        (body["status"] != status, "the body names another status"),
        (body["outcome"] != outcome, "the body names another outcome"),
        (may_have_run && promising_status, "the status promises that it was not run"),
        (may_have_run == (outcome == "not-run"), "the outcome is wrong"),
        (may_have_run && retry_after.is_some(), "it may be sent again after a time"),
        (!may_have_run && retry_after.is_none(), "the time of a retry is missing"),
        (may_have_run && tells_to_send && remedy != CONDITIONAL_REMEDY, "it must be sent again"),
    ];
    let fault = faults.iter().find(|(holds, _)| *holds)?.1;
    Some(format!("{fault}: {status}, {outcome}, {retry_after:?}, {remedy}"))
}

/// Asserts that the response for the attempts promises nothing that one of them contradicts.
fn check(attempts: &[Attempt]) -> Option<String> {
    let may_have_run = attempts.iter().any(|(_, outcome)| *outcome != CallOutcome::NotRun);
    let fault = find_fault(&combined(attempts), may_have_run)?;
    Some(format!("{attempts:?}: {fault}"))
}

test_cases! {
    single_attempts_are_reported_truly: "a status, remedy or time of retry that promises that a request was not run although it may have" => {
        let faults: Vec<String> =
            attempts().iter().filter_map(|attempt| check(std::slice::from_ref(attempt))).collect();
        assert!(faults.is_empty(), "{faults:#?}");
    }

    pairs_of_attempts_are_reported_truly: "a promise of one attempt that is reported although the other one may have run" => {
        let attempts = attempts();
        let pairs = attempts.iter().flat_map(|first| attempts.iter().map(|second| [*first, *second]));
        let faults: Vec<String> = pairs.filter_map(|pair| check(&pair)).collect();
        assert!(faults.is_empty(), "{} pairs, such as {:#?}", faults.len(), &faults[..faults.len().min(10)]);
    }

    sequences_of_attempts_are_reported_truly: "a promise that depends on the order of more than two attempts" => {
        let strategy = proptest::collection::vec(proptest::sample::select(attempts()), 3..6);
        check_property(5_000, &strategy, |attempts| {
            prop_assert_eq!(check(&attempts), None);
            Ok(())
        });
    }

    used_keys_are_reported_truly: "a used key whose first request may have run, reported as not run" => {
        for state in [ClaimState::Done(200), ClaimState::Running, ClaimState::Unknown, ClaimState::NotRun] {
            let refusal = Refusal::key_used(state, "used").retry_after(Duration::from_secs(1));
            assert_eq!(find_fault(&refusal, true), None, "{state:?}");
        }
    }

    statuses_without_a_promise_stay: "a status that changes with the outcome although it promises nothing" => {
        let kept = [
            (ReasonCode::BadRequest, 400),
            (ReasonCode::UnknownService, 404),
            (ReasonCode::KeyUsed, 409),
            (ReasonCode::BodyTooLarge, 413),
            (ReasonCode::KeyExpired, 422),
            (ReasonCode::HeadTooLarge, 431),
            (ReasonCode::TargetLost, 502),
            (ReasonCode::DeadlinePassed, 504),
        ];
        for (reason, status) in kept {
            for outcome in OUTCOMES {
                assert_eq!(Refusal::new(reason, outcome, "").status(), status, "{reason}, {outcome}");
            }
        }
        let statuses = |reason| OUTCOMES.map(|outcome| Refusal::new(reason, outcome, "").status().as_u16());
        assert_eq!(statuses(ReasonCode::SlowSender), [408, 504, 504]);
        assert_eq!(statuses(ReasonCode::TargetRefused), [503, 502, 502]);
        assert_eq!(statuses(ReasonCode::CallerLeft), [503, 502, 502]);
    }
}
