//! Burn rates of service-level objectives: how fast failed requests use up the error budget
//! of an objective.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::{CallOutcome, ReasonCode};
use crate::clock::Timestamp;
use crate::decision::DecisionRecord;

/// Windows over which burn is reported. A short window shows a sudden fault, a long one a
/// small share of failures over a long time.
pub const BURN_WINDOWS: [WindowSpan; 3] = [
    WindowSpan { name: "5m", bucket: Duration::from_secs(10), buckets: 30 },
    WindowSpan { name: "1h", bucket: Duration::from_secs(60), buckets: 60 },
    WindowSpan { name: "6h", bucket: Duration::from_secs(300), buckets: 72 },
];

/// Minimum allowed share of failures, so that an objective of 100% has a finite burn rate.
const MIN_ALLOWED_SHARE: f64 = 1e-6;

/// Maximum number of causes for each window in a shortened report.
const TOP_CAUSES: usize = 3;

/// Sliding window, divided into buckets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowSpan {
    /// Name in reports.
    pub name: &'static str,
    /// Duration of a bucket.
    pub bucket: Duration,
    /// Number of buckets.
    pub buckets: usize,
}

/// How a request counts towards its objective.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BurnEvent {
    /// Served within its deadline.
    Good,
    /// Missed the objective for this reason.
    Bad(ReasonCode),
    /// Not counted, because the request itself was at fault or was never classified.
    Excluded,
}

impl BurnEvent {
    /// Classifies a request by its decision record.
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

/// Returns `true` if a refusal for this reason is due to the request and not to the service.
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
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that missed the objective.
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
    /// Ring of buckets, each with its number.
    buckets: Box<[(u64, WindowSum)]>,
}

impl WindowCounter {
    /// Creates a counter for a window.
    pub fn new(span: WindowSpan) -> Self {
        Self { span, buckets: vec![Default::default(); span.buckets].into() }
    }

    /// Counts a request that ended at `time`. Ignores a request that is older than the
    /// window.
    pub fn add(&mut self, time: Timestamp, failure: Option<ReasonCode>) {
        let number = self.bucket_number(time);
        let position = (number % self.span.buckets as u64) as usize;
        let (current_number, sum) = &mut self.buckets[position];
        if *current_number > number {
            return;
        }
        if *current_number < number {
            *current_number = number;
            *sum = WindowSum::default();
        }
        sum.requests += 1;
        if let Some(reason) = failure {
            sum.add_causes(reason, 1);
        }
    }

    /// Returns the sum of the buckets in the window that ends with the bucket of `now`.
    pub fn sum(&self, now: Timestamp) -> WindowSum {
        let newest = self.bucket_number(now);
        let oldest = (newest + 1).saturating_sub(self.span.buckets as u64);
        let mut total = WindowSum::default();
        for (_, sum) in self.buckets.iter().filter(|(number, _)| (oldest..=newest).contains(number))
        {
            total.add(sum);
        }
        total
    }

    /// Returns the number of the bucket for a time, counted from the Unix epoch.
    fn bucket_number(&self, time: Timestamp) -> u64 {
        time.0 / self.span.bucket.as_micros() as u64
    }
}

/// Burn of all kinds, at one entry or summed over several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time at which the report was made.
    pub taken: Timestamp,
    /// Number of requests missing from the report because their records were overwritten
    /// before they were counted.
    pub lost: u64,
    /// Number of entries that should be included, including this one.
    #[serde(default)]
    pub entries: u32,
    /// Number of entries whose counts are included.
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
    /// Objective: share of requests to serve within the deadline, in percent.
    pub objective_percent: f64,
    /// Share of slot time that probes may use, in percent.
    pub measuring_allowed_percent: f64,
    /// Share of slot time that probes used, in percent.
    pub measuring_spent_percent: f64,
    /// Burn in each window, the shortest first.
    pub windows: Vec<WindowBurn>,
}

/// Burn in one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Name of the window.
    pub window: String,
    /// Number of requests in the window.
    pub requests: u64,
    /// Number of requests that missed the objective.
    pub failed: u64,
    /// Share of failures divided by the share that the objective allows; above 1 the
    /// objective is missed.
    pub burn_rate: f64,
    /// Remaining error budget in percent; negative once the objective is missed.
    pub budget_left_percent: f64,
    /// Reasons of failure, the most frequent first.
    pub causes: Vec<BurnCause>,
}

/// Failures for one reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnCause {
    /// The reason.
    pub reason: ReasonCode,
    /// Number of requests that failed for this reason.
    pub failed: u64,
}

impl WindowBurn {
    /// Computes the burn of a window for an objective.
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
    /// Adds the report of another entry. Keeps the objectives and budgets of the intents at
    /// this entry, which may be newer.
    pub fn add(&mut self, other: &Self) {
        self.lost += other.lost;
        self.answered += other.answered;
        for added in &other.kinds {
            let same =
                |kind: &&mut KindBurn| kind.service == added.service && kind.kind == added.kind;
            match self.kinds.iter_mut().find(same) {
                Some(kind) => kind.add(added),
                None => self.kinds.push(added.clone()),
            }
        }
    }

    /// Removes all but the most frequent causes of each window.
    pub fn truncate_causes(&mut self) {
        for window in self.kinds.iter_mut().flat_map(|kind| &mut kind.windows) {
            window.causes.truncate(TOP_CAUSES);
        }
    }
}

impl KindBurn {
    fn add(&mut self, other: &Self) {
        // Each entry reports its own share of the slot time of the same targets.
        self.measuring_spent_percent += other.measuring_spent_percent;
        for window in &mut self.windows {
            let added = other.windows.iter().find(|added| added.window == window.window);
            let span = BURN_WINDOWS.into_iter().find(|span| span.name == window.window);
            if let (Some(added), Some(span)) = (added, span) {
                let mut sum = window.to_sum();
                sum.add(&added.to_sum());
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
