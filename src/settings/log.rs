//! Settings of logs.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Settings of logs, which are JSON lines.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written.
    #[serde(default)]
    pub level: LogLevel,
    /// Where the lines go.
    #[serde(default)]
    pub output: LogOutput,
}

/// Where log lines go.
#[derive(
    Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogOutput {
    /// Standard error, apart from the addresses that an entry prints.
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
    /// Only faults that need an operator.
    Error,
    /// Also faults that the entry works around.
    Warn,
    /// Also refusals and changes of state.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
}
