//! Names and formats of the headers that callers, entries and targets use.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use zinniaport_core::fleet::LoadReport;
use zinniaport_core::intent::TargetInstance;
use zinniaport_core::request_limit::LimitStatement;

use crate::exchange::CallResponse;

/// How the head of a response is classified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The target's response to this request.
    Answered,
    /// The target refused the request before running it.
    NotRun,
    /// A process other than the addressed one refused the request.
    WrongInstance,
    /// The response must not be passed on, for this reason.
    Invalid(&'static str),
}

impl ResponseClass {
    /// Returns `true` if a response comes from the target that the request was sent to.
    pub fn is_from_target(self) -> bool {
        matches!(self, Self::Answered | Self::NotRun)
    }
}

/// Names, reads and writes the headers of one environment.
pub trait HeaderDialect: Send + Sync {
    /// Returns the header with the identifier of a request.
    fn request_id_header(&self) -> &HeaderName;

    /// Returns `true` if a request without an identifier gets one.
    fn adds_request_id(&self) -> bool;

    /// Returns the header with the time that is left for a request, in milliseconds.
    fn deadline_header(&self) -> &HeaderName;

    /// Returns the request header with the API key of the caller's tenant.
    fn api_key_header(&self) -> &HeaderName {
        &API_KEY_HEADER
    }

    /// Returns the header in which a target receives the name of the tenant.
    fn tenant_header(&self) -> &HeaderName {
        &TENANT_HEADER
    }

    /// Adds the headers that identify the process that the request is addressed to.
    fn insert_instance(&self, headers: &mut HeaderMap, instance: &TargetInstance);

    /// Returns the load that a target reports in a response, if any.
    fn parse_load(&self, headers: &HeaderMap) -> Option<LoadReport>;

    /// Returns what a response states about the limit of its target on requests per second.
    fn parse_limit(&self, headers: &HeaderMap) -> LimitStatement;

    /// Returns the time for which a target is still cold that it states in the response to a
    /// health check, if it states one.
    fn parse_warm_up(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Classifies the head of a response. `request_id` is the identifier that the caller sent,
    /// if any.
    fn classify_response(&self, request_id: Option<&str>, response: &CallResponse)
    -> ResponseClass;

    /// Returns `true` if callers read a status as a promise that the request was not run, whatever
    /// the headers of the response state.
    fn status_promises_not_run(&self, status: StatusCode) -> bool;

    /// Returns `true` if a response announces that its target drains.
    fn announces_drain(&self, headers: &HeaderMap) -> bool;

    /// Returns the value of `Retry-After` for a delay.
    fn retry_after(&self, delay: Duration) -> HeaderValue;
}

/// The headers that this load balancer defines itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct DefaultDialect;

/// Header with the identifier of a request.
pub static REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the time that is left for a request, in milliseconds.
pub static DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Request header with the API key of the caller's tenant.
static API_KEY_HEADER: HeaderName = HeaderName::from_static("x-api-key");

/// Header in which a target receives the name of the tenant.
static TENANT_HEADER: HeaderName = HeaderName::from_static("x-tenant");

/// Response header with the number of running and queued requests of a target.
pub const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");

/// Response header with the requests per second that a target takes from all entries together.
pub const LIMIT_HEADER: &str = "x-request-limit";

/// Response header of a health check with the time for which the target is still cold, in
/// milliseconds.
pub const WARM_UP_HEADER: &str = "x-warm-up-ms";

/// Response header by which a target states that it refused the request before running it.
pub const REFUSED_HEADER: HeaderName = HeaderName::from_static("x-zinniaport-refused");

/// Response header by which a target announces that it drains.
pub const DRAIN_HEADER: HeaderName = HeaderName::from_static("x-drain");

/// Request header with the identifier of the process that the request is addressed to.
pub const INSTANCE_HEADER: HeaderName = HeaderName::from_static("x-instance");

/// Parses the seconds in `Retry-After`, which may have a fraction. Returns `None` for a date,
/// a negative number and anything else that is not a number of seconds.
pub fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds >= 0.0).then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Parses the limit in the header `name`. If it is repeated, the first value counts.
pub fn parse_limit_header(headers: &HeaderMap, name: &str) -> LimitStatement {
    match headers.get(name) {
        None => LimitStatement::Unlimited,
        Some(value) => value.to_str().map_or(LimitStatement::Unreadable, LimitStatement::parse),
    }
}

/// Parses the milliseconds in the header `name`, which may have a fraction.
pub fn parse_millis_header(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let millis: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1e3).ok()
}

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

    fn parse_limit(&self, headers: &HeaderMap) -> LimitStatement {
        parse_limit_header(headers, LIMIT_HEADER)
    }

    fn parse_warm_up(&self, headers: &HeaderMap) -> Option<Duration> {
        parse_millis_header(headers, WARM_UP_HEADER)
    }

    fn classify_response(
        &self,
        request_id: Option<&str>,
        response: &CallResponse,
    ) -> ResponseClass {
        // Targets need not repeat the identity. One that names another request is a second copy
        // of an earlier response on the same connection.
        let repeated = response.headers().get(&REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
        if repeated.is_some() && request_id.is_some() && repeated != request_id {
            return ResponseClass::Invalid("the answer belongs to another request");
        }
        if response.headers().contains_key(REFUSED_HEADER) {
            ResponseClass::NotRun
        } else {
            ResponseClass::Answered
        }
    }

    /// Returns `false`: callers read the outcome header.
    fn status_promises_not_run(&self, _status: StatusCode) -> bool {
        false
    }

    fn announces_drain(&self, headers: &HeaderMap) -> bool {
        headers.get(DRAIN_HEADER).is_some_and(|value| value == "1")
    }

    fn retry_after(&self, delay: Duration) -> HeaderValue {
        HeaderValue::from(delay.as_millis().div_ceil(1000).max(1) as u64)
    }
}
