//! Command line of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use super::wait_for_stop;
use crate::runtime::{EntryBorders, EntryRuntime};
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
        let borders = EntryBorders::of_platform(settings.platform.as_ref());
        run_entry(settings, borders).await
    }
}

/// Runs an entry on these borders until SIGTERM or Ctrl-C.
pub async fn run_entry(settings: EntrySettings, borders: EntryBorders) -> ExitCode {
    start_logs(settings.log.level, &settings.name);
    let entry = match EntryRuntime::start_on(settings, borders).await {
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
