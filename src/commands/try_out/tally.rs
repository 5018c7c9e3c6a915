//! Outcomes of generated requests and the promises that they show.

use hdrhistogram::Histogram;
use strum::IntoEnumIterator;
use strum::{Display, EnumIter};
use zinniaport_core::call::CallOutcome;
use zinniaport_standin::target::RunCounts;

use super::load::{LOAD_MIX, LoadAnswer};
use crate::commands::output::{RowColour, TextTable};
use crate::front::OUTCOME_HEADER;

/// Longest latency told apart from longer ones: twice the longest deadline.
const MAX_LATENCY_US: u64 = 240_000_000;

/// A promise that a caller can check.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub enum CallerPromise {
    /// The answer echoes the method, path and identity of its own request.
    #[strum(to_string = "each answer is the caller's own")]
    OwnAnswer,
    /// Each request got a whole answer.
    #[strum(to_string = "each answer is complete")]
    CompleteAnswer,
    /// The answer says whether the request ran.
    #[strum(to_string = "each answer says whether the request ran")]
    StatedOutcome,
    /// The targets started a non-idempotent request at most once.
    #[strum(to_string = "no non-idempotent request ran twice")]
    RanOnce,
    /// The targets did not start a request whose caller was told `not-run`.
    #[strum(to_string = "no request called not-run has run")]
    NotRun,
}

/// A request that broke a promise.
#[derive(Clone, Debug)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: CallerPromise,
    /// The request.
    pub request_id: String,
    /// What came in place of what was promised.
    pub detail: String,
}

struct KindTally {
    served: u64,
    late: u64,
    not_run: u64,
    unknown: u64,
    latency_us: Histogram<u64>,
}

/// Outcomes by kind.
pub struct LoadTally {
    kinds: Vec<KindTally>,
    /// Broken promises in the order in which they were noticed.
    pub broken: Vec<BrokenPromise>,
    /// Requests counted.
    pub requests: u64,
    /// Identities of non-idempotent requests.
    once: Vec<String>,
    /// Identities of requests whose callers were told `not-run`.
    not_run: Vec<String>,
}

impl LoadTally {
    /// Creates a tally without requests.
    ///
    /// # Panics
    ///
    /// Panics when the bounds of the histogram are invalid, which they are not.
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
            broken: Vec::new(),
            requests: 0,
            once: Vec::new(),
            not_run: Vec::new(),
        }
    }

    /// Counts an answer and checks its promises.
    pub fn add(&mut self, answer: &LoadAnswer) {
        self.requests += 1;
        if !LOAD_MIX[answer.kind].idempotent {
            self.once.push(answer.request_id.clone());
        }
        let response = match &answer.result {
            Ok(response) => response,
            Err(cause) => {
                self.kinds[answer.kind].unknown += 1;
                return self.add_broken(CallerPromise::CompleteAnswer, answer, cause.clone());
            }
        };
        let outcome = response.headers().get(OUTCOME_HEADER);
        let outcome: Option<CallOutcome> =
            outcome.and_then(|value| value.to_str().ok()?.parse().ok());
        match outcome {
            Some(CallOutcome::Ran) => self.add_served(answer, response.body()),
            Some(CallOutcome::NotRun) => {
                self.kinds[answer.kind].not_run += 1;
                self.not_run.push(answer.request_id.clone());
            }
            Some(CallOutcome::Unknown) => self.kinds[answer.kind].unknown += 1,
            None => {
                self.kinds[answer.kind].unknown += 1;
                let detail = format!("status {} without {OUTCOME_HEADER}", response.status());
                self.add_broken(CallerPromise::StatedOutcome, answer, detail);
            }
        }
    }

    /// Checks what callers were told against what the targets ran.
    pub fn check_runs(&mut self, targets: &[RunCounts]) {
        let runs = |id: &String| targets.iter().map(|target| target.of_request(id)).sum::<u64>();
        let once = self.once.iter().map(|id| (CallerPromise::RanOnce, id, runs(id), 1));
        let not_run = self.not_run.iter().map(|id| (CallerPromise::NotRun, id, runs(id), 0));
        let broken = once.chain(not_run).filter(|(_, _, runs, allowed)| runs > allowed);
        let broken = broken.map(|(promise, id, runs, _)| BrokenPromise {
            promise,
            request_id: id.clone(),
            detail: format!("{runs} runs at the targets"),
        });
        let broken: Vec<_> = broken.collect();
        self.broken.extend(broken);
    }

    fn add_served(&mut self, answer: &LoadAnswer, body: &[u8]) {
        let tally = &mut self.kinds[answer.kind];
        let taken_us = answer.taken.as_micros() as u64;
        tally.latency_us.saturating_record(taken_us);
        if answer.taken > LOAD_MIX[answer.kind].deadline {
            tally.late += 1;
        } else {
            tally.served += 1;
        }
        let echoed = String::from_utf8_lossy(body);
        let first = echoed.lines().next().unwrap_or_default();
        if first != answer.expected {
            let detail = format!("sent {:?}, the answer was for {first:?}", answer.expected);
            self.add_broken(CallerPromise::OwnAnswer, answer, detail);
        }
    }

    fn add_broken(&mut self, promise: CallerPromise, answer: &LoadAnswer, detail: String) {
        let request_id = answer.request_id.clone();
        self.broken.push(BrokenPromise { promise, request_id, detail });
    }

    /// Gives the outcomes as a table.
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

    /// Says for each promise whether it held, with the first request that broke
    /// it.
    pub fn promises(&self) -> String {
        let lines = CallerPromise::iter().map(|promise| {
            let mut broken = self.broken.iter().filter(|broken| broken.promise == promise);
            match broken.next() {
                None => format!("held: {promise}\n"),
                Some(first) => format!(
                    "BROKEN {} times: {promise}; first by request {}: {}\n",
                    broken.count() + 1,
                    first.request_id,
                    first.detail
                ),
            }
        });
        lines.collect()
    }
}
