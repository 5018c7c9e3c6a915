//! Settings of an entry, read from YAML.

mod peers;
mod platform;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
pub use peers::PeerSettings;
pub use platform::{PlatformSettings, TeamSettings, TokenSettings};
use serde::Deserialize;
use zinniaport_core::intent::ServiceIntent;

/// Settings of one entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for administration.
    pub admin_listen: SocketAddr,
    /// Intents to start with when no platform is set.
    #[serde(default)]
    pub services: Vec<ServiceIntent>,
    /// The platform's store and the teams; without it `services` stay as they are.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// Messages between entries; without it the entry runs alone.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read {}: {source}; give --settings the path of a readable YAML file", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: std::io::Error,
    },
    /// The file is not valid.
    #[display("{}: {source}; correct the line, see docs/OPERATORS.md for each setting", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_norway::Error,
    },
}

impl EntrySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not valid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.into(), source })?;
        serde_norway::from_str(&text)
            .map_err(|source| SettingsError::Invalid { path: path.into(), source })
    }
}
