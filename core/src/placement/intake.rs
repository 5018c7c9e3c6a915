//! Placement requests that wait for the decision of their coordinator.

use std::collections::VecDeque;
use std::time::Duration;

use super::PlacementRequest;
use crate::clock::Timestamp;
use crate::controllers::GrantKey;

/// Age from which a request is not decided on any more. Its sender turns to another coordinator
/// after 45 ms without a response, and a decision takes up to 12 ms.
const MAX_AGE: Duration = Duration::from_millis(25);

/// Age of the oldest request from which the newest is decided on first. Otherwise all requests
/// would wait for nearly [`MAX_AGE`] while more arrive than can be decided on.
const NEWEST_FIRST_AGE: Duration = Duration::from_millis(10);

/// Maximum number of waiting requests. An entry of half a core decides on about 50 requests in
/// [`MAX_AGE`].
const MAX_WAITING: usize = 256;

#[derive(Debug)]
struct WaitingRequest {
    key: GrantKey,
    request: PlacementRequest,
    received: Timestamp,
}

/// Placement requests that wait for a decision, bounded in number and age.
#[derive(Debug, Default)]
pub struct PlacementIntake {
    waiting: VecDeque<WaitingRequest>,
}

impl PlacementIntake {
    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request that was received at `received`. If too many wait, removes the oldest one
    /// and returns its key.
    pub fn push(
        &mut self,
        key: GrantKey,
        request: PlacementRequest,
        received: Timestamp,
    ) -> Option<GrantKey> {
        self.waiting.push_back(WaitingRequest { key, request, received });
        if self.waiting.len() <= MAX_WAITING {
            return None;
        }
        self.waiting.pop_front().map(|oldest| oldest.key)
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, key: GrantKey) {
        if let Some(position) = self.waiting.iter().position(|waiting| waiting.key == key) {
            self.waiting.remove(position);
        }
    }

    /// Removes the oldest request if it is too old to be decided on, and returns its key.
    pub fn take_expired(&mut self, now: Timestamp) -> Option<GrantKey> {
        let oldest = self.waiting.front()?;
        if now.since(oldest.received) < MAX_AGE {
            return None;
        }
        self.waiting.pop_front().map(|oldest| oldest.key)
    }

    /// Removes and returns the request to decide on next: the oldest one or, while requests wait
    /// for too long, the newest one.
    pub fn take_next(&mut self, now: Timestamp) -> Option<(GrantKey, PlacementRequest)> {
        let oldest = self.waiting.front()?;
        let next = match now.since(oldest.received) < NEWEST_FIRST_AGE {
            true => self.waiting.pop_front(),
            false => self.waiting.pop_back(),
        };
        next.map(|next| (next.key, next.request))
    }
}
