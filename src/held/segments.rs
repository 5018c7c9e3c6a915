//! Content that is read into memory in segments.

use bytes::{Bytes, BytesMut};

use super::{HeldBytesFull, HeldLease};

/// Largest segment, in bytes. Segments of one size are reused by the allocator, while buffers that
/// double as they grow took three times the length of their content.
const SEGMENT_BYTES: usize = 64 << 10;

/// Smallest number of buffers that the budget has room for. Content that would take more of it is
/// passed on as it arrives, so that one large body leaves room for its own transfer and others.
const MIN_BUFFERS: u64 = 4;

/// A segment with the lease that it is held under, which ends with the last reference to it.
struct LeasedSegment {
    bytes: Bytes,
    _lease: HeldLease,
}

impl AsRef<[u8]> for LeasedSegment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Content as it is read, with the lease that it is held under.
pub struct SegmentBuffer {
    segments: Vec<Bytes>,
    current: BytesMut,
    length: usize,
    /// Lease of the current segment, and of all that is charged ahead; `None` if no caller is
    /// known.
    lease: Option<HeldLease>,
}

impl SegmentBuffer {
    /// Creates an empty buffer.
    pub fn new(lease: Option<HeldLease>) -> Self {
        Self { segments: Vec::new(), current: BytesMut::new(), length: 0, lease }
    }

    /// Returns the length of the content so far, in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns `true` if there is no content yet.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns `true` if the caller has to give way to others.
    pub fn is_dropped(&self) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.holder().is_dropped())
    }

    /// Charges for bytes that are added next, and waits for others to give way if need be.
    ///
    /// # Errors
    ///
    /// Returns an error if no bytes become free in time, or if the caller has to give way.
    pub async fn charge(
        &mut self,
        bytes: usize,
        limit: std::time::Duration,
    ) -> Result<(), HeldBytesFull> {
        self.check_share(bytes)?;
        match &mut self.lease {
            Some(lease) => lease.grow(bytes as u32, limit).await,
            None => Ok(()),
        }
    }

    /// Charges for bytes that are added next, if these are free.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not free now.
    pub fn try_charge(&mut self, bytes: usize) -> Result<(), HeldBytesFull> {
        self.check_share(bytes)?;
        self.lease.as_mut().map_or(Ok(()), |lease| lease.try_grow(bytes as u32))
    }

    /// Returns an error if the content would take too much of the budget.
    fn check_share(&self, bytes: usize) -> Result<(), HeldBytesFull> {
        let limit = self.lease.as_ref().map_or(u64::MAX, |lease| lease.holder().budget().limit);
        let is_fair = (self.length + bytes) as u64 <= limit / MIN_BUFFERS;
        is_fair.then_some(()).ok_or(HeldBytesFull)
    }

    /// Adds a part. It is copied, since a part has many times the size of its bytes if these are
    /// sent one by one.
    pub fn push(&mut self, mut part: &[u8]) {
        self.length += part.len();
        while !part.is_empty() {
            let free = SEGMENT_BYTES - self.current.len();
            let (first, rest) = part.split_at(part.len().min(free));
            self.current.extend_from_slice(first);
            part = rest;
            if self.current.len() == SEGMENT_BYTES {
                self.end_segment();
                self.current = BytesMut::with_capacity(SEGMENT_BYTES);
            }
        }
    }

    fn end_segment(&mut self) {
        let bytes = std::mem::take(&mut self.current).freeze();
        self.segments.push(match &mut self.lease {
            None => bytes,
            Some(lease) => {
                let _lease = lease.split(bytes.len() as u64);
                Bytes::from_owner(LeasedSegment { bytes, _lease })
            }
        });
    }

    /// Returns the content.
    pub fn into_segments(mut self) -> Vec<Bytes> {
        if !self.current.is_empty() {
            self.end_segment();
        }
        self.segments
    }
}
