//! `zinniaport bench`: benchmarks with entries and stand-in targets on loopback.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand, ValueEnum};
use indexmap::IndexMap;

use super::output::OutputFormat;
use crate::bench::{
    BenchReport, BenchScenario, BenchTrial, CO_OPERATIVE, CapacityReport, Deployment,
    OverheadTrial, POTECA, RunResult, load_transport, measure_capacity, measure_placement,
    measure_quota,
};

/// Arguments of `zinniaport bench`.
#[derive(Debug, Args)]
#[command(after_help = "Example: zinniaport bench routing steady --plot steady.svg")]
pub struct BenchArguments {
    #[command(subcommand)]
    experiment: Experiment,
    /// Output format.
    #[arg(long, value_enum, default_value_t, global = true)]
    output: OutputFormat,
    /// Also draws a plot into this SVG file (not for capacity, placement and quota).
    #[arg(long, value_name = "FILE", global = true)]
    plot: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Compares routing policies in one scenario.
    Routing(RoutingArguments),
    /// Compares the latency of requests through an entry and directly to a target.
    Overhead(OverheadArguments),
    /// Measures how memory, CPU time and message sizes grow with the size of the system.
    Capacity,
    /// Measures how many placement requests a coordinator decides on per second and core.
    Placement,
    /// Measures how many requests for tokens of tenants an owner decides on per second and core.
    Quota,
}

#[derive(Debug, Args)]
struct RoutingArguments {
    /// Event that happens during each run.
    #[arg(value_parser = clap::builder::ValueParser::new(parse_scenario))]
    scenario: BenchScenario,
    /// Deployment to start on loopback.
    #[arg(long, value_enum, default_value_t = DeploymentName::CoOperative)]
    deployment: DeploymentName,
    /// Routing policies to compare, the baseline first.
    #[arg(long, value_delimiter = ',', default_value = "two-choices,random")]
    policies: Vec<String>,
    /// Number of seeds; every policy runs once with each seed.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Utilisation of the slots by the base load, in percent.
    #[arg(long, default_value_t = 60.0)]
    utilisation_percent: f64,
}

#[derive(Debug, Args)]
struct OverheadArguments {
    /// Requests per second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Number of runs; each alternates between both arms.
    #[arg(long, default_value_t = 5)]
    runs: u64,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum DeploymentName {
    CoOperative,
    Poteca,
}

impl DeploymentName {
    fn deployment(self) -> Deployment {
        match self {
            Self::CoOperative => CO_OPERATIVE,
            Self::Poteca => POTECA,
        }
    }
}

fn parse_scenario(name: &str) -> Result<BenchScenario, String> {
    use strum::IntoEnumIterator;
    let names: Vec<_> = BenchScenario::iter().map(|scenario| scenario.to_string()).collect();
    name.parse().map_err(|_| format!("unknown scenario; use one of {}", names.join(", ")))
}

impl BenchArguments {
    /// Runs the experiment, prints its report and returns the exit code.
    pub async fn run(self) -> ExitCode {
        let printed = match &self.experiment {
            Experiment::Routing(arguments) => {
                arguments.run().await.and_then(|report| self.print(&report))
            }
            Experiment::Overhead(arguments) => {
                let trial = OverheadTrial { rate: arguments.rate, runs: arguments.runs };
                let report = trial.run(load_transport()).await;
                report.and_then(|report| self.print(&report))
            }
            Experiment::Capacity | Experiment::Placement | Experiment::Quota
                if self.plot.is_some() =>
            {
                eprintln!("this experiment cannot draw a plot; omit --plot or use --output json");
                return ExitCode::from(2);
            }
            Experiment::Quota => self.print_capacity(&measure_quota()),
            Experiment::Placement => self.print_capacity(&measure_placement()),
            Experiment::Capacity => {
                measure_capacity().await.and_then(|report| self.print_capacity(&report))
            }
        };
        match printed {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!(
                    "the experiment failed: {error}; check the limit on open files and run it again"
                );
                ExitCode::FAILURE
            }
        }
    }

    fn print_capacity(&self, report: &CapacityReport) -> Result<(), Box<dyn std::error::Error>> {
        match self.output {
            OutputFormat::Text => print!("{}", report.table()),
            OutputFormat::Json => println!("{}", serde_json::to_string_pretty(report)?),
        }
        Ok(())
    }

    fn print(&self, report: &BenchReport) -> Result<(), Box<dyn std::error::Error>> {
        match self.output {
            OutputFormat::Text => print!("{}", report.table()),
            OutputFormat::Json => println!("{}", serde_json::to_string_pretty(report)?),
        }
        self.plot.as_ref().map_or(Ok(()), |path| report.plot(path))
    }
}

impl RoutingArguments {
    /// Runs every policy once with each seed and summarises the requests of rank 0.
    async fn run(&self) -> Result<BenchReport, Box<dyn std::error::Error>> {
        let deployment = self.deployment.deployment();
        let mut arms: IndexMap<String, Vec<RunResult>> = IndexMap::new();
        for seed in 1..=self.seeds {
            for policy in &self.policies {
                let trial = BenchTrial {
                    deployment,
                    scenario: self.scenario,
                    policy: policy.clone(),
                    utilisation: self.utilisation_percent / 100.0,
                    seed,
                };
                let result = trial.run(load_transport()).await?;
                arms.entry(policy.clone()).or_default().push(result.rank_0);
            }
        }
        let setting = format!(
            "{}, {} entries, {}% of slots busy, {} seeds, requests of rank 0",
            deployment.name, deployment.entries, self.utilisation_percent, self.seeds
        );
        Ok(BenchReport::new(&self.scenario.to_string(), setting, &arms))
    }
}
