//! Bytes that are exchanged with other data centres, which are paid for.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use metrics::{Counter, counter, with_local_recorder};
use metrics_exporter_prometheus::PrometheusRecorder;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use crate::exchange::{BodyError, CallBody};

/// Bytes around the name and the value of a header in HTTP/1.1: a colon, a space and a line end.
const HEADER_OVERHEAD: usize = 4;

/// Types of traffic between data centres.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum TrafficKind {
    /// Heads and bodies of requests to targets.
    Requests,
    /// Heads and bodies of responses of targets.
    Responses,
    /// Datagrams about placement, and about headroom.
    Placement,
    /// Other datagrams.
    Signals,
    /// Directory content from other entries.
    Relay,
    /// Probes and the responses to them.
    Probes,
}

/// Counters of the bytes that an entry exchanges with other data centres: without the headers of
/// lower protocols, and those of datagrams only to entries whose data centre is known.
pub struct TrafficMetrics([Counter; TrafficKind::COUNT]);

impl TrafficMetrics {
    pub(super) fn new(recorder: &PrometheusRecorder) -> Self {
        let mut kinds = TrafficKind::iter().map(<&str>::from);
        with_local_recorder(recorder, || {
            Self(std::array::from_fn(|_| {
                let kind = kinds.next().unwrap_or_default();
                counter!("zinniaport_data_centre_bytes_total", "type" => kind)
            }))
        })
    }

    /// Counts bytes of one type.
    pub fn count(&self, kind: TrafficKind, bytes: usize) {
        self.0[kind as usize].increment(bytes as u64);
    }

    /// Returns a body that counts its bytes, and counts those of a message head.
    pub fn meter(&self, kind: TrafficKind, head: &HeaderMap, inner: CallBody) -> MeteredBody {
        self.count(kind, head_bytes(head));
        MeteredBody { inner, counter: self.0[kind as usize].clone() }
    }
}

/// Returns the length of the headers of a message in HTTP/1.1.
pub fn head_bytes(headers: &HeaderMap) -> usize {
    let lengths = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    lengths.map(|length| length + HEADER_OVERHEAD).sum()
}

/// A body whose bytes are counted as they pass.
pub struct MeteredBody {
    inner: CallBody,
    counter: Counter,
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            self.counter.increment(data.len() as u64);
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
