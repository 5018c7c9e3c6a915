//! Names and meanings of the headers that callers, entries and targets use.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use zinniaport_core::fleet::LoadReport;
use zinniaport_core::intent::TargetInstance;

use crate::exchange::CallResponse;

/// What the head of an answer says of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// It is the target's answer to this request.
    Answered,
    /// The target refused the request before running it.
    NotRun,
    /// Another process than the one that was meant refused the request.
    WrongInstance,
    /// It cannot be passed on, for this reason.
    Invalid(&'static str),
}

/// Names the headers of one environment and reads their values.
pub trait HeaderDialect: Send + Sync {
    /// Gives the header with the identity of a request.
    fn request_id_header(&self) -> &HeaderName;

    /// Tells whether a target gets an identity that the caller did not send.
    fn adds_request_id(&self) -> bool;

    /// Gives the header with the time that is left, in milliseconds.
    fn deadline_header(&self) -> &HeaderName;

    /// Adds the process that is meant to the headers of a request.
    fn insert_instance(&self, headers: &mut HeaderMap, instance: &TargetInstance);

    /// Reads the load that a target reports.
    fn parse_load(&self, headers: &HeaderMap) -> Option<LoadReport>;

    /// Judges the head of an answer to the request with this identity; none if
    /// the caller sent none.
    fn classify_response(&self, request_id: Option<&str>, response: &CallResponse)
    -> ResponseClass;

    /// Tells whether an answer announces that its target drains.
    fn announces_drain(&self, headers: &HeaderMap) -> bool;

    /// Gives the value of `Retry-After` for a delay.
    fn retry_after(&self, delay: Duration) -> HeaderValue;
}

/// The project's own headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultDialect;

/// Header that carries the identity of a request.
pub static REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the time that the caller still gives the request, in milliseconds.
pub static DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Response header in which a target reports its running and queued requests.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");

/// Response header by which a target tells that it refused a request before
/// running it.
pub const REFUSED_HEADER: HeaderName = HeaderName::from_static("x-zinniaport-refused");

/// Response header by which a target announces its drain.
pub const DRAIN_HEADER: HeaderName = HeaderName::from_static("x-drain");

/// Request header with the identity of the process that is meant.
pub const INSTANCE_HEADER: HeaderName = HeaderName::from_static("x-instance");

impl HeaderDialect for DefaultDialect {
    fn request_id_header(&self) -> &HeaderName {
        &REQUEST_ID_HEADER
    }

    fn adds_request_id(&self) -> bool {
        true
    }

    fn deadline_header(&self) -> &HeaderName {
        &DEADLINE_HEADER
    }

    fn insert_instance(&self, headers: &mut HeaderMap, instance: &TargetInstance) {
        if let Ok(value) = HeaderValue::from_str(&instance.id) {
            headers.insert(INSTANCE_HEADER, value);
        }
    }

    fn parse_load(&self, headers: &HeaderMap) -> Option<LoadReport> {
        let requests: u32 = headers.get(LOAD_HEADER)?.to_str().ok()?.parse().ok()?;
        Some(requests.into())
    }

    fn classify_response(
        &self,
        _request_id: Option<&str>,
        response: &CallResponse,
    ) -> ResponseClass {
        if response.headers().contains_key(REFUSED_HEADER) {
            ResponseClass::NotRun
        } else {
            ResponseClass::Answered
        }
    }

    fn announces_drain(&self, headers: &HeaderMap) -> bool {
        headers.get(DRAIN_HEADER).is_some_and(|value| value == "1")
    }

    fn retry_after(&self, delay: Duration) -> HeaderValue {
        HeaderValue::from(delay.as_millis().div_ceil(1000).max(1) as u64)
    }
}
