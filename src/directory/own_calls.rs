//! When a follower calls the platform itself.

use std::time::Duration;

use tokio::time::Instant;

/// Time between two calls of a follower to the platform while neither it nor its leaders
/// get a response. The leaders call more often and usually notice first that the platform
/// is back; a follower's own calls help if the platform refuses fewer of them than of theirs.
const OWN_CALL_PERIOD: Duration = Duration::from_millis(1_800);

/// Time until a follower repeats a failed call if its previous one got a response, as when
/// a connection is reset. A change must be known to all entries after two seconds.
const LOST_CALL_PERIOD: Duration = Duration::from_millis(200);

/// State of a follower's own calls to the platform for one part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnCalls {
    /// Whether the last call got a response, and no leader has responded since.
    pub(super) responded: bool,
    /// Earliest time of the next call after one that failed.
    pub(super) next: Option<Instant>,
}

impl OwnCalls {
    /// Records whether a call got a response.
    pub(super) fn record_result(&mut self, responded: bool) {
        let period = if self.responded { LOST_CALL_PERIOD } else { OWN_CALL_PERIOD };
        self.responded = responded;
        self.next = (!responded).then(|| Instant::now() + period);
    }
}
