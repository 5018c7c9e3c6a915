//! What an entry knows about an owner.

use std::time::Duration;

use super::{DELEGATION_TIME, RENEWAL_PERIOD, RESEND_AFTER, SUSPECT_AFTER};
use crate::clock::Timestamp;

/// Time between two messages to a suspected owner, which show whether it responds again.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);

/// Exchange of messages with one owner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerLink {
    /// Newest time stamp of the owner, and when it arrived.
    stamp: Option<(u64, Timestamp)>,
    last_sent: Option<Timestamp>,
    /// When the first request was sent since the last response.
    unanswered_since: Option<Timestamp>,
    is_suspected: bool,
}

impl OwnerLink {
    /// Records a request that is sent.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        self.last_sent = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a response.
    pub(super) fn record_response(&mut self, stamp: u64, now: Timestamp) {
        if self.stamp.is_none_or(|(known, _)| known < stamp) {
            self.stamp = Some((stamp, now));
        }
        self.unanswered_since = None;
        self.is_suspected = false;
    }

    /// Returns the stamp to delegate with and the end of the delegation.
    pub(super) fn delegation(&self, now: Timestamp) -> Option<(u64, Timestamp)> {
        let (stamp, received) = self.stamp?;
        let until = received + DELEGATION_TIME;
        (until > now).then_some((stamp, until))
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.is_suspected
    }

    /// Restarts the time that the owner has to respond.
    pub(super) fn restart_wait(&mut self, now: Timestamp) {
        self.unanswered_since = self.unanswered_since.map(|_| now);
    }

    /// Suspects the owner if it has not responded for long. Returns `true` if that is new.
    pub(super) fn check(&mut self, now: Timestamp) -> bool {
        let is_late = self.unanswered_since.is_some_and(|sent| now.since(sent) >= SUSPECT_AFTER);
        is_late && !std::mem::replace(&mut self.is_suspected, true)
    }

    /// Returns `true` if a message without requests for tokens is due.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        let period = match self.unanswered_since {
            _ if self.is_suspected => CONTACT_PERIOD,
            Some(_) => RESEND_AFTER * 4,
            None => RENEWAL_PERIOD,
        };
        self.last_sent.is_none_or(|sent| now.since(sent) >= period)
    }
}
