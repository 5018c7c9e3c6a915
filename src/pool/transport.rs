//! Sends HTTP/1.1 requests over pooled connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use arc_swap::ArcSwap;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Duration, Instant, sleep_until, timeout, timeout_at};
use zinniaport_core::call::CallOutcome;

use super::connections::{ConnectionLease, TargetConnection, TargetPool};
use super::leased_body::{HeldConnection, LeasedBody};
use super::progress::{ProgressBody, SendProgress};
use super::silence::SilenceReport;
use super::{IdleCheck, SilenceObserver, TargetCall, TargetTransport, TransportError};
use crate::exchange::{CallBody, CallResponse, empty_body};
use crate::front::KEEP_ALIVE;
use crate::settings::PoolSettings;

/// Idle time from which on a connection is checked. Connections in use are known to work;
/// targets were seen to drop idle ones after 260 ms.
const MIN_CHECKED_IDLE: Duration = Duration::from_millis(200);

/// Time after the last dead idle connection for which idle connections are checked before every
/// request that has a check, not only before those that must not be sent again.
const DEAD_IDLE_MEMORY: Duration = Duration::from_secs(5);

/// Timeout of a check, which targets answer at once. A connection that takes longer is replaced
/// by a new one.
const CHECK_TIMEOUT: Duration = Duration::from_millis(30);

/// Maximum size of the response to a check, in bytes.
const MAX_CHECK_RESPONSE_BYTES: usize = 4 << 10;

type PoolTable = HashMap<SocketAddr, Arc<TargetPool>>;

/// Transport over HTTP/1.1, with one exchange on a connection at a time.
pub struct HttpTransport {
    settings: PoolSettings,
    pools: Arc<ArcSwap<PoolTable>>,
    observer: Arc<dyn SilenceObserver>,
    /// When a dead idle connection was last found.
    dead_idle_found_at: ArcSwap<Option<Instant>>,
}

impl HttpTransport {
    /// Creates a transport and spawns the task that closes its idle connections.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime.
    pub fn new(settings: PoolSettings, observer: Arc<dyn SilenceObserver>) -> Self {
        let pools = Arc::new(ArcSwap::default());
        tokio::spawn(close_idle_connections(Arc::downgrade(&pools), settings.idle_limit()));
        Self { settings, pools, observer, dead_idle_found_at: ArcSwap::default() }
    }

    fn pool(&self, address: SocketAddr) -> Arc<TargetPool> {
        if let Some(pool) = self.pools.load().get(&address) {
            return pool.clone();
        }
        let pool = Arc::new(TargetPool::new(address, self.settings.max_connections_per_target));
        self.pools.rcu(|pools| {
            let mut pools = PoolTable::clone(pools);
            pools.entry(address).or_insert_with(|| pool.clone());
            pools
        });
        self.pools.load().get(&address).cloned().unwrap_or(pool)
    }

    async fn exchange(&self, call: TargetCall) -> Result<CallResponse, TransportError> {
        let TargetCall {
            address,
            request,
            deadline,
            deadline_header,
            check,
            identity,
            guard,
            handle,
            run,
        } = call;
        let pool = self.pool(address);
        let not_sent = |cause: String| TransportError::NotSent { address, cause };
        let mut lease =
            timeout_at(deadline, pool.lease(identity)).await.ok().flatten().ok_or_else(|| {
                not_sent("all connections stayed busy until the deadline".to_owned())
            })?;
        let progress = Arc::new(SendProgress::default());
        let mut request = prepare_request(request, address, &progress);
        let mut usable = self.ready_connection(&mut lease, deadline).await;
        if let (Some(connection), Some(check)) = (&usable, check)
            && self.needs_check(connection, &check)
            && let Some(connection) = usable.take()
        {
            usable = self.check_connection(connection, check, address).await;
        }
        loop {
            let mut connection = match usable.take() {
                Some(connection) => connection,
                None => self.connect(&lease, deadline).await.map_err(not_sent)?,
            };
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return Err(not_sent("the deadline passed before it was sent".to_owned()));
            }
            if guard.as_ref().is_some_and(|guard| !guard.allows_dispatch()) {
                return Err(not_sent("the target no longer takes requests".to_owned()));
            }
            // Stated last, since the request may have waited for a connection.
            if let Some(name) = &deadline_header {
                let millis = time_left.as_millis().max(1) as u64;
                request.headers_mut().insert(name, HeaderValue::from(millis));
            }
            let mut silence = SilenceReport::new(
                pool.clone(),
                self.observer.clone(),
                self.settings.connect_timeout(),
            );
            handle.record_use(connection.begin_exchange(identity, lease.avoids_copy));
            run.record_sent();
            let limits = HeadLimits { address, deadline, silence: self.settings.head_silence() };
            match response_head(&mut connection, request, &progress, limits, &mut silence).await {
                Ok(response) => {
                    if let Some(time) = keep_alive(response.headers()) {
                        connection.set_keep_alive(time);
                    }
                    let closer = connection.close_at(deadline);
                    let held =
                        HeldConnection { connection, lease, progress, silence, handle, closer };
                    return self.call_response(response, held, deadline);
                }
                // No byte of the request was written, so it can be sent on another connection.
                Err(HeadError::NotWritten(returned, _)) if connection.reused => {
                    run.record_outcome(CallOutcome::NotRun);
                    request = *returned;
                }
                Err(HeadError::NotWritten(_, cause)) => return Err(not_sent(cause)),
                Err(HeadError::Failed(error)) => {
                    if connection.reused && connection.idle_time() >= MIN_CHECKED_IDLE {
                        self.record_dead_idle();
                    }
                    // The others may be dead too, and each would cost a request its deadline.
                    if matches!(error, TransportError::DeadlinePassed { .. }) {
                        pool.retire_all();
                    }
                    return Err(error);
                }
            }
        }
    }

    /// Returns the idle connection of the slot if it is still open.
    async fn ready_connection(
        &self,
        lease: &mut ConnectionLease,
        deadline: Instant,
    ) -> Option<TargetConnection> {
        let mut connection = lease.take_usable(self.settings.idle_limit())?;
        let limit = deadline.min(Instant::now() + self.settings.connect_timeout());
        timeout_at(limit, connection.sender.ready()).await.ok()?.ok()?;
        Some(connection)
    }

    /// Returns `true` if a connection was idle for so long that it must be checked first.
    fn needs_check(&self, connection: &TargetConnection, check: &IdleCheck) -> bool {
        let found_at = *self.dead_idle_found_at.load_full();
        let found_recently = found_at.is_some_and(|at| at.elapsed() < DEAD_IDLE_MEMORY);
        connection.reused
            && connection.idle_time() >= MIN_CHECKED_IDLE
            && (check.always || found_recently)
    }

    fn record_dead_idle(&self) {
        self.dead_idle_found_at.store(Arc::new(Some(Instant::now())));
    }

    /// Checks a connection with a request. Returns the connection, or `None` if no complete
    /// response arrives in time, or one that names another request. The latter is a late copy; the
    /// response to the check would follow and be taken for that to the next request.
    async fn check_connection(
        &self,
        mut connection: TargetConnection,
        check: IdleCheck,
        address: SocketAddr,
    ) -> Option<TargetConnection> {
        let mut request = Request::new(empty_body());
        *request.uri_mut() = check.path;
        check.identity.insert(request.headers_mut());
        let request = prepare_request(request, address, &Arc::default());
        connection.begin_exchange(None, false);
        let exchange = async {
            let response = connection.sender.send_request(request).await.ok()?;
            if !check.identity.matches(response.headers()) {
                return Some(false);
            }
            Limited::new(response.into_body(), MAX_CHECK_RESPONSE_BYTES).collect().await.ok()?;
            connection.sender.ready().await.ok()?;
            Some(true)
        };
        let result = timeout(CHECK_TIMEOUT, exchange).await.ok().flatten();
        if result.is_none() {
            self.record_dead_idle();
        }
        (result == Some(true)).then_some(connection)
    }

    async fn connect(
        &self,
        lease: &ConnectionLease,
        deadline: Instant,
    ) -> Result<TargetConnection, String> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let limit = time_left.min(self.settings.connect_timeout());
        lease.connect(limit).await.map_err(|error| error.to_string())
    }

    /// Returns the response with a body that holds its connection.
    fn call_response(
        &self,
        response: Response<Incoming>,
        held: HeldConnection,
        deadline: Instant,
    ) -> Result<CallResponse, TransportError> {
        if response.status() == StatusCode::SWITCHING_PROTOCOLS {
            let cause = "it switched protocols unasked".to_owned();
            return Err(TransportError::Lost { address: held.silence.address(), cause });
        }
        let limit = self.settings.body_silence();
        let (mut head, body) = response.into_parts();
        head.version = http::Version::HTTP_11;
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let ends_with_connection = !is_chunked && body.size_hint().exact().is_none();
        let body = LeasedBody::new(body, held, deadline, limit, ends_with_connection);
        Ok(Response::from_parts(head, body.boxed()))
    }
}

impl TargetTransport for HttpTransport {
    fn send(&self, call: TargetCall) -> BoxFuture<'_, Result<CallResponse, TransportError>> {
        Box::pin(self.exchange(call))
    }
}

/// Why no response head arrived.
enum HeadError {
    /// The request was returned before any byte of it was written.
    NotWritten(Box<Request<CallBody>>, String),
    /// The exchange failed.
    Failed(TransportError),
}

/// Limits of the wait for a response head.
#[derive(Clone, Copy)]
struct HeadLimits {
    address: SocketAddr,
    deadline: Instant,
    silence: Duration,
}

/// Sends the request and waits for the response head until the deadline. A target that is silent
/// for long may still work on the request, so that its silence is only reported.
async fn response_head(
    connection: &mut TargetConnection,
    request: Request<CallBody>,
    progress: &SendProgress,
    limits: HeadLimits,
    report: &mut SilenceReport,
) -> Result<Response<Incoming>, HeadError> {
    let HeadLimits { address, deadline, silence } = limits;
    let reused = connection.reused;
    let sending = connection.sender.try_send_request(request);
    tokio::pin!(sending);
    let mut frames = progress.frames();
    loop {
        tokio::select! {
            sent = &mut sending => return sent.map_err(|mut error| {
                let cause = error.error().to_string();
                match error.take_message() {
                    Some(request) => HeadError::NotWritten(Box::new(request), cause),
                    None => HeadError::Failed(TransportError::Lost { address, cause }),
                }
            }),
            () = sleep_until(deadline.min(Instant::now() + silence)) => {}
        }
        if Instant::now() >= deadline {
            return Err(HeadError::Failed(TransportError::DeadlinePassed { address }));
        }
        let sent_frames = progress.frames();
        if sent_frames == frames && !progress.awaits_caller() {
            report.send(reused);
        }
        frames = sent_frames;
    }
}

/// Returns the time after which a target closes an idle connection, from its `Keep-Alive`
/// header.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Adds a `Host` header if there is none and the framing of the body, and tracks its progress.
fn prepare_request(
    request: Request<CallBody>,
    address: SocketAddr,
    progress: &Arc<SendProgress>,
) -> Request<CallBody> {
    let mut request = request.map(|body| ProgressBody::new(body, progress.clone()).boxed());
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
    if !request.body().is_end_stream() && request.body().size_hint().exact().is_none() {
        // Without it, hyper sends no body of unknown length with a method that rarely has one.
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(header::TRANSFER_ENCODING, chunked);
    }
    request
}

/// Closes connections past their idle limit, and removes unused pools, until the transport is
/// dropped.
async fn close_idle_connections(pools: Weak<ArcSwap<PoolTable>>, idle_limit: Duration) {
    let period = (idle_limit / 2).max(Duration::from_millis(10));
    // While a sweep holds the slots, requests open new connections. The first sweep waits a
    // period, since there is nothing to close at the start.
    let mut ticks = tokio::time::interval_at(Instant::now() + period, period);
    loop {
        ticks.tick().await;
        let Some(pools) = pools.upgrade() else { return };
        for pool in pools.load().values() {
            pool.close_idle(idle_limit);
        }
        // Pools of targets that are gone are removed. One that an exchange still uses is kept,
        // since a new pool for the same target would not count its connections.
        if pools.load().values().any(|pool| pool.is_unused()) {
            pools.rcu(|pools| {
                let mut pools = PoolTable::clone(pools);
                pools.retain(|_, pool| !pool.is_unused());
                pools
            });
        }
    }
}
