//! Subcommands of `zinniaport` and the command lines of the daemons.

mod check;
mod entry;
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
}

impl Arguments {
    /// Runs the subcommand.
    pub async fn run(self) -> ExitCode {
        match self.command {
            Command::Try(arguments) => arguments.run().await,
            Command::Check(arguments) => arguments.run(),
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
