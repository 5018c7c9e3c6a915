//! Subcommands of `zinniaport` and the command lines of the daemons.

mod admin_client;
mod check;
mod entry;
mod plans;
mod standin;
mod try_out;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
pub use entry::EntryArguments;
pub use standin::{PlatformArguments, TargetArguments};

/// Drives and tries out zinniaport.
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
    /// Checks settings without starting.
    Check(check::CheckArguments),
    /// States an intent and prints the plan that would put it in force.
    Intent(plans::IntentArguments),
    /// Lists the plans that wait for confirmation.
    Plan(plans::PlanArguments),
    /// Confirms a plan.
    Confirm(plans::ConfirmArguments),
}

impl Arguments {
    /// Runs the subcommand.
    pub async fn run(self) -> ExitCode {
        match self.command {
            Command::Try(arguments) => arguments.run().await,
            Command::Check(arguments) => arguments.run(),
            Command::Intent(arguments) => arguments.run().await,
            Command::Plan(arguments) => arguments.run().await,
            Command::Confirm(arguments) => arguments.run().await,
        }
    }
}

/// Waits for SIGTERM or Ctrl-C.
async fn wait_for_stop() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
