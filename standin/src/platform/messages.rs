//! Messages to the platform's state, and its responses.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

slotmap::new_key_type! {
    /// Key of a call that has no response yet.
    pub struct CallKey;
}

/// Kind of a call, by which calls are counted.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Reads an object.
    Read,
    /// Lists objects.
    List,
    /// Creates or updates an object under a condition.
    Write,
    /// Deletes an object under a condition.
    Delete,
    /// Watches for changes. Counted once, however long it waits.
    Watch,
    /// Lists the VMs.
    Vms,
}

impl CallKind {
    /// Returns `true` if the call changes an object.
    pub fn changes_objects(self) -> bool {
        matches!(self, Self::Write | Self::Delete)
    }
}

/// Numbers of calls so far.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that were handled, by kind.
    pub calls: IndexMap<CallKind, u64>,
    /// Calls that the rate limit refused.
    pub limited: u64,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
}

impl CallCounts {
    /// Returns the number of calls of a kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.calls.get(&kind).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, kind: CallKind) {
        *self.calls.entry(kind).or_default() += 1;
    }
}

/// An object after a change, in the JSON shape of zinniaport's `StoredObject`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Name of the object.
    pub name: String,
    /// Version that the store assigned to the change.
    pub version: u64,
    /// Content, or `None` after a delete.
    pub content: Option<Arc<str>>,
}

impl ObjectChange {
    pub(super) fn content_bytes(&self) -> usize {
        self.content.as_ref().map_or(0, |content| content.len())
    }
}

/// Changes in order, in the JSON shape of zinniaport's `WatchBatch`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Version up to which the batch is complete.
    pub version: u64,
    /// Changed objects, oldest change first.
    pub changes: Vec<ObjectChange>,
}

/// Whether a VM keeps running.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// IP address.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether the VM keeps running.
    pub state: VmState,
}

/// Condition under which a change takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeCondition {
    /// No object has the name.
    Absent,
    /// The object is at this version.
    AtVersion(u64),
}

/// Request of a call.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// Reads an object.
    Read {
        /// Name of the object.
        name: String,
    },
    /// Lists objects.
    List {
        /// Prefix of their names.
        prefix: String,
    },
    /// Creates or updates an object.
    Write {
        /// Name of the object.
        name: String,
        /// New content.
        content: Arc<str>,
        /// Condition of the change.
        condition: ChangeCondition,
    },
    /// Deletes an object.
    Delete {
        /// Name of the object.
        name: String,
        /// Version that the object must be at.
        version: u64,
    },
    /// Waits for changes.
    Watch {
        /// Prefix of the names of the objects.
        prefix: String,
        /// Version after which changes are returned.
        after: u64,
    },
    /// Ends the waiting watch of the same call.
    EndWatch,
    /// Lists the VMs as they were some time ago.
    ListVms,
    /// Creates or replaces an object without a condition, for tests.
    Seed {
        /// Name of the object.
        name: String,
        /// New content.
        content: Arc<str>,
    },
    /// Sets the list of VMs.
    SetVms {
        /// The new list.
        vms: Vec<ListedVm>,
    },
}

impl PlatformRequest {
    /// Returns the kind under which the call is counted, or `None` for calls that are not
    /// counted.
    pub fn kind(&self) -> Option<CallKind> {
        match self {
            Self::Read { .. } => Some(CallKind::Read),
            Self::List { .. } => Some(CallKind::List),
            Self::Write { .. } => Some(CallKind::Write),
            Self::Delete { .. } => Some(CallKind::Delete),
            Self::Watch { .. } => Some(CallKind::Watch),
            Self::ListVms => Some(CallKind::Vms),
            Self::EndWatch | Self::Seed { .. } | Self::SetVms { .. } => None,
        }
    }
}

/// Message to the platform's state.
#[derive(Clone, Debug)]
pub struct PlatformMessage {
    /// Key of the call, which its response repeats.
    pub call: CallKey,
    /// Request of the call.
    pub request: PlatformRequest,
}

/// Response to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformResponse {
    /// The object.
    Object {
        /// Version of its last change.
        version: u64,
        /// Content.
        content: Arc<str>,
    },
    /// No object has the name.
    Missing,
    /// The change took effect.
    Changed {
        /// Version that the store assigned to the change.
        version: u64,
    },
    /// The condition did not hold.
    Conflict {
        /// Current version of the object, or 0 if there is none.
        version: u64,
    },
    /// The call was made for another era of the store.
    OtherEra,
    /// The content is larger than 1 MiB.
    TooLarge,
    /// The objects of a list, or the changes of a watch.
    Batch(ChangeBatch),
    /// The history does not reach back to the version.
    TooOld,
    /// The list of VMs.
    Vms(Vec<ListedVm>),
    /// A request of a test took effect.
    Done,
}

/// A response and the call that it belongs to.
#[derive(Clone, Debug)]
pub struct PlatformEffect {
    /// Key of the call.
    pub call: CallKey,
    /// Response to the call.
    pub response: PlatformResponse,
}
