//! Settings of the signals between entries.

use std::net::SocketAddr;

use serde::Deserialize;

use super::fault::{CheckSettings, FaultList, field};

/// How an entry tells the others of requests in flight and waiting.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignalSettings {
    /// Address for datagrams, with the IP address that the others use.
    pub listen: SocketAddr,
    /// Addresses of some entries to start with.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Retries that all entries together may save up.
    #[serde(default = "default_saved_retries")]
    pub saved_retries: u32,
}

/// Ten for each of 19 entries.
fn default_saved_retries() -> u32 {
    190
}

impl CheckSettings for SignalSettings {
    fn check(&self, path: &str, faults: &mut FaultList) {
        if self.listen.ip().is_unspecified() {
            let remedy = "name the IP address that the other entries use";
            faults.add(field(path, "listen"), self.listen, "not 0.0.0.0 or [::]", remedy);
        }
    }
}
