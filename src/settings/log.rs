//! Settings of logs.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Settings of logs, which are JSON lines.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity that is written.
    #[serde(default)]
    pub level: LogLevel,
    /// Output of the lines.
    #[serde(default)]
    pub output: LogOutput,
}

/// Output of log lines.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogOutput {
    /// Standard error, separate from the addresses that an entry prints on standard output.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}

/// Severity of a log line.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Only errors that need an operator.
    Error,
    /// Also errors that the entry recovers from.
    Warn,
    /// Also refusals and state changes.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
}
