//! Attributes of a request that decisions depend on, and the outcome of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

use crate::clock::Timestamp;
use crate::keys::{CallerKey, KindKey, ServiceKey, TenantKey};

/// Digest over the service, method, path, body or its beginning, and idempotency key of a request.
/// Copies of the same request have the same fingerprint.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct CallFingerprint(pub u64);

/// Attributes of a request that decisions depend on, independent of its encoding.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFacts {
    /// Service that the request is for.
    pub service: ServiceKey,
    /// Caller, for fair queueing.
    pub caller: CallerKey,
    /// Tenant that the request belongs to; the null key if there is none.
    pub tenant: TenantKey,
    /// Kind of the request; the null key if this entry does not know it, because its configuration
    /// is of another version than that of the entry that sent the request.
    pub kind: KindKey,
    /// Rank of the kind; a lower rank is served first.
    pub rank: u8,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Maximum number of runs, including retries and hedges.
    pub max_runs: u8,
    /// Time at which the entry received the request's head.
    pub arrived: Timestamp,
    /// Time after which the caller has no use for a response.
    pub deadline: Timestamp,
    /// Time after which a response is worth less to the caller, if that is before the
    /// deadline.
    pub soft_deadline: Option<Timestamp>,
    /// Maximum number of dispatches, including those that certainly did not run, if the
    /// intent states one.
    pub max_dispatches: Option<u8>,
    /// Fingerprint, available once the first part of the body has been read.
    pub fingerprint: Option<CallFingerprint>,
    /// Version of the intent under which the request was classified.
    pub config_version: u64,
}

impl CallFacts {
    /// Returns the soft deadline, or the deadline if there is none.
    pub fn soft_deadline(&self) -> Timestamp {
        self.soft_deadline.unwrap_or(self.deadline)
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// Whether a request ran, as far as known.
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
    /// A target responded to it.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Rule behind a decision. The names are part of the public interface: they appear in logs,
/// metrics, problem responses and explanations.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumCount,
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
    /// A target responded.
    Answered,
    /// Admitted at once.
    AdmittedAtOnce,
    /// Admitted after waiting in the queue.
    AdmittedAfterWait,
    /// Admitted before others because its kind ranks higher.
    RankFirst,
    /// Admitted before others of its kind because its deadline is nearer.
    DeadlineFirst,
    /// Admitted because it was its caller's turn in the round robin over callers.
    CallerTurn,
    /// Admitted because requests of better ranks had overtaken its rank as often as allowed.
    OvertakenEnough,
    /// The only target that could be picked.
    OnlyTarget,
    /// Picked at random.
    RandomTarget,
    /// Next target in round robin order.
    NextInTurn,
    /// Fewest requests in flight among the sampled targets.
    FewestInFlight,
    /// Lowest reported load among the sampled targets.
    LowestReport,
    /// Lowest latency among probed targets that have fewer requests in flight than most.
    ProbedCold,
    /// Target with a free slot that is assigned to this entry.
    HomeSlot,
    /// Sent again after a failure.
    Retried,
    /// Sent to a second target while the first had not responded.
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
    /// The target responded with an error of its own.
    TargetError,
    /// The target refused the request before running it.
    TargetRefused,
    /// The target could not be reached.
    TargetUnreachable,
    /// The connection was lost and the request may have reached the target.
    TargetLost,
    /// The request has crashed too many targets.
    Quarantined,
    /// The service requires an idempotency key.
    KeyRequired,
    /// The idempotency key is malformed.
    BadKey,
    /// The idempotency key is older than the time for which its record is kept.
    KeyExpired,
    /// The idempotency key could not be claimed.
    ClaimUnavailable,
    /// The idempotency key was used before.
    KeyUsed,
    /// The entry is stopping.
    Stopping,
    /// The caller disconnected.
    CallerLeft,
    /// No configuration is known yet.
    NoConfiguration,
    /// The target's response was truncated, corrupt or for another request.
    SpoiledAnswer,
    /// Another process now has the address of the target.
    WrongInstance,
    /// Shortest expected time until the response among all targets.
    ShortestWait,
    /// The request carries no API key of a known tenant.
    UnknownApiKey,
    /// This version cannot serve the route of the request.
    UnsupportedRoute,
    /// The tenant of the request is over its rate limit.
    QuotaExceeded,
    /// No entry could check the rate limit of the tenant in time.
    QuotaUnavailable,
    /// The entry holds as many bytes for callers as it may.
    HeldBytesFull,
}

impl ReasonCode {
    /// Returns `true` if the entry can respond to a request for this reason in place of a target.
    /// The other reasons state that a target responded, or why a request was admitted or a target
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
                | Self::ShortestWait
        )
    }
}
