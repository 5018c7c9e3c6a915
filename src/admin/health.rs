//! `GET /livez` and `GET /readyz`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::future::BoxFuture;
use http::StatusCode;

use super::{AdminHandler, AdminRequest, AdminResponse, text_response};
use crate::propagation::PropagationStatus;

/// Answers whether the process runs.
pub struct LivenessHandler;

impl AdminHandler for LivenessHandler {
    fn path(&self) -> &'static str {
        "/livez"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async { text_response(StatusCode::OK, "live") })
    }
}

/// Answers whether the platform's balancer should send callers here.
pub struct ReadinessHandler {
    ready: Arc<AtomicBool>,
    propagation: Option<Arc<PropagationStatus>>,
}

impl ReadinessHandler {
    /// Creates a handler. `ready` turns false with a planned stop; an entry that
    /// follows a store is ready only while its intents are.
    pub fn new(ready: Arc<AtomicBool>, propagation: Option<Arc<PropagationStatus>>) -> Self {
        Self { ready, propagation }
    }
}

impl AdminHandler for ReadinessHandler {
    fn path(&self) -> &'static str {
        "/readyz"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async {
            let settled = self.propagation.as_ref().is_none_or(|status| status.ready());
            if settled && self.ready.load(Ordering::Acquire) {
                text_response(StatusCode::OK, "ready")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        })
    }
}
