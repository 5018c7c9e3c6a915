//! `GET /livez` and `GET /readyz`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::future::BoxFuture;
use http::StatusCode;

use super::{AdminHandler, AdminRequest, AdminResponse, text_response};
use crate::propagation::PropagationStatus;

/// Reports that the process runs.
pub struct LivenessHandler;

impl AdminHandler for LivenessHandler {
    fn path(&self) -> &'static str {
        "/livez"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async { text_response(StatusCode::OK, "live") })
    }
}

/// A condition for serving callers.
pub trait ReadinessCheck: Send + Sync {
    /// Returns `true` if the condition holds.
    fn ready(&self) -> bool;
}

impl ReadinessCheck for PropagationStatus {
    fn ready(&self) -> bool {
        Self::ready(self)
    }
}

impl ReadinessCheck for AtomicBool {
    fn ready(&self) -> bool {
        self.load(Ordering::Acquire)
    }
}

/// Reports whether the platform's balancer should send callers to this entry.
pub struct ReadinessHandler(Vec<Arc<dyn ReadinessCheck>>);

impl ReadinessHandler {
    /// Creates a handler that reports ready while all of `checks` hold.
    pub fn new(checks: Vec<Arc<dyn ReadinessCheck>>) -> Self {
        Self(checks)
    }
}

impl AdminHandler for ReadinessHandler {
    fn path(&self) -> &'static str {
        "/readyz"
    }

    fn handle<'a>(&'a self, _request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        Box::pin(async {
            if self.0.iter().all(|check| check.ready()) {
                text_response(StatusCode::OK, "ready")
            } else {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        })
    }
}
