//! Stand-in for a target: has slots and a queue, reports its load in a response header,
//! and can show the faults of real targets.

mod behaviour;
mod runs;
mod server;
mod slots;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

pub use behaviour::{ColdStart, ServiceTime, TargetBehaviour};
use bon::Builder;
use hyper::service::service_fn;
pub use runs::RunCounts;
pub use server::REFUSED_HEADER;
use server::TargetServer;
pub use slots::LoadHistory;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::http1::{HttpServer, ReservedPort};

/// Settings of a target.
#[derive(Clone, Debug, Builder)]
pub struct TargetSettings {
    /// Address to listen on.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub listen: SocketAddr,
    /// Number of requests that run at the same time.
    #[builder(default = 3)]
    pub slots: usize,
    /// Behaviour at the start.
    #[builder(default)]
    pub behaviour: TargetBehaviour,
    /// Time from a crash to an automatic restart. Without it, a test restarts the target.
    pub restart_after: Option<Duration>,
    /// Seed of the random service times.
    #[builder(default = 1)]
    pub seed: u64,
}

/// A running target, stopped when dropped.
pub struct StandinTarget {
    shared: Arc<TargetShared>,
    _supervisor: DropGuard,
}

struct TargetShared {
    port: ReservedPort,
    server: Arc<TargetServer>,
    http_server: Mutex<Option<HttpServer>>,
    listening: watch::Sender<bool>,
}

impl StandinTarget {
    /// Starts a target with `slots` slots and the default behaviour.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in cannot listen on the address.
    pub async fn start(address: SocketAddr, slots: usize) -> std::io::Result<Self> {
        Self::start_with(TargetSettings::builder().listen(address).slots(slots).build())
    }

    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in cannot listen on the address.
    pub fn start_with(settings: TargetSettings) -> std::io::Result<Self> {
        let TargetSettings { listen, slots, behaviour, restart_after, seed } = settings;
        let shared = Arc::new(TargetShared {
            port: ReservedPort::reserve(listen)?,
            server: Arc::new(TargetServer::new(slots, behaviour, seed)),
            http_server: Mutex::default(),
            listening: watch::Sender::new(false),
        });
        shared.listen()?;
        let stop = CancellationToken::new();
        let supervisor = shared.clone().stop_on_crash(restart_after);
        tokio::spawn(stop.clone().run_until_cancelled_owned(supervisor));
        Ok(Self { shared, _supervisor: stop.drop_guard() })
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.port.address()
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> TargetBehaviour {
        TargetBehaviour::clone(&self.shared.server.behaviour.load())
    }

    /// Replaces the behaviour. Applies to requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.shared.server.behaviour.store(Arc::new(behaviour));
    }

    /// Returns the number of requests that run or wait.
    pub fn load(&self) -> u32 {
        self.shared.server.load()
    }

    /// Returns the counts of what the target has done so far.
    pub fn counts(&self) -> RunCounts {
        self.shared.server.runs.counts()
    }

    /// Stops responding on the connections that are open now. New connections work.
    pub fn silence_connections(&self) {
        self.shared.server.silence_connections();
    }

    /// Closes all connections and stops listening, as a crash does.
    pub async fn stop(&self) {
        self.shared.stop().await;
    }

    /// Waits until the target no longer listens.
    pub async fn wait_until_stopped(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.shared.listening.subscribe().wait_for(|listening| !listening).await;
    }

    /// Listens on the same address again, with a cold start. The counts are kept.
    ///
    /// # Errors
    ///
    /// Returns an error when the target cannot listen on its address again.
    pub async fn restart(&self) -> std::io::Result<()> {
        self.shared.stop().await;
        self.shared.listen()
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.shared.take_http_server();
    }
}

impl TargetShared {
    fn listen(&self) -> std::io::Result<()> {
        let listener = self.port.listen()?;
        let server = self.server.clone();
        let make_service = move || {
            let server = server.clone();
            let epoch = server.silence_epoch();
            service_fn(move |request| server.clone().handle(request, epoch))
        };
        self.server.reset_age();
        let http_server = HttpServer::start(listener, make_service);
        *self.http_server.lock().unwrap_or_else(PoisonError::into_inner) = Some(http_server);
        self.listening.send_replace(true);
        Ok(())
    }

    async fn stop(&self) {
        if let Some(http_server) = self.take_http_server() {
            http_server.close().await;
        }
        self.listening.send_replace(false);
    }

    fn take_http_server(&self) -> Option<HttpServer> {
        self.http_server.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    async fn stop_on_crash(self: Arc<Self>, restart_after: Option<Duration>) {
        let mut crashed = self.server.crashed.subscribe();
        while crashed.wait_for(|crashed| *crashed).await.is_ok() {
            self.stop().await;
            // All requests have ended, so none can set the flag again before the restart.
            self.server.crashed.send_replace(false);
            let Some(pause) = restart_after else { continue };
            tokio::time::sleep(pause).await;
            // The port is reserved, so this fails only for lack of file descriptors; the
            // target then stays down.
            let _ = self.listen();
        }
    }
}
