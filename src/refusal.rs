//! Refusals: responses of the entry in place of a target's response.

use std::time::Duration;

use derive_more::{Display, Error};
use http::StatusCode;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::claims::ClaimState;

/// Why a request got no response from a target, and what the caller can do about it.
#[derive(Debug, Display, Error)]
#[display("{reason} ({outcome}): {detail}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: ReasonCode,
    /// Whether the request ran, as far as that is known.
    pub outcome: CallOutcome,
    /// Description of the cause, in one sentence.
    pub detail: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Whether the target that refused the request announced that it drains.
    pub target_drains: bool,
    /// Known state of the first request with a used idempotency key.
    pub key_state: Option<ClaimState>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::new(reason, CallOutcome::NotRun, detail.into())
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::new(reason, CallOutcome::Unknown, detail.into())
    }

    /// Creates a refusal of a request whose idempotency key was used before. Its outcome is that
    /// of the first request with the key.
    pub fn key_used(state: ClaimState, detail: impl Into<String>) -> Self {
        let outcome = match state {
            ClaimState::Done(_) => CallOutcome::Ran,
            _ => CallOutcome::Unknown,
        };
        let key_state = Some(state);
        Self { key_state, ..Self::new(ReasonCode::KeyUsed, outcome, detail.into()) }
    }

    fn new(reason: ReasonCode, outcome: CallOutcome, detail: String) -> Self {
        Self { reason, outcome, detail, retry_after: None, target_drains: false, key_state: None }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            ReasonCode::UnknownService | ReasonCode::UnknownKind => StatusCode::NOT_FOUND,
            ReasonCode::BadDeadline
            | ReasonCode::BadRequest
            | ReasonCode::BadKey
            | ReasonCode::KeyRequired => StatusCode::BAD_REQUEST,
            ReasonCode::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ReasonCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ReasonCode::SlowSender => StatusCode::REQUEST_TIMEOUT,
            ReasonCode::KeyUsed => StatusCode::CONFLICT,
            ReasonCode::KeyExpired => StatusCode::UNPROCESSABLE_ENTITY,
            ReasonCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            ReasonCode::TargetLost | ReasonCode::SpoiledAnswer => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the remedy that the response states.
    pub fn remedy(&self) -> &'static str {
        match self.reason {
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
            ReasonCode::KeyRequired => "send an Idempotency-Key header, a UUIDv7 if possible",
            ReasonCode::BadKey => "send an Idempotency-Key of 1 to 128 visible ASCII characters",
            ReasonCode::KeyExpired => "look up whether the work was done, then use a new key",
            ReasonCode::ClaimUnavailable if self.retry_after.is_none() => {
                "send a UUIDv7 as Idempotency-Key"
            }
            ReasonCode::KeyUsed => "look up the result of the first request with this key",
            ReasonCode::Quarantined => {
                "do not send this request again; tell the owner of the service"
            }
            ReasonCode::TargetLost
            | ReasonCode::SpoiledAnswer
            | ReasonCode::DeadlinePassed
            | ReasonCode::CallerLeft => {
                "send it again if it is idempotent; otherwise look up whether it was done"
            }
            _ => "send it again after the time in Retry-After",
        }
    }
}
