//! What decisions know of a request, and what becomes of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::clock::Timestamp;
use crate::keys::{CallerKey, ServiceKey};

/// Identifies requests that are the same piece of work: a digest over service,
/// method, path, first part of the body and idempotency key.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct CallFingerprint(pub u64);

/// What decisions know of a request. Nothing here depends on its encoding.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFacts {
    /// The service that the request is for.
    pub service: ServiceKey,
    /// The caller, for fairness.
    pub caller: CallerKey,
    /// Position of the request's kind in the service's intent.
    pub kind: usize,
    /// Rank of the kind; a lower rank is served first.
    pub rank: u8,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Greatest number of dispatches, over retries and hedges together.
    pub max_runs: u8,
    /// When the entry received the request's head.
    pub arrived: Timestamp,
    /// When the answer is of no more use.
    pub deadline: Timestamp,
    /// Until when an answer has its full worth to the caller, if that is before the
    /// deadline.
    pub soft_deadline: Option<Timestamp>,
    /// Greatest number of dispatches, those that certainly did not run included, if
    /// the intent states one.
    pub max_dispatches: Option<u8>,
    /// Fingerprint, known once the first part of the body has been read.
    pub fingerprint: Option<CallFingerprint>,
    /// Version of the intent under which the request was classified.
    pub config_version: u64,
}

impl CallFacts {
    /// Gives the time until which an answer has its full worth.
    pub fn soft_deadline(&self) -> Timestamp {
        self.soft_deadline.unwrap_or(self.deadline)
    }

    /// Gives the time left until the deadline.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// What is known of whether a request ran.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// A target answered it.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Names the rule behind a decision. The names are part of the public interface:
/// they appear in logs, metrics, problem answers and explanations.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ReasonCode {
    /// A target answered.
    Answered,
    /// Admitted at once.
    AdmittedAtOnce,
    /// Admitted after waiting in the queue.
    AdmittedAfterWait,
    /// Admitted before others because its kind ranks higher.
    RankFirst,
    /// Admitted before others of its kind because its deadline is nearer.
    DeadlineFirst,
    /// Admitted because it was its caller's turn.
    CallerTurn,
    /// Admitted because higher kinds had overtaken it as often as allowed.
    OvertakenEnough,
    /// The only target left to choose from.
    OnlyTarget,
    /// Chosen at random.
    RandomTarget,
    /// Next in turn.
    NextInTurn,
    /// Fewest requests in flight among the sampled targets.
    FewestInFlight,
    /// Lowest reported load among the sampled targets.
    LowestReport,
    /// Lowest latency among probed targets that are not hot.
    ProbedCold,
    /// A slot that the member list assigns to this entry.
    HomeSlot,
    /// Sent again after a failure.
    Retried,
    /// Sent to a second target while the first had not answered.
    Hedged,
    /// No service has this name.
    UnknownService,
    /// The service has no kind for this method and path.
    UnknownKind,
    /// The deadline header could not be read.
    BadDeadline,
    /// The request is malformed.
    BadRequest,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The caller sent too slowly.
    SlowSender,
    /// The queue of the service is full.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// No target can take the request.
    NoTarget,
    /// The target answered with an error of its own.
    TargetError,
    /// The target refused before running.
    TargetRefused,
    /// The target could not be reached.
    TargetUnreachable,
    /// The connection ended after the request may have reached the target.
    TargetLost,
    /// The request has crashed too many targets.
    Quarantined,
    /// The service requires an idempotency key.
    KeyRequired,
    /// The idempotency key is malformed.
    BadKey,
    /// The idempotency key is older than its record is kept.
    KeyExpired,
    /// The idempotency key could not be claimed.
    ClaimUnavailable,
    /// The idempotency key was used before.
    KeyUsed,
    /// The entry is stopping.
    Stopping,
    /// The caller left.
    CallerLeft,
    /// No configuration is known yet.
    NoConfiguration,
    /// The answer of the target was cut, damaged or meant for another request.
    SpoiledAnswer,
    /// Another process has the address of the target.
    WrongInstance,
    /// Shortest expected wait among all targets, from what the entries tell each other.
    ShortestWait,
}

impl ReasonCode {
    /// Tells whether a request can end for this reason without an answer from a
    /// target. The other reasons say why a request was admitted or a target
    /// picked.
    pub fn can_refuse(self) -> bool {
        !matches!(
            self,
            Self::Answered
                | Self::AdmittedAtOnce
                | Self::AdmittedAfterWait
                | Self::RankFirst
                | Self::DeadlineFirst
                | Self::CallerTurn
                | Self::OvertakenEnough
                | Self::OnlyTarget
                | Self::RandomTarget
                | Self::NextInTurn
                | Self::FewestInFlight
                | Self::LowestReport
                | Self::ProbedCold
                | Self::HomeSlot
                | Self::Retried
                | Self::Hedged
                | Self::TargetError
                | Self::ShortestWait
        )
    }
}
