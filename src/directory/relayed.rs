//! Reads the directory through the entries that watch it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::Instant;
use zinniaport_core::directory::{DirectoryBatch, DirectoryPart};
use zinniaport_core::policy::hash_bytes;

use super::relay::{BatchOrigin, DirectoryRelay, RelayQuery, decode_batch};
use super::{DirectorySource, ReadConsistency};
use crate::state::SharedState;
use crate::store::{ApiClient, StoreError, no_response, refused};

/// Longest time that a leader waits for a change before it responds to a follower.
const RELAY_WAIT: Duration = Duration::from_millis(600);

/// Time limit of a call to a leader, in addition to the time that it waits.
const RELAY_CALL_LIMIT: Duration = Duration::from_millis(250);

/// Time for which a leader that did not respond is skipped.
const UNRESPONSIVE_SKIP_TIME: Duration = Duration::from_secs(1);

/// Time for which a leader that refused is skipped, such as one that is starting.
const REFUSED_SKIP_TIME: Duration = Duration::from_millis(15);

/// Time between two calls of a follower to the platform while neither it nor its leaders
/// get a response. The leaders call more often and usually notice first that the platform
/// is back; a follower's own calls help if the platform refuses fewer of them than of theirs.
const OWN_CALL_PERIOD: Duration = Duration::from_millis(1_800);

/// Time until a follower repeats a failed call if its previous one got a response, as when
/// a connection is reset. A change must be known to all entries after two seconds.
const LOST_CALL_PERIOD: Duration = Duration::from_millis(200);

/// Reads the directory from the platform while this entry is a leader, otherwise from a
/// leader, and from the platform if no leader responds.
pub struct RelayedDirectory {
    state: Arc<SharedState>,
    source: Arc<dyn DirectorySource>,
    relay: Arc<DirectoryRelay>,
    clients: Mutex<HashMap<SocketAddr, RelayClient>>,
    /// Whether the last leader is queried first, so that the first one does not serve all
    /// followers.
    reverses_leaders: bool,
    /// This entry's own calls to the platform while it is a follower, by part.
    own_calls: Mutex<[OwnCalls; 2]>,
}

/// State of a follower's own calls to the platform for one part.
#[derive(Clone, Copy, Debug, Default)]
struct OwnCalls {
    /// Whether the last call got a response, and no leader has responded since.
    responded: bool,
    /// Earliest time of the next call after one that failed.
    next: Option<Instant>,
}

impl OwnCalls {
    fn record_result(&mut self, responded: bool) {
        let period = if self.responded { LOST_CALL_PERIOD } else { OWN_CALL_PERIOD };
        self.responded = responded;
        self.next = (!responded).then(|| Instant::now() + period);
    }
}

/// Client of one leader.
struct RelayClient {
    api: Arc<ApiClient>,
    skip_until: Option<Instant>,
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
        Self { state, source, relay, clients, reverses_leaders, own_calls }
    }

    /// Lists a part from a leader, or from the platform. An entry that starts knows no peer
    /// and calls the platform at once, because callers wait for it.
    async fn list_part(&self, part: DirectoryPart) -> Result<DirectoryBatch, StoreError> {
        if !self.state.revisions.is_leader() {
            let query = RelayQuery { part, after: None, wait: Duration::ZERO };
            if let Some(batch) = self.query_leaders(query).await? {
                self.relay.apply(part, &batch, BatchOrigin::ListedByPeer);
                return Ok(batch);
            }
        }
        let batch = self.source.list(part).await?;
        self.relay.apply(part, &batch, BatchOrigin::Listed);
        Ok(batch)
    }

    async fn watch_part(
        &self,
        part: DirectoryPart,
        revision: u64,
        consistency: ReadConsistency,
    ) -> Result<DirectoryBatch, StoreError> {
        if !self.state.revisions.is_leader() && consistency == ReadConsistency::Stale {
            let query = RelayQuery { part, after: Some(revision), wait: RELAY_WAIT };
            if let Some(batch) = self.query_leaders(query).await? {
                self.own_calls()[part as usize].responded = false;
                self.relay.apply(part, &batch, BatchOrigin::WatchedByPeer);
                return Ok(batch);
            }
            self.check_own_call(part)?;
        }
        // An entry that gets no response from its peers may not get their announcements of
        // changes either, so it cannot rely on stale reads.
        let watched = self.source.watch(part, revision, ReadConsistency::Current).await;
        // A missing history also shows that the platform responds; a list follows.
        let responded = matches!(watched, Ok(_) | Err(StoreError::TooOld));
        self.own_calls()[part as usize].record_result(responded);
        let batch = watched?;
        self.relay.apply(part, &batch, BatchOrigin::Watched);
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

    fn own_calls(&self) -> MutexGuard<'_, [OwnCalls; 2]> {
        self.own_calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queries the leaders one after the other. Returns `None` if none of them responds.
    async fn query_leaders(&self, query: RelayQuery) -> Result<Option<DirectoryBatch>, StoreError> {
        let mut leaders = self.state.revisions.leaders();
        if self.reverses_leaders {
            leaders.reverse();
        }
        for address in leaders {
            let Some(api) = self.client(address) else { continue };
            match query_leader(&api, query).await {
                Ok(batch) => return Ok(Some(batch)),
                // The leader's history starts after this entry's revision.
                Err(StoreError::TooOld) => return Err(StoreError::TooOld),
                Err(error) => {
                    log::debug!("cannot read the directory from leader {address}: {error}");
                    let was_refused = matches!(error, StoreError::Refused { .. });
                    self.skip(
                        address,
                        if was_refused { REFUSED_SKIP_TIME } else { UNRESPONSIVE_SKIP_TIME },
                    );
                }
            }
        }
        Ok(None)
    }

    fn client(&self, address: SocketAddr) -> Option<Arc<ApiClient>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(address).or_insert_with(|| RelayClient {
            api: Arc::new(ApiClient::new(address)),
            skip_until: None,
        });
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

async fn query_leader(api: &ApiClient, query: RelayQuery) -> Result<DirectoryBatch, StoreError> {
    let response = api.get(query.to_uri(), query.wait + RELAY_CALL_LIMIT).await?;
    decode_batch(response.body()).map_err(|error| no_response(error.to_string()))
}

impl DirectorySource for RelayedDirectory {
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(self.list_part(part))
    }

    fn watch(
        &self,
        part: DirectoryPart,
        revision: u64,
        consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(self.watch_part(part, revision, consistency))
    }
}
