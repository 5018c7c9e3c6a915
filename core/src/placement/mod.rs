//! Placement: for each service one entry, its coordinator, admits the requests of
//! all entries and picks their targets.
//!
//! An entry of a large fleet sees a hundredth of the requests, which says almost
//! nothing about the load of a target. The coordinator sees all of them: it knows
//! the requests in flight exactly, holds the one queue of the service and probes
//! only what it is about to use. It is soft state. An entry that gets no answer
//! asks the next one, and in the end decides alone.

mod ranking;

pub use ranking::{CoordinatorCandidate, rank_coordinators};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::call::ReasonCode;
use crate::signals::{ServiceTag, TargetTag};

/// Identifies one question of an entry. A process starts at a random number, so that
/// its questions differ from those of the process before it.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct PlacementId(pub u64);

/// Which attempt of a request needs a target.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptKind {
    /// The first one.
    #[default]
    First,
    /// Another one after a failure. It is charged to the retry budget and waits its turn.
    Retry,
    /// One beside an attempt that takes long. It is charged to the retry budget and needs
    /// room that no request waits for: under load it would delay others by as much as it
    /// may gain.
    Hedge,
}

/// What an entry asks about one request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceTag,
    /// Data centre of the entry that asks.
    pub data_centre: String,
    /// Which attempt of the request needs a target.
    pub attempt: AttemptKind,
    /// Rank of the request; a lower one goes first.
    pub rank: u8,
    /// Time for which an answer keeps its full worth, in milliseconds.
    pub soft_deadline_ms: u32,
    /// Time that is left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// What sending the request to another data centre costs, in percent of the time
    /// of work that avoiding it is worth.
    pub remote_cost_percent: u16,
    /// Targets that the request was sent to before.
    pub excluded: Vec<TargetTag>,
}

/// What a coordinator answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PlacementResponse {
    /// The request waits for its turn.
    Waiting,
    /// The request may be sent to this target.
    Granted(TargetGrant),
    /// The request is not admitted.
    Refused {
        /// The rule that refused.
        reason: ReasonCode,
        /// When another try is worthwhile, in milliseconds.
        retry_after_ms: u32,
    },
    /// The coordinator does not know the service.
    UnknownService,
}

/// A target that a request may be sent to, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetGrant {
    /// The target.
    pub target: TargetTag,
    /// The rule that let the request go next.
    pub admission_reason: ReasonCode,
    /// The rule that picked the target.
    pub target_reason: ReasonCode,
    /// Its position in the order in which the coordinator admitted requests.
    pub admission_number: u64,
    /// Requests that waited when it joined the queue.
    pub queue_length: u32,
    /// Requests that joined later and were admitted before it.
    pub overtaken: u32,
    /// Targets that could have been picked.
    pub candidates: u16,
}

/// How the use of a granted target ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Without news of the target, such as when the caller left.
    #[default]
    Unknown,
    /// The target answered after this time, in microseconds.
    Answered(u32),
    /// The target failed or could not be reached.
    Failed,
    /// The target refused work for this time, in milliseconds.
    Shed(u32),
    /// Another process has the address of the target.
    WrongInstance,
}

/// A question that is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndedPlacement {
    /// The question.
    pub id: PlacementId,
    /// How the use of the target ended.
    pub end: AttemptEnd,
    /// Time of work that the target reported, in percent of the usual; 0 for none.
    pub slowdown_percent: u16,
    /// Age of that report, in milliseconds.
    pub slowdown_age_ms: u16,
}

/// One message about placement between two entries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlacementMessage {
    /// Questions to a coordinator.
    pub requests: Vec<(PlacementId, PlacementRequest)>,
    /// Questions that are over.
    pub ended: Vec<EndedPlacement>,
    /// All granted targets that the sender uses, if it names them.
    pub held_grants: Option<Vec<PlacementId>>,
    /// Answers of a coordinator.
    pub responses: Vec<(PlacementId, PlacementResponse)>,
}
