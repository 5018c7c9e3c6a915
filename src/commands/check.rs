//! `zinniaport check`: validation of a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use crate::settings::EntrySettings;

/// Arguments of `zinniaport check`.
#[derive(Debug, Args)]
#[command(after_help = "Example: zinniaport check --settings examples/one-entry.yaml\n\n\
                        Exit codes: 0 valid, 2 violations (one line each)")]
pub struct CheckArguments {
    /// YAML file with the settings of an entry.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl CheckArguments {
    /// Checks the file; returns exit code 2 if it cannot be read or violates a rule.
    pub fn run(self) -> ExitCode {
        match EntrySettings::load(&self.settings) {
            Ok(_) => {
                println!("{}: no faults", self.settings.display());
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(2)
            }
        }
    }
}
