//! What a directory of services says: the targets that registered themselves and
//! the configuration of the operator.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::intent::TargetInstance;
use crate::routes::{CallerLimits, RouteIntent};

/// A part of a directory that is listed and watched by itself.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum DirectoryPart {
    /// The targets.
    Targets,
    /// The configuration.
    Configuration,
}

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RegisteredTarget {
    /// Its identity and start.
    pub instance: TargetInstance,
    /// Name of its service.
    pub service: String,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced that it will leave.
    pub leaving: bool,
    /// Time for which it stays slow after its start.
    pub warm_up_left: Duration,
}

/// A service as the operator states it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceDefinition {
    /// Name of the service.
    pub name: String,
    /// Path that answers whether a target is well.
    pub health_path: String,
    /// Connections that a target accepts from all entries together.
    pub max_connections: u32,
}

/// The configuration of the operator, whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfiguration {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteIntent>,
    /// The services.
    pub services: Vec<ServiceDefinition>,
    /// Limits for callers.
    pub limits: Option<CallerLimits>,
}

/// One object of a directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DirectoryItem {
    /// A target.
    Target(RegisteredTarget),
    /// The configuration.
    Configuration(OperatorConfiguration),
    /// An object that names nothing to use.
    Unusable,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryChange {
    /// Name of the object.
    pub name: String,
    /// Revision of the change.
    pub revision: u64,
    /// The object; none once it was removed.
    pub item: Option<DirectoryItem>,
}

/// Changes up to a revision, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectoryBatch {
    /// Revision up to which the batch is complete.
    pub revision: u64,
    /// The changes; of a list, all objects that exist.
    pub changes: Vec<DirectoryChange>,
}
