//! What entries know of each other's knowledge of the directory.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

/// Newest changes of the directory that this entry and others know, by part, and who
/// watches it for the others.
#[derive(Debug, Default)]
pub struct RevisionTracker {
    pub(super) known: [AtomicU64; 2],
    pub(super) heard: [AtomicU64; 2],
    pub(super) news: Notify,
    /// True while others watch for this entry. An entry that hears no other leads.
    follows: AtomicBool,
    leaders: ArcSwap<Vec<SocketAddr>>,
}

impl RevisionTracker {
    /// Gives the newest changes that this entry knows.
    pub fn local(&self) -> [u64; 2] {
        [0, 1].map(|part: usize| self.known[part].load(Ordering::Acquire))
    }

    /// Notes the newest changes that others know.
    pub fn observe_peer(&self, revisions: [u64; 2]) {
        for (heard, revision) in self.heard.iter().zip(revisions) {
            heard.fetch_max(revision, Ordering::AcqRel);
        }
        self.news.notify_one();
    }

    /// Sets who watches for the others. Empty while no other entry is heard.
    pub fn set_leaders(&self, leaders: Vec<SocketAddr>, leads: bool) {
        self.leaders.store(leaders.into());
        self.follows.store(!leads, Ordering::Release);
    }

    /// Gives the other entries that watch for this one.
    pub fn leaders(&self) -> Vec<SocketAddr> {
        self.leaders.load().to_vec()
    }

    /// Tells whether this entry watches the directory itself, without lag.
    pub fn is_leader(&self) -> bool {
        !self.follows.load(Ordering::Acquire)
    }
}
