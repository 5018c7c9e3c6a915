//! Byte stream of a caller connection, which limits stalled writes and closes without
//! destroying a response that is still being sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::future::FutureExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Duration, Sleep, sleep, timeout};

use super::HEAD_COST_FACTOR;
use super::caller_socket::CallerSocket;
use super::head_inspector::HeadInspector;
use crate::held::{CallerHolder, HeldLease};

/// First bytes of an HTTP/2 connection (RFC 9113, 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Time for which input is still read and discarded after the last response. Closing a socket
/// with unread input resets the connection, which can destroy that response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of a head that is part of what a connection is charged for, in bytes: half of the first
/// size of its buffer.
const FREE_HEAD_BYTES: usize = 4 << 10;

/// Time between two attempts to read more of a head while more bytes are held than may be.
const HEAD_CHARGE_PERIOD: Duration = Duration::from_millis(50);

/// Byte stream of a caller connection. Shows its input to an inspector, fails on stalled
/// writes and lingers on shutdown.
pub(super) struct CallerStream {
    socket: Arc<CallerSocket>,
    writer: OwnedWriteHalf,
    inspector: Option<HeadInspector>,
    write_limit: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    linger_timer: Option<Pin<Box<Sleep>>>,
    holder: Arc<CallerHolder>,
    head: HeadCharge,
}

/// What is charged for a head that is being read.
struct HeadCharge {
    lease: HeldLease,
    /// Length of the head so far, in bytes.
    length: usize,
    /// Number of requests before it.
    requests: u64,
    /// Runs while more bytes are held for callers than may be.
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadCharge {
    /// Waits while more bytes are held for callers than may be. A short head does not wait.
    fn poll_room(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.lease.bytes() == 0 || self.requests != self.lease.holder().requests() {
            return Poll::Ready(());
        }
        loop {
            if let Some(timer) = &mut self.timer {
                futures::ready!(timer.poll_unpin(context));
                self.timer = None;
            }
            if !self.lease.holder().is_overdrawn() {
                return Poll::Ready(());
            }
            self.timer = Some(Box::pin(sleep(HEAD_CHARGE_PERIOD)));
        }
    }

    /// Records bytes of a head. The first ones are part of what a connection is charged for.
    fn record(&mut self, bytes: usize, requests: u64) {
        if self.requests != requests {
            self.requests = requests;
            self.length = 0;
            self.lease.clear();
        }
        self.length += bytes;
        let excess = self.length.saturating_sub(FREE_HEAD_BYTES).min(bytes);
        if excess > 0 {
            self.lease.overdraw(excess as u32 * HEAD_COST_FACTOR);
        }
    }
}

impl CallerStream {
    /// Reads the first bytes within `limit`. Returns the stream, and `true` if the bytes are the
    /// preface of an HTTP/2 connection.
    pub(super) async fn open(
        mut inner: TcpStream,
        holder: Arc<CallerHolder>,
        limit: Duration,
        write_limit: Duration,
    ) -> io::Result<(Self, bool)> {
        let prefix = timeout(limit, read_prefix(&mut inner)).await??;
        let is_http2 = prefix == HTTP2_PREFACE;
        let (reader, writer) = inner.into_split();
        let stream = Self {
            socket: Arc::new(CallerSocket::new(reader, &prefix)),
            writer,
            inspector: None,
            write_limit,
            write_timer: None,
            linger_timer: None,
            head: HeadCharge { lease: holder.lease(), length: 0, requests: 0, timer: None },
            holder,
        };
        Ok((stream, is_http2))
    }

    /// Returns the receiving side, to wait for the end of the connection.
    pub(super) fn socket(&self) -> Arc<CallerSocket> {
        self.socket.clone()
    }

    /// Sets the inspector that sees all further input.
    pub(super) fn inspect(mut self, inspector: HeadInspector) -> Self {
        self.inspector = Some(inspector);
        self
    }

    fn record_written(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(written)) = polled {
            self.holder.record_moved(*written);
        }
    }

    /// Fails a write that makes no progress within the write limit.
    fn limit_write<T>(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.write_timer = None;
            return polled;
        }
        let limit = self.write_limit;
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        futures::ready!(timer.poll_unpin(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Reads until the input is the HTTP/2 preface or can no longer become it.
async fn read_prefix(stream: &mut TcpStream) -> io::Result<Bytes> {
    let mut buffer = [0; HTTP2_PREFACE.len()];
    let mut length = 0;
    while length < buffer.len() && HTTP2_PREFACE.starts_with(&buffer[..length]) {
        match stream.read(&mut buffer[length..]).await? {
            0 => break,
            read => length += read,
        }
    }
    Ok(Bytes::copy_from_slice(&buffer[..length]))
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let is_head = self.inspector.is_some() && !self.holder.in_request();
        if is_head {
            futures::ready!(self.head.poll_room(context));
        }
        futures::ready!(self.socket.poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        self.holder.record_moved(read);
        if is_head {
            let requests = self.holder.requests();
            self.head.record(read, requests);
        }
        if let Some(inspector) = &mut self.inspector {
            inspector.inspect(&buffer.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.writer).poll_write(context, bytes);
        self.record_written(&polled);
        self.limit_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.writer).poll_write_vectored(context, parts);
        self.record_written(&polled);
        self.limit_write(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            futures::ready!(Pin::new(&mut self.writer).poll_shutdown(context))?;
            self.linger_timer = Some(Box::pin(sleep(LINGER_TIMEOUT)));
        }
        let mut discarded = [0; 4096];
        loop {
            if self.linger_timer.as_mut().is_some_and(|timer| timer.poll_unpin(context).is_ready())
            {
                return Poll::Ready(Ok(()));
            }
            let mut buffer = ReadBuf::new(&mut discarded);
            let read = futures::ready!(self.socket.poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
