//! Descriptions of rules, outcomes and durations in plain words.

use std::time::Duration;

use crate::call::{CallOutcome, ReasonCode};

/// Formats a duration in milliseconds with two decimals.
pub(super) fn format_ms(duration: Duration) -> String {
    format!("{:.2} ms", duration.as_secs_f64() * 1e3)
}

/// Describes whether a request ran, as far as that is known.
pub(super) fn describe_outcome(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Ran => "it ran",
        CallOutcome::NotRun => "it was not run",
        CallOutcome::Unknown => "it may have run",
    }
}

/// Describes a rule, as the continuation of "because ...".
pub(super) fn describe_reason(reason: ReasonCode) -> &'static str {
    match reason {
        ReasonCode::Answered => "a target answered",
        ReasonCode::AdmittedAtOnce => "nothing waited ahead of it",
        ReasonCode::AdmittedAfterWait => "it was first in the queue when a slot was free",
        ReasonCode::RankFirst => "its kind has a higher priority than what else waited",
        ReasonCode::DeadlineFirst => "its deadline was the nearest of its kind",
        ReasonCode::CallerTurn => "it was its caller's turn",
        ReasonCode::OvertakenEnough => "others had overtaken it as often as is allowed",
        ReasonCode::OnlyTarget => "no other target could take it",
        ReasonCode::RandomTarget => "it was drawn at random",
        ReasonCode::NextInTurn => "it was next in turn",
        ReasonCode::FewestInFlight => {
            "it had the fewest requests of this entry in flight among those sampled"
        }
        ReasonCode::LowestReport => "it reported the lowest load among those sampled",
        ReasonCode::ProbedCold => "it had the lowest probed latency among those not overloaded",
        ReasonCode::HomeSlot => "one of its free slots belongs to this entry",
        ReasonCode::Retried => "the dispatch before it failed",
        ReasonCode::Hedged => "the dispatch before it had not answered yet",
        ReasonCode::UnknownService => "no service has the name in its path",
        ReasonCode::UnknownKind => "the service has no kind for its method and path",
        ReasonCode::BadDeadline => "its deadline header could not be read",
        ReasonCode::BadRequest => "it was malformed",
        ReasonCode::HeadTooLarge => "its head was larger than the limit",
        ReasonCode::BodyTooLarge => "its body was larger than the limit",
        ReasonCode::SlowSender => "its caller sent it too slowly",
        ReasonCode::QueueFull => "the queue of the service was full",
        ReasonCode::DeadlineUnreachable => "its deadline could no longer be met",
        ReasonCode::DeadlinePassed => "its deadline passed before a target answered",
        ReasonCode::NoTarget => "no target could take it",
        ReasonCode::TargetError => "the target answered with an error",
        ReasonCode::TargetRefused => "the target refused it before running it",
        ReasonCode::TargetUnreachable => "the target could not be reached",
        ReasonCode::TargetLost => "the connection to the target ended before the answer",
        ReasonCode::Quarantined => "the same request has crashed too many targets",
        ReasonCode::KeyRequired => "the service requires an idempotency key",
        ReasonCode::BadKey => "its idempotency key is malformed",
        ReasonCode::KeyExpired => "its idempotency key is too old",
        ReasonCode::ClaimUnavailable => "its idempotency key could not be claimed",
        ReasonCode::KeyUsed => "its idempotency key was used before",
        ReasonCode::Stopping => "the entry was stopping",
        ReasonCode::CallerLeft => "its caller left",
        ReasonCode::NoConfiguration => "the entry knew no configuration yet",
        ReasonCode::SpoiledAnswer => "the answer of the target was cut, damaged or not its own",
        ReasonCode::WrongInstance => "another process had the address of the target",
        ReasonCode::HeldBytesFull => "the entry held as many bytes for callers as it may",
        ReasonCode::ShortestWait => "it had the shortest expected wait of all that could take it",
        ReasonCode::UnknownApiKey => "it carried no API key of a known tenant",
        ReasonCode::UnsupportedRoute => "this version cannot serve its route",
        ReasonCode::QuotaExceeded => "its tenant had used up its rate limit",
        ReasonCode::QuotaUnavailable => "the rate limit of its tenant could not be checked",
    }
}
