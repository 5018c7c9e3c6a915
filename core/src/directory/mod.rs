//! Content of a directory of services: targets that registered themselves and the
//! configuration of the operator.

mod ledger;
mod revision;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use ledger::PartLedger;
pub use revision::{StoreRevision, WriterOrder};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

use crate::intent::TargetInstance;
use crate::routes::{CallerLimits, RouteIntent};
use crate::tenants::TenantIntent;

/// Part of a directory that is listed and watched separately.
#[derive(
    Clone, Copy, Debug, Display, EnumCount, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq,
)]
#[strum(serialize_all = "kebab-case")]
pub enum DirectoryPart {
    /// Targets.
    Targets,
    /// Configuration of the operator.
    Configuration,
    /// Evacuated data centres. Followed only if the settings ask for it.
    Evacuations,
}

impl DirectoryPart {
    /// Number of parts.
    pub const COUNT: usize = <Self as EnumCount>::COUNT;
}

/// A target as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RegisteredTarget {
    /// Identity and start time of its process.
    pub instance: TargetInstance,
    /// Name of its service.
    pub service: String,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it has announced that it will leave.
    pub leaving: bool,
    /// Remaining time for which it is slow after its start.
    pub warm_up_left: Duration,
    /// Number of this registration among those that its process wrote.
    #[serde(default)]
    pub sequence: u64,
}

/// A service as the operator defines it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDefinition {
    /// Name of the service.
    pub name: String,
    /// Path of the health check of a target.
    pub health_path: String,
    /// Maximum number of connections that a target accepts from all entries together.
    pub max_connections: u32,
    /// Time for which a target is cold after its start or after an evacuation.
    #[serde(default)]
    pub warm_up: Duration,
    /// Requests per second that a cold target takes from all entries together; `None` for no
    /// limit.
    #[serde(default)]
    pub warm_up_per_second: Option<f64>,
}

/// Complete configuration of the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfiguration {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteIntent>,
    /// Services.
    pub services: Vec<ServiceDefinition>,
    /// Limits on callers.
    pub limits: Option<CallerLimits>,
    /// Tenants; `None` if requests need no API key.
    #[serde(default)]
    pub tenants: Option<Arc<[TenantIntent]>>,
    /// Items that this version does not use because it does not know them, by their place.
    #[serde(default)]
    pub unused_items: Vec<String>,
}

/// Object of a directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DirectoryItem {
    /// Registered target.
    Target(RegisteredTarget),
    /// Configuration of the operator.
    Configuration(OperatorConfiguration),
    /// Evacuation of the data centre that the object is named after.
    Evacuation,
    /// Object without usable content.
    Unusable,
}

impl DirectoryItem {
    /// Returns the position of the object among all that its writer wrote under its name, if its
    /// writer states one.
    pub fn writer_order(&self) -> Option<WriterOrder> {
        match self {
            Self::Target(target) => Some(WriterOrder {
                started_ms: target.instance.started_ms,
                sequence: target.sequence,
            }),
            Self::Configuration(configuration) => {
                Some(WriterOrder { started_ms: 0, sequence: configuration.version })
            }
            Self::Unusable => Some(WriterOrder::default()),
            Self::Evacuation => None,
        }
    }
}

/// Change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// Name of the object.
    pub name: String,
    /// Revision of the change in the era of its batch.
    pub revision: u64,
    /// New content of the object; `None` if it was removed.
    pub item: Option<DirectoryItem>,
}

/// Changes up to a revision, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectoryBatch {
    /// Era of all revisions of the batch.
    #[serde(default)]
    pub era: u64,
    /// Revision up to which the batch is complete.
    pub revision: u64,
    /// Changes; in the result of a list call, all existing objects.
    pub changes: Vec<DirectoryChange>,
}

impl DirectoryBatch {
    /// Returns the revision up to which the batch is complete, with its era.
    pub fn position(&self) -> StoreRevision {
        StoreRevision { era: self.era, number: self.revision }
    }

    /// Returns the revision of one of its changes, with its era.
    pub fn change_position(&self, change: &DirectoryChange) -> StoreRevision {
        StoreRevision { era: self.era, number: change.revision }
    }
}

/// Where a batch comes from. Only a response of the platform proves that there is
/// nothing newer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchOrigin {
    /// All objects, from the platform.
    Listed,
    /// Changes, from the platform.
    Watched,
    /// All objects, from a peer.
    ListedByPeer,
    /// Changes, from a peer.
    WatchedByPeer,
}

impl BatchOrigin {
    /// Returns `true` if the batch holds all objects.
    pub fn is_list(self) -> bool {
        matches!(self, Self::Listed | Self::ListedByPeer)
    }
}
