//! Records of the decisions on each request, and explanations of them.

mod compact;
mod compare;
mod explain;
mod named;
mod record;
mod ring;
mod words;

pub use compact::{CompactBase, CompactRecord, CopyPriority, NameTable, sort_for_copying};
pub use compare::{WaitRule, compare};
pub use explain::{ExplainedRow, Explanation, explain};
pub use named::{NamedDispatch, NamedRecord};
pub use record::{CallEnd, DecisionRecord, MAX_REQUEST_ID_LENGTH, RequestId};
pub use ring::{DecisionRing, RingBatch};
use serde::{Deserialize, Serialize};

use crate::call::ReasonCode;
use crate::clock::Timestamp;
use crate::keys::TargetKey;

/// Greatest number of dispatches that a trace holds.
pub const MAX_TRACED_DISPATCHES: usize = 4;

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AdmissionTrace {
    /// The rule by which the request was admitted.
    pub rule: ReasonCode,
    /// When it joined the queue.
    pub queued: Timestamp,
    /// When it left the queue.
    pub admitted: Timestamp,
    /// Its position in the order in which this entry admitted requests.
    pub admission_number: u64,
    /// Requests that waited when it joined.
    pub queue_length: u32,
    /// Requests that joined later and were admitted before it.
    pub overtaken: u32,
}

/// One dispatch of a request to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchTrace {
    /// The target.
    pub target: TargetKey,
    /// The rule that picked it.
    pub rule: ReasonCode,
    /// Number of targets that could have been picked.
    pub candidates: u16,
    /// When the request was dispatched.
    pub dispatched: Timestamp,
    /// Age of the load report that the choice used, in microseconds; `None` if it used
    /// none.
    pub report_age_us: Option<u32>,
}

/// The decisions on one request, of fixed size.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionTrace {
    /// How the request was admitted; `None` if it was refused before.
    pub admission: Option<AdmissionTrace>,
    /// Its dispatches, in order.
    pub dispatches: [Option<DispatchTrace>; MAX_TRACED_DISPATCHES],
}

impl DecisionTrace {
    /// Adds a dispatch. Dispatches beyond [`MAX_TRACED_DISPATCHES`] are not kept.
    pub fn add_dispatch(&mut self, dispatch: DispatchTrace) {
        if let Some(free) = self.dispatches.iter_mut().find(|slot| slot.is_none()) {
            *free = Some(dispatch);
        }
    }
}
