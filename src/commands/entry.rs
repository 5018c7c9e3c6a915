//! Command line of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use super::wait_for_stop;
use crate::runtime::EntryRuntime;
use crate::settings::EntrySettings;
use crate::telemetry::start_logs;

/// Runs an entry.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    after_help = "Example: zinniaport-entry --settings examples/one-entry.yaml"
)]
pub struct EntryArguments {
    /// YAML file with the settings of the entry.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl EntryArguments {
    /// Runs the entry until SIGTERM or Ctrl-C.
    pub async fn run(self) -> ExitCode {
        let settings = match EntrySettings::load(&self.settings) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        };
        start_logs(settings.log.level, &settings.name);
        let entry = match EntryRuntime::start(settings).await {
            Ok(entry) => entry,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        println!("callers: {}", entry.caller_address());
        println!("admin: {}", entry.admin_address());
        wait_for_stop().await;
        entry.stop().await;
        ExitCode::SUCCESS
    }
}
