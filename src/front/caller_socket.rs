//! Receiving side of a caller connection, which notices that the caller has left although
//! requests are still waiting to be read.

use std::future::pending;
use std::io;
use std::os::fd::AsFd;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// Number of bytes that are read ahead of hyper, which stops reading while it holds a
/// pipelined request or a body that waits for its target. Beyond them, the kernel tells when the
/// connection ends.
const READ_AHEAD_BYTES: usize = 8 << 10;

/// Largest number of callers with unread input whose end is watched for, in the whole process.
/// Each takes a second descriptor, and the smallest machines allow 4,100 in all.
const MAX_WATCHES: usize = 64;

static WATCHES: Semaphore = Semaphore::const_new(MAX_WATCHES);

/// Receiving side of a caller connection. hyper reads from it; while a request is in progress,
/// [`CallerSocket::closed`] reads ahead.
pub(super) struct CallerSocket {
    half: OwnedReadHalf,
    ahead: Mutex<ReadAhead>,
    /// Notified when hyper has read bytes that were read ahead.
    drained: Notify,
}

#[derive(Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// Task that waits for input.
    reader: Option<Waker>,
}

impl CallerSocket {
    /// Creates a socket. `prefix` holds bytes that were read already.
    pub(super) fn new(half: OwnedReadHalf, prefix: &Bytes) -> Self {
        let ahead = ReadAhead { bytes: BytesMut::from(&prefix[..]), reader: None };
        Self { half, ahead: Mutex::new(ahead), drained: Notify::new() }
    }

    /// Locked only by the task of the connection.
    fn lock(&self) -> MutexGuard<'_, ReadAhead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads into `buffer`, first what was read ahead.
    pub(super) fn poll_read(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut ahead = self.lock();
        if !ahead.bytes.is_empty() {
            let length = ahead.bytes.len().min(buffer.remaining());
            buffer.put_slice(&ahead.bytes[..length]);
            ahead.bytes.advance(length);
            if ahead.bytes.is_empty() {
                // Frees the memory of an idle connection.
                ahead.bytes = BytesMut::new();
            }
            self.drained.notify_one();
            return Poll::Ready(Ok(()));
        }
        loop {
            if self.half.as_ref().poll_read_ready(context)?.is_pending() {
                ahead.reader = Some(context.waker().clone());
                return Poll::Pending;
            }
            match self.half.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Waits until the caller has closed the connection. Bytes that arrive meanwhile are kept
    /// for hyper. A caller that closes only its sending side counts as gone too, because the
    /// two cannot be told apart.
    pub(super) async fn closed(&self) {
        let mut watch = None;
        loop {
            if self.lock().bytes.len() >= READ_AHEAD_BYTES {
                let watch = watch.get_or_insert_with(|| HangupWatch::open(&self.half));
                tokio::select! {
                    () = self.drained.notified() => continue,
                    () = watch.hung_up() => return,
                }
            }
            if self.half.readable().await.is_err() {
                return;
            }
            match self.read_ahead() {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    fn read_ahead(&self) -> io::Result<usize> {
        let mut ahead = self.lock();
        let free = READ_AHEAD_BYTES.saturating_sub(ahead.bytes.len());
        let mut part = [0; 2048];
        let free = free.min(part.len());
        if free == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let length = self.half.try_read(&mut part[..free])?;
        ahead.bytes.extend_from_slice(&part[..length]);
        if let Some(reader) = ahead.reader.take() {
            reader.wake();
        }
        Ok(length)
    }
}

/// Notices the end of a connection that lies behind input which nobody reads yet. It registers a
/// copy of the socket, since it discards readiness that the reader of the socket needs.
struct HangupWatch(Option<(TcpStream, SemaphorePermit<'static>)>);

impl HangupWatch {
    fn open(half: &OwnedReadHalf) -> Self {
        // Beyond the limit, the end is noticed when the input before it is read.
        let Ok(permit) = WATCHES.try_acquire() else { return Self(None) };
        let stream: &TcpStream = half.as_ref();
        let copy = stream.as_fd().try_clone_to_owned();
        let copy = copy.and_then(|socket| TcpStream::from_std(socket.into()));
        if let Err(error) = &copy {
            log::warn!(
                "cannot watch a caller connection, noticing its end when its input is read: {error}"
            );
        }
        Self(copy.ok().map(|copy| (copy, permit)))
    }

    /// Waits until the peer has closed or reset the connection, whatever input is unread.
    async fn hung_up(&self) {
        let Some((socket, _)) = &self.0 else { return pending().await };
        while let Ok(ready) = socket.ready(Interest::READABLE).await {
            if ready.is_read_closed() {
                return;
            }
            // The next event is more input or the end.
            let discard = || -> io::Result<()> { Err(io::ErrorKind::WouldBlock.into()) };
            let _ = socket.try_io(Interest::READABLE, discard);
        }
    }
}
