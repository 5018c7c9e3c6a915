//! Stand-in for the platform: serves an object API and a list of VMs.

mod faults;
mod messages;
mod server;
mod state;
mod wire;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
pub use faults::{FaultDecision, FaultInjector, PlatformFaults};
use hyper::service::service_fn;
pub use messages::{
    CallCounts, CallKey, CallKind, ChangeBatch, ChangeCondition, ListedVm, ObjectChange,
    PlatformEffect, PlatformMessage, PlatformRequest, PlatformResponse, VmState,
};
use server::PlatformServer;
pub use state::{MAX_CONTENT_BYTES, PlatformSnapshot, PlatformState};
pub use wire::{ERA_HEADER, VERSION_HEADER};

use crate::http1::{HttpServer, ReservedPort};

/// Settings of a platform.
#[derive(Clone, Debug, Builder)]
pub struct PlatformSettings {
    /// Address to listen on.
    #[builder(default = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))]
    pub listen: SocketAddr,
    /// Number of changes that are kept for watches.
    #[builder(default = 4096)]
    pub history_limit: usize,
    /// Time after which a change of the VMs appears in their list.
    #[builder(default = Duration::from_secs(2))]
    pub vm_lag: Duration,
}

/// A running platform, stopped when dropped.
pub struct StandinPlatform {
    port: ReservedPort,
    server: Arc<PlatformServer>,
    http_server: Option<HttpServer>,
}

impl StandinPlatform {
    /// Starts a platform without objects.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in cannot listen on the address.
    pub fn start(settings: &PlatformSettings) -> std::io::Result<Self> {
        let port = ReservedPort::reserve(settings.listen)?;
        let stored = PlatformSnapshot::default();
        let state = PlatformState::new(stored, settings.history_limit, settings.vm_lag);
        let server = Arc::new(PlatformServer::new(state));
        let mut platform = Self { port, server, http_server: None };
        platform.listen()?;
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.server.set_faults(faults);
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.server.lock().state.counts()
    }

    /// Creates or replaces an object without a condition and returns its version. This is
    /// not counted as a call.
    ///
    /// # Panics
    ///
    /// Panics when the content is larger than 1 MiB.
    pub fn seed(&self, name: &str, content: &str) -> u64 {
        let seed = PlatformRequest::Seed { name: name.to_owned(), content: content.into() };
        match self.server.control(seed) {
            Some(PlatformResponse::Changed { version }) => version,
            response => panic!("cannot seed {name}: {response:?}"),
        }
    }

    /// Sets the list of VMs, which takes effect after `vm_lag`.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.server.control(PlatformRequest::SetVms { vms });
    }

    /// Returns a copy of the objects, as a backup holds them.
    pub fn snapshot(&self) -> PlatformSnapshot {
        self.server.lock().state.snapshot()
    }

    /// Closes all connections and refuses new ones until the restart.
    pub async fn stop(&mut self) {
        if let Some(http_server) = self.http_server.take() {
            http_server.close().await;
        }
    }

    /// Closes all connections and starts again at the same address with the objects of
    /// `snapshot`. An older snapshot simulates a restored backup.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot listen on its address again.
    pub async fn restart(&mut self, snapshot: PlatformSnapshot) -> std::io::Result<()> {
        self.stop().await;
        self.server.lock().state.restore(snapshot);
        self.listen()
    }

    fn listen(&mut self) -> std::io::Result<()> {
        let listener = self.port.listen()?;
        let server = self.server.clone();
        let make_service = move || {
            let server = server.clone();
            service_fn(move |request| server.clone().handle(request))
        };
        self.http_server = Some(HttpServer::start(listener, make_service));
        Ok(())
    }
}
