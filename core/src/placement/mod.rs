//! Placement: one entry for each service, its coordinator, admits the requests of all
//! entries and picks their targets. A large service has a coordinator for each of its parts.
//!
//! An entry among a hundred sees a hundredth of the requests, which says almost nothing
//! about the load of a target. The coordinator sees all of them: it knows the exact number
//! of requests in flight, holds the only queue of the service and probes only targets that
//! it is about to use. Its state is soft state, lost when its process ends. An entry that gets
//! no response sends its request to the next candidate and finally places it itself.

mod data_centres;
mod distance;
mod division;
mod intake;
mod load;
mod overflow;
mod parts;
mod ranking;
mod share;

pub use data_centres::{DataCentreParts, PartLocations, PartSenders, part_data_centres};
pub use distance::{DistanceMonitor, FAR_ROUND_TRIP, RoundTripReport};
pub use intake::PlacementIntake;
pub use load::{LoadChange, LoadMonitor, LoadSummary};
pub use overflow::{HeadroomGauge, MAX_HEADROOM_AGE, PartChooser, PartHeadroom};
pub use parts::{
    HOME_PARTS, MAX_PART_TARGETS, PartKey, choose_part, count_part_senders, home_parts, part_count,
    part_of, part_tag,
};
pub use ranking::{CoordinatorCandidate, rank_coordinators};
use serde::{Deserialize, Serialize};
pub use share::ServedEntries;
use strum::{Display, IntoStaticStr};

use crate::call::ReasonCode;
use crate::digest::ShortDigest;
use crate::request_limit::AgedStatement;
use crate::signals::{ServiceTag, TargetTag};
use crate::tenants::TenantTag;

/// Identifies a placement request of an entry. Each process starts at a random number, so
/// that its ids differ from those of the previous process at the same address.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct PlacementId(pub u64);

/// Kind of attempt that needs a target.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, IntoStaticStr, PartialEq, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptKind {
    /// First attempt.
    #[default]
    First,
    /// Retry after a failure. It is charged to the retry budget and waits in the queue.
    Retry,
    /// Second attempt while a slow one is still running. It is charged to the retry budget
    /// and needs a slot that no other request waits for: under load it would delay other
    /// requests by as much as it may gain.
    Hedge,
    /// First attempt whose placement was requested before, here or at another coordinator. It
    /// adds nothing to a retry budget, since the earlier request may have done so.
    Resent,
}

impl AttemptKind {
    /// Returns `true` unless the attempt is charged to the retry budget.
    pub fn is_first(self) -> bool {
        matches!(self, Self::First | Self::Resent)
    }

    /// Returns the kind with which the placement of this attempt is requested once more.
    pub fn resent(self) -> Self {
        if self == Self::First { Self::Resent } else { self }
    }
}

/// Request of an entry to a coordinator to admit a caller's request and pick its target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Service that the request is for.
    pub service: ServiceTag,
    /// Data centre of the entry that sends the request.
    pub data_centre: String,
    /// Kind of attempt that needs a target.
    pub attempt: AttemptKind,
    /// Rank of the request; a lower rank is admitted first.
    pub rank: u8,
    /// Time left until the soft deadline, in milliseconds.
    pub soft_deadline_ms: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Penalty for sending the request to another data centre, in percent of the expected
    /// time.
    pub remote_cost_percent: u16,
    /// Targets that the request has already been sent to.
    pub excluded: Vec<TargetTag>,
    /// Tenant that the request belongs to; the default tag if there is none.
    pub tenant: TenantTag,
    /// Kind of the request within its service.
    pub kind: KindTag,
}

/// Identifies a kind of request in messages between entries. An index would name another kind
/// while entries have different versions of the configuration.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct KindTag(pub u16);

impl KindTag {
    /// Derives the tag of a kind from its name.
    pub fn of(name: &str) -> Self {
        Self(ShortDigest::of(&[b"kind", name.as_bytes()]).high_bits() as u16)
    }
}

/// Response of a coordinator to a placement request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PlacementResponse {
    /// The request waits in the queue.
    Waiting,
    /// The request may be sent to this target.
    Granted(TargetGrant),
    /// The request is not admitted.
    Refused {
        /// Rule that refused the request.
        reason: ReasonCode,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// The coordinator cannot place the request because it does not know the service or no
    /// longer knows the target that it picked. The entry that sent it places it itself.
    NotPlaced,
    /// The coordinator has more requests than it can decide on. Another entry should place this
    /// one.
    Busy,
}

/// Target that a request may be sent to, with the reasons.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetGrant {
    /// Granted target.
    pub target: TargetTag,
    /// Rule that admitted the request.
    pub admission_reason: ReasonCode,
    /// Rule that picked the target.
    pub target_reason: ReasonCode,
    /// Position of the request in the order of admission at the coordinator.
    pub admission_number: u64,
    /// Number of requests that waited when it joined the queue.
    pub queue_length: u32,
    /// Number of requests that joined later and were admitted before it.
    pub overtaken: u32,
    /// Number of targets that could have been picked.
    pub candidates: u16,
}

/// How the use of a granted target ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Nothing was learned about the target, for example because the caller disconnected.
    #[default]
    Unknown,
    /// The target responded after this time, in microseconds.
    Answered(u32),
    /// The target failed or could not be reached.
    Failed,
    /// The target sheds load for this time, in milliseconds.
    Shed(u32),
    /// Another process now has the address of the target.
    WrongInstance,
}

/// Placement request that no longer needs a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndedPlacement {
    /// Placement request.
    pub id: PlacementId,
    /// How the use of the target ended.
    pub end: AttemptEnd,
    /// Service time that the target reported, in percent of its nominal one; 0 if it
    /// reported none.
    pub slowdown_percent: u16,
    /// Age of that report, in milliseconds.
    pub slowdown_age_ms: u16,
    /// Whether the target announced that it leaves.
    pub leaving: bool,
    /// What the target last stated about its limit on requests per second, if that is recent.
    pub limit: Option<AgedStatement>,
}

/// Message about placement from one entry to another.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlacementMessage {
    /// Placement requests to a coordinator.
    pub requests: Vec<(PlacementId, PlacementRequest)>,
    /// Placement requests that have ended.
    pub ended: Vec<EndedPlacement>,
    /// All grants of the receiver that the sender uses; `None` if the message does not list
    /// them.
    pub held_grants: Option<Vec<PlacementId>>,
    /// Responses of a coordinator.
    pub responses: Vec<(PlacementId, PlacementResponse)>,
}
