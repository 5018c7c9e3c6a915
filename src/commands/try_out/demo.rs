//! The demo fleet: the services of `examples/co-operative.yaml` with an entry, stand-in targets
//! and a stand-in platform in this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error, From};
use sha2::{Digest, Sha256};
use zinniaport_core::plan::{StoredIntent, intent_name};
use zinniaport_standin::platform::{PlatformSettings as StandinSettings, StandinPlatform};
use zinniaport_standin::target::{RunCounts, StandinTarget};

use crate::runtime::{EntryRuntime, StartError};
use crate::settings::{
    EntrySettings, PlatformSettings, SettingsError, TeamSettings, TokenSettings,
};

/// Settings of the demo. The demo replaces the addresses with free ports.
const DEMO_SETTINGS: &str = include_str!("../../../examples/co-operative.yaml");

/// Token of the only team of the demo.
pub const DEMO_TOKEN: &str = "demo-token";

/// Time limit for the entry to become ready. It usually takes far less, so an entry that is
/// not ready by then never will be.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why the demo cannot start.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The settings of the demo are invalid.
    Settings(SettingsError),
    /// The entry cannot start.
    Entry(StartError),
    /// A stand-in for a target or the platform cannot start.
    #[display("cannot start a stand-in of the demo: {_0}; check the limit on open files")]
    Target(std::io::Error),
    /// The entry did not load the intents in time.
    #[display("the entry was not ready within 30 s; reduce the load on the machine")]
    NotReady,
}

/// A running entry with its targets and platform.
pub struct DemoFleet {
    /// The entry.
    pub entry: EntryRuntime,
    /// The targets, which stop when dropped.
    pub targets: Vec<StandinTarget>,
    _platform: StandinPlatform,
}

impl DemoFleet {
    /// Starts the targets, a platform that stores the intents, and the entry, each on a free
    /// port, and waits until the entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component cannot start or the entry does not become ready.
    pub async fn start() -> Result<Self, DemoError> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut settings =
            EntrySettings::parse(Path::new("examples/co-operative.yaml"), DEMO_SETTINGS)?;
        settings.listen = any_port;
        settings.admin_listen = any_port;
        // No balancer is in front of the demo that would need time to notice the stop.
        settings.stop.balancer_lag_ms = 0;
        let mut targets = Vec::new();
        for intent in settings.services.iter_mut().flat_map(|service| &mut service.targets) {
            let target = StandinTarget::start(any_port, intent.slots as usize).await?;
            intent.address = target.address();
            targets.push(target);
        }
        let platform = StandinPlatform::start(&StandinSettings::builder().build())?;
        for intent in std::mem::take(&mut settings.services) {
            let name = intent_name(&intent.service);
            let stored = StoredIntent::without_plans(intent, "demo");
            platform.seed(&name, &serde_json::to_string(&stored).unwrap_or_default());
        }
        settings.platform = Some(demo_platform(platform.address()));
        let entry = EntryRuntime::start(settings).await?;
        wait_until_ready(&entry).await?;
        Ok(Self { entry, targets, _platform: platform })
    }

    /// Returns the counts of requests that each target has run.
    pub fn run_counts(&self) -> Vec<RunCounts> {
        self.targets.iter().map(StandinTarget::counts).collect()
    }
}

/// Returns platform settings with the team of the demo.
fn demo_platform(address: SocketAddr) -> PlatformSettings {
    let digest = Sha256::digest(DEMO_TOKEN.as_bytes()).into();
    let token = TokenSettings { author: "demo".to_owned(), sha256: digest };
    let team = TeamSettings { name: "co-operative".to_owned(), tokens: vec![token] };
    PlatformSettings::builder().address(address).teams(vec![team]).build()
}

async fn wait_until_ready(entry: &EntryRuntime) -> Result<(), DemoError> {
    let Some(control) = entry.control() else { return Ok(()) };
    let ready = async {
        while !control.status().ready() || control.state().fleet.load().services.is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await.map_err(|_| DemoError::NotReady)
}
