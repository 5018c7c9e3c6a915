//! Messages and effects of the claims controller.

use std::time::Duration;

use crate::claims::{ClaimSegment, ClaimState, IdempotencyKey};
use crate::controllers::{ReadReply, StoreEra, WriteReply};

/// Name of a claim segment.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct SegmentName {
    /// The service.
    pub service: String,
    /// Number of the segment.
    pub segment: u16,
}

/// Messages that the claims controller handles.
#[derive(Clone, Debug)]
pub enum ClaimsMessage {
    /// A request needs its key claimed.
    Claim {
        /// The service.
        service: String,
        /// The key.
        key: IdempotencyKey,
        /// Random number that identifies this claim.
        nonce: u64,
    },
    /// Records the state of a request whose key was claimed.
    /// [`ClaimState::NotRun`] also withdraws a claim that is still in progress.
    RecordState {
        /// The service.
        service: String,
        /// The key.
        key: IdempotencyKey,
        /// Random number that identifies the claim.
        nonce: u64,
        /// State of the request.
        state: ClaimState,
    },
    /// A read of a segment ended, with a response of this era.
    Read(SegmentName, StoreEra, ReadReply<ClaimSegment>),
    /// A write of a segment ended, with a response of this era.
    Wrote(SegmentName, StoreEra, WriteReply),
    /// A call of another part of the entry got a response of this era.
    EraSeen(StoreEra),
    /// The delay of a [`ClaimsEffect::Wake`] passed.
    Wake(SegmentName),
}

/// Effects that the claims controller requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimsEffect {
    /// Send [`ClaimsMessage::Wake`] after a delay.
    Wake(SegmentName, Duration),
    /// Read a segment after a delay.
    Read(SegmentName, Duration),
    /// Write a segment if the store is in the given era and the version of the segment is the
    /// given one, where 0 means that it is absent.
    Write(SegmentName, ClaimSegment, StoreEra, u64),
    /// Deliver the result of the claim with this nonce.
    Resolve(u64, ClaimResult),
}

/// Result of a claim. All but `Granted` mean that the request must not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The request may run, once.
    Granted,
    /// The key was used before, by a request in this state.
    Repeated(ClaimState),
    /// The key is too old.
    Expired,
    /// The segment has no room for further keys that never expire; `UUIDv7` keys can still
    /// be claimed.
    PermanentLimitReached,
    /// The claim could not be stored.
    Unavailable,
}
