//! Problem responses (RFC 9457) for requests that the entry refuses.

use http::{HeaderValue, Response, header};
use serde::Serialize;
use zinniaport_core::call::CallOutcome;
use zinniaport_core::claims::ClaimState;

use crate::dialect::HeaderDialect;
use crate::exchange::{CallResponse, full_body};
use crate::refusal::Refusal;

/// Response header that tells whether the request ran.
pub const OUTCOME_HEADER: &str = "x-zinniaport-outcome";

/// Response header with the known state of the first request with a used idempotency key:
/// `ran; status=` with the status of its response, `running` or `unknown`.
pub const KEY_STATE_HEADER: &str = "x-zinniaport-key-state";

/// Body of a problem response.
#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    remedy: &'a str,
    request_id: &'a str,
    outcome: CallOutcome,
}

/// Creates the response for a refusal.
pub fn problem_response(
    refusal: &Refusal,
    request_id: &str,
    dialect: &dyn HeaderDialect,
) -> CallResponse {
    let reason: &str = refusal.reason.into();
    let problem = ProblemBody {
        r#type: format!("urn:zinniaport:{reason}"),
        title: reason.replace('-', " "),
        status: refusal.status().as_u16(),
        detail: &refusal.detail,
        remedy: refusal.remedy(),
        request_id,
        outcome: refusal.outcome(),
    };
    let content = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(full_body(content));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(refusal.outcome().into()));
    if let Some(state) = refusal.key_state() {
        headers.insert(KEY_STATE_HEADER, key_state_value(state));
    }
    if let Some(delay) = refusal.retry_delay() {
        headers.insert(header::RETRY_AFTER, dialect.retry_after(delay));
    }
    response
}

fn key_state_value(state: ClaimState) -> HeaderValue {
    match state {
        ClaimState::Done(status) => HeaderValue::try_from(format!("ran; status={status}"))
            .unwrap_or(HeaderValue::from_static("ran")),
        ClaimState::Running => HeaderValue::from_static("running"),
        ClaimState::Unknown | ClaimState::NotRun => HeaderValue::from_static("unknown"),
    }
}
