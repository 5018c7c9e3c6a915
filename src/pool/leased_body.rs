//! Response body that holds its connection until the body has been read completely.

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
use super::handle::ConnectionHandle;
use super::progress::SendProgress;
use super::silence::SilenceReport;
use crate::exchange::BodyError;

/// The connection of a response body, closed when dropped.
pub(super) struct HeldConnection {
    pub(super) connection: TargetConnection,
    pub(super) lease: ConnectionLease,
    pub(super) progress: Arc<SendProgress>,
    pub(super) silence: SilenceReport,
    pub(super) handle: ConnectionHandle,
    /// Closes the connection at the deadline.
    pub(super) closer: AbortOnDropHandle<()>,
}

/// Response body that fails at the deadline, and if the target ends it early. A target that is
/// silent for long is only reported.
pub(super) struct LeasedBody {
    inner: Incoming,
    held: Option<HeldConnection>,
    deadline: Instant,
    silence_limit: Duration,
    /// Whether only the end of the connection ends the body.
    ends_with_connection: bool,
    /// Runs while the body waits for the target, but not while the caller is slow.
    timer: Option<Pin<Box<Sleep>>>,
}

impl LeasedBody {
    pub(super) fn new(
        inner: Incoming,
        held: HeldConnection,
        deadline: Instant,
        silence_limit: Duration,
        ends_with_connection: bool,
    ) -> Self {
        Self { inner, held: Some(held), deadline, silence_limit, ends_with_connection, timer: None }
    }

    fn release_if_complete(&mut self) {
        if self.inner.is_end_stream() {
            self.release();
        }
    }

    /// Returns the connection to the pool, whose response body is complete. Closes it if the
    /// request body is not, since its remaining bytes would precede the next request, or if the
    /// sender has retired it.
    fn release(&mut self) {
        let Some(held) = self.held.take() else { return };
        let HeldConnection { connection, lease, progress, handle, closer, .. } = held;
        // The closer acts only after the deadline. Dropping it before then ensures that it
        // cannot close the connection during the next exchange.
        drop(closer);
        if progress.is_complete() && !handle.is_retired() && Instant::now() < self.deadline {
            lease.release(connection);
        }
    }

    fn has_sent_request(&self) -> bool {
        self.held.as_ref().is_none_or(|held| held.progress.is_complete())
    }

    /// Waits for the deadline, and reports the target if it is silent for longer than the limit.
    fn poll_limit(&mut self, context: &mut Context<'_>) -> Poll<BodyError> {
        let (deadline, silence_limit) = (self.deadline, self.silence_limit);
        let timer = self.timer.get_or_insert_with(|| {
            Box::pin(sleep_until(deadline.min(Instant::now() + silence_limit)))
        });
        futures::ready!(timer.poll_unpin(context));
        if Instant::now() < deadline {
            if let Some(held) = &mut self.held {
                held.silence.send(held.connection.reused);
            }
            timer.as_mut().reset(deadline);
            futures::ready!(timer.poll_unpin(context));
        }
        self.held = None;
        Poll::Ready(BodyError::DeadlinePassed)
    }
}

impl Drop for LeasedBody {
    /// Releases the connection of a response whose body is empty. It is not released before, so
    /// that the sender can read the head and retire the connection first.
    fn drop(&mut self) {
        self.release_if_complete();
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
            // Trailers apply to one connection only, like the header that lists them.
            Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => self.poll_frame(context),
            Poll::Ready(Some(Ok(frame))) => {
                self.timer = None;
                if Instant::now() >= self.deadline {
                    self.held = None;
                    return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
                }
                self.release_if_complete();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.held = None;
                Poll::Ready(Some(Err(error.into())))
            }
            // A target that ends the connection before it has read the request has failed, and
            // the end of its response is not known.
            Poll::Ready(None) if self.ends_with_connection && !self.has_sent_request() => {
                self.held = None;
                Poll::Ready(Some(Err(BodyError::EndedEarly)))
            }
            // A body in chunks shows its end only here.
            Poll::Ready(None) => {
                self.release();
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
