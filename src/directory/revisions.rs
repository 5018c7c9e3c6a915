//! Directory revisions that this entry and its peers have reached.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use zinniaport_core::directory::{DirectoryPart, StoreRevision};

/// Newest directory revisions that this entry and its peers know, by part, and the
/// leaders that watch the directory for the others.
#[derive(Debug, Default)]
pub struct RevisionTracker {
    local: ArcSwap<[StoreRevision; DirectoryPart::COUNT]>,
    peer: ArcSwap<[StoreRevision; DirectoryPart::COUNT]>,
    pub(super) peer_changed: Notify,
    /// `true` while peers watch for this entry. An entry without peers is a leader.
    follows: AtomicBool,
    leaders: ArcSwap<Vec<SocketAddr>>,
    /// Peers that serve the directory in the order given while no leader reaches the platform.
    substitutes: ArcSwap<Vec<SocketAddr>>,
    /// Peers that announced that they know the directory.
    holders: ArcSwap<Vec<SocketAddr>>,
    /// `true` while this entry may not have heard of the entries that lead.
    unsettled: AtomicBool,
}

impl RevisionTracker {
    /// Returns the newest revision of each part that this entry knows.
    pub fn local(&self) -> [StoreRevision; DirectoryPart::COUNT] {
        **self.local.load()
    }

    /// Sets the newest revision of a part that this entry knows.
    pub(super) fn set_local(&self, part: DirectoryPart, revision: StoreRevision) {
        self.local.rcu(|known| {
            let mut revisions = **known;
            revisions[part as usize] = revision;
            revisions
        });
    }

    /// Returns the newest revision of a part that a peer announced.
    pub(super) fn announced(&self, part: DirectoryPart) -> StoreRevision {
        self.peer.load()[part as usize]
    }

    /// Records the newest revision of each part that a peer knows.
    pub fn observe_peer(&self, revisions: [StoreRevision; DirectoryPart::COUNT]) {
        self.peer.rcu(|known| {
            std::array::from_fn::<_, { DirectoryPart::COUNT }, _>(|part| {
                known[part].max(revisions[part])
            })
        });
        self.peer_changed.notify_one();
    }

    /// Sets the addresses of the leaders that this entry reads from, empty while it knows no
    /// peer, and whether it is a leader itself.
    pub fn set_leaders(&self, leaders: Vec<SocketAddr>, is_leader: bool) {
        self.leaders.store(leaders.into());
        self.follows.store(!is_leader, Ordering::Release);
    }

    /// Returns the addresses of the peers that watch for this entry.
    pub fn leaders(&self) -> Vec<SocketAddr> {
        self.leaders.load().to_vec()
    }

    /// Sets the peers to read from, in this order, while no leader reaches the platform.
    pub fn set_substitutes(&self, substitutes: Vec<SocketAddr>) {
        self.substitutes.store(substitutes.into());
    }

    /// Returns the peers to read from while no leader reaches the platform.
    pub(super) fn substitutes(&self) -> Vec<SocketAddr> {
        self.substitutes.load().to_vec()
    }

    /// Sets the peers that know the directory, the largest first.
    pub fn set_holders(&self, holders: Vec<SocketAddr>) {
        self.holders.store(holders.into());
    }

    /// Returns the peers that know the directory.
    pub fn holders(&self) -> Vec<SocketAddr> {
        self.holders.load().to_vec()
    }

    /// Sets whether this entry has been running for long enough to have heard of its leaders.
    pub fn set_settled(&self, settled: bool) {
        self.unsettled.store(!settled, Ordering::Release);
    }

    /// Returns `true` if this entry has been running for long enough to have heard of its
    /// leaders.
    pub fn is_settled(&self) -> bool {
        !self.unsettled.load(Ordering::Acquire)
    }

    /// Returns `true` if this entry watches the directory itself, with current reads.
    pub fn is_leader(&self) -> bool {
        !self.follows.load(Ordering::Acquire)
    }
}
