//! Messages and effects of the directory controller.

use std::sync::Arc;
use std::time::Duration;

use crate::directory::{DirectoryBatch, DirectoryPart, StoreRevision};
use crate::evacuation::EvacuationChange;
use crate::fleet::FleetSnapshot;
use crate::warm_up::WarmUpSource;

/// Messages that the directory controller handles.
#[derive(Clone, Debug)]
pub enum DirectoryMessage {
    /// A list returned all objects of a part.
    Listed(DirectoryPart, DirectoryBatch),
    /// A watch returned the changes of a part.
    Watched(DirectoryPart, DirectoryBatch),
    /// A call failed. The known state stays in force.
    Failed(DirectoryPart),
    /// The platform no longer keeps the changes since the last batch.
    HistoryGone(DirectoryPart),
    /// Another entry knows a change with this revision.
    PeerRevision(DirectoryPart, StoreRevision),
    /// A catch-up call ended; `None` if it failed.
    CaughtUp(DirectoryPart, Option<DirectoryBatch>),
    /// Time passed. Due every 100 ms.
    Tick,
}

/// Effects that the directory controller requests from its driver.
#[derive(Clone, Debug)]
pub enum DirectoryEffect {
    /// List a part after a delay.
    List(DirectoryPart, Duration),
    /// Watch a part from a revision after a delay.
    Watch(DirectoryPart, StoreRevision, Duration),
    /// Read the changes of a part since a revision, or all objects if there is none, with a
    /// read that does not lag as a watch may.
    CatchUp(DirectoryPart, Option<StoreRevision>),
    /// The newest known change of a part now has this revision.
    Revision(DirectoryPart, StoreRevision),
    /// Publish these services and routes.
    Publish(Arc<FleetSnapshot>),
    /// The entry has the targets and the configuration that it needs to serve callers.
    Ready,
    /// The store came back from an older copy. Holds the last revision of a part that was known
    /// before and the first one after it.
    Restored(DirectoryPart, StoreRevision, StoreRevision),
    /// The store responds again after an outage of this length.
    Recovered(DirectoryPart, Duration),
    /// A target was added, changed, removed or dropped.
    TargetChanged(TargetChange),
    /// So many targets with a limit for cold ones are known to be cold from now on.
    ColdTargets(WarmUpSource, usize),
    /// The evacuation of a data centre started or ended.
    Evacuation(EvacuationChange),
}

/// A change of one target, for the log.
#[derive(Clone, Debug)]
pub struct TargetChange {
    /// Identity of the target.
    pub id: String,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// State of the target after the change.
    pub state: &'static str,
}
