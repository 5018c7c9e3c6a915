//! Answers that the entry itself makes in place of a target.

use std::time::Duration;

use derive_more::{Display, Error};
use http::StatusCode;
use zinniaport_core::call::{CallOutcome, ReasonCode};
use zinniaport_core::claims::ClaimState;

/// Why a request got no answer from a target, and what the caller can do.
#[derive(Debug, Display, Error)]
#[display("{reason} ({outcome}): {detail}")]
pub struct Refusal {
    /// The rule that refused.
    pub reason: ReasonCode,
    /// What is known of whether the request ran.
    pub outcome: CallOutcome,
    /// What happened, in one sentence.
    pub detail: String,
    /// When another try is worthwhile.
    pub retry_after: Option<Duration>,
    /// Whether the target that refused also announced its drain.
    pub target_drains: bool,
    /// What is known of the work behind a used idempotency key.
    pub key_state: Option<ClaimState>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::new(reason, CallOutcome::NotRun, detail.into())
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::new(reason, CallOutcome::Unknown, detail.into())
    }

    /// Creates a refusal of a request whose key was used before. Its outcome is
    /// that of the work behind the key.
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

    /// Sets when another try is worthwhile.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Gives the HTTP status of the answer.
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

    /// Gives the remedy that the answer names.
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
