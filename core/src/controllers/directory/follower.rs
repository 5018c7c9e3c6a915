//! Progress of following the parts of the directory.

use crate::clock::Timestamp;
use crate::directory::StoreRevision;

/// Progress of following one part.
#[derive(Debug, Default)]
pub(super) struct PartFollower {
    /// Revision up to which the changes are known; `None` before the first list.
    pub(super) revision: Option<StoreRevision>,
    /// Revision of the newest known change.
    pub(super) newest_change: StoreRevision,
    /// Revision of the last list. The list reflects all changes up to it; of those that removed
    /// an object it does not show the revisions.
    pub(super) listed: StoreRevision,
    /// Revision of the newest change that another entry knows and this one does not, and
    /// since when.
    pub(super) peer_revision: Option<(StoreRevision, Timestamp)>,
    /// Whether a catch-up call is in progress.
    pub(super) catching_up: bool,
    /// Whether the next catch-up call has to list, because the platform may no longer keep
    /// the changes.
    pub(super) must_list: bool,
    pub(super) failures: u32,
    /// When to list again after a restore of the store.
    pub(super) list_again_at: Option<Timestamp>,
    /// Number of times in a row that the changes after the last read were gone.
    pub(super) missing_histories: u32,
    pub(super) outage_since: Option<Timestamp>,
}

impl PartFollower {
    /// Returns the revision up to which no change can be missing.
    pub(super) fn covered(&self) -> StoreRevision {
        self.newest_change.max(self.listed)
    }
}
