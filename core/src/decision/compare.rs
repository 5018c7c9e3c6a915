//! Explains why one request was served after another.

use strum::{Display, IntoStaticStr};

use super::words::{describe_reason, format_ms};
use super::{AdmissionTrace, Explanation, NamedRecord};
use crate::call::ReasonCode;

/// The rule that placed one request before another.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitRule {
    /// The other's kind has a lower rank number.
    KindRank,
    /// It was the turn of the other's caller.
    CallerTurn,
    /// The other's deadline was earlier.
    EarlierDeadline,
    /// The other had been overtaken as often as is allowed.
    OvertakingBound,
    /// The other had arrived earlier.
    ArrivedEarlier,
    /// The rule that the queue recorded for the other, which had joined later.
    RecordedRule,
    /// The other had left the queue before this request joined it.
    LeftBefore,
    /// This request was admitted before the other.
    ServedFirst,
    /// The requests were at different entries or services, which do not share a queue.
    SeparateQueues,
    /// At least one of the two was never in the queue.
    NotQueued,
}

/// Explains why `record` was served after `other`.
pub fn compare(record: &NamedRecord, other: &NamedRecord) -> Explanation {
    let rule = find_rule(record, other);
    Explanation {
        sentence: sentence(rule, record, other),
        rules: vec![rule.to_string()],
        columns: vec![record.request_id.clone(), other.request_id.clone()],
        rows: super::explain::rows(&[record, other]),
    }
}

fn find_rule(record: &NamedRecord, other: &NamedRecord) -> WaitRule {
    if record.entry != other.entry || record.service != other.service {
        return WaitRule::SeparateQueues;
    }
    let (Some(mine), Some(theirs)) = (record.admission, other.admission) else {
        return WaitRule::NotQueued;
    };
    if mine.admission_number <= theirs.admission_number {
        WaitRule::ServedFirst
    } else if theirs.admitted <= mine.queued {
        WaitRule::LeftBefore
    } else {
        queue_rule(record, other, &theirs)
    }
}

/// Returns the rule for two requests that were in the queue at the same time. The rule that
/// the queue recorded comes first. If it does not explain the order of this pair, the rule
/// follows from the facts in both records by which the queue orders requests.
fn queue_rule(record: &NamedRecord, other: &NamedRecord, theirs: &AdmissionTrace) -> WaitRule {
    let same_rank = record.rank == other.rank;
    match theirs.rule {
        ReasonCode::OvertakenEnough => WaitRule::OvertakingBound,
        _ if other.rank < record.rank => WaitRule::KindRank,
        ReasonCode::CallerTurn if same_rank && record.caller != other.caller => {
            WaitRule::CallerTurn
        }
        _ if same_rank && other.deadline < record.deadline => WaitRule::EarlierDeadline,
        _ if other.arrived <= record.arrived => WaitRule::ArrivedEarlier,
        _ => WaitRule::RecordedRule,
    }
}

fn sentence(rule: WaitRule, record: &NamedRecord, other: &NamedRecord) -> String {
    let (mine, theirs) = (&record.request_id, &other.request_id);
    let waited = format_ms(record.waited());
    match rule {
        WaitRule::KindRank => format!(
            "Request {mine} waited {waited} and {theirs} went first because {} (rank {}) is \
             served before {} (rank {}).",
            other.kind, other.rank, record.kind, record.rank
        ),
        WaitRule::CallerTurn => format!(
            "Request {mine} waited {waited} and {theirs} went first because callers of one rank \
             take turns and it was the turn of {}, not of {}.",
            other.caller, record.caller
        ),
        WaitRule::EarlierDeadline => format!(
            "Request {mine} waited {waited} and {theirs} went first because its deadline was \
             {} nearer.",
            format_ms(record.deadline.since(other.deadline))
        ),
        WaitRule::OvertakingBound => format!(
            "Request {mine} waited {waited} and {theirs} went first because {theirs} had been \
             overtaken {} times, as often as is allowed.",
            other.admission.map_or(0, |trace| trace.overtaken)
        ),
        WaitRule::ArrivedEarlier => format!(
            "Request {mine} waited {waited} and {theirs} went first because it arrived {} earlier.",
            format_ms(record.arrived.since(other.arrived))
        ),
        WaitRule::RecordedRule => format!(
            "Request {mine} waited {waited} and {theirs} joined later but went first because {}.",
            other.admission.map_or("it was not queued", |trace| describe_reason(trace.rule))
        ),
        WaitRule::LeftBefore => format!(
            "Request {mine} did not queue behind {theirs}, which arrived earlier and had left the \
             queue before {mine} joined it."
        ),
        WaitRule::ServedFirst => {
            format!("Request {mine} did not wait for {theirs}: it was admitted first.")
        }
        WaitRule::SeparateQueues => format!(
            "Request {mine} ({} at {}) did not wait for {theirs} ({} at {}): different entries or \
             services do not queue together.",
            record.service, record.entry, other.service, other.entry
        ),
        WaitRule::NotQueued => format!(
            "Request {mine} did not wait for {theirs}: {} was not queued.",
            if record.admission.is_none() { mine } else { theirs }
        ),
    }
}
