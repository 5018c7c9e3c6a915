//! Results of an experiment, as a table, JSON or an SVG plot. An arm is one of the variants that
//! an experiment compares.

use std::fmt::Write as _;
use std::path::Path;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use plotters::prelude::*;
use serde::Serialize;

use super::load::{LoadSample, latency_histogram};

/// Result of one run of an arm.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Latency of served requests, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests served within their deadline.
    pub in_time: u64,
    /// Number of requests refused without running.
    pub refused: u64,
    /// Number of requests that were neither refused nor got a complete response from a target.
    pub failed: u64,
    /// Share of the targets' slot time that probes took, in percent.
    pub measuring_percent: f64,
}

impl Default for RunResult {
    fn default() -> Self {
        Self {
            latency_us: latency_histogram(),
            sent: 0,
            in_time: 0,
            refused: 0,
            failed: 0,
            measuring_percent: 0.0,
        }
    }
}

impl RunResult {
    /// Adds the result of one request.
    pub fn add(&mut self, sample: LoadSample) {
        self.sent += 1;
        if sample.served {
            self.latency_us.saturating_record(sample.latency.as_micros() as u64);
            self.in_time += u64::from(sample.in_time);
        } else if sample.refused {
            self.refused += 1;
        } else {
            self.failed += 1;
        }
    }

    /// Adds the requests of another run, without its share of probes.
    ///
    /// # Panics
    ///
    /// Never: all histograms have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.latency_us.add(&other.latency_us).expect("histograms have the same bounds");
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Summary of all runs of an arm.
#[derive(Clone, Debug, Serialize)]
pub struct ArmSummary {
    /// Name of the arm.
    pub arm: String,
    /// Number of runs, one for each seed.
    pub runs: usize,
    /// Number of requests sent.
    pub sent: u64,
    /// Share of requests served within the deadline, in percent.
    pub in_time_percent: f64,
    /// Number of requests refused without running.
    pub refused: u64,
    /// Number of requests that failed for other reasons.
    pub failed: u64,
    /// Median latency over all runs, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile over all runs, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile over all runs, in milliseconds.
    pub p999_ms: f64,
    /// Ratio of the 99th percentile to that of the baseline, median over the seeds.
    pub p99_ratio: f64,
    /// Lowest and highest of these ratios.
    pub p99_ratio_spread: [f64; 2],
    /// Ratio of the 99.9th percentile to that of the baseline, median over the seeds.
    pub p999_ratio: f64,
    /// Lowest and highest of these ratios.
    pub p999_ratio_spread: [f64; 2],
    /// Share of the targets' slot time spent on probes, in percent.
    pub measuring_percent: f64,
}

/// Report of an experiment with all its arms, the baseline first.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// Name of the experiment.
    pub experiment: String,
    /// Parameters of the experiment, in one line.
    pub setting: String,
    /// Summaries of the arms.
    pub arms: Vec<ArmSummary>,
}

impl BenchReport {
    /// Summarises the runs of each arm. Runs at the same index have the same seed in all arms.
    pub fn new(experiment: &str, setting: String, runs: &IndexMap<String, Vec<RunResult>>) -> Self {
        let baseline = runs.first().map(|(_, results)| results.as_slice()).unwrap_or_default();
        let arms = runs.iter().map(|(arm, results)| summarise(arm, results, baseline)).collect();
        Self { experiment: experiment.to_owned(), setting, arms }
    }

    /// Formats the report as a table of at most 80 columns.
    pub fn table(&self) -> String {
        let mut text = format!("{}: {}\n", self.experiment, self.setting);
        let _ = writeln!(
            text,
            "{:<16}{:>7}{:>8}{:>8}{:>8}{:>8} {:>22}",
            "arm", "sent", "in time", "p50 ms", "p99 ms", "p99.9", "p99 / baseline"
        );
        for arm in &self.arms {
            let [low, high] = arm.p99_ratio_spread;
            let ratio = format!("{:.2} ({low:.2} to {high:.2})", arm.p99_ratio);
            let _ = writeln!(
                text,
                "{:<16}{:>7}{:>7.2}%{:>8.1}{:>8.1}{:>8.1} {ratio:>22}",
                arm.arm, arm.sent, arm.in_time_percent, arm.p50_ms, arm.p99_ms, arm.p999_ms
            );
        }
        for arm in &self.arms {
            let _ = writeln!(
                text,
                "{}: {} refused, {} failed, probes took {:.2}% of slot time",
                arm.arm, arm.refused, arm.failed, arm.measuring_percent
            );
        }
        text
    }

    /// Draws the 99th and 99.9th percentiles of each arm into an SVG file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let highest = self.arms.iter().map(|arm| arm.p999_ms).fold(1.0, f64::max);
        let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("{}: p99 and p99.9 by policy", self.experiment), ("sans-serif", 20))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..self.arms.len() as f64, 0.0..highest * 1.1)?;
        let names: Vec<_> = self.arms.iter().map(|arm| arm.arm.clone()).collect();
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(self.arms.len() + 1)
            .x_label_formatter(&|x| names.get(x.floor() as usize).cloned().unwrap_or_default())
            .y_desc("milliseconds")
            .draw()?;
        let bars = self.arms.iter().enumerate().flat_map(|(position, arm)| {
            let left = position as f64;
            [
                Rectangle::new([(left + 0.15, 0.0), (left + 0.45, arm.p99_ms)], BLUE.filled()),
                Rectangle::new([(left + 0.5, 0.0), (left + 0.8, arm.p999_ms)], RED.filled()),
            ]
        });
        chart.draw_series(bars)?;
        area.present()?;
        Ok(())
    }
}

fn summarise(arm: &str, results: &[RunResult], baseline: &[RunResult]) -> ArmSummary {
    let mut merged = RunResult::default();
    for result in results {
        merged.merge(result);
    }
    let (p99_ratio, p99_ratio_spread) = ratios(results, baseline, 0.99);
    let (p999_ratio, p999_ratio_spread) = ratios(results, baseline, 0.999);
    ArmSummary {
        arm: arm.to_owned(),
        runs: results.len(),
        sent: merged.sent,
        in_time_percent: 100.0 * merged.in_time as f64 / merged.sent.max(1) as f64,
        refused: merged.refused,
        failed: merged.failed,
        p50_ms: merged.quantile_ms(0.5),
        p99_ms: merged.quantile_ms(0.99),
        p999_ms: merged.quantile_ms(0.999),
        p99_ratio,
        p99_ratio_spread,
        p999_ratio,
        p999_ratio_spread,
        measuring_percent: mean(results.iter().map(|run| run.measuring_percent)),
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

/// Returns the median, and the lowest and highest ratio to the baseline over the seeds.
fn ratios(results: &[RunResult], baseline: &[RunResult], quantile: f64) -> (f64, [f64; 2]) {
    let mut ratios: Vec<f64> = results
        .iter()
        .zip(baseline)
        .map(|(run, base)| run.quantile_ms(quantile) / base.quantile_ms(quantile).max(0.001))
        .collect();
    ratios.sort_by(f64::total_cmp);
    let at = |position: usize| ratios.get(position).copied().unwrap_or(1.0);
    (at(ratios.len() / 2), [at(0), at(ratios.len().saturating_sub(1))])
}
