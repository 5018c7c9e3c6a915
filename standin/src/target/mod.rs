//! Stand-in for a target: slots, a queue, its load in a response header, and
//! the faults of real targets.

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
    /// Requests that run at the same time.
    #[builder(default = 3)]
    pub slots: usize,
    /// Behaviour at the start.
    #[builder(default)]
    pub behaviour: TargetBehaviour,
    /// Time from a crash to an automatic restart; by default a test restarts
    /// the target.
    pub restart_after: Option<Duration>,
    /// Seed of the service times.
    #[builder(default = 1)]
    pub seed: u64,
}

/// A running target.
pub struct StandinTarget {
    shared: Arc<TargetShared>,
    _supervisor: DropGuard,
}

struct TargetShared {
    port: ReservedPort,
    server: Arc<TargetServer>,
    connections: Mutex<Option<HttpServer>>,
    listening: watch::Sender<bool>,
}

impl StandinTarget {
    /// Starts a target with `slots` slots and the default behaviour.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub async fn start(address: SocketAddr, slots: usize) -> std::io::Result<Self> {
        Self::start_with(TargetSettings::builder().listen(address).slots(slots).build())
    }

    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub fn start_with(settings: TargetSettings) -> std::io::Result<Self> {
        let TargetSettings { listen, slots, behaviour, restart_after, seed } = settings;
        let shared = Arc::new(TargetShared {
            port: ReservedPort::reserve(listen)?,
            server: Arc::new(TargetServer::new(slots, behaviour, seed)),
            connections: Mutex::default(),
            listening: watch::Sender::new(false),
        });
        shared.listen()?;
        let stop = CancellationToken::new();
        let supervisor = shared.clone().stop_on_crash(restart_after);
        tokio::spawn(stop.clone().run_until_cancelled_owned(supervisor));
        Ok(Self { shared, _supervisor: stop.drop_guard() })
    }

    /// Gives the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.port.address()
    }

    /// Gives the behaviour in force.
    pub fn behaviour(&self) -> TargetBehaviour {
        TargetBehaviour::clone(&self.shared.server.behaviour.load())
    }

    /// Replaces the behaviour, from the next request on.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.shared.server.behaviour.store(Arc::new(behaviour));
    }

    /// Gives the number of requests that run or wait.
    pub fn load(&self) -> u32 {
        self.shared.server.load()
    }

    /// Gives what the target has done so far.
    pub fn counts(&self) -> RunCounts {
        self.shared.server.runs.counts()
    }

    /// Makes the present connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.shared.server.silence_connections();
    }

    /// Drops all connections and stops listening, as a crash does.
    pub async fn stop(&self) {
        self.shared.stop().await;
    }

    /// Waits until the target does not listen.
    pub async fn wait_until_stopped(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.shared.listening.subscribe().wait_for(|listening| !listening).await;
    }

    /// Listens at the same address again, with a cold start. Counts stay.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on again.
    pub async fn restart(&self) -> std::io::Result<()> {
        self.shared.stop().await;
        self.shared.listen()
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.shared.take_connections();
    }
}

impl TargetShared {
    fn listen(&self) -> std::io::Result<()> {
        let listener = self.port.listen()?;
        let server = self.server.clone();
        let make_service = move || {
            let server = server.clone();
            let round = server.silence_epoch();
            service_fn(move |request| server.clone().answer(request, round))
        };
        self.server.restart_age();
        let connections = HttpServer::start(listener, make_service);
        *self.connections.lock().unwrap_or_else(PoisonError::into_inner) = Some(connections);
        self.listening.send_replace(true);
        Ok(())
    }

    async fn stop(&self) {
        if let Some(connections) = self.take_connections() {
            connections.close().await;
        }
        self.listening.send_replace(false);
    }

    fn take_connections(&self) -> Option<HttpServer> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    async fn stop_on_crash(self: Arc<Self>, restart_after: Option<Duration>) {
        let mut crashed = self.server.crashed.subscribe();
        while crashed.wait_for(|crashed| *crashed).await.is_ok() {
            self.stop().await;
            // All requests have ended, so the flag cannot be raised again
            // before the restart.
            self.server.crashed.send_replace(false);
            let Some(pause) = restart_after else { continue };
            tokio::time::sleep(pause).await;
            // The port is held, so only a lack of file descriptors fails here;
            // the target then stays down.
            let _ = self.listen();
        }
    }
}
