//! The connections to one target: a fixed number of slots, each leased to one exchange at a
//! time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Duration, Instant, sleep_until};
use tokio_util::task::AbortOnDropHandle;

use super::handle::ConnectionUse;
use super::identities::{IdentityTag, SentIdentities};
use crate::exchange::CallBody;
use crate::settings::MAX_CONNECTIONS_PER_TARGET;

/// Margin before the keep-alive timeout that a target states. An idle connection is not used
/// within it, since the target could close the connection while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);

/// Largest buffer of a connection in each direction, in bytes. It bounds the head of a response,
/// and what is held for a caller that does not read a response that is streamed.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Number of the next connection of this process, for the log.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// An open connection, closed when dropped.
pub(super) struct TargetConnection {
    pub(super) sender: SendRequest<CallBody>,
    /// Whether an exchange has completed on it before.
    pub(super) reused: bool,
    /// Number of the connection, unique within the process.
    number: u64,
    /// Number of requests that were sent on it, checks included.
    exchanges: u32,
    identities: SentIdentities,
    idle_since: Instant,
    /// Idle time up to which the connection may be used, from the target's `Keep-Alive` header.
    keep_alive: Option<Duration>,
    /// Generation of the pool in which it was opened.
    generation: u64,
    driver: AbortOnDropHandle<()>,
}

impl TargetConnection {
    /// Returns the time since the last exchange ended, or since the connection was opened.
    pub(super) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns `true` if a request with this identity may be sent on the connection.
    fn accepts(&self, identity: Option<IdentityTag>) -> bool {
        identity.is_none_or(|tag| !self.identities.is_full() && !self.identities.contains(tag))
    }

    /// Records that a request with this identity, if it has one, is sent on the connection.
    pub(super) fn begin_exchange(
        &mut self,
        identity: Option<IdentityTag>,
        avoids_copy: bool,
    ) -> ConnectionUse {
        self.exchanges = self.exchanges.saturating_add(1);
        if let Some(tag) = identity {
            self.identities.record(tag);
        }
        ConnectionUse { connection: self.number, exchange: self.exchanges, avoids_copy }
    }

    /// Sets the idle time after which the target closes the connection.
    pub(super) fn set_keep_alive(&mut self, time: Duration) {
        self.keep_alive = Some(time.saturating_sub(KEEP_ALIVE_MARGIN));
    }

    fn is_expired(&self, idle_limit: Duration) -> bool {
        let limit = self.keep_alive.map_or(idle_limit, |time| time.min(idle_limit));
        self.idle_time() >= limit
    }

    /// Closes the connection and waits until its socket is closed, so that a target does not see
    /// its successor beside it.
    async fn close(self) {
        self.driver.abort();
        let _ = self.driver.await;
    }

    /// Closes the connection at `deadline` unless the returned handle is dropped before. This
    /// works even if the caller has stopped reading, so that the response body is not polled.
    pub(super) fn close_at(&self, deadline: Instant) -> AbortOnDropHandle<()> {
        let driver = self.driver.abort_handle();
        AbortOnDropHandle::new(tokio::spawn(async move {
            sleep_until(deadline).await;
            driver.abort();
        }))
    }
}

/// The connections to one target. There is no lock: whoever clears a bit of `vacant` owns the
/// slot with the number of that bit.
pub(super) struct TargetPool {
    pub(super) address: SocketAddr,
    permits: Arc<Semaphore>,
    vacant: AtomicU64,
    slots: Box<[ArcSwapOption<TargetConnection>]>,
    generation: AtomicU64,
}

impl TargetPool {
    /// Creates a pool of at most `size` connections.
    pub(super) fn new(address: SocketAddr, size: usize) -> Self {
        let size = size.clamp(1, MAX_CONNECTIONS_PER_TARGET);
        Self {
            address,
            permits: Arc::new(Semaphore::new(size)),
            vacant: AtomicU64::new(u64::MAX >> (MAX_CONNECTIONS_PER_TARGET - size)),
            slots: (0..size).map(|_| ArcSwapOption::empty()).collect(),
            generation: AtomicU64::new(0),
        }
    }

    /// Waits for a slot whose connection has not carried a request with this identity. If all
    /// vacant ones have, the connection of one of them is closed. Dropping the future ends the
    /// wait.
    pub(super) async fn lease(
        self: &Arc<Self>,
        identity: Option<IdentityTag>,
    ) -> Option<ConnectionLease> {
        let permit = self.permits.clone().acquire_owned().await.ok()?;
        let mut lease = self.take_slot(permit)?;
        // Held until a slot is found, so that none of them is taken twice.
        let mut passed_over = Vec::new();
        while !lease.accepts(identity) {
            let permit = self.permits.clone().try_acquire_owned();
            match permit.ok().and_then(|permit| self.take_slot(permit)) {
                Some(next) => passed_over.push(std::mem::replace(&mut lease, next)),
                None => {
                    if let Some(connection) = lease.connection.take() {
                        connection.close().await;
                    }
                }
            }
            lease.avoids_copy = true;
        }
        Some(lease)
    }

    /// Closes the connections that have been idle for `idle_limit` or longer.
    pub(super) fn close_idle(self: &Arc<Self>, idle_limit: Duration) {
        let mut leases = Vec::new();
        while let Ok(permit) = self.permits.clone().try_acquire_owned() {
            leases.extend(self.take_slot(permit));
        }
        for mut lease in leases {
            if let Some(connection) = lease.take_usable(idle_limit) {
                lease.put_back(connection);
            }
        }
    }

    /// Returns `true` if no exchange runs and no connection is open.
    pub(super) fn is_unused(&self) -> bool {
        self.permits.available_permits() == self.slots.len()
            && self.slots.iter().all(|slot| slot.load().is_none())
    }

    /// Prevents the further use of all connections that are open now.
    pub(super) fn retire_all(&self) {
        self.generation.fetch_add(1, Ordering::AcqRel);
    }

    /// Takes the lowest vacant slot, so that a few connections stay in use and the others reach
    /// their idle limit.
    fn take_slot(self: &Arc<Self>, permit: OwnedSemaphorePermit) -> Option<ConnectionLease> {
        let without_lowest = |vacant: u64| vacant & (vacant - 1);
        let vacant = self
            .vacant
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |vacant| {
                (vacant != 0).then(|| without_lowest(vacant))
            })
            .ok()?;
        let slot = vacant.trailing_zeros() as usize;
        let connection = self.slots[slot].swap(None).and_then(Arc::into_inner);
        Some(ConnectionLease {
            pool: self.clone(),
            slot,
            connection,
            avoids_copy: false,
            _permit: permit,
        })
    }

    async fn connect(&self) -> std::io::Result<TargetConnection> {
        // Read before the connection is opened, so that `retire_all` in between applies to it.
        let generation = self.generation.load(Ordering::Acquire);
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to target failed: {error}");
            }
        });
        Ok(TargetConnection {
            sender,
            reused: false,
            number: NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed),
            exchanges: 0,
            identities: SentIdentities::default(),
            idle_since: Instant::now(),
            keep_alive: None,
            generation,
            driver: AbortOnDropHandle::new(driver),
        })
    }
}

/// Exclusive use of one slot by one exchange. The slot becomes vacant when it is dropped.
pub(super) struct ConnectionLease {
    pool: Arc<TargetPool>,
    slot: usize,
    connection: Option<TargetConnection>,
    /// Whether the connection of another slot was passed over, or one of this slot was closed,
    /// because it had carried the identity of the request.
    pub(super) avoids_copy: bool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLease {
    /// Returns `true` if a request with this identity may be sent on the connection of the slot, or
    /// if there is none.
    fn accepts(&self, identity: Option<IdentityTag>) -> bool {
        self.connection.as_ref().is_none_or(|connection| connection.accepts(identity))
    }

    /// Returns the idle connection of the slot if it may still be used, else closes it.
    pub(super) fn take_usable(&mut self, idle_limit: Duration) -> Option<TargetConnection> {
        let generation = self.pool.generation.load(Ordering::Acquire);
        self.connection.take().filter(|connection| {
            connection.generation == generation
                && !connection.is_expired(idle_limit)
                && !connection.sender.is_closed()
        })
    }

    /// Opens a new connection within `limit`.
    pub(super) async fn connect(&self, limit: Duration) -> std::io::Result<TargetConnection> {
        tokio::time::timeout(limit, self.pool.connect()).await?
    }

    /// Returns a connection whose exchange is complete to the pool.
    pub(super) fn release(self, mut connection: TargetConnection) {
        connection.reused = true;
        connection.idle_since = Instant::now();
        self.put_back(connection);
    }

    fn put_back(mut self, connection: TargetConnection) {
        self.connection = Some(connection);
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.pool.slots[self.slot].store(self.connection.take().map(Arc::new));
        self.pool.vacant.fetch_or(1 << self.slot, Ordering::AcqRel);
    }
}
