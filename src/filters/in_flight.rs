//! Requests in flight at a target, which hold their lease of it.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use zinniaport_core::call::ReasonCode;
use zinniaport_core::fleet::TargetCounters;
use zinniaport_core::placement::AttemptEnd;

use crate::exchange::{BodyError, CallBody};
use crate::placement::PlacementLease;

/// Returns how an attempt without a response ended, for the placement.
pub(super) fn attempt_end(reason: ReasonCode) -> AttemptEnd {
    match reason {
        ReasonCode::TargetLost | ReasonCode::TargetUnreachable => AttemptEnd::Failed,
        _ => AttemptEnd::Unknown,
    }
}

/// Counts a request as in flight and holds its lease of the target until dropped.
pub(super) struct InFlightGuard {
    counters: Arc<TargetCounters>,
    lease: Option<Box<dyn PlacementLease>>,
}

impl InFlightGuard {
    pub(super) fn new(
        counters: Arc<TargetCounters>,
        lease: Option<Box<dyn PlacementLease>>,
    ) -> Self {
        counters.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { counters, lease }
    }

    pub(super) fn record_end(&mut self, end: AttemptEnd) {
        if let Some(lease) = &mut self.lease {
            lease.record_end(end);
        }
    }

    pub(super) fn record_leaving(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.record_leaving();
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Response body whose request counts as in flight until the body is dropped.
pub(super) struct CountedBody {
    pub(super) inner: CallBody,
    pub(super) _guard: InFlightGuard,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
