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

use super::caller_socket::CallerSocket;
use super::head_inspector::HeadInspector;

/// First bytes of an HTTP/2 connection (RFC 9113, 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Time for which input is still read and discarded after the last response. Closing a socket
/// with unread input resets the connection, which can destroy that response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Byte stream of a caller connection. Shows its input to an inspector, fails on stalled
/// writes and lingers on shutdown.
pub(super) struct CallerStream {
    socket: Arc<CallerSocket>,
    writer: OwnedWriteHalf,
    inspector: Option<HeadInspector>,
    write_limit: Duration,
    write_timer: Option<Pin<Box<Sleep>>>,
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Reads the first bytes within `limit`. Returns the stream, and `true` if the bytes are the
    /// preface of an HTTP/2 connection.
    pub(super) async fn open(
        mut inner: TcpStream,
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
        futures::ready!(self.socket.poll_read(context, buffer))?;
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
        self.limit_write(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.writer).poll_write_vectored(context, parts);
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
