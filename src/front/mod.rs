//! HTTP front end towards callers.

mod problem;

use std::convert::Infallible;
use std::sync::Arc;

use http::{HeaderValue, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
pub use problem::OUTCOME_HEADER;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use zinniaport_core::call::CallOutcome;

use crate::exchange::{BodyError, CallResponse, Exchange};
use crate::filters::FilterChain;
use crate::state::SharedState;

/// Header that carries the identity of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest request id that is taken from a caller, in characters.
const MAX_REQUEST_ID_LENGTH: usize = 64;

/// Turns HTTP requests into exchanges and runs them through the filter chain.
#[derive(Clone)]
pub struct HttpFront {
    state: Arc<SharedState>,
    chain: FilterChain,
}

impl HttpFront {
    /// Creates a front end.
    pub fn new(state: Arc<SharedState>, chain: FilterChain) -> Self {
        Self { state, chain }
    }

    /// Accepts connections until `stop` is cancelled, then lets requests in
    /// flight end.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) {
        let graceful = GracefulShutdown::new();
        loop {
            let stream = tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("cannot accept a connection: {error}; check the limit of open files");
                        continue;
                    }
                },
            };
            let _ = stream.set_nodelay(true);
            let front = self.clone();
            let service = service_fn(move |request| {
                let front = front.clone();
                async move { Ok::<_, Infallible>(front.answer(request).await) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
            tokio::spawn(graceful.watch(connection));
        }
        drop(listener);
        graceful.shutdown().await;
    }

    /// Serves one request.
    async fn answer(&self, request: Request<Incoming>) -> CallResponse {
        let request_id = request_id(&request);
        let request = request.map(|body| body.map_err(BodyError::from).boxed());
        let mut exchange = Exchange::new(request_id, self.state.fleet.load_full(), request);
        let mut response = match self.chain.run(&mut exchange).await {
            Ok(mut response) => {
                let outcome = HeaderValue::from_static(CallOutcome::Ran.into());
                response.headers_mut().entry(OUTCOME_HEADER).or_insert(outcome);
                response
            }
            Err(refusal) => problem::problem_response(&refusal, &exchange.request_id),
        };
        if let Ok(value) = HeaderValue::from_str(&exchange.request_id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }
}

/// Takes the caller's request id if it is usable, else makes one.
fn request_id(request: &Request<Incoming>) -> String {
    request
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| (1..=MAX_REQUEST_ID_LENGTH).contains(&id.len()))
        .map_or_else(|| Uuid::now_v7().to_string(), ToOwned::to_owned)
}
