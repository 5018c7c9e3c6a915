//! A directory read through the entries that watch it.

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
use crate::store::{ApiClient, StoreError, no_answer, refused};

/// Time for which a watching entry holds a question without news.
const RELAY_HOLD: Duration = Duration::from_millis(600);

/// Time limit of a call to another entry besides that.
const RELAY_LIMIT: Duration = Duration::from_millis(250);

/// Time for which an entry that did not answer is not asked.
const SUSPECT_TIME: Duration = Duration::from_secs(1);

/// The same for one that says that it cannot tell, such as one that starts.
const REFUSED_TIME: Duration = Duration::from_millis(15);

/// Time between two calls to the platform of an entry that follows others, while neither
/// it nor they get an answer. When the platform is back, the entries that watch find it
/// first; this is for one that is turned away less than they are.
const OWN_CALL_PERIOD: Duration = Duration::from_millis(1_800);

/// Time until a call is repeated for which an entry had answers of the platform until
/// then. A reset connection is such a loss, and a change counts two seconds later.
const LOST_CALL_PERIOD: Duration = Duration::from_millis(200);

/// Reads the directory itself while it leads, else from an entry that does, and itself
/// when none answers.
pub struct RelayedDirectory {
    state: Arc<SharedState>,
    source: Arc<dyn DirectorySource>,
    relay: Arc<DirectoryRelay>,
    callers: Mutex<HashMap<SocketAddr, RelayCaller>>,
    /// Whether the last of the watching entries is asked first, so that the first does
    /// not serve all others.
    starts_last: bool,
    /// Calls of this entry's own while it follows others, for each part.
    own_calls: Mutex<[OwnCalls; 2]>,
}

/// Calls to the platform of an entry that follows others.
#[derive(Clone, Copy, Debug, Default)]
struct OwnCalls {
    /// Whether the last one was answered, with no answer of another entry since.
    answered: bool,
    /// When the next one may follow one that failed.
    next: Option<Instant>,
}

impl OwnCalls {
    fn note(&mut self, answered: bool) {
        let period = if self.answered { LOST_CALL_PERIOD } else { OWN_CALL_PERIOD };
        self.answered = answered;
        self.next = (!answered).then(|| Instant::now() + period);
    }
}

/// Connections to one entry.
struct RelayCaller {
    api: Arc<ApiClient>,
    suspect_until: Option<Instant>,
}

impl RelayedDirectory {
    /// Creates a directory; what `source` answers is passed on through `relay`.
    pub fn new(
        state: Arc<SharedState>,
        source: Arc<dyn DirectorySource>,
        relay: Arc<DirectoryRelay>,
    ) -> Self {
        let starts_last = hash_bytes(state.entry_name.as_bytes()).is_multiple_of(2);
        let (callers, own_calls) = (Mutex::default(), Mutex::default());
        Self { state, source, relay, callers, starts_last, own_calls }
    }

    /// Lists from an entry that watches. One that starts asks the platform at once: it
    /// hears nobody yet, and callers wait for it.
    async fn list_once(&self, part: DirectoryPart) -> Result<DirectoryBatch, StoreError> {
        if !self.state.revisions.is_leader() {
            let query = RelayQuery { part, after: None, hold: Duration::ZERO };
            if let Some(batch) = self.ask_leaders(query).await? {
                self.relay.apply(part, &batch, BatchOrigin::ListedByPeer);
                return Ok(batch);
            }
        }
        let batch = self.source.list(part).await?;
        self.relay.apply(part, &batch, BatchOrigin::Listed);
        Ok(batch)
    }

    async fn watch_once(
        &self,
        part: DirectoryPart,
        revision: u64,
        age: ReadConsistency,
    ) -> Result<DirectoryBatch, StoreError> {
        if !self.state.revisions.is_leader() && age == ReadConsistency::Stale {
            let query = RelayQuery { part, after: Some(revision), hold: RELAY_HOLD };
            if let Some(batch) = self.ask_leaders(query).await? {
                self.own_calls()[part as usize].answered = false;
                self.relay.apply(part, &batch, BatchOrigin::WatchedByPeer);
                return Ok(batch);
            }
            self.allow_own_call(part)?;
        }
        // Whoever no other entry answers may not hear of changes either, so it must not
        // rely on answers that lag.
        let watched = self.source.watch(part, revision, ReadConsistency::Current).await;
        // That the history is gone is an answer too; a list follows.
        let answered = matches!(watched, Ok(_) | Err(StoreError::TooOld));
        self.own_calls()[part as usize].note(answered);
        let batch = watched?;
        self.relay.apply(part, &batch, BatchOrigin::Watched);
        Ok(batch)
    }

    /// Tells whether this entry may call the platform although it follows others.
    fn allow_own_call(&self, part: DirectoryPart) -> Result<(), StoreError> {
        match self.own_calls()[part as usize].next {
            Some(at) if Instant::now() < at => Err(refused("no entry reaches the platform")),
            _ => Ok(()),
        }
    }

    fn own_calls(&self) -> MutexGuard<'_, [OwnCalls; 2]> {
        self.own_calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the entries that watch, one after the other; none if no one answers.
    async fn ask_leaders(&self, query: RelayQuery) -> Result<Option<DirectoryBatch>, StoreError> {
        let mut leaders = self.state.revisions.leaders();
        if self.starts_last {
            leaders.reverse();
        }
        for address in leaders {
            let Some(api) = self.caller(address) else { continue };
            match ask(&api, query).await {
                Ok(batch) => return Ok(Some(batch)),
                // Its memory starts later than what this entry knows.
                Err(StoreError::TooOld) => return Err(StoreError::TooOld),
                Err(error) => {
                    log::debug!("cannot read the directory from {address}: {error}");
                    let answers = matches!(error, StoreError::Refused { .. });
                    self.suspect(address, if answers { REFUSED_TIME } else { SUSPECT_TIME });
                }
            }
        }
        Ok(None)
    }

    fn caller(&self, address: SocketAddr) -> Option<Arc<ApiClient>> {
        let mut callers = self.callers.lock().unwrap_or_else(PoisonError::into_inner);
        let caller = callers.entry(address).or_insert_with(|| RelayCaller {
            api: Arc::new(ApiClient::new(address)),
            suspect_until: None,
        });
        let trusted = caller.suspect_until.is_none_or(|until| until <= Instant::now());
        trusted.then(|| caller.api.clone())
    }

    fn suspect(&self, address: SocketAddr, time: Duration) {
        let mut callers = self.callers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(caller) = callers.get_mut(&address) {
            caller.suspect_until = Some(Instant::now() + time);
        }
    }
}

async fn ask(api: &ApiClient, query: RelayQuery) -> Result<DirectoryBatch, StoreError> {
    let response = api.get(query.to_uri(), query.hold + RELAY_LIMIT).await?;
    decode_batch(response.body()).map_err(|error| no_answer(error.to_string()))
}

impl DirectorySource for RelayedDirectory {
    fn list(&self, part: DirectoryPart) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(self.list_once(part))
    }

    fn watch(
        &self,
        part: DirectoryPart,
        revision: u64,
        age: ReadConsistency,
    ) -> BoxFuture<'_, Result<DirectoryBatch, StoreError>> {
        Box::pin(self.watch_once(part, revision, age))
    }
}
