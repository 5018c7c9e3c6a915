//! Administration API of an entry: HTTP with JSON.

mod access;
mod explain;
mod health;
mod observe;
mod plan_service;
mod plans;
mod query;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

pub use access::{TeamMember, TokenRegistry};
use bytes::Bytes;
pub use explain::{
    ErrorBody, ExplainHandler, LocalRecords, RecordBatch, RecordLookup, RecordsHandler,
    error_response,
};
use futures::future::BoxFuture;
pub use health::{LivenessHandler, ReadinessCheck, ReadinessHandler};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
pub use observe::{
    BurnHandler, EntryStatus, MetricsHandler, ServiceStatus, StatusHandler, TargetStatus,
};
pub use plan_service::{PlanService, PlanServiceError};
pub use plans::PlanApi;
pub use query::{percent_decode, percent_encode, query_value};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Largest request body, in bytes.
const MAX_ADMIN_BODY_BYTES: usize = 1 << 20;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Response of the administration API.
pub type AdminResponse = Response<Full<Bytes>>;

/// Request to the administration API, with its whole body.
pub type AdminRequest = Request<Bytes>;

/// Handles the requests under one path.
pub trait AdminHandler: Send + Sync {
    /// Returns the path of the handler, which also gets the requests for paths below it.
    fn path(&self) -> &'static str;

    /// Handles a request.
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse>;
}

/// Dispatches administration requests to their handlers.
#[derive(Clone)]
pub struct AdminRouter(Arc<[Arc<dyn AdminHandler>]>);

impl AdminRouter {
    /// Creates a router. A request goes to the first handler whose path matches.
    pub fn new(handlers: Vec<Arc<dyn AdminHandler>>) -> Self {
        Self(handlers.into())
    }

    /// Serves until `stop` is cancelled.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        loop {
            let stream = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("cannot accept a connection: {error}; check the limit of open files");
                        // The error persists while no file descriptor is free, so
                        // without a pause the loop would spin.
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                },
            };
            let router = self.clone();
            let service = service_fn(move |request| {
                let router = router.clone();
                async move { Ok::<_, Infallible>(router.dispatch(request).await) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
            tokio::spawn(connection);
        }
    }

    async fn dispatch(&self, request: Request<Incoming>) -> AdminResponse {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_ADMIN_BODY_BYTES).collect().await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "send at most 1 MiB");
        };
        let request = Request::from_parts(head, body.to_bytes());
        let path = request.uri().path();
        match self.0.iter().find(|handler| is_under(handler.path(), path)) {
            Some(handler) => handler.handle(&request).await,
            None => {
                text_response(StatusCode::NOT_FOUND, "see `zinniaport --help` for the commands")
            }
        }
    }
}

/// Returns `true` if `path` is `prefix` or lies below it.
fn is_under(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> AdminResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Creates a JSON response.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> AdminResponse {
    let mut response = text_response(status, serde_json::to_vec(value).unwrap_or_default());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
