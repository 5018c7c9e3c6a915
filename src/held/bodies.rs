//! Bodies whose bytes are held for a caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{CallerHolder, HeldLease, HolderGuard};
use crate::exchange::{BodyError, CallBody};

/// Largest part of a response body that is passed on at once, in bytes, so that the progress of
/// the caller shows.
const MAX_PART_BYTES: usize = 16 << 10;

/// Response body that records the progress of its caller and holds a lease.
pub struct HeldBody {
    inner: CallBody,
    rest: Bytes,
    holder: Arc<CallerHolder>,
    _lease: HeldLease,
    _guard: Option<HolderGuard>,
}

impl HeldBody {
    /// Creates a body that holds `lease`, and the registration of its request if it has one, until
    /// it is dropped.
    pub fn new(inner: CallBody, lease: HeldLease, guard: Option<HolderGuard>) -> Self {
        let holder = lease.holder().clone();
        holder.begin_response();
        holder.set_waiting(false);
        Self { inner, rest: Bytes::new(), holder, _lease: lease, _guard: guard }
    }

    fn pass(&mut self) -> Frame<Bytes> {
        let length = self.rest.len().min(MAX_PART_BYTES);
        self.holder.record_moved(length);
        Frame::data(self.rest.split_to(length))
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.holder.end_request();
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.pass())));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        self.holder.set_waiting(polled.is_pending());
        match futures::ready!(polled) {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.len() > MAX_PART_BYTES => {
                    self.rest = data;
                    Poll::Ready(Some(Ok(self.pass())))
                }
                Ok(data) => {
                    self.holder.record_moved(data.len());
                    Poll::Ready(Some(Ok(Frame::data(data))))
                }
                Err(frame) => Poll::Ready(Some(Ok(frame))),
            },
            end => Poll::Ready(end),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.inner.size_hint();
        let rest = self.rest.len() as u64;
        let mut sum = SizeHint::new();
        sum.set_lower(hint.lower() + rest);
        if let Some(upper) = hint.upper() {
            sum.set_upper(upper + rest);
        }
        sum
    }
}
