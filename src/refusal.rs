//! Refusals: responses of the entry in place of a target's response.

use std::time::Duration;

use derive_more::{Display, Error};
use http::StatusCode;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::claims::ClaimState;

use crate::held::HeldBytesFull;

/// Remedy for a request that may have run.
const LOOK_UP_REMEDY: &str =
    "send it again if it is idempotent; otherwise look up whether it was done";

/// `Retry-After` while too much is held for callers. Those that stall are dropped within it.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request got no response from a target, and what the caller can do about it.
///
/// The outcome decides alone whether the caller is promised that the request was not run. The
/// status, the remedy and `Retry-After` are derived from it, so that they cannot contradict it.
#[derive(Debug, Display, Error)]
#[display("{reason} ({outcome}): {detail}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: ReasonCode,
    /// Description of the cause, in one sentence.
    pub detail: String,
    /// Whether the target that refused the request announced that it drains.
    pub target_drains: bool,
    /// Status of the target's response, if there is one that the refusal replaces.
    pub replaced_status: Option<StatusCode>,
    outcome: CallOutcome,
    retry_after: Option<Duration>,
    key_state: Option<ClaimState>,
}

impl From<HeldBytesFull> for Refusal {
    /// Creates a refusal of a request that did not run since too much is held for callers.
    fn from(error: HeldBytesFull) -> Self {
        Self::not_run(ReasonCode::HeldBytesFull, error.to_string()).retry_after(HELD_RETRY_AFTER)
    }
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::new(reason, CallOutcome::NotRun, detail)
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::new(reason, CallOutcome::Unknown, detail)
    }

    /// Creates a refusal of a request whose idempotency key was used before. Its outcome is that
    /// of the first request with the key.
    pub fn key_used(state: ClaimState, detail: impl Into<String>) -> Self {
        let outcome = match state {
            ClaimState::Done(_) => CallOutcome::Ran,
            _ => CallOutcome::Unknown,
        };
        let key_state = Some(state);
        Self { key_state, ..Self::new(ReasonCode::KeyUsed, outcome, detail) }
    }

    /// Creates a refusal of a request with a known outcome.
    pub fn new(reason: ReasonCode, outcome: CallOutcome, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            target_drains: false,
            replaced_status: None,
            outcome,
            retry_after: None,
            key_state: None,
        }
    }

    /// Returns the refusal to report for two attempts. A request must not be reported as not run
    /// if one of its attempts may have run.
    pub fn combine(earlier: Option<Self>, later: Self) -> Self {
        match earlier {
            Some(earlier) if !earlier.promises_not_run() && later.promises_not_run() => earlier,
            _ => later,
        }
    }

    /// Sets the time after which the caller may retry. It is not stated to a caller whose request
    /// may have run.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns whether the request ran, as far as that is known.
    pub fn outcome(&self) -> CallOutcome {
        self.outcome
    }

    /// Returns `true` if the caller is promised that the request was not run.
    pub fn promises_not_run(&self) -> bool {
        self.outcome == CallOutcome::NotRun
    }

    /// Returns the time after which the caller may retry. A request that may have run has none.
    pub fn retry_delay(&self) -> Option<Duration> {
        self.retry_after.filter(|_| self.promises_not_run())
    }

    /// Returns the known state of the first request with a used idempotency key.
    pub fn key_state(&self) -> Option<ClaimState> {
        self.key_state
    }

    /// Returns the HTTP status of the response. Callers read 408, 421, 429 and 503 as a promise
    /// that the request was not run, whatever else the response states.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            ReasonCode::UnknownService | ReasonCode::UnknownKind => StatusCode::NOT_FOUND,
            ReasonCode::BadDeadline
            | ReasonCode::BadRequest
            | ReasonCode::BadKey
            | ReasonCode::KeyRequired => StatusCode::BAD_REQUEST,
            ReasonCode::UnknownApiKey => StatusCode::UNAUTHORIZED,
            ReasonCode::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ReasonCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ReasonCode::KeyUsed => StatusCode::CONFLICT,
            ReasonCode::KeyExpired => StatusCode::UNPROCESSABLE_ENTITY,
            ReasonCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            ReasonCode::TargetLost | ReasonCode::SpoiledAnswer | ReasonCode::TargetError => {
                StatusCode::BAD_GATEWAY
            }
            ReasonCode::SlowSender if self.promises_not_run() => StatusCode::REQUEST_TIMEOUT,
            ReasonCode::SlowSender => StatusCode::GATEWAY_TIMEOUT,
            ReasonCode::QuotaExceeded if self.promises_not_run() => StatusCode::TOO_MANY_REQUESTS,
            _ if self.promises_not_run() => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the remedy that the response states.
    pub fn remedy(&self) -> &'static str {
        match self.reason {
            // These look at earlier work, or forbid to send the request again.
            ReasonCode::KeyExpired => "look up whether the work was done, then use a new key",
            ReasonCode::KeyUsed => "look up the result of the first request with this key",
            ReasonCode::Quarantined => {
                "do not send this request again; tell the owner of the service"
            }
            _ if !self.promises_not_run() => LOOK_UP_REMEDY,
            ReasonCode::UnknownService => {
                "use a service that `zinniaport status` lists as the first path segment"
            }
            ReasonCode::UnknownKind => "use a method and path that the service's intent names",
            ReasonCode::BadDeadline => {
                "send X-Deadline-Ms as a whole number of milliseconds from 1 to 3600000"
            }
            ReasonCode::BadRequest => "send a well-formed HTTP request",
            ReasonCode::HeadTooLarge => "send fewer or shorter headers",
            ReasonCode::BodyTooLarge => "send a smaller body, or in parts",
            ReasonCode::SlowSender => "send the request without long pauses",
            ReasonCode::UnknownApiKey => "send the API key of a tenant, once",
            ReasonCode::KeyRequired => "send an Idempotency-Key header, a UUIDv7 if possible",
            ReasonCode::BadKey => "send an Idempotency-Key of 1 to 128 visible ASCII characters",
            ReasonCode::ClaimUnavailable if self.retry_after.is_none() => {
                "send a UUIDv7 as Idempotency-Key"
            }
            ReasonCode::TargetLost
            | ReasonCode::TargetError
            | ReasonCode::SpoiledAnswer
            | ReasonCode::DeadlinePassed
            | ReasonCode::CallerLeft => LOOK_UP_REMEDY,
            _ => "send it again after the time in Retry-After",
        }
    }
}
