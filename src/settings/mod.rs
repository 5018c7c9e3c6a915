//! Settings of an entry, read from YAML.

mod intent;
mod limits;
mod log;
mod peers;
mod placement;
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
pub use placement::PlacementSettings;
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
    /// Log output.
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
    /// Routing policy.
    #[serde(default)]
    #[builder(default)]
    pub routing: RoutingSettings,
    /// Time limits of a planned stop.
    #[serde(default)]
    #[builder(default)]
    pub stop: StopSettings,
    /// Intents of an entry without a platform.
    #[serde(default)]
    #[builder(default)]
    pub services: Vec<ServiceIntent>,
    /// The platform's store and the teams. Without it `services` never change.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// Gossip and calls between entries. Without it the entry runs alone.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// Datagrams between entries about requests in flight. Without them each entry
    /// estimates the load of the others.
    #[serde(default)]
    pub signals: Option<SignalSettings>,
    /// Placement of requests by coordinators.
    #[serde(default)]
    #[builder(default)]
    pub placement: PlacementSettings,
    /// Use of a directory of targets and configuration.
    #[serde(default)]
    #[builder(default)]
    pub directory: DirectorySettings,
}

impl CheckSettings for EntrySettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        violations.check_name(field(path, "name"), &self.name);
        violations.check_name(field(path, "data_centre"), &self.data_centre);
        if self.listen == self.admin_listen && self.listen.port() != 0 {
            let limit = format!("unlike {}", field(path, "listen"));
            let remedy = "give administration a port of its own";
            violations.add(field(path, "admin_listen"), self.admin_listen, limit, remedy);
        }
        self.limits.check(&field(path, "limits"), violations);
        self.pool.check(&field(path, "pool"), violations);
        self.routing.check(&field(path, "routing"), violations);
        self.stop.check(&field(path, "stop"), violations);
        if let Some(platform) = &self.platform {
            platform.check(&field(path, "platform"), violations);
        }
        if let Some(peers) = &self.peers {
            peers.check(&field(path, "peers"), violations);
        }
        if let Some(signals) = &self.signals {
            signals.check(&field(path, "signals"), violations);
        }
        check_each(path, "services", &self.services, violations);
        let names = self.services.iter().map(|intent| intent.service.as_str());
        intent::check_unique(names, violations, "state each service once", |position| {
            field(&element(path, "services", position), "service")
        });
    }
}

/// The settings cannot be used.
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
    /// Values violate rules; one line for each.
    #[display("{}", join_lines(violations))]
    Violations {
        /// The violations.
        #[error(not(source))]
        violations: Vec<SettingsViolation>,
    },
}

/// Formats violations as one line each.
pub(crate) fn join_lines(violations: &[SettingsViolation]) -> String {
    violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl EntrySettings {
    /// Reads settings from a file and checks them.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read or is not valid. The error lists all
    /// values that violate a rule.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_settings(path)
    }

    /// Reads settings from text and checks them. Errors contain `path`.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not valid. The error lists all values that violate
    /// a rule.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        parse_settings(path, text)
    }
}

/// Reads settings of any kind from a YAML file and checks them.
///
/// # Errors
///
/// Returns an error when the file cannot be read or is not valid. The error lists all
/// values that violate a rule.
pub fn load_settings<T: DeserializeOwned + CheckSettings>(path: &Path) -> Result<T, SettingsError> {
    let unreadable =
        |cause: &str| SettingsError::Unreadable { path: path.into(), cause: cause.to_owned() };
    if path.is_dir() {
        return Err(unreadable("is a directory, not a file"));
    }
    let bytes = std::fs::read(path).map_err(|error| unreadable(&read_error(&error)))?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let position = error.utf8_error().valid_up_to();
        unreadable(&format!("byte {position} is not UTF-8"))
    })?;
    if text.trim().is_empty() {
        return Err(unreadable("the file is empty"));
    }
    parse_settings(path, &text)
}

/// Reads settings of any kind from YAML and checks them. Errors contain `path`.
///
/// # Errors
///
/// Returns an error when the text is not valid. The error lists all values that violate a
/// rule.
pub fn parse_settings<T: DeserializeOwned + CheckSettings>(
    path: &Path,
    text: &str,
) -> Result<T, SettingsError> {
    let settings: T = serde_norway::from_str(text)
        .map_err(|source| SettingsError::Invalid { path: path.into(), source })?;
    let mut violations = ViolationList::default();
    settings.check("", &mut violations);
    match violations.into_violations() {
        violations if violations.is_empty() => Ok(settings),
        violations => Err(SettingsError::Violations { violations }),
    }
}

fn read_error(error: &std::io::Error) -> String {
    match error.kind() {
        std::io::ErrorKind::NotFound => "no such file".to_owned(),
        std::io::ErrorKind::PermissionDenied => "no permission to read the file".to_owned(),
        _ => error.to_string(),
    }
}
