//! External systems that an entry uses.

use std::sync::Arc;
use std::time::Duration;

use crate::dialect::{DefaultDialect, HeaderDialect};
use crate::directory::DirectorySource;
use crate::gate::CrashArchive;
use crate::quota::EntryRegistry;
use crate::settings::PlatformSettings;
use crate::store::{HttpStore, ObjectStore, VmDirectory};

/// External systems that an entry uses besides callers and targets.
#[derive(bon::Builder)]
pub struct EntryDependencies {
    /// The object store of intents, plans and claims.
    pub(super) store: Option<Arc<dyn ObjectStore>>,
    /// The platform's list of VMs.
    pub(super) vms: Option<Arc<dyn VmDirectory>>,
    /// A directory of targets and configuration, instead of intents.
    pub(super) directory: Option<Arc<dyn DirectorySource>>,
    /// Crash records that outlive the entries.
    pub(super) crash_archive: Option<Arc<dyn CrashArchive>>,
    /// Registrations of the entries, by which they divide the limits of tenants. Without it, an
    /// entry that exchanges signals uses no share of these limits.
    pub(super) entry_registry: Option<Arc<dyn EntryRegistry>>,
    /// Dialect of the headers that callers and targets use.
    #[builder(default = Arc::new(DefaultDialect))]
    pub(super) dialect: Arc<dyn HeaderDialect>,
}

impl EntryDependencies {
    /// Creates clients of the platform in `settings`, if there is one.
    pub fn from_platform(settings: Option<&PlatformSettings>) -> Self {
        let platform = settings.map(platform_store);
        let store = platform.clone().map(|platform| platform as Arc<dyn ObjectStore>);
        let vms = platform.map(|platform| platform as Arc<dyn VmDirectory>);
        Self::builder().maybe_store(store).maybe_vms(vms).build()
    }
}

fn platform_store(platform: &PlatformSettings) -> Arc<HttpStore> {
    let limit = Duration::from_millis(platform.call_ms);
    Arc::new(HttpStore::builder().address(platform.address).call_limit(limit).build())
}
