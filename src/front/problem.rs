//! Problem answers (RFC 9457) that the entry makes itself.

use http::{HeaderValue, Response, header};
use serde::Serialize;
use zinniaport_core::call::CallOutcome;

use crate::exchange::{CallResponse, full_body};
use crate::refusal::Refusal;

/// Header that says whether the request ran.
pub const OUTCOME_HEADER: &str = "x-zinniaport-outcome";

/// Body of a problem answer.
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

/// Makes the answer for a refusal.
pub fn problem_response(refusal: &Refusal, request_id: &str) -> CallResponse {
    let reason: &str = refusal.reason.into();
    let problem = ProblemBody {
        r#type: format!("urn:zinniaport:{reason}"),
        title: reason.replace('-', " "),
        status: refusal.status().as_u16(),
        detail: &refusal.detail,
        remedy: refusal.remedy(),
        request_id,
        outcome: refusal.outcome,
    };
    let content = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(full_body(content));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(refusal.outcome.into()));
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_millis().div_ceil(1000).max(1) as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
