//! Settings of the signals (datagrams) between entries.

use std::net::SocketAddr;

use serde::Deserialize;

use super::violation::{CheckSettings, ViolationList, field};

/// Settings of the signals (datagrams) between entries.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignalSettings {
    /// Address for datagrams, with the IP address that the other entries use.
    pub listen: SocketAddr,
    /// Addresses of some entries, to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Retry tokens that all entries together may accumulate.
    #[serde(default = "default_saved_retries")]
    pub saved_retries: f64,
    /// Share of a CPU core that the entry can use. The entries with the largest share become
    /// coordinators.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Probes per second that all entries together may send to one target.
    #[serde(default)]
    pub target_probes_per_second: f64,
}

fn default_cpu_share() -> f64 {
    1.0
}

impl SignalSettings {
    /// Returns the CPU share in percent of a core, at least 1.
    pub fn capacity(&self) -> u16 {
        (self.cpu_share * 100.0).round().max(1.0) as u16
    }
}

/// Ten retry tokens for each of 19 entries.
fn default_saved_retries() -> f64 {
    190.0
}

impl CheckSettings for SignalSettings {
    fn check(&self, path: &str, violations: &mut ViolationList) {
        if self.listen.ip().is_unspecified() {
            let remedy = "name the IP address that the other entries use";
            violations.add(field(path, "listen"), self.listen, "not 0.0.0.0 or [::]", remedy);
        }
        let share = "give the share of one core, such as 0.2";
        let at = |name| field(path, name);
        violations.check_range(at("cpu_share"), self.cpu_share, 0.01..=64.0, share);
        let retries = "give the retries that all entries together may save up";
        violations.check_range(at("saved_retries"), self.saved_retries, 0.0..=1e6, retries);
        let probes = "give the probes of one target a second, 0 for none";
        let rate = self.target_probes_per_second;
        violations.check_range(at("target_probes_per_second"), rate, 0.0..=1000.0, probes);
    }
}
