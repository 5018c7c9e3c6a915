//! The demo fleet: the example of the co-operative with targets in this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use derive_more::{Display, Error, From};
use zinniaport_standin::target::StandinTarget;

use crate::runtime::{EntryRuntime, StartError};
use crate::settings::{EntrySettings, SettingsError};

/// Settings of the demo, with addresses that the demo replaces.
const DEMO_SETTINGS: &str = include_str!("../../../examples/co-operative.yaml");

/// Why the demo cannot start.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The settings of the demo are faulty.
    Settings(SettingsError),
    /// The entry cannot start.
    Entry(StartError),
    /// A target cannot start.
    #[display("cannot start a demo target: {_0}; check the limit of open files")]
    Target(std::io::Error),
}

/// A running entry with its targets.
pub struct DemoFleet {
    /// The entry.
    pub entry: EntryRuntime,
    /// The targets, which end when dropped.
    pub targets: Vec<StandinTarget>,
}

impl DemoFleet {
    /// Starts the targets and the entry on ports that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start() -> Result<Self, DemoError> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut settings =
            EntrySettings::parse(Path::new("examples/co-operative.yaml"), DEMO_SETTINGS)?;
        settings.listen = any_port;
        settings.admin_listen = any_port;
        // The demo has no balancer that would need time to learn of the stop.
        settings.stop.balancer_lag_ms = 0;
        let mut targets = Vec::new();
        for intent in settings.services.iter_mut().flat_map(|service| &mut service.targets) {
            let target = StandinTarget::start(any_port, intent.slots as usize).await?;
            intent.address = target.address();
            targets.push(target);
        }
        let entry = EntryRuntime::start(settings).await?;
        Ok(Self { entry, targets })
    }
}
