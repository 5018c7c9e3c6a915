//! Command line of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use super::{ReloadCause, StopSignals, cannot_handle_signals};
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
/// Each SIGHUP, and a check every second, calls `load` to read the settings again. Changed seeds
/// take effect at once, other changes at the next start.
pub async fn run_entry(
    settings: EntrySettings,
    dependencies: EntryDependencies,
    load: impl Fn() -> Result<EntrySettings, SettingsError>,
) -> ExitCode {
    let mut known = KnownSettings { settings: settings.clone(), error: None };
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
    signals.wait(|cause| known.update(load(), cause, &entry)).await;
    log::info!("stop requested, draining");
    entry.stop().await;
    log::info!("stopped");
    flush_logs();
    ExitCode::SUCCESS
}

/// Settings as they were read last.
struct KnownSettings {
    settings: EntrySettings,
    /// Why they could not be read the last time.
    error: Option<String>,
}

impl KnownSettings {
    /// Applies settings that were read again. Logs each reload that a signal requested, and
    /// others if they bring anything new.
    fn update(
        &mut self,
        loaded: Result<EntrySettings, SettingsError>,
        cause: ReloadCause,
        entry: &EntryRuntime,
    ) {
        let is_requested = cause == ReloadCause::Hangup;
        match loaded {
            Ok(settings) => {
                self.error = None;
                let changed = settings != self.settings;
                if !changed && !is_requested {
                    return;
                }
                let new_seeds = entry.apply_settings(&settings);
                self.settings = settings;
                log::info!(changed = changed, new_seeds = new_seeds, cause:% = cause; "settings reloaded; changes other than seeds apply at the next start");
            }
            Err(error) => {
                let error = Some(error.to_string());
                if is_requested || error != self.error {
                    log::error!(cause:% = cause; "cannot reload the settings, keeping the current ones: {}", error.as_deref().unwrap_or_default());
                }
                self.error = error;
            }
        }
    }
}
