//! Command lines of the programs: the subcommands of `zinniaport`, and the daemons.

mod bench;
mod burn;
mod burn_page;
mod check;
mod client;
mod completions;
mod entry;
mod explain;
mod output;
mod plans;
mod standin;
mod status;
mod team_access;
mod try_out;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
pub use entry::{EntryArguments, run_entry};
pub use standin::{PlatformArguments, TargetArguments};

/// Operates, measures and demonstrates the zinniaport load balancer.
#[derive(Debug, Parser)]
#[command(version, about, after_help = "Example: zinniaport try")]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry with demo targets in one process.
    Try(try_out::TryArguments),
    /// Checks the settings of an entry without starting it.
    Check(check::CheckArguments),
    /// Submits an intent and prints the plan that would apply it.
    Intent(plans::IntentArguments),
    /// Lists the plans that await confirmation.
    Plan(plans::PlanArguments),
    /// Confirms a plan, which applies it.
    Confirm(plans::ConfirmArguments),
    /// Explains why a request waited and how it was handled.
    Explain(explain::ExplainArguments),
    /// Shows services and targets as an entry sees them.
    Status(status::StatusArguments),
    /// Shows how fast services use up the error budgets of their objectives.
    Burn(burn::BurnArguments),
    /// Runs experiments with entries and stand-in targets on loopback.
    Bench(bench::BenchArguments),
    /// Prints a shell completion script.
    Completions(completions::CompletionArguments),
}

impl Arguments {
    /// Runs the subcommand and returns its exit code.
    pub async fn run(self) -> ExitCode {
        match self.command {
            Command::Try(arguments) => arguments.run().await,
            Command::Check(arguments) => arguments.run(),
            Command::Intent(arguments) => arguments.run().await,
            Command::Plan(arguments) => arguments.run().await,
            Command::Confirm(arguments) => arguments.run().await,
            Command::Explain(arguments) => arguments.run().await,
            Command::Status(arguments) => arguments.run().await,
            Command::Burn(arguments) => arguments.run().await,
            Command::Bench(arguments) => arguments.run().await,
            Command::Completions(arguments) => arguments.run(),
        }
    }
}

/// Waits for SIGTERM or Ctrl-C, and calls `reload` at each SIGHUP.
///
/// SIGHUP is handled even if `reload` does nothing, because its default action terminates the
/// process.
async fn wait_for_stop(mut reload: impl FnMut()) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut hangup)) =
        (signal(SignalKind::terminate()), signal(SignalKind::hangup()))
    else {
        log::error!("cannot install signal handlers; stop the process with SIGKILL");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = tokio::signal::ctrl_c() => return,
            _ = hangup.recv() => reload(),
        }
    }
}
