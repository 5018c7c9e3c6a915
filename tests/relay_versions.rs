//! Guards against entries that miss changes, or list without pause, while entries of an earlier
//! version, which know no eras, run beside them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use zinniaport::admin::{AdminHandler, AdminRequest, AdminResponse, AdminRouter};
use zinniaport::directory::{
    BatchOrigin, DirectoryDriver, DirectoryRelay, DirectorySource, ReadConsistency, RelayHandler,
    RelayedDirectory,
};
use zinniaport::state::SharedState;
use zinniaport::store::StoreError;
use zinniaport::targets::TargetsDriver;
use zinniaport_core::clock::SystemClock;
use zinniaport_core::controllers::DirectorySettings;
use zinniaport_core::directory::{
    DirectoryBatch, DirectoryChange, DirectoryItem, DirectoryPart, OperatorConfiguration,
    StoreRevision,
};
use zinniaport_testing::client::get;
use zinniaport_testing::test_cases;

/// Time in which a change has to be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Serves the directory as entries of the version before did, which ignore the era of a query.
struct EarlierHandler(RelayHandler);

impl AdminHandler for EarlierHandler {
    fn path(&self) -> &'static str {
        self.0.path()
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        let uri = request.uri().to_string();
        let parameters = uri.split('&').filter(|parameter| !parameter.starts_with("era="));
        let uri = parameters.collect::<Vec<_>>().join("&");
        let mut earlier = AdminRequest::new(request.body().clone());
        *earlier.uri_mut() = uri.parse().unwrap();
        Box::pin(async move { self.0.handle(&earlier).await })
    }
}

/// A store with one configuration.
#[derive(Default)]
struct ConfigurationSource {
    version: AtomicU64,
    /// Number of times that it was restored.
    restores: AtomicU64,
}

impl ConfigurationSource {
    fn era(&self) -> u64 {
        1 + self.restores.load(Ordering::SeqCst)
    }

    /// Returns the content of a part. The revision of the configuration is ten times its version.
    fn batch(&self, part: DirectoryPart, era: u64) -> DirectoryBatch {
        let version = self.version.load(Ordering::SeqCst);
        let configuration = OperatorConfiguration {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: None,
            tenants: None,
            unused_items: Vec::new(),
        };
        let item = Some(DirectoryItem::Configuration(configuration));
        let change = DirectoryChange { name: "main".to_owned(), revision: 10 * version, item };
        let is_configuration = part == DirectoryPart::Configuration;
        let changes = if is_configuration { vec![change] } else { Vec::new() };
        DirectoryBatch { era, revision: 10 * version, changes }
    }
}

impl DirectorySource for ConfigurationSource {
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(async move { Ok(self.batch(part, self.era())) })
    }

    fn list_small(
        &self,
        part: DirectoryPart,
    ) -> BoxFuture<'_, Result<Option<DirectoryBatch>, StoreError>> {
        Box::pin(async move { Ok(Some(self.batch(part, self.era()))) })
    }

    fn watch(
        &self,
        part: DirectoryPart,
        revision: StoreRevision,
        _consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(async move {
            sleep(Duration::from_millis(300)).await;
            let mut batch = self.batch(part, self.era());
            if batch.era != revision.era {
                return Err(StoreError::TooOld);
            }
            batch.changes.retain(|change| change.revision > revision.number);
            Ok(batch)
        })
    }
}

/// Serves the relay of a leader of this version or of the one before.
async fn serve_leader(relay: Arc<DirectoryRelay>, is_earlier: bool) -> SocketAddr {
    let state = Arc::new(SharedState::new(Arc::new(SystemClock::new()), "leader", "a"));
    let handler = RelayHandler::new(state, relay);
    let handler: Arc<dyn AdminHandler> =
        if is_earlier { Arc::new(EarlierHandler(handler)) } else { Arc::new(handler) };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(AdminRouter::new(vec![handler]).serve(listener, CancellationToken::new()));
    address
}

/// Starts a seed, which lists the store itself, with a leader of this version or of the one
/// before. Returns the version of the configuration that it has [`APPLY_LIMIT`] after version 4.
async fn version_behind_leader(is_earlier: bool) -> u64 {
    let source = Arc::new(ConfigurationSource::default());
    source.version.store(3, Ordering::SeqCst);
    let (relay, leader_era) = (Arc::new(DirectoryRelay::default()), u64::from(!is_earlier));
    let leader = serve_leader(relay.clone(), is_earlier).await;
    let parts = [DirectoryPart::Targets, DirectoryPart::Configuration];
    for part in parts {
        relay.apply(part, &mut source.batch(part, leader_era), BatchOrigin::Listed);
    }
    let platform = source.clone();
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(50)).await;
            for part in parts {
                relay.apply(part, &mut platform.batch(part, leader_era), BatchOrigin::Watched);
            }
        }
    });
    let state = Arc::new(SharedState::new(Arc::new(SystemClock::new()), "seed", "a"));
    state.revisions.set_leaders(vec![leader], false);
    let (driver, targets) = TargetsDriver::new(state.clone());
    tokio::spawn(driver.run(CancellationToken::new()));
    let own_address = SocketAddr::from(([127, 0, 0, 2], 1));
    let directory = RelayedDirectory::new(state.clone(), source.clone(), Arc::default());
    let directory = Arc::new(directory.with_seeds(own_address, &[own_address, leader]));
    let settings = DirectorySettings::default();
    let driver = DirectoryDriver::new(state.clone(), directory, targets, Arc::default(), settings);
    tokio::spawn(driver.run(CancellationToken::new()));
    let version = || state.fleet.load().routes.as_ref().map_or(0, |table| table.version);
    let started = Instant::now();
    while version() != 3 {
        assert!(started.elapsed() < APPLY_LIMIT, "the seed has version {}", version());
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(500)).await;
    source.version.store(4, Ordering::SeqCst);
    sleep(APPLY_LIMIT).await;
    version()
}

test_cases! {
    async changes_pass_from_leaders_of_this_version: "a seed that misses the changes that its leader serves" => {
        assert_eq!(version_behind_leader(false).await, 4);
    }

    async changes_pass_from_leaders_of_the_version_before: "a replaced seed that drops each change that a leader of the version before serves, since it states no era" => {
        assert_eq!(version_behind_leader(true).await, 4);
    }

    async followers_of_the_version_before_need_not_list: "entries of the version before that list their leader without pause because their queries name no era" => {
        let source = ConfigurationSource::default();
        source.version.store(3, Ordering::SeqCst);
        let relay = Arc::new(DirectoryRelay::default());
        let part = DirectoryPart::Configuration;
        relay.apply(part, &mut source.batch(part, 1), BatchOrigin::Listed);
        let leader = serve_leader(relay, false).await;
        let listed = get(leader, "/directory?part=configuration").await.unwrap();
        assert_eq!(listed.status(), StatusCode::OK);
        // The list was complete up to revision 30.
        let path = "/directory?part=configuration&after=30&hold=0";
        assert_eq!(get(leader, path).await.unwrap().status(), StatusCode::OK);
    }

    async announced_eras_are_listed_from_the_platform: "a follower that stays in an era for as long as its leader does, although other entries announce the next one" => {
        let source = Arc::new(ConfigurationSource::default());
        source.version.store(3, Ordering::SeqCst);
        let (relay, earlier) = (Arc::new(DirectoryRelay::default()), Arc::new(ConfigurationSource::default()));
        earlier.version.store(3, Ordering::SeqCst);
        let leader = serve_leader(relay.clone(), false).await;
        let parts = [DirectoryPart::Targets, DirectoryPart::Configuration];
        for part in parts {
            relay.apply(part, &mut earlier.batch(part, 1), BatchOrigin::Listed);
        }
        // The leader still reaches the store as it was before the restore.
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                for part in parts {
                    relay.apply(part, &mut earlier.batch(part, 1), BatchOrigin::Watched);
                }
            }
        });
        let state = Arc::new(SharedState::new(Arc::new(SystemClock::new()), "follower", "a"));
        state.revisions.set_leaders(vec![leader], false);
        let (driver, targets) = TargetsDriver::new(state.clone());
        tokio::spawn(driver.run(CancellationToken::new()));
        let directory = Arc::new(RelayedDirectory::new(state.clone(), source.clone(), Arc::default()));
        let settings = DirectorySettings::default();
        let driver = DirectoryDriver::new(state.clone(), directory, targets, Arc::default(), settings);
        tokio::spawn(driver.run(CancellationToken::new()));
        let version = || state.fleet.load().routes.as_ref().map_or(0, |table| table.version);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(version(), 3);
        source.restores.store(1, Ordering::SeqCst);
        source.version.store(4, Ordering::SeqCst);
        let announced = StoreRevision { era: 2, number: 40 };
        state.revisions.observe_peer([StoreRevision::default(), announced, StoreRevision::default()]);
        sleep(2 * APPLY_LIMIT).await;
        assert_eq!(version(), 4);
    }
}
