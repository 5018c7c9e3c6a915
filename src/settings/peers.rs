//! Settings of the messages and calls between entries.

use std::net::SocketAddr;

use serde::Deserialize;

use super::fault::{CheckSettings, FaultList, field};

/// How an entry reaches the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address for messages, with the IP address that the others use.
    pub listen: SocketAddr,
    /// Address for calls; by default any port at the IP address of `listen`.
    #[serde(default)]
    pub call_listen: Option<SocketAddr>,
    /// Region of the entry.
    #[serde(default)]
    pub region: String,
    /// Addresses for messages of some entries to start with.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

impl CheckSettings for PeerSettings {
    fn check(&self, path: &str, faults: &mut FaultList) {
        if self.listen.ip().is_unspecified() {
            let remedy = "name the IP address that the other entries use";
            faults.add(field(path, "listen"), self.listen, "not 0.0.0.0 or [::]", remedy);
        }
    }
}
