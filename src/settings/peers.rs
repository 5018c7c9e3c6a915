//! Settings of gossip and calls between entries.

use std::net::SocketAddr;

use serde::Deserialize;

use super::violation::{CheckSettings, ViolationList, field};

/// Settings of gossip and calls between entries.
#[derive(Clone, Debug, PartialEq, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address for gossip, with the IP address that the other entries use.
    pub listen: SocketAddr,
    /// Address for calls; by default any free port at the IP address of `listen`.
    #[serde(default)]
    pub call_listen: Option<SocketAddr>,
    /// Region of the entry.
    #[serde(default)]
    #[builder(default, into)]
    pub region: String,
    /// Gossip addresses of some entries, to contact first.
    #[serde(default)]
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bytes per second for copies of decision records to a backup entry; 0 copies none.
    #[serde(default = "default_copy_bytes")]
    #[builder(default = default_copy_bytes())]
    pub copy_bytes_per_second: u64,
}

/// 64 KiB/s are enough for about 900 records per second. With 19 entries, each one writes
/// far fewer records of requests that waited, failed or were late. With 200 entries, the
/// size that the program is designed for, 1,024 bytes per second are a third of the 3 KB/s
/// that the control plane of an entry may send.
fn default_copy_bytes() -> u64 {
    65_536
}

impl CheckSettings for PeerSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        let copies = field(path, "copy_bytes_per_second");
        let remedy = "1024 suits 200 entries, 65536 suits 19";
        violations.check_range(copies, self.copy_bytes_per_second, 0..=16 << 20, remedy);
        if self.listen.ip().is_unspecified() {
            let remedy = "name the IP address that the other entries use";
            violations.add(field(path, "listen"), self.listen, "not 0.0.0.0 or [::]", remedy);
        }
    }
}
