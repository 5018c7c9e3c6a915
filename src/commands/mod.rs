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
use std::time::Duration;

use clap::{Parser, Subcommand};
pub use entry::{EntryArguments, run_entry};
pub use standin::{PlatformArguments, TargetArguments};
use strum::Display;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, MissedTickBehavior, interval_at};

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

/// Time between two checks of the settings file, which may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(1);

/// Why settings are read again.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum ReloadCause {
    /// SIGHUP announced a change.
    Hangup,
    /// The periodic check.
    Period,
}

/// Signals that stop a process or announce changed settings.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Installs the handlers. Until then the default action of each signal ends the process, so
    /// a program calls this before it prints its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or Ctrl-C, and calls `reload` at each SIGHUP and in every
    /// [`RELOAD_PERIOD`].
    async fn wait(&mut self, mut reload: impl FnMut(ReloadCause)) {
        let mut checks = interval_at(Instant::now() + RELOAD_PERIOD, RELOAD_PERIOD);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => reload(ReloadCause::Hangup),
                _ = checks.tick() => reload(ReloadCause::Period),
            }
        }
    }
}

/// Reports that the signal handlers cannot be installed.
fn cannot_handle_signals(error: &std::io::Error) -> ExitCode {
    eprintln!("cannot install signal handlers: {error}; raise the limit of open files");
    ExitCode::FAILURE
}
