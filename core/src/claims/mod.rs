//! At-most-once execution by idempotency key. Claims of keys are kept in segments that the
//! store updates conditionally.

mod key;
mod segment;

pub use key::{IdempotencyKey, KeyDigest, KeyError, MAX_KEY_LENGTH};
pub use segment::{
    CLAIM_SEGMENTS, ClaimOwner, ClaimRecord, ClaimSegment, ClaimState, EXPIRY_MARGIN,
    InsertOutcome, LOST_CLAIM_HOLD, MAX_PERMANENT_CLAIMS, MAX_SEGMENT_CLAIMS,
};
