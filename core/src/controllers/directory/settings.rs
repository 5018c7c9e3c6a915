//! Settings for following a directory.

use serde::Deserialize;

use crate::warm_up::WarmUpBound;

/// Settings for following a directory, chosen by the operator of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectorySettings {
    /// Retries and hedges allowed, as a ratio of the first attempts.
    pub retry_ratio: f64,
    /// Requests that a cold target may get from all entries together.
    pub warm_up: WarmUpBound,
    /// Whether the directory has evacuations. Following them takes calls of their own.
    pub evacuations: bool,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self { retry_ratio: 0.1, warm_up: WarmUpBound::default(), evacuations: false }
    }
}
