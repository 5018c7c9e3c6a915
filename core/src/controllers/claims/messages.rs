//! Messages and effects of the claims controller.

use std::time::Duration;

use crate::claims::{ClaimSegment, ClaimState, IdempotencyKey};
use crate::controllers::{ReadReply, WriteReply};

/// A segment of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SegmentName {
    /// The service.
    pub service: String,
    /// The segment.
    pub segment: u16,
}

/// What the claims controller is told.
#[derive(Clone, Debug)]
pub enum ClaimsMessage {
    /// A request needs its key claimed.
    Claim {
        /// The service.
        service: String,
        /// The key.
        key: IdempotencyKey,
        /// Random number of this claim.
        nonce: u64,
    },
    /// What became of a request whose key was claimed. [`ClaimState::NotRun`] also
    /// withdraws a claim that is still under way.
    Settle {
        /// The service.
        service: String,
        /// The key.
        key: IdempotencyKey,
        /// Random number of the claim.
        nonce: u64,
        /// What is known.
        state: ClaimState,
    },
    /// A read of a segment ended.
    Read(SegmentName, ReadReply<ClaimSegment>),
    /// A write of a segment ended.
    Wrote(SegmentName, WriteReply),
    /// The time of a [`ClaimsEffect::Wake`] came.
    Wake(SegmentName),
}

/// What the claims controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimsEffect {
    /// Send [`ClaimsMessage::Wake`] after a delay.
    Wake(SegmentName, Duration),
    /// Read a segment after a delay.
    Read(SegmentName, Duration),
    /// Write a segment if it is at this version, 0 for absent.
    Write(SegmentName, ClaimSegment, u64),
    /// Answer the claim with this nonce.
    Resolve(u64, ClaimResult),
}

/// Answer to a claim. All but `Granted` mean that the request must not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request may run, once.
    Granted,
    /// The key was used before.
    Repeated(ClaimState),
    /// The key is too old.
    Expired,
    /// Only `UUIDv7` keys can still be claimed.
    PermanentLimitReached,
    /// The claim could not be made.
    Unavailable,
}
