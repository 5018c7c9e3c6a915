//! Command line of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use super::{StopSignals, cannot_handle_signals};
use crate::runtime::{EntryDependencies, EntryRuntime};
use crate::settings::{EntrySettings, SettingsError};
use crate::telemetry::{flush_logs, start_logs};

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
    /// Runs the entry until SIGTERM or Ctrl-C and returns the exit code.
    pub async fn run(self) -> ExitCode {
        let settings = match EntrySettings::load(&self.settings) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(2);
            }
        };
        let dependencies = EntryDependencies::from_platform(settings.platform.as_ref());
        run_entry(settings, dependencies, || EntrySettings::load(&self.settings)).await
    }
}

/// Runs an entry with these dependencies until SIGTERM or Ctrl-C and returns the exit code.
///
/// Each SIGHUP calls `load` to validate the settings again; changes take effect at the next
/// start.
pub async fn run_entry(
    settings: EntrySettings,
    dependencies: EntryDependencies,
    load: impl Fn() -> Result<EntrySettings, SettingsError>,
) -> ExitCode {
    let applied_settings = settings.clone();
    start_logs(&settings.log, &settings.name);
    let mut signals = match StopSignals::install() {
        Ok(signals) => signals,
        Err(error) => return cannot_handle_signals(&error),
    };
    let entry = match EntryRuntime::start_with_dependencies(settings, dependencies).await {
        Ok(entry) => entry,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("callers: {}", entry.caller_address());
    println!("admin: {}", entry.admin_address());
    let reload = || match load() {
        Ok(settings) => {
            let changed = settings != applied_settings;
            log::info!(changed = changed; "settings reloaded; changes apply at the next start");
        }
        Err(error) => log::error!("cannot reload the settings, keeping the current ones: {error}"),
    };
    signals.wait(reload).await;
    log::info!("stop requested, draining");
    entry.stop().await;
    log::info!("stopped");
    flush_logs();
    ExitCode::SUCCESS
}
