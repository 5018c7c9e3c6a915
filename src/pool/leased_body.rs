//! Response body that holds its connection until it has been read to its end.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::future::FutureExt;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Duration, Instant, Sleep, sleep_until};
use tokio_util::task::AbortOnDropHandle;

use super::connections::{ConnectionLease, TargetConnection};
use super::progress::SendProgress;
use super::silence::SilenceReport;
use crate::exchange::BodyError;

/// The connection under a response body. Dropping it closes the connection.
pub(super) struct HeldConnection {
    pub(super) connection: TargetConnection,
    pub(super) lease: ConnectionLease,
    pub(super) progress: Arc<SendProgress>,
    pub(super) silence: SilenceReport,
    /// Closes the connection at the deadline.
    pub(super) closer: AbortOnDropHandle<()>,
}

/// Response body that ends with an error at the deadline, on silence and when
/// the target cuts it short.
pub(super) struct LeasedBody {
    inner: Incoming,
    held: Option<HeldConnection>,
    deadline: Instant,
    silence_limit: Duration,
    /// Runs while the body waits for the target, not while the caller is slow.
    timer: Option<Pin<Box<Sleep>>>,
}

impl LeasedBody {
    pub(super) fn new(
        inner: Incoming,
        held: HeldConnection,
        deadline: Instant,
        silence_limit: Duration,
    ) -> Self {
        let mut body = Self { inner, held: Some(held), deadline, silence_limit, timer: None };
        body.keep_if_ended();
        body
    }

    /// Returns the connection to the pool once both bodies ended whole. With a
    /// request body still under way it is closed: its remaining bytes would
    /// precede the next request.
    fn keep_if_ended(&mut self) {
        if !self.inner.is_end_stream() {
            return;
        }
        let Some(held) = self.held.take() else { return };
        let HeldConnection { connection, lease, progress, closer, .. } = held;
        // The closer never acts before the deadline. With it stopped and the
        // deadline still ahead, it cannot close the connection under the next
        // exchange.
        drop(closer);
        if progress.is_complete() && Instant::now() < self.deadline {
            lease.keep(connection);
        }
    }

    /// Waits for the earlier of the deadline and the silence limit.
    fn poll_limit(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let (deadline, silence_limit) = (self.deadline, self.silence_limit);
        let timer = self.timer.get_or_insert_with(|| {
            Box::pin(sleep_until(deadline.min(Instant::now() + silence_limit)))
        });
        futures::ready!(timer.poll_unpin(context));
        let held = self.held.take();
        if Instant::now() >= deadline {
            return Poll::Ready(BodyError::DeadlinePassed);
        }
        if let Some(held) = held {
            held.silence.report(held.connection.reused);
        }
        Poll::Ready(BodyError::Stalled { limit_ms: silence_limit.as_millis() as u64 })
    }
}

impl Body for LeasedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Pending => self.poll_limit(context).map(|error| Some(Err(error))),
            // Trailers concern one connection only, like the header that lists them.
            Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => self.poll_frame(context),
            Poll::Ready(Some(Ok(frame))) => {
                self.timer = None;
                if Instant::now() >= self.deadline {
                    self.held = None;
                    return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
                }
                self.keep_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.held = None;
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.keep_if_ended();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
