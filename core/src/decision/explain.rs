//! Explains in plain words why one request waited and how it ended.

use serde::{Deserialize, Serialize};

use super::words::{describe_outcome, describe_reason, format_ms};
use super::{AdmissionTrace, NamedRecord};
use crate::call::ReasonCode;
use crate::clock::Timestamp;

/// An explanation: one sentence and a table of facts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The explanation in plain words.
    pub sentence: String,
    /// Names of the rules that decided, as in logs and metrics.
    pub rules: Vec<String>,
    /// Headings of the values: the request ids.
    pub columns: Vec<String>,
    /// The facts behind the sentence.
    pub rows: Vec<ExplainedRow>,
}

/// One fact, with a value for each column.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRow {
    /// Name of the fact.
    pub name: String,
    /// Its values.
    pub values: Vec<String>,
}

/// Explains the decisions on one request.
pub fn explain(record: &NamedRecord) -> Explanation {
    let mut rules: Vec<_> = record.admission.iter().map(|trace| trace.rule.to_string()).collect();
    rules.extend(record.dispatches.iter().map(|dispatch| dispatch.rule.to_string()));
    rules.push(record.reason.to_string());
    Explanation {
        sentence: sentence(record),
        rules,
        columns: vec![record.request_id.clone()],
        rows: rows(&[record]),
    }
}

fn sentence(record: &NamedRecord) -> String {
    let mut parts = vec![describe_wait(record)];
    parts.extend(record.dispatches.iter().map(|dispatch| {
        format!(
            "it went to target {} of {} that could take it because {}",
            dispatch.target,
            dispatch.candidates,
            describe_reason(dispatch.rule)
        )
    }));
    parts.push(describe_end(record));
    format!(
        "Request {} ({} of {}) {}.",
        record.request_id,
        record.kind,
        record.service,
        parts.join("; ")
    )
}

fn describe_wait(record: &NamedRecord) -> String {
    match record.admission {
        None => format!("was not queued at {}", record.entry),
        Some(AdmissionTrace { rule: ReasonCode::AdmittedAtOnce, .. }) => {
            format!(
                "did not wait at {}: {}",
                record.entry,
                describe_reason(ReasonCode::AdmittedAtOnce)
            )
        }
        Some(trace) => format!(
            "waited {} at {} behind {} queued requests, was overtaken {} times and went next \
             because {}",
            format_ms(record.waited()),
            record.entry,
            trace.queue_length,
            trace.overtaken,
            describe_reason(trace.rule)
        ),
    }
}

fn describe_end(record: &NamedRecord) -> String {
    let duration = format_ms(record.duration());
    if record.reason == ReasonCode::Answered {
        let in_time = if record.answered <= record.deadline { "within" } else { "after" };
        return format!(
            "the answer {} was ready after {duration}, {in_time} its deadline",
            record.status
        );
    }
    let reason = describe_reason(record.reason);
    format!("it ended after {duration} because {reason}; {}", describe_outcome(record.outcome))
}

/// Returns the table of facts about one or more requests.
pub(super) fn rows(records: &[&NamedRecord]) -> Vec<ExplainedRow> {
    let row = |name: &str, value: &dyn Fn(&NamedRecord) -> String| ExplainedRow {
        name: name.to_owned(),
        values: records.iter().map(|record| value(record)).collect(),
    };
    let after = |record: &NamedRecord, time: Timestamp| format_ms(time.since(record.arrived));
    let admission = |record: &NamedRecord, value: &dyn Fn(AdmissionTrace) -> String| {
        record.admission.map_or_else(|| "-".to_owned(), value)
    };
    let target = |record: &NamedRecord| record.dispatches.last().cloned();
    vec![
        row("entry", &|r| r.entry.clone()),
        row("service / kind", &|r| format!("{} / {}", r.service, r.kind)),
        row("rank", &|r| r.rank.to_string()),
        row("caller", &|r| r.caller.clone()),
        row("arrived, us since 1970", &|r| r.arrived.to_string()),
        row("deadline after", &|r| after(r, r.deadline)),
        row("queue length on arrival", &|r| admission(r, &|t| t.queue_length.to_string())),
        row("overtaken", &|r| admission(r, &|t| t.overtaken.to_string())),
        row("admitted after", &|r| admission(r, &|t| after(r, t.admitted))),
        row("admission number", &|r| admission(r, &|t| t.admission_number.to_string())),
        row("admission rule", &|r| admission(r, &|t| t.rule.to_string())),
        row("dispatches", &|r| r.dispatches.len().to_string()),
        row("dispatched after", &|r| {
            target(r).map_or_else(|| "-".to_owned(), |t| after(r, t.dispatched))
        }),
        row("target", &|r| target(r).map_or_else(|| "-".to_owned(), |t| t.target)),
        row("routing rule", &|r| target(r).map_or_else(|| "-".to_owned(), |t| t.rule.to_string())),
        row("alternatives", &|r| {
            target(r).map_or_else(|| "-".to_owned(), |t| t.candidates.to_string())
        }),
        row("load report age", &|r| {
            let age = target(r).and_then(|t| t.report_age_us);
            age.map_or_else(|| "no report used".to_owned(), |age| format!("{age} us"))
        }),
        row("answered after", &|r| after(r, r.answered)),
        row("status", &|r| if r.status == 0 { "-".to_owned() } else { r.status.to_string() }),
        row("outcome", &|r| r.outcome.to_string()),
        row("reason", &|r| r.reason.to_string()),
        row("configuration version", &|r| r.config_version.to_string()),
        row("snapshot age", &|r| format!("{} us", r.snapshot_age_us)),
    ]
}
