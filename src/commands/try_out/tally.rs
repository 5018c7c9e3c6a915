//! Counts the outcomes of generated requests and checks the invariants that a caller relies on.

use hdrhistogram::Histogram;
use strum::IntoEnumIterator;
use strum::{Display, EnumIter};
use zinniaport_core::call::CallOutcome;
use zinniaport_standin::target::RunCounts;

use super::load::{LOAD_MIX, LoadResult};
use crate::commands::output::{RowColour, TextTable};
use crate::front::OUTCOME_HEADER;

/// Highest latency that the histogram distinguishes: twice the longest deadline.
const MAX_LATENCY_US: u64 = 240_000_000;

/// An invariant of the load balancer that a caller relies on.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub enum CallerInvariant {
    /// The response echoes the method, path and ID of its own request.
    #[strum(to_string = "each answer is the caller's own")]
    OwnResponse,
    /// Each request got a complete response.
    #[strum(to_string = "each answer is complete")]
    CompleteResponse,
    /// The response states whether the request ran.
    #[strum(to_string = "each answer says whether the request ran")]
    StatedOutcome,
    /// The targets started each non-idempotent request at most once.
    #[strum(to_string = "no non-idempotent request ran twice")]
    RanOnce,
    /// The targets did not start any request whose response said `not-run`.
    #[strum(to_string = "no request called not-run has run")]
    NotRun,
}

/// A violation of an invariant by one request.
#[derive(Clone, Debug)]
pub struct InvariantViolation {
    /// The violated invariant.
    pub invariant: CallerInvariant,
    /// Request ID.
    pub request_id: String,
    /// What was observed instead.
    pub detail: String,
}

struct KindTally {
    served: u64,
    late: u64,
    not_run: u64,
    unknown: u64,
    latency_us: Histogram<u64>,
}

/// Outcomes of requests by kind, and violations of invariants.
pub struct LoadTally {
    kinds: Vec<KindTally>,
    /// Violations, in the order of their detection.
    pub violations: Vec<InvariantViolation>,
    /// Number of requests counted.
    pub requests: u64,
    /// IDs of non-idempotent requests.
    non_idempotent: Vec<String>,
    /// IDs of requests whose responses said `not-run`.
    not_run: Vec<String>,
}

impl LoadTally {
    /// Creates a tally without requests.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are valid.
    pub fn new() -> Self {
        let kinds = LOAD_MIX.iter().map(|_| KindTally {
            served: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
        });
        Self {
            kinds: kinds.collect(),
            violations: Vec::new(),
            requests: 0,
            non_idempotent: Vec::new(),
            not_run: Vec::new(),
        }
    }

    /// Counts a result and checks the invariants that its response alone can violate.
    pub fn add(&mut self, result: &LoadResult) {
        self.requests += 1;
        if !LOAD_MIX[result.kind].idempotent {
            self.non_idempotent.push(result.request_id.clone());
        }
        let response = match &result.response {
            Ok(response) => response,
            Err(cause) => {
                self.kinds[result.kind].unknown += 1;
                return self.add_violation(
                    CallerInvariant::CompleteResponse,
                    result,
                    cause.clone(),
                );
            }
        };
        let outcome = response.headers().get(OUTCOME_HEADER);
        let outcome: Option<CallOutcome> =
            outcome.and_then(|value| value.to_str().ok()?.parse().ok());
        match outcome {
            Some(CallOutcome::Ran) => self.add_served(result, response.body()),
            Some(CallOutcome::NotRun) => {
                self.kinds[result.kind].not_run += 1;
                self.not_run.push(result.request_id.clone());
            }
            Some(CallOutcome::Unknown) => self.kinds[result.kind].unknown += 1,
            None => {
                self.kinds[result.kind].unknown += 1;
                let detail = format!("status {} without {OUTCOME_HEADER}", response.status());
                self.add_violation(CallerInvariant::StatedOutcome, result, detail);
            }
        }
    }

    /// Compares the responses with the runs that the targets counted.
    pub fn check_runs(&mut self, targets: &[RunCounts]) {
        let runs = |id: &String| targets.iter().map(|target| target.of_request(id)).sum::<u64>();
        let non_idempotent =
            self.non_idempotent.iter().map(|id| (CallerInvariant::RanOnce, id, runs(id), 1));
        let not_run = self.not_run.iter().map(|id| (CallerInvariant::NotRun, id, runs(id), 0));
        let violations =
            non_idempotent.chain(not_run).filter(|(_, _, runs, allowed)| runs > allowed);
        let violations = violations.map(|(invariant, id, runs, _)| InvariantViolation {
            invariant,
            request_id: id.clone(),
            detail: format!("{runs} runs at the targets"),
        });
        let violations: Vec<_> = violations.collect();
        self.violations.extend(violations);
    }

    fn add_served(&mut self, result: &LoadResult, body: &[u8]) {
        let tally = &mut self.kinds[result.kind];
        let latency_us = result.latency.as_micros() as u64;
        tally.latency_us.saturating_record(latency_us);
        if result.latency > LOAD_MIX[result.kind].deadline {
            tally.late += 1;
        } else {
            tally.served += 1;
        }
        let echoed = String::from_utf8_lossy(body);
        let first = echoed.lines().next().unwrap_or_default();
        if first != result.expected {
            let detail = format!("sent {:?}, the response was for {first:?}", result.expected);
            self.add_violation(CallerInvariant::OwnResponse, result, detail);
        }
    }

    fn add_violation(&mut self, invariant: CallerInvariant, result: &LoadResult, detail: String) {
        let request_id = result.request_id.clone();
        self.violations.push(InvariantViolation { invariant, request_id, detail });
    }

    /// Returns a table of the outcomes by kind.
    pub fn table(&self) -> TextTable {
        let headings =
            ["service", "kind", "served", "late", "not run", "unknown", "p50 ms", "p99 ms"];
        let mut table = TextTable::new(&headings);
        for (kind, tally) in LOAD_MIX.iter().zip(&self.kinds) {
            let in_ms = |quantile| {
                format!("{:.2}", tally.latency_us.value_at_quantile(quantile) as f64 / 1e3)
            };
            let cells = [
                kind.service.to_owned(),
                kind.kind.to_owned(),
                tally.served.to_string(),
                tally.late.to_string(),
                tally.not_run.to_string(),
                tally.unknown.to_string(),
                in_ms(0.5),
                in_ms(0.99),
            ];
            let colour = if tally.late + tally.not_run + tally.unknown > 0 {
                RowColour::Yellow
            } else {
                RowColour::Plain
            };
            table.add(colour, cells.into());
        }
        table
    }

    /// Returns a line for each invariant: whether it held, or the first request that violated
    /// it.
    pub fn invariant_report(&self) -> String {
        let lines = CallerInvariant::iter().map(|invariant| {
            let mut violations =
                self.violations.iter().filter(|violation| violation.invariant == invariant);
            match violations.next() {
                None => format!("held: {invariant}\n"),
                Some(first) => format!(
                    "BROKEN {} times: {invariant}; first by request {}: {}\n",
                    violations.count() + 1,
                    first.request_id,
                    first.detail
                ),
            }
        });
        lines.collect()
    }
}
