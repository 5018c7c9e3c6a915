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

/// Something that an entry needs before it may serve callers.
pub trait ReadinessCheck: Send + Sync {
    /// Tells whether it is there.
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

/// Answers whether the platform's balancer should send callers here.
pub struct ReadinessHandler(Vec<Arc<dyn ReadinessCheck>>);

impl ReadinessHandler {
    /// Creates a handler that answers ready while all of `checks` are.
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
