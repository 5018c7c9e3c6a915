//! Client of the platform's object API over HTTP/1.1.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bon::Builder;
use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;

use zinniaport_core::controllers::StoreEra;

use super::connection::{ApiClient, no_response, refused};
use super::{
    ListedVm, ObjectStore, StoreError, StoredObject, VmDirectory, WatchBatch, WriteCondition,
};

/// Response header with the version of an object.
const VERSION_HEADER: &str = "x-version";

/// Header with the era of the store. Responses of a store that reports it have it, and a write
/// with it takes effect only in that era.
const ERA_HEADER: &str = "x-store-era";

/// Largest content that the platform accepts, in bytes.
const MAX_CONTENT_BYTES: usize = 1 << 20;

/// Client of the platform's object store and VM list.
#[derive(Debug, Builder)]
pub struct HttpStore {
    /// Address of the platform.
    #[builder(name = address, with = |address: SocketAddr| ApiClient::new(address))]
    api: ApiClient,
    /// Time limit of each call, except for watches, which have their own.
    #[builder(default = Duration::from_secs(2))]
    call_limit: Duration,
    /// One more than the highest era that a response named; 0 before the first.
    #[builder(skip)]
    seen_eras: AtomicU64,
}

impl HttpStore {
    /// Makes a call and records the era that the response names.
    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let response = self.api.call(request, limit).await?;
        let Some(era) = parse_number(&response, ERA_HEADER) else { return Ok(response) };
        let seen = self.seen_eras.fetch_max(era.saturating_add(1), Ordering::AcqRel);
        if era.saturating_add(1) < seen {
            return Err(no_response("the response is from before the store was restored"));
        }
        if seen > 0 && seen <= era {
            log::warn!(
                era = era;
                "the store came back from an older copy and gives versions out again; \
                 what was written to it last may be lost"
            );
        }
        Ok(response)
    }

    async fn send_change(
        &self,
        name: &str,
        request: http::request::Builder,
        content: Bytes,
    ) -> Result<u64, StoreError> {
        let request = build_object_request(request, name, content)?;
        let response = self.call(request, self.call_limit).await?;
        match response.status() {
            StatusCode::OK => parse_version(&response)
                .ok_or_else(|| no_response("the response has no X-Version header")),
            StatusCode::PRECONDITION_FAILED => match parse_version(&response) {
                Some(version) => Err(StoreError::Conflict { version }),
                None => Err(refused(
                    "the precondition failed, and the response has no X-Version header",
                )),
            },
            _ => Err(status_error(&response)),
        }
    }

    async fn send_write(
        &self,
        name: &str,
        content: Bytes,
        condition: WriteCondition,
        era: Option<StoreEra>,
    ) -> Result<u64, StoreError> {
        // Checked here, because the platform may close the connection before it has read a
        // larger body, which looks like a lost response.
        if content.len() > MAX_CONTENT_BYTES {
            return Err(refused("the content is larger than 1 MiB"));
        }
        let mut request = Request::builder().method(Method::PUT);
        if let Some(era) = era {
            request = request.header(ERA_HEADER, era.0);
        }
        let request = match condition {
            WriteCondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            WriteCondition::AtVersion(version) => {
                request.header(header::IF_MATCH, format!("\"{version}\""))
            }
        };
        self.send_change(name, request, content).await
    }

    async fn fetch_batch(&self, uri: String, limit: Duration) -> Result<WatchBatch, StoreError> {
        let request = build_request(Request::get(uri), Bytes::new())?;
        let response = self.call(request, limit).await?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(response.body()).map_err(|error| {
                no_response(format!("the response is not a valid batch: {error}"))
            }),
            StatusCode::GONE => Err(StoreError::TooOld),
            _ => Err(status_error(&response)),
        }
    }
}

impl ObjectStore for HttpStore {
    fn read<'a>(
        &'a self,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoredObject>, StoreError>> {
        Box::pin(async move {
            let request = build_object_request(Request::get("/"), name, Bytes::new())?;
            let response = self.call(request, self.call_limit).await?;
            match response.status() {
                StatusCode::OK => decode_object(name, &response).map(Some),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(status_error(&response)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        Box::pin(async move {
            let prefix = check_name(prefix)?;
            self.fetch_batch(format!("/objects?prefix={prefix}"), self.call_limit).await
        })
    }

    fn write<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
        condition: WriteCondition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(self.send_write(name, content, condition, None))
    }

    fn era(&self) -> Option<StoreEra> {
        self.seen_eras.load(Ordering::Acquire).checked_sub(1).map(StoreEra)
    }

    fn write_in_era<'a>(
        &'a self,
        name: &'a str,
        content: Bytes,
        condition: WriteCondition,
        era: StoreEra,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        let era = self.era().map(|_| era);
        Box::pin(self.send_write(name, content, condition, era))
    }

    fn delete<'a>(&'a self, name: &'a str, version: u64) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let request = Request::builder().method(Method::DELETE);
            let request = request.header(header::IF_MATCH, format!("\"{version}\""));
            self.send_change(name, request, Bytes::new()).await.map(|_| ())
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        version: u64,
        limit: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        Box::pin(async move {
            let prefix = check_name(prefix)?;
            // A quarter of the limit is left for the transfer of the response.
            let wait = (limit * 3 / 4).as_millis();
            let uri = format!("/watch?prefix={prefix}&after={version}&timeout_ms={wait}");
            self.fetch_batch(uri, limit).await
        })
    }
}

impl VmDirectory for HttpStore {
    fn list_vms(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, StoreError>> {
        Box::pin(async {
            let request = build_request(Request::get("/vms"), Bytes::new())?;
            let response = self.call(request, self.call_limit).await?;
            match response.status() {
                StatusCode::OK => serde_json::from_slice(response.body()).map_err(|error| {
                    no_response(format!("the response is not a valid list of VMs: {error}"))
                }),
                _ => Err(status_error(&response)),
            }
        })
    }
}

fn build_object_request(
    request: http::request::Builder,
    name: &str,
    content: Bytes,
) -> Result<Request<Full<Bytes>>, StoreError> {
    let name = check_name(name)?;
    build_request(request.uri(format!("/objects/{name}")), content)
}

fn build_request(
    request: http::request::Builder,
    content: Bytes,
) -> Result<Request<Full<Bytes>>, StoreError> {
    request.body(Full::new(content)).map_err(|error| refused(error.to_string()))
}

/// Checks that a name can be part of a URL without percent-encoding.
fn check_name(name: &str) -> Result<&str, StoreError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte);
    if name.bytes().all(allowed) {
        return Ok(name);
    }
    Err(refused(format!("the name {name:?} has characters other than A-Z a-z 0-9 - . _ ~ / :")))
}

fn decode_object(name: &str, response: &Response<Bytes>) -> Result<StoredObject, StoreError> {
    let version = parse_version(response)
        .ok_or_else(|| no_response("the response has no X-Version header"))?;
    let content = String::from_utf8(response.body().to_vec())
        .map_err(|error| no_response(format!("the content is not UTF-8: {error}")))?;
    Ok(StoredObject { name: name.to_owned(), version, content: Some(content) })
}

fn parse_version(response: &Response<Bytes>) -> Option<u64> {
    parse_number(response, VERSION_HEADER)
}

fn parse_number(response: &Response<Bytes>, header: &str) -> Option<u64> {
    response.headers().get(header)?.to_str().ok()?.parse().ok()
}

/// Maps an unexpected status to an error. Only a 4xx means that nothing changed; a 5xx
/// may be sent after the change.
fn status_error(response: &Response<Bytes>) -> StoreError {
    let status = response.status();
    let text = String::from_utf8_lossy(response.body());
    let cause = format!("{status} {text}");
    if status.is_client_error() { refused(cause) } else { no_response(cause) }
}
