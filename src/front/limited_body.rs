//! Request body of a caller, with limits on its size and on pauses.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::future::FutureExt;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Duration, Sleep, sleep};

use crate::exchange::{BodyError, BodyFault, BodyStatus};
use crate::held::CallerHolder;
use crate::settings::LimitSettings;

/// Request body that fails if it is too large or if the caller pauses for too long.
pub(super) struct LimitedBody {
    inner: Incoming,
    status: BodyStatus,
    holder: Arc<CallerHolder>,
    max_bytes: u64,
    received_bytes: u64,
    pause_limit: Duration,
    /// Runs while the body waits for the caller, but not while the target is slow.
    timer: Option<Pin<Box<Sleep>>>,
}

impl LimitedBody {
    pub(super) fn new(
        inner: Incoming,
        status: BodyStatus,
        holder: Arc<CallerHolder>,
        limits: &LimitSettings,
    ) -> Self {
        Self {
            inner,
            status,
            holder,
            max_bytes: limits.max_body_bytes,
            received_bytes: 0,
            pause_limit: limits.body_progress_timeout(),
            timer: None,
        }
    }

    fn fail(
        &self,
        fault: BodyFault,
        error: BodyError,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.status.report(fault);
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        self.holder.set_waiting(!polled.is_pending());
        let frame = match polled {
            Poll::Pending => {
                let limit = self.pause_limit;
                let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
                futures::ready!(timer.poll_unpin(context));
                let limit_ms = limit.as_millis() as u64;
                return self.fail(BodyFault::Stalled, BodyError::Stalled { limit_ms });
            }
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => return self.fail(BodyFault::Broken, error.into()),
            Poll::Ready(Some(Ok(frame))) => frame,
        };
        self.timer = None;
        // Trailers apply to one connection only, like the header that lists them.
        let Some(data) = frame.data_ref() else { return self.poll_frame(context) };
        let length = data.len();
        self.received_bytes += length as u64;
        self.holder.record_moved(length);
        if self.received_bytes > self.max_bytes {
            let limit_bytes = self.max_bytes;
            return self.fail(BodyFault::TooLarge, BodyError::TooLarge { limit_bytes });
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
