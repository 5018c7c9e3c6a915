//! Reads the directory through the entries that watch it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::{Instant, sleep};
use zinniaport_core::directory::{DirectoryBatch, DirectoryPart, StoreRevision};
use zinniaport_core::policy::hash_bytes;
use zinniaport_core::startup::StartupPlan;

use super::first_list::startup_plans;
use super::own_calls::OwnCalls;
use super::relay::DirectoryRelay;
use super::relay_client::{RelayResponse, query_entry};
use super::relay_handler::RelayQuery;
use super::{BatchOrigin, DirectorySource, ReadConsistency};
use crate::state::SharedState;
use crate::store::{ApiClient, StoreError, refused};
use crate::telemetry::TrafficKind;

/// Longest time that a leader waits for a change before it responds to a follower.
const RELAY_WAIT: Duration = Duration::from_millis(600);

/// The same for evacuations, which are rare. Each query and its response are paid for by the
/// byte between data centres.
const EVACUATIONS_RELAY_WAIT: Duration = Duration::from_millis(900);

/// Greatest number of entries that are asked for changes in turn: the leaders that this entry
/// knows, and those that they refer it to.
const MAX_ASKED: usize = 6;

/// Time for which an entry asks its leaders for a list before it lists the platform. After an outage
/// or a restore the leaders list at the same time, and a large fleet would list with them.
const LEADER_LIST_WAIT: Duration = Duration::from_millis(600);

/// Time between two queries for changes while this entry has just started and knows no leader
/// that serves it.
const UNSETTLED_PAUSE: Duration = Duration::from_millis(100);

/// Time limit for opening a connection to another entry. A machine without power does not
/// respond; regions are up to 35 ms apart one way.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);

/// Time for which a leader that did not respond is skipped.
const UNRESPONSIVE_SKIP_TIME: Duration = Duration::from_secs(1);

/// Time for which a leader that refused is skipped, such as one that is starting.
const REFUSED_SKIP_TIME: Duration = Duration::from_millis(15);

/// Time for which an entry is skipped that does not reach the platform while another one does, or
/// while none does. A large fleet would otherwise ask the leaders hundreds of times a second.
const OUTAGE_SKIP_TIME: Duration = Duration::from_millis(500);

/// Reads the directory from the platform while this entry is a leader, otherwise from a
/// leader, and from the platform if no leader responds.
pub struct RelayedDirectory {
    pub(super) state: Arc<SharedState>,
    pub(super) source: Arc<dyn DirectorySource>,
    pub(super) relay: Arc<DirectoryRelay>,
    clients: Mutex<HashMap<SocketAddr, RelayClient>>,
    /// Whether the last leader is queried first, so that the first one does not serve all
    /// followers.
    reverses_leaders: bool,
    /// This entry's own calls to the platform while it is a follower, by part.
    own_calls: Mutex<[OwnCalls; DirectoryPart::COUNT]>,
    /// Whether a part was listed from the platform, which may have been restored before. The
    /// leaders may have kept what it lost, so this entry lists from them once it follows them.
    listed_restored: [AtomicBool; DirectoryPart::COUNT],
    /// From whom the first list of each part is taken.
    pub(super) startup: Mutex<[StartupPlan; DirectoryPart::COUNT]>,
    pub(super) own_address: Option<SocketAddr>,
}

/// Client of another entry.
struct RelayClient {
    api: Arc<ApiClient>,
    skip_until: Option<Instant>,
}

impl RelayClient {
    fn new(address: SocketAddr) -> Self {
        let api = ApiClient::new(address).with_connect_limit(CONNECT_LIMIT);
        Self { api: Arc::new(api), skip_until: None }
    }
}

impl RelayedDirectory {
    /// Creates a directory. Responses of `source` are served to peers through `relay`.
    pub fn new(
        state: Arc<SharedState>,
        source: Arc<dyn DirectorySource>,
        relay: Arc<DirectoryRelay>,
    ) -> Self {
        let reverses_leaders = hash_bytes(state.entry_name.as_bytes()).is_multiple_of(2);
        let (clients, own_calls) = (Mutex::default(), Mutex::default());
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let startup = Mutex::new(startup_plans(&state, unspecified, &[]));
        let own_address = None;
        Self {
            state,
            source,
            relay,
            clients,
            reverses_leaders,
            own_calls,
            listed_restored: Default::default(),
            startup,
            own_address,
        }
    }

    /// Takes the first list from other entries if there are any. `seeds` are entries that may
    /// be running, this one with `own_address` perhaps among them.
    #[must_use]
    pub fn with_seeds(mut self, own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        self.startup = Mutex::new(startup_plans(&self.state, own_address, seeds));
        self.own_address = Some(own_address);
        self
    }

    /// Applies a list that comes from the platform without any other entry having been asked.
    pub(super) fn apply_list(&self, part: DirectoryPart, batch: &mut DirectoryBatch) {
        self.listed_restored[part as usize].store(batch.era > 0, Ordering::Relaxed);
        self.relay.apply(part, batch, BatchOrigin::Listed);
    }

    /// Lists a part: from any entry that has it while this entry starts, later from a leader,
    /// and from the platform if none has it.
    async fn list_part(&self, part: DirectoryPart) -> Result<DirectoryBatch, StoreError> {
        if self.own_address.is_some() && !self.relay.is_complete(part) {
            return self.list_first(part).await;
        }
        let is_leader = self.state.revisions.is_leader();
        if !is_leader {
            self.listed_restored[part as usize].store(false, Ordering::Relaxed);
            let query = RelayQuery { part, after: None, wait: Duration::ZERO, starting: None };
            let end = Instant::now() + LEADER_LIST_WAIT;
            loop {
                if let Some(mut batch) = self.query_leaders(query).await? {
                    self.relay.apply(part, &mut batch, BatchOrigin::ListedByPeer);
                    return Ok(batch);
                }
                if self.state.revisions.leaders().is_empty() || Instant::now() >= end {
                    break;
                }
                sleep(UNSETTLED_PAUSE).await;
            }
        }
        let mut batch = self.source.list(part).await?;
        if is_leader {
            self.apply_list(part, &mut batch);
        } else {
            self.relay.apply(part, &mut batch, BatchOrigin::Listed);
        }
        Ok(batch)
    }

    async fn watch_part(
        &self,
        part: DirectoryPart,
        revision: StoreRevision,
        consistency: ReadConsistency,
    ) -> Result<DirectoryBatch, StoreError> {
        let is_leader = self.state.revisions.is_leader();
        if !is_leader
            && consistency == ReadConsistency::Current
            && let Some(batch) = self.read_announced(part, revision).await?
        {
            return Ok(batch);
        }
        if !is_leader && consistency == ReadConsistency::Stale {
            let has_leaders = !self.state.revisions.leaders().is_empty();
            if has_leaders && self.listed_restored[part as usize].load(Ordering::Relaxed) {
                return Err(StoreError::TooOld);
            }
            let (after, starting) = (Some(revision), None);
            let query = RelayQuery { part, after, wait: relay_wait(part), starting };
            loop {
                if let Some(mut batch) = self.query_leaders(query).await? {
                    self.own_calls()[part as usize].responded = false;
                    self.relay.apply(part, &mut batch, BatchOrigin::WatchedByPeer);
                    return Ok(batch);
                }
                if self.state.revisions.is_settled() {
                    break;
                }
                sleep(UNSETTLED_PAUSE).await;
            }
            self.check_own_call(part)?;
        }
        // An entry that gets no response from its peers may not get their announcements of
        // changes either, so it cannot rely on stale reads.
        let watched = self.source.watch(part, revision, ReadConsistency::Current).await;
        // A missing history also shows that the platform responds; a list follows.
        let responded = matches!(watched, Ok(_) | Err(StoreError::TooOld));
        self.own_calls()[part as usize].record_result(responded);
        let mut batch = watched?;
        self.relay.apply(part, &mut batch, BatchOrigin::Watched);
        Ok(batch)
    }

    /// Reads changes that peers announced from a leader. Returns `None` if no leader knows them.
    async fn read_announced(
        &self,
        part: DirectoryPart,
        revision: StoreRevision,
    ) -> Result<Option<DirectoryBatch>, StoreError> {
        let announced = self.state.revisions.announced(part);
        let (after, wait, starting) = (Some(revision), Duration::ZERO, None);
        let query = RelayQuery { part, after, wait, starting };
        let batch = self.query_leaders(query).await?;
        let mut batch = batch.filter(|batch| batch.position() >= announced);
        if let Some(batch) = &mut batch {
            self.relay.apply(part, batch, BatchOrigin::WatchedByPeer);
        }
        Ok(batch)
    }

    /// Checks that this entry may call the platform although it is a follower.
    fn check_own_call(&self, part: DirectoryPart) -> Result<(), StoreError> {
        match self.own_calls()[part as usize].next {
            Some(at) if Instant::now() < at => {
                Err(refused("neither the leaders nor this entry reach the platform"))
            }
            _ => Ok(()),
        }
    }

    fn own_calls(&self) -> MutexGuard<'_, [OwnCalls; DirectoryPart::COUNT]> {
        self.own_calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queries the leaders one after the other, and those that they refer to. Returns `None` if
    /// none of them responds.
    async fn query_leaders(&self, query: RelayQuery) -> Result<Option<DirectoryBatch>, StoreError> {
        let mut leaders = self.state.revisions.leaders();
        if self.reverses_leaders {
            leaders.reverse();
        }
        // Bytes between data centres are paid for.
        leaders.sort_by_key(|leader| self.state.is_elsewhere(*leader));
        let substitutes = self.state.revisions.substitutes();
        leaders.extend(&substitutes);
        let announced = self.state.revisions.announced(query.part);
        let newest_era = announced.era.max(self.relay.era(query.part));
        let mut refused = Vec::new();
        let mut position = 0;
        while let Some(address) = leaders.get(position).copied().filter(|_| position < MAX_ASKED) {
            position += 1;
            let Some(api) = self.client(address) else { continue };
            let skip_time = match query_entry(&api, query).await {
                // It does not know of a restore yet, or is of a version that knows no eras.
                Ok(RelayResponse::Batch { batch, .. }) if batch.era < newest_era => {
                    REFUSED_SKIP_TIME
                }
                Ok(RelayResponse::Batch { batch, encoded, .. }) => {
                    self.count_bytes(address, encoded.len());
                    if substitutes.contains(&address) {
                        refused.into_iter().for_each(|other| self.skip(other, OUTAGE_SKIP_TIME));
                    }
                    return Ok(Some(batch));
                }
                Ok(RelayResponse::Referred(_)) if substitutes.contains(&address) => {
                    OUTAGE_SKIP_TIME
                }
                Ok(RelayResponse::Referred(others)) => {
                    // An entry that hears of few others does not know which of them lead.
                    for other in others {
                        if !leaders.contains(&other) && Some(other) != self.own_address {
                            leaders.push(other);
                        }
                    }
                    REFUSED_SKIP_TIME
                }
                // The leader's history starts after this entry's revision.
                Err(StoreError::TooOld) => return Err(StoreError::TooOld),
                Err(error) => {
                    log::debug!("cannot read the directory from leader {address}: {error}");
                    let was_refused = matches!(error, StoreError::Refused { .. });
                    if was_refused {
                        refused.push(address);
                        REFUSED_SKIP_TIME
                    } else {
                        UNRESPONSIVE_SKIP_TIME
                    }
                }
            };
            self.skip(address, skip_time);
        }
        Ok(None)
    }

    /// Counts directory content that came from another entry.
    pub(super) fn count_bytes(&self, from: SocketAddr, bytes: usize) {
        if self.state.is_elsewhere(from) {
            self.state.metrics.traffic.count(TrafficKind::Relay, bytes);
        }
    }

    /// Returns the client of another entry.
    pub(super) fn api(&self, address: SocketAddr) -> Arc<ApiClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.entry(address).or_insert_with(|| RelayClient::new(address)).api.clone()
    }

    fn client(&self, address: SocketAddr) -> Option<Arc<ApiClient>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address).or_insert_with(|| RelayClient::new(address));
        let is_usable = client.skip_until.is_none_or(|until| until <= Instant::now());
        is_usable.then(|| client.api.clone())
    }

    fn skip(&self, address: SocketAddr, time: Duration) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get_mut(&address) {
            client.skip_until = Some(Instant::now() + time);
        }
    }
}

/// Returns the longest time that a leader waits for a change of a part.
fn relay_wait(part: DirectoryPart) -> Duration {
    match part {
        DirectoryPart::Targets | DirectoryPart::Configuration => RELAY_WAIT,
        DirectoryPart::Evacuations => EVACUATIONS_RELAY_WAIT,
    }
}

impl DirectorySource for RelayedDirectory {
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(self.list_part(part))
    }

    fn list_small(
        &self,
        part: DirectoryPart,
    ) -> BoxFuture<'_, Result<Option<DirectoryBatch>, StoreError>> {
        self.source.list_small(part)
    }

    fn watch(
        &self,
        part: DirectoryPart,
        revision: StoreRevision,
        consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(self.watch_part(part, revision, consistency))
    }
}
