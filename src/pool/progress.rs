//! Progress of sending a request body to a target.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::exchange::{BodyError, CallBody};

/// Progress of a request body, shared between the connection and the wait for the response.
#[derive(Debug, Default)]
pub(super) struct SendProgress {
    frames: AtomicU64,
    complete: AtomicBool,
    awaits_caller: AtomicBool,
}

impl SendProgress {
    /// Returns the number of frames read from the body.
    pub(super) fn frames(&self) -> u64 {
        self.frames.load(Ordering::Acquire)
    }

    /// Returns `true` if the body was read to its end.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }

    /// Returns `true` if the connection waits for the caller to send more of the body.
    pub(super) fn awaits_caller(&self) -> bool {
        self.awaits_caller.load(Ordering::Acquire)
    }
}

/// Request body that records its progress.
pub(super) struct ProgressBody {
    inner: CallBody,
    progress: Arc<SendProgress>,
}

impl ProgressBody {
    pub(super) fn new(inner: CallBody, progress: Arc<SendProgress>) -> Self {
        progress.complete.store(inner.is_end_stream(), Ordering::Release);
        Self { inner, progress }
    }
}

impl Body for ProgressBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let progress = &self.progress;
        progress.awaits_caller.store(polled.is_pending(), Ordering::Release);
        match &polled {
            Poll::Ready(Some(Ok(_))) => {
                progress.frames.fetch_add(1, Ordering::AcqRel);
                progress.complete.store(self.inner.is_end_stream(), Ordering::Release);
            }
            Poll::Ready(None) => progress.complete.store(true, Ordering::Release),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
