//! Compact form of decision records for copies at other entries, and the order in which
//! records are copied.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::{AdmissionTrace, DecisionRecord, NamedDispatch, NamedRecord};
use crate::call::{CallOutcome, ReasonCode};
use crate::clock::Timestamp;

/// Table of the names that records of one entry refer to by position. The receiver of
/// copies holds the same table, so that each name is sent once.
#[derive(Debug, Default)]
pub struct NameTable(IndexSet<String>);

impl NameTable {
    /// Returns the position of a name, adding the name if it is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        let position = self.0.get_index_of(name);
        position.unwrap_or_else(|| self.0.insert_full(name.to_owned()).0) as u32
    }

    /// Returns the names from a position on.
    pub fn iter_from(&self, position: usize) -> impl Iterator<Item = &str> {
        self.0.iter().skip(position).map(String::as_str)
    }

    /// Keeps the first `length` names and drops the rest.
    pub fn truncate(&mut self, length: usize) {
        self.0.truncate(length);
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns `true` if there are no names.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Base of the differences in the records of a batch.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompactBase {
    /// Lowest possible record number: no record of the batch has a lower one.
    pub number: u64,
    /// Latest possible arrival: no request of the batch arrived later.
    pub newest: Timestamp,
}

/// Identity of a request. Most are hyphenated UUIDs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum CompactId {
    Uuid([u8; 16]),
    Text(String),
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct CompactAdmission {
    rule: ReasonCode,
    queued_after: u64,
    waited: u64,
    number_above: i64,
    queue_length: u32,
    overtaken: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct CompactDispatch {
    target: u32,
    rule: ReasonCode,
    candidates: u16,
    after: u64,
    report_age_us: Option<u32>,
}

/// A record with positions in place of names and differences in microseconds in place of
/// times, so that an encoding with integers of variable length keeps it short.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompactRecord {
    id: CompactId,
    number_above: u64,
    service: u32,
    kind: u32,
    rank: u8,
    caller: u32,
    config_version: u64,
    arrived_before: u64,
    deadline_after: Option<u64>,
    admission: Option<CompactAdmission>,
    dispatches: Vec<CompactDispatch>,
    outcome: CallOutcome,
    reason: ReasonCode,
    status: u16,
    answered_after: u64,
    snapshot_age_us: u64,
}

impl CompactRecord {
    /// Creates the compact form of a record, adding its names to `names`.
    pub fn new(record: &NamedRecord, base: CompactBase, names: &mut NameTable) -> Self {
        let after = |time: Timestamp| micros_between(record.arrived, time);
        let admission = record.admission.map(|trace| CompactAdmission {
            rule: trace.rule,
            queued_after: after(trace.queued),
            waited: micros_between(trace.queued, trace.admitted),
            number_above: trace.admission_number.wrapping_sub(record.number).cast_signed(),
            queue_length: trace.queue_length,
            overtaken: trace.overtaken,
        });
        let dispatches = record.dispatches.iter().map(|dispatch| CompactDispatch {
            target: names.intern(&dispatch.target),
            rule: dispatch.rule,
            candidates: dispatch.candidates,
            after: after(dispatch.dispatched),
            report_age_us: dispatch.report_age_us,
        });
        Self {
            id: CompactId::new(&record.request_id),
            number_above: record.number.saturating_sub(base.number),
            dispatches: dispatches.collect(),
            service: names.intern(&record.service),
            kind: names.intern(&record.kind),
            rank: record.rank,
            caller: names.intern(&record.caller),
            config_version: record.config_version,
            arrived_before: micros_between(record.arrived, base.newest),
            deadline_after: (record.deadline.0 > 0).then(|| after(record.deadline)),
            admission,
            outcome: record.outcome,
            reason: record.reason,
            status: record.status,
            answered_after: after(record.answered),
            snapshot_age_us: record.snapshot_age_us,
        }
    }

    /// Returns `true` if this is the record of the request with this id.
    pub fn has_request_id(&self, request_id: &str) -> bool {
        self.id == CompactId::new(request_id)
    }

    /// Restores the record. Returns `None` if it refers to unknown names.
    pub fn named<'a>(
        &self,
        entry: &str,
        base: CompactBase,
        name: impl Fn(u32) -> Option<&'a str>,
    ) -> Option<NamedRecord> {
        let number = base.number + self.number_above;
        let arrived = Timestamp(base.newest.0.saturating_sub(self.arrived_before));
        let time = |after: u64| Timestamp(arrived.0.saturating_add(after));
        let owned = |position| name(position).map(ToOwned::to_owned);
        let dispatches = self.dispatches.iter().map(|dispatch| {
            Some(NamedDispatch {
                target: owned(dispatch.target)?,
                rule: dispatch.rule,
                candidates: dispatch.candidates,
                dispatched: time(dispatch.after),
                report_age_us: dispatch.report_age_us,
            })
        });
        Some(NamedRecord {
            entry: entry.to_owned(),
            number,
            request_id: self.id.to_text(),
            service: owned(self.service)?,
            kind: owned(self.kind)?,
            rank: self.rank,
            caller: owned(self.caller)?,
            config_version: self.config_version,
            arrived,
            deadline: self.deadline_after.map(time).unwrap_or_default(),
            admission: self.admission.map(|trace| AdmissionTrace {
                rule: trace.rule,
                queued: time(trace.queued_after),
                admitted: time(trace.queued_after.saturating_add(trace.waited)),
                admission_number: number.wrapping_add_signed(trace.number_above),
                queue_length: trace.queue_length,
                overtaken: trace.overtaken,
            }),
            dispatches: dispatches.collect::<Option<_>>()?,
            outcome: self.outcome,
            reason: self.reason,
            status: self.status,
            answered: time(self.answered_after),
            snapshot_age_us: self.snapshot_age_us,
        })
    }
}

fn micros_between(start: Timestamp, end: Timestamp) -> u64 {
    end.0.saturating_sub(start.0)
}

/// Length of a hyphenated UUID, in bytes.
const UUID_LENGTH: usize = 36;

/// Positions of the hyphens in a hyphenated UUID.
const UUID_HYPHENS: [usize; 4] = [8, 13, 18, 23];

impl CompactId {
    /// Shortens only lower-case UUIDs, so that the text is restored exactly.
    fn new(text: &str) -> Self {
        Self::uuid(text).unwrap_or_else(|| Self::Text(text.to_owned()))
    }

    fn uuid(text: &str) -> Option<Self> {
        let hyphens = || text.bytes().enumerate().filter(|(_, byte)| *byte == b'-');
        if text.len() != UUID_LENGTH || !hyphens().map(|(at, _)| at).eq(UUID_HYPHENS) {
            return None;
        }
        let digits = text.replace('-', "");
        let lower = digits.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        let value = u128::from_str_radix(&digits, 16).ok().filter(|_| lower)?;
        Some(Self::Uuid(value.to_be_bytes()))
    }

    fn to_text(&self) -> String {
        match self {
            Self::Uuid(bytes) => {
                let mut text = format!("{:032x}", u128::from_be_bytes(*bytes));
                UUID_HYPHENS.iter().for_each(|at| text.insert(*at, '-'));
                text
            }
            Self::Text(text) => text.clone(),
        }
    }
}

/// Priority of a record when records are copied; higher ones are copied first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CopyPriority {
    /// Served without waiting and within its deadline: a sample of these is enough.
    Ordinary,
    /// Served within its deadline after a wait in the queue.
    Waited,
    /// Refused, late, retried, hedged or of unknown outcome.
    Notable,
}

impl CopyPriority {
    /// Returns the priority of a record.
    pub fn of(record: &DecisionRecord) -> Self {
        let repeated = record.dispatches().count() > 1;
        if !record.is_served_in_time() || repeated {
            return Self::Notable;
        }
        match record.trace.admission {
            Some(trace) if trace.rule != ReasonCode::AdmittedAtOnce => Self::Waited,
            _ => Self::Ordinary,
        }
    }
}

/// Sorts records into the order in which they are copied: by priority, and within a
/// priority spread over the batch, so that the records left out are not all from the same
/// time.
pub fn sort_for_copying(records: &mut [(u64, DecisionRecord)]) {
    records.sort_by_cached_key(|(number, record)| {
        let spread = number.reverse_bits();
        (std::cmp::Reverse(CopyPriority::of(record)), spread)
    });
}
