//! Service-level burn: how fast requests that miss their objective use up the
//! budget that the objective leaves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::{CallOutcome, ReasonCode};
use crate::clock::Timestamp;
use crate::decision::DecisionRecord;

/// Windows over which burn is shown. A short window shows a sudden fault, a long
/// one a slow leak.
pub const BURN_WINDOWS: [WindowSpan; 3] = [
    WindowSpan { name: "5m", bucket: Duration::from_secs(10), buckets: 30 },
    WindowSpan { name: "1h", bucket: Duration::from_secs(60), buckets: 60 },
    WindowSpan { name: "6h", bucket: Duration::from_secs(300), buckets: 72 },
];

/// Smallest share of failures taken as allowed, so that an objective of 100 %
/// has a finite burn rate.
const MIN_ALLOWED_SHARE: f64 = 1e-6;

/// Number of causes that a report for people names.
const TOP_CAUSES: usize = 3;

/// A window as a number of buckets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowSpan {
    /// Name in reports.
    pub name: &'static str,
    /// Length of a bucket.
    pub bucket: Duration,
    /// Number of buckets.
    pub buckets: usize,
}

/// What a request means for its objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BurnEvent {
    /// Served within its deadline.
    Good,
    /// Missed the objective for this reason.
    Bad(ReasonCode),
    /// Says nothing about the service: the request itself was at fault.
    Excluded,
}

impl BurnEvent {
    /// Judges a request by its record.
    pub fn of(record: &DecisionRecord) -> Self {
        let end = &record.end;
        match end.reason {
            _ if record.is_served_in_time() => Self::Good,
            _ if !record.is_classified() || is_fault_of_request(end.reason) => Self::Excluded,
            _ if end.outcome != CallOutcome::Ran => Self::Bad(end.reason),
            _ if end.answered > record.facts.deadline => Self::Bad(ReasonCode::DeadlinePassed),
            _ => Self::Bad(ReasonCode::TargetError),
        }
    }
}

/// Tells whether a refusal is due to the request and not to the service.
fn is_fault_of_request(reason: ReasonCode) -> bool {
    matches!(
        reason,
        ReasonCode::BadDeadline
            | ReasonCode::BadRequest
            | ReasonCode::HeadTooLarge
            | ReasonCode::BodyTooLarge
            | ReasonCode::SlowSender
            | ReasonCode::KeyRequired
            | ReasonCode::BadKey
            | ReasonCode::KeyExpired
            | ReasonCode::KeyUsed
            | ReasonCode::Quarantined
    )
}

/// Requests counted in a window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WindowSum {
    /// Requests.
    pub requests: u64,
    /// Requests that missed the objective.
    pub failed: u64,
    /// Failures by reason, in no particular order.
    pub causes: Vec<(ReasonCode, u64)>,
}

impl WindowSum {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        for (reason, count) in &other.causes {
            self.add_causes(*reason, *count);
        }
    }

    fn add_causes(&mut self, reason: ReasonCode, count: u64) {
        self.failed += count;
        match self.causes.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, known)) => *known += count,
            None => self.causes.push((reason, count)),
        }
    }
}

/// Counts requests in a window that slides by one bucket at a time.
#[derive(Clone, Debug)]
pub struct WindowCounter {
    span: WindowSpan,
    buckets: Box<[(u64, WindowSum)]>,
}

impl WindowCounter {
    /// Creates a counter for a window.
    pub fn new(span: WindowSpan) -> Self {
        Self { span, buckets: vec![Default::default(); span.buckets].into() }
    }

    /// Counts a request that ended at `time`. One that is older than the window
    /// is dropped.
    pub fn add(&mut self, time: Timestamp, failure: Option<ReasonCode>) {
        let index = self.index(time);
        let position = (index % self.span.buckets as u64) as usize;
        let (held, sum) = &mut self.buckets[position];
        if *held > index {
            return;
        }
        if *held < index {
            *held = index;
            *sum = WindowSum::default();
        }
        sum.requests += 1;
        if let Some(reason) = failure {
            sum.add_causes(reason, 1);
        }
    }

    /// Adds up the bucket that contains `now` and those before it in the window.
    pub fn sum(&self, now: Timestamp) -> WindowSum {
        let newest = self.index(now);
        let oldest = (newest + 1).saturating_sub(self.span.buckets as u64);
        let mut total = WindowSum::default();
        for (_, sum) in self.buckets.iter().filter(|(held, _)| (oldest..=newest).contains(held)) {
            total.add(sum);
        }
        total
    }

    /// Gives the index of the bucket for a time.
    fn index(&self, time: Timestamp) -> u64 {
        time.0 / self.span.bucket.as_micros() as u64
    }
}

/// Burn of all kinds at one entry, or at several together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When the report was made.
    pub taken: Timestamp,
    /// Requests that are missing from the report because their records were
    /// overwritten before they were counted.
    pub lost: u64,
    /// Entries that were to be counted, this one included.
    #[serde(default)]
    pub entries: u32,
    /// Entries whose counts the report contains.
    #[serde(default)]
    pub answered: u32,
    /// Burn by service and kind.
    pub kinds: Vec<KindBurn>,
}

/// Burn of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindBurn {
    /// Name of the service.
    pub service: String,
    /// Name of the kind.
    pub kind: String,
    /// Share of requests to serve within the deadline, in percent.
    pub objective_percent: f64,
    /// Share of slot time that measuring may take, in percent.
    pub measuring_allowed_percent: f64,
    /// Share of slot time that measuring took, in percent.
    pub measuring_spent_percent: f64,
    /// Burn in each window, the shortest first.
    pub windows: Vec<WindowBurn>,
}

/// Burn in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Name of the window.
    pub window: String,
    /// Requests in the window.
    pub requests: u64,
    /// Requests that missed the objective.
    pub failed: u64,
    /// Share of failures over the share that the objective allows; above 1 the
    /// objective is missed.
    pub burn_rate: f64,
    /// Part of the allowed failures that is left, in percent; negative once the
    /// objective is missed.
    pub budget_left_percent: f64,
    /// Reasons of failure, the most frequent first.
    pub causes: Vec<BurnCause>,
}

/// Failures for one reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnCause {
    /// The reason.
    pub reason: ReasonCode,
    /// Requests that failed for it.
    pub failed: u64,
}

impl WindowBurn {
    /// Compares a window with an objective.
    pub fn new(span: WindowSpan, mut sum: WindowSum, objective_percent: f64) -> Self {
        let allowed = ((100.0 - objective_percent) / 100.0).max(MIN_ALLOWED_SHARE);
        let failed_share = sum.failed as f64 / sum.requests.max(1) as f64;
        let burn_rate = failed_share / allowed;
        sum.causes.sort_by_key(|(reason, count)| (std::cmp::Reverse(*count), *reason));
        let causes = sum.causes.into_iter();
        Self {
            window: span.name.to_owned(),
            requests: sum.requests,
            failed: sum.failed,
            burn_rate,
            budget_left_percent: (1.0 - burn_rate) * 100.0,
            causes: causes.map(|(reason, failed)| BurnCause { reason, failed }).collect(),
        }
    }
}

impl BurnReport {
    /// Adds the counts of another entry. Objectives and budgets stay those of the
    /// intents in force at this entry, which may have a newer one.
    pub fn add(&mut self, other: &Self) {
        self.lost += other.lost;
        self.answered += other.answered;
        for theirs in &other.kinds {
            let same =
                |kind: &&mut KindBurn| kind.service == theirs.service && kind.kind == theirs.kind;
            match self.kinds.iter_mut().find(same) {
                Some(kind) => kind.add(theirs),
                None => self.kinds.push(theirs.clone()),
            }
        }
    }

    /// Leaves out all but the most frequent causes.
    pub fn truncate_causes(&mut self) {
        for window in self.kinds.iter_mut().flat_map(|kind| &mut kind.windows) {
            window.causes.truncate(TOP_CAUSES);
        }
    }
}

impl KindBurn {
    fn add(&mut self, other: &Self) {
        // Each entry gives its own part of the slot time of the same targets.
        self.measuring_spent_percent += other.measuring_spent_percent;
        for window in &mut self.windows {
            let theirs = other.windows.iter().find(|theirs| theirs.window == window.window);
            let span = BURN_WINDOWS.into_iter().find(|span| span.name == window.window);
            if let (Some(theirs), Some(span)) = (theirs, span) {
                let mut sum = window.to_sum();
                sum.add(&theirs.to_sum());
                *window = WindowBurn::new(span, sum, self.objective_percent);
            }
        }
    }
}

impl WindowBurn {
    fn to_sum(&self) -> WindowSum {
        let causes = self.causes.iter().map(|cause| (cause.reason, cause.failed)).collect();
        WindowSum { requests: self.requests, failed: self.failed, causes }
    }
}
