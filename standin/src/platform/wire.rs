//! Encoding of the object API as HTTP and JSON.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};

use super::faults::PlatformFaults;
use super::messages::{ChangeCondition, PlatformRequest, PlatformResponse};
use crate::http1::{ResponseBody, header_text, json_response, text_response};

/// Header with the version of an object.
pub const VERSION_HEADER: &str = "x-version";

/// Header with the number of times that the store was restored. A call with it takes effect only
/// in that era.
pub const ERA_HEADER: &str = "x-store-era";

/// Time for which a watch waits if the request sets no `timeout_ms`.
const DEFAULT_WATCH_TIME: Duration = Duration::from_secs(30);

/// A decoded request.
#[derive(Debug)]
pub(super) enum ApiCall {
    /// A call of the object API, and the time after which a watch ends.
    Platform(PlatformRequest, Duration),
    SetFaults(PlatformFaults),
    Faults,
    Counts,
}

/// Decodes a request, or returns the response that says what is wrong with it.
pub(super) fn decode(request: &Request<Bytes>) -> Result<ApiCall, Box<Response<ResponseBody>>> {
    let path = request.uri().path();
    let platform = |call| Ok(ApiCall::Platform(call, DEFAULT_WATCH_TIME));
    if let Some(name) = path.strip_prefix("/objects/").filter(|name| !name.is_empty()) {
        return decode_object(request, name.to_owned()).and_then(platform);
    }
    let prefix = || query_value(request.uri(), "prefix").unwrap_or_default().to_owned();
    match (request.method(), path) {
        (&Method::GET, "/objects") => platform(PlatformRequest::List { prefix: prefix() }),
        (&Method::GET, "/watch") => {
            let after = parse(query_value(request.uri(), "after"), 0, "after=VERSION")?;
            let default = DEFAULT_WATCH_TIME.as_millis() as u64;
            let limit =
                parse(query_value(request.uri(), "timeout_ms"), default, "timeout_ms=NUMBER")?;
            let watch = PlatformRequest::Watch { prefix: prefix(), after };
            Ok(ApiCall::Platform(watch, Duration::from_millis(limit)))
        }
        (&Method::GET, "/vms") => platform(PlatformRequest::ListVms),
        (&Method::PUT, "/vms") => {
            platform(PlatformRequest::SetVms { vms: decode_json(request.body())? })
        }
        (&Method::GET, "/counts") => Ok(ApiCall::Counts),
        (&Method::GET, "/faults") => Ok(ApiCall::Faults),
        (&Method::PUT, "/faults") => Ok(ApiCall::SetFaults(decode_json(request.body())?)),
        _ => Err(error_response(
            StatusCode::NOT_FOUND,
            "use /objects, /watch, /vms, /counts or /faults",
        )),
    }
}

fn decode_object(
    request: &Request<Bytes>,
    name: String,
) -> Result<PlatformRequest, Box<Response<ResponseBody>>> {
    match *request.method() {
        Method::GET => Ok(PlatformRequest::Read { name }),
        Method::PUT => {
            let condition = match (header_text(request, "if-none-match"), if_match(request)?) {
                (Some("*"), None) => ChangeCondition::Absent,
                (None, Some(version)) => ChangeCondition::AtVersion(version),
                _ => return Err(condition_needed()),
            };
            let content = std::str::from_utf8(request.body()).map_err(|_| {
                error_response(StatusCode::BAD_REQUEST, "send the content as UTF-8")
            })?;
            Ok(PlatformRequest::Write { name, content: Arc::from(content), condition })
        }
        Method::DELETE => match if_match(request)? {
            Some(version) => Ok(PlatformRequest::Delete { name, version }),
            None => Err(condition_needed()),
        },
        _ => Err(error_response(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE")),
    }
}

fn if_match(request: &Request<Bytes>) -> Result<Option<u64>, Box<Response<ResponseBody>>> {
    let Some(etag) = header_text(request, "if-match") else { return Ok(None) };
    let version = etag.trim_matches('"').parse();
    version
        .map(Some)
        .map_err(|_| error_response(StatusCode::BAD_REQUEST, "send If-Match: \"VERSION\""))
}

/// Returns the era that a request was made for, if it names one.
pub(super) fn wanted_era(
    request: &Request<Bytes>,
) -> Result<Option<u64>, Box<Response<ResponseBody>>> {
    let era = header_text(request, ERA_HEADER).map(str::parse).transpose();
    era.map_err(|_| error_response(StatusCode::BAD_REQUEST, "send X-Store-Era: NUMBER"))
}

/// Adds the era that a response is of.
pub(super) fn with_era(mut response: Response<ResponseBody>, era: u64) -> Response<ResponseBody> {
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    response
}

/// Encodes a response.
pub(super) fn encode(response: PlatformResponse) -> Response<ResponseBody> {
    match response {
        PlatformResponse::Object { version, content } => versioned(
            text_response(StatusCode::OK, Bytes::copy_from_slice(content.as_bytes())),
            version,
        ),
        PlatformResponse::Missing => {
            text_response(StatusCode::NOT_FOUND, "no object has this name")
        }
        PlatformResponse::Changed { version } => {
            versioned(text_response(StatusCode::OK, ""), version)
        }
        PlatformResponse::Conflict { version } => {
            let text = "the object is at another version";
            versioned(text_response(StatusCode::PRECONDITION_FAILED, text), version)
        }
        PlatformResponse::OtherEra => {
            text_response(StatusCode::PRECONDITION_FAILED, "the store is in another era")
        }
        PlatformResponse::TooLarge => {
            text_response(StatusCode::PAYLOAD_TOO_LARGE, "send at most 1 MiB")
        }
        PlatformResponse::Batch(batch) => json_response(&batch),
        PlatformResponse::TooOld => text_response(StatusCode::GONE, "list the objects again"),
        PlatformResponse::Vms(vms) => json_response(&vms),
        PlatformResponse::Done => text_response(StatusCode::OK, ""),
    }
}

fn versioned(mut response: Response<ResponseBody>, version: u64) -> Response<ResponseBody> {
    response.headers_mut().insert(VERSION_HEADER, HeaderValue::from(version));
    response
}

fn error_response(status: StatusCode, text: &'static str) -> Box<Response<ResponseBody>> {
    Box::new(text_response(status, text))
}

fn condition_needed() -> Box<Response<ResponseBody>> {
    error_response(
        StatusCode::PRECONDITION_REQUIRED,
        "send If-Match: \"VERSION\", or If-None-Match: * to create",
    )
}

fn decode_json<T: serde::de::DeserializeOwned>(
    body: &Bytes,
) -> Result<T, Box<Response<ResponseBody>>> {
    serde_json::from_slice(body)
        .map_err(|error| Box::new(text_response(StatusCode::BAD_REQUEST, error.to_string())))
}

fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn parse(
    value: Option<&str>,
    default: u64,
    usage: &'static str,
) -> Result<u64, Box<Response<ResponseBody>>> {
    let Some(value) = value else { return Ok(default) };
    value.parse().map_err(|_| error_response(StatusCode::BAD_REQUEST, usage))
}
