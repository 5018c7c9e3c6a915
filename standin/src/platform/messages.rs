//! Messages to the platform's state and its answers.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

slotmap::new_key_type! {
    /// Key of a call that has no answer yet.
    pub struct CallKey;
}

/// Kind of a call, for the counters.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Read of an object.
    Read,
    /// List of objects.
    List,
    /// Conditional create or update.
    Write,
    /// Conditional delete.
    Delete,
    /// Watch, counted once however long it waits.
    Watch,
    /// List of VMs.
    Vms,
}

impl CallKind {
    /// Tells whether the call changes an object.
    pub fn changes_objects(self) -> bool {
        matches!(self, Self::Write | Self::Delete)
    }
}

/// Number of calls so far.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that were handled, by kind.
    pub calls: IndexMap<CallKind, u64>,
    /// Calls that the rate limit refused.
    pub limited: u64,
    /// Watches that wait at present.
    pub waiting_watches: u64,
}

impl CallCounts {
    /// Gives the number of calls of a kind.
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
    /// Store version of the change.
    pub version: u64,
    /// Content; none after a delete.
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
    /// Store version up to which the batch is complete.
    pub version: u64,
    /// Changed objects, oldest change first.
    pub changes: Vec<ObjectChange>,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// Runs.
    Live,
    /// Will be stopped soon.
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
    /// Whether it stays.
    pub state: VmState,
}

/// What must hold for a change to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeCondition {
    /// No object has the name.
    Absent,
    /// The object is at this version.
    AtVersion(u64),
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// Reads an object.
    Read {
        /// Name of the object.
        name: String,
    },
    /// Lists objects.
    List {
        /// Start of their names.
        prefix: String,
    },
    /// Creates or updates an object.
    Write {
        /// Name of the object.
        name: String,
        /// New content.
        content: Arc<str>,
        /// Condition for the change.
        condition: ChangeCondition,
    },
    /// Deletes an object.
    Delete {
        /// Name of the object.
        name: String,
        /// Version that it must be at.
        version: u64,
    },
    /// Waits for changes.
    Watch {
        /// Start of the names.
        prefix: String,
        /// Version after which changes are wanted.
        after: u64,
    },
    /// Ends the waiting watch of the same call.
    EndWatch,
    /// Lists the VMs as they were a while ago.
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
    /// Gives the kind under which the call is counted, if it is counted.
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
    /// Key for the answer.
    pub call: CallKey,
    /// What is asked for.
    pub request: PlatformRequest,
}

/// Answer to a call.
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
        /// Store version of the change.
        version: u64,
    },
    /// The condition did not hold.
    Conflict {
        /// Present version, 0 if there is no object.
        version: u64,
    },
    /// The content is larger than 1 MiB.
    TooLarge,
    /// Objects or changes.
    Batch(ChangeBatch),
    /// The history does not reach back to the version.
    TooOld,
    /// The list of VMs.
    Vms(Vec<ListedVm>),
    /// Test control took effect.
    Done,
}

/// Answer and the call that it belongs to.
#[derive(Clone, Debug)]
pub struct PlatformEffect {
    /// Key of the call.
    pub call: CallKey,
    /// Its answer.
    pub response: PlatformResponse,
}
