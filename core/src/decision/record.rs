//! The decision record of one request, of fixed size.

use std::fmt;

use super::{DecisionTrace, DispatchTrace};
use crate::call::{CallFacts, CallOutcome, ReasonCode};
use crate::clock::Timestamp;

/// Greatest length of a request id in a record, in bytes.
pub const MAX_REQUEST_ID_LENGTH: usize = 64;

/// Id of a request, of fixed size.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct RequestId {
    length: u8,
    bytes: [u8; MAX_REQUEST_ID_LENGTH],
}

impl RequestId {
    /// Creates an id from the first [`MAX_REQUEST_ID_LENGTH`] bytes of `text`, cut at a
    /// character boundary.
    pub fn new(text: &str) -> Self {
        let kept = &text[..text.floor_char_boundary(MAX_REQUEST_ID_LENGTH)];
        let mut bytes = [0; MAX_REQUEST_ID_LENGTH];
        bytes[..kept.len()].copy_from_slice(kept.as_bytes());
        Self { length: kept.len() as u8, bytes }
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or_default()
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestId({})", self.as_str())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// Whether it ran, as far as that is known.
    pub outcome: CallOutcome,
    /// The rule that determined the response.
    pub reason: ReasonCode,
    /// HTTP status of the response; 0 if the caller disconnected before it.
    pub status: u16,
    /// When the head of the response was ready, or the caller disconnected.
    pub answered: Timestamp,
    /// When the fleet snapshot that routed the request was published.
    pub snapshot_published: Timestamp,
}

/// The decisions on one request and its end, of fixed size.
#[derive(Clone, Copy, Debug)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request_id: RequestId,
    /// Facts about the request that the decisions used.
    pub facts: CallFacts,
    /// The decisions.
    pub trace: DecisionTrace,
    /// How it ended.
    pub end: CallEnd,
}

impl DecisionRecord {
    /// Returns `true` if the request was assigned to a kind of its service.
    pub fn is_classified(&self) -> bool {
        self.facts.deadline > Timestamp::default()
    }

    /// Returns `true` if a target served the request within its deadline.
    pub fn is_served_in_time(&self) -> bool {
        self.end.outcome == CallOutcome::Ran
            && self.end.reason == ReasonCode::Answered
            && self.end.status < 500
            && self.end.answered <= self.facts.deadline
    }

    /// Returns the dispatches in order.
    pub fn dispatches(&self) -> impl Iterator<Item = &DispatchTrace> {
        self.trace.dispatches.iter().flatten()
    }
}
