//! Settings of the messages and calls between entries.

use std::net::SocketAddr;

use serde::Deserialize;

use super::violation::{CheckSettings, ViolationList, field};

/// How an entry reaches the others.
#[derive(Clone, Debug, PartialEq, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address for messages, with the IP address that the others use.
    pub listen: SocketAddr,
    /// Address for calls; by default any port at the IP address of `listen`.
    #[serde(default)]
    pub call_listen: Option<SocketAddr>,
    /// Region of the entry.
    #[serde(default)]
    #[builder(default, into)]
    pub region: String,
    /// Addresses for messages of some entries to start with.
    #[serde(default)]
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bytes per second for copies of decision records to a neighbour; 0 copies
    /// none.
    #[serde(default = "default_copy_bytes")]
    #[builder(default = default_copy_bytes())]
    pub copy_bytes_per_second: u64,
}

/// Enough for about 900 records per second, far more than today's entries write
/// that waited, failed or came late. At the design size of 200 entries, 1,024 is
/// a third of the 3 KB/s that control may send per node.
fn default_copy_bytes() -> u64 {
    65_536
}

impl CheckSettings for PeerSettings {
    fn check(&self, path: &str, faults: &mut ViolationList) {
        let copies = field(path, "copy_bytes_per_second");
        let remedy = "1024 suits 200 entries, 65536 suits 19";
        faults.check_range(copies, self.copy_bytes_per_second, 0..=16 << 20, remedy);
        if self.listen.ip().is_unspecified() {
            let remedy = "name the IP address that the other entries use";
            faults.add(field(path, "listen"), self.listen, "not 0.0.0.0 or [::]", remedy);
        }
    }
}
