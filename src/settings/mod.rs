//! Settings of an entry, read from YAML.

mod intent;
mod limits;
mod log;
mod peers;
mod platform;
mod pool;
mod routing;
mod signals;
mod stop;
pub mod violation;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
pub use limits::LimitSettings;
pub use log::{LogLevel, LogOutput, LogSettings};
pub use peers::PeerSettings;
pub use platform::{PlatformSettings, TeamSettings, TokenSettings};
pub use pool::{MAX_CONNECTIONS_PER_TARGET, PoolSettings};
pub use routing::RoutingSettings;
use serde::Deserialize;
use serde::de::DeserializeOwned;
pub use signals::SignalSettings;
pub use stop::StopSettings;
pub use violation::{CheckSettings, SettingsViolation, ViolationList};
use zinniaport_core::controllers::DirectorySettings;
use zinniaport_core::intent::ServiceIntent;

use self::violation::{check_each, element, field};

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq, Deserialize, bon::Builder)]
#[builder(on(String, into))]
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
    /// Logs.
    #[serde(default)]
    #[builder(default)]
    pub log: LogSettings,
    /// Limits on what callers may send.
    #[serde(default)]
    #[builder(default)]
    pub limits: LimitSettings,
    /// Limits on connections to targets.
    #[serde(default)]
    #[builder(default)]
    pub pool: PoolSettings,
    /// How targets are picked.
    #[serde(default)]
    #[builder(default)]
    pub routing: RoutingSettings,
    /// Time limits of a planned stop.
    #[serde(default)]
    #[builder(default)]
    pub stop: StopSettings,
    /// Intents to start with when no platform is set.
    #[serde(default)]
    #[builder(default)]
    pub services: Vec<ServiceIntent>,
    /// The platform's store and the teams; without it `services` stay as they are.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// Messages between entries; without it the entry runs alone.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// Datagrams between entries about requests in flight; without it each entry
    /// estimates the load of the others.
    #[serde(default)]
    pub signals: Option<SignalSettings>,
    /// How a directory of targets and configuration is used.
    #[serde(default)]
    #[builder(default)]
    pub directory: DirectorySettings,
}

impl CheckSettings for EntrySettings {
    fn check(&self, path: &str, faults: &mut ViolationList) {
        faults.check_name(field(path, "name"), &self.name);
        faults.check_name(field(path, "data_centre"), &self.data_centre);
        if self.listen == self.admin_listen && self.listen.port() != 0 {
            let limit = format!("unlike {}", field(path, "listen"));
            let remedy = "give administration a port of its own";
            faults.add(field(path, "admin_listen"), self.admin_listen, limit, remedy);
        }
        self.limits.check(&field(path, "limits"), faults);
        self.pool.check(&field(path, "pool"), faults);
        self.routing.check(&field(path, "routing"), faults);
        self.stop.check(&field(path, "stop"), faults);
        if let Some(platform) = &self.platform {
            platform.check(&field(path, "platform"), faults);
        }
        if let Some(peers) = &self.peers {
            peers.check(&field(path, "peers"), faults);
        }
        if let Some(signals) = &self.signals {
            signals.check(&field(path, "signals"), faults);
        }
        check_each(path, "services", &self.services, faults);
        let names = self.services.iter().map(|intent| intent.service.as_str());
        intent::check_unique(names, faults, "state each service once", |position| {
            field(&element(path, "services", position), "service")
        });
    }
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{}: {cause}; give --settings the path of a readable YAML file", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What failed.
        #[error(not(source))]
        cause: String,
    },
    /// The file is not valid YAML, or a field is unknown or of the wrong type.
    #[display("{}: {source}; correct the line, see docs/OPERATORS.md for each setting", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_norway::Error,
    },
    /// Values break rules; one line for each.
    #[display("{}", join_lines(faults))]
    Faulty {
        /// The faults.
        #[error(not(source))]
        faults: Vec<SettingsViolation>,
    },
}

/// Joins faults to text of one line each.
pub(crate) fn join_lines(faults: &[SettingsViolation]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl EntrySettings {
    /// Reads settings from a file and checks them.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not valid; it names
    /// all values that break a rule.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_settings(path)
    }

    /// Reads settings from text and checks them; `path` appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not valid; it names all values that
    /// break a rule.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        parse_settings(path, text)
    }
}

/// Reads settings of any kind from a YAML file and checks them.
///
/// # Errors
///
/// Returns an error when the file cannot be read or is not valid; it names all
/// values that break a rule.
pub fn load_settings<T: DeserializeOwned + CheckSettings>(path: &Path) -> Result<T, SettingsError> {
    let unreadable =
        |cause: &str| SettingsError::Unreadable { path: path.into(), cause: cause.to_owned() };
    if path.is_dir() {
        return Err(unreadable("is a directory, not a file"));
    }
    let bytes = std::fs::read(path).map_err(|error| unreadable(&read_fault(&error)))?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let position = error.utf8_error().valid_up_to();
        unreadable(&format!("byte {position} is not UTF-8"))
    })?;
    if text.trim().is_empty() {
        return Err(unreadable("the file is empty"));
    }
    parse_settings(path, &text)
}

/// Reads settings of any kind from YAML and checks them; `path` appears in errors.
///
/// # Errors
///
/// Returns an error when the text is not valid; it names all values that break a
/// rule.
pub fn parse_settings<T: DeserializeOwned + CheckSettings>(
    path: &Path,
    text: &str,
) -> Result<T, SettingsError> {
    let settings: T = serde_norway::from_str(text)
        .map_err(|source| SettingsError::Invalid { path: path.into(), source })?;
    let mut faults = ViolationList::default();
    settings.check("", &mut faults);
    match faults.into_violations() {
        faults if faults.is_empty() => Ok(settings),
        faults => Err(SettingsError::Faulty { faults }),
    }
}

fn read_fault(error: &std::io::Error) -> String {
    match error.kind() {
        std::io::ErrorKind::NotFound => "no such file".to_owned(),
        std::io::ErrorKind::PermissionDenied => "no permission to read the file".to_owned(),
        _ => error.to_string(),
    }
}
