//! Passes the directory on to other entries, so that the platform serves few.

use std::io::{Read, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use futures::future::BoxFuture;
use http::StatusCode;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use zinniaport_core::directory::{DirectoryBatch, DirectoryChange, DirectoryPart};

use crate::admin::{AdminHandler, AdminRequest, AdminResponse, query_value, text_response};
use crate::state::SharedState;

/// Path of the relay.
pub(super) const RELAY_PATH: &str = "/directory";

/// Age of the last answer of the platform from which a relay says nothing more: its
/// own watches answer each second, and changes have to be known after two.
const MAX_AGE: Duration = Duration::from_millis(1_300);

/// Time for which a relay collects changes after the first one. They come in series,
/// and each answer goes to all followers.
const GATHER_TIME: Duration = Duration::from_millis(40);

/// Removals that are remembered for each part; the oldest makes room.
const MAX_REMOVED: usize = 1024;

/// Largest batch that is read from another entry, in bytes.
const MAX_BATCH_BYTES: u64 = 64 << 20;

/// Where a batch comes from. Only the platform's own answers show that nothing newer
/// is there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchOrigin {
    /// All objects, from the platform.
    Listed,
    /// Changes, from the platform.
    Watched,
    /// All objects, from another entry.
    ListedByPeer,
    /// Changes, from another entry.
    WatchedByPeer,
}

/// The newest state of one part.
#[derive(Debug, Default)]
struct RelayedPart {
    /// The last change of each object, removals included.
    changes: IndexMap<String, DirectoryChange>,
    /// Revision up to which the changes are complete.
    revision: u64,
    /// Revision since which no change is missing; none before the first list.
    complete_since: Option<u64>,
    /// When the platform last answered.
    answered: Option<Instant>,
    /// The last encoded answer with the revision that it starts from.
    encoded: Option<(u64, u64, Bytes)>,
}

impl RelayedPart {
    fn take(&mut self, batch: &DirectoryBatch, origin: BatchOrigin) {
        let listed = matches!(origin, BatchOrigin::Listed | BatchOrigin::ListedByPeer);
        if listed {
            let gone: Vec<String> = self
                .changes
                .iter()
                .filter(|(name, held)| {
                    held.item.is_some()
                        && held.revision <= batch.revision
                        && batch.changes.iter().all(|change| change.name != **name)
                })
                .map(|(name, _)| name.clone())
                .collect();
            for name in gone {
                let revision = batch.revision;
                let change = DirectoryChange { name: name.clone(), revision, item: None };
                self.changes.insert(name, change);
            }
            self.complete_since.get_or_insert(batch.revision);
        }
        for change in &batch.changes {
            let held = self.changes.get(&change.name).map_or(0, |held| held.revision);
            if change.revision > held {
                self.changes.insert(change.name.clone(), change.clone());
            }
        }
        self.revision = self.revision.max(batch.revision);
        if matches!(origin, BatchOrigin::Listed | BatchOrigin::Watched) {
            self.answered = Some(Instant::now());
        }
        self.forget_removed();
    }

    fn forget_removed(&mut self) {
        let removed = self.changes.values().filter(|change| change.item.is_none());
        let mut revisions: Vec<u64> = removed.map(|change| change.revision).collect();
        let Some(excess) = revisions.len().checked_sub(MAX_REMOVED).filter(|excess| *excess > 0)
        else {
            return;
        };
        revisions.sort_unstable();
        let oldest = revisions[excess - 1];
        self.changes.retain(|_, change| change.item.is_some() || change.revision > oldest);
        self.complete_since = self.complete_since.map(|since| since.max(oldest));
    }

    fn fresh_until(&self) -> Option<Instant> {
        self.answered.map(|answered| answered + MAX_AGE)
    }

    fn has_news(&self, after: u64) -> bool {
        self.changes.values().any(|change| change.revision > after)
    }

    /// Gives the changes after a revision, or all objects.
    fn batch(&self, after: Option<u64>) -> DirectoryBatch {
        let wanted = |change: &&DirectoryChange| match after {
            Some(after) => change.revision > after,
            None => change.item.is_some(),
        };
        let mut changes: Vec<_> = self.changes.values().filter(wanted).cloned().collect();
        changes.sort_by_key(|change| change.revision);
        DirectoryBatch { revision: self.revision, changes }
    }

    /// Encodes such a batch; followers mostly ask from the same revision.
    fn encode(&mut self, after: Option<u64>) -> std::io::Result<Bytes> {
        let from = after.unwrap_or(u64::MAX);
        if let Some((start, end, bytes)) = &self.encoded
            && (*start, *end) == (from, self.revision)
        {
            return Ok(bytes.clone());
        }
        let bytes = encode_batch(&self.batch(after))?;
        self.encoded = Some((from, self.revision, bytes.clone()));
        Ok(bytes)
    }
}

/// The directory as this entry last saw it.
#[derive(Debug, Default)]
pub struct DirectoryRelay {
    parts: [Mutex<RelayedPart>; 2],
    news: [Notify; 2],
}

impl DirectoryRelay {
    /// Takes over a batch.
    pub fn apply(&self, part: DirectoryPart, batch: &DirectoryBatch, origin: BatchOrigin) {
        self.lock(part).take(batch, origin);
        self.news[part as usize].notify_waiters();
    }

    /// Neither the request path nor a controller takes this lock.
    fn lock(&self, part: DirectoryPart) -> MutexGuard<'_, RelayedPart> {
        self.parts[part as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a follower asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayQuery {
    pub(super) part: DirectoryPart,
    /// The changes after this revision; none for all objects.
    pub(super) after: Option<u64>,
    /// Longest time to wait for a change.
    pub(super) hold: Duration,
}

impl RelayQuery {
    pub(super) fn to_uri(self) -> String {
        let (part, hold_ms) = (<&str>::from(self.part), self.hold.as_millis());
        match self.after {
            Some(after) => format!("{RELAY_PATH}?part={part}&after={after}&hold={hold_ms}"),
            None => format!("{RELAY_PATH}?part={part}"),
        }
    }

    fn read(request: &AdminRequest) -> Option<Self> {
        let part = query_value(request, "part")?.parse().ok()?;
        let after = query_value(request, "after").and_then(|text| text.parse().ok());
        let hold = query_value(request, "hold").and_then(|text| text.parse().ok()).unwrap_or(0);
        Some(Self { part, after, hold: Duration::from_millis(hold) })
    }
}

/// Answers the other entries.
pub struct RelayHandler {
    state: Arc<SharedState>,
    relay: Arc<DirectoryRelay>,
}

impl RelayHandler {
    /// Creates a handler.
    pub fn new(state: Arc<SharedState>, relay: Arc<DirectoryRelay>) -> Self {
        Self { state, relay }
    }

    async fn answer(&self, query: RelayQuery) -> AdminResponse {
        if !self.state.revisions.is_leader() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "another entry watches");
        }
        let part = query.part;
        let Some(complete_since) = self.relay.lock(part).complete_since else {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet");
        };
        if let Some(after) = query.after {
            if after < complete_since {
                return text_response(StatusCode::GONE, "list first");
            }
            self.wait_for_news(part, after, query.hold).await;
        }
        let mut held = self.relay.lock(part);
        if held.fresh_until().is_none_or(|until| until <= Instant::now()) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the platform does not answer");
        }
        match held.encode(query.after) {
            Ok(bytes) => text_response(StatusCode::OK, bytes),
            Err(error) => {
                log::error!("cannot encode the directory for another entry: {error}");
                text_response(StatusCode::INTERNAL_SERVER_ERROR, "cannot encode")
            }
        }
    }

    /// Waits until there is news, the time to hold has passed or this entry no longer
    /// knows enough to say that there is none.
    async fn wait_for_news(&self, part: DirectoryPart, after: u64, hold: Duration) {
        let end = Instant::now() + hold;
        loop {
            let news = self.relay.news[part as usize].notified();
            let mut news = std::pin::pin!(news);
            news.as_mut().enable();
            let (has_news, fresh_until) = {
                let held = self.relay.lock(part);
                (held.has_news(after), held.fresh_until())
            };
            if has_news {
                return tokio::time::sleep(GATHER_TIME).await;
            }
            let Some(fresh_until) = fresh_until else { return };
            let until = end.min(fresh_until);
            if Instant::now() >= until {
                return;
            }
            tokio::select! {
                () = news => {}
                () = sleep_until(until) => {}
            }
        }
    }
}

impl AdminHandler for RelayHandler {
    fn path(&self) -> &'static str {
        RELAY_PATH
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        let query = RelayQuery::read(request);
        Box::pin(async move {
            match query {
                Some(query) => self.answer(query).await,
                None => text_response(StatusCode::BAD_REQUEST, "name a part"),
            }
        })
    }
}

/// Encodes a batch as compressed JSON: routes repeat each other, and traffic between
/// data centres is paid for by the byte.
fn encode_batch(batch: &DirectoryBatch) -> std::io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, batch)?;
    encoder.flush()?;
    Ok(encoder.finish()?.into())
}

/// Decodes such a batch.
///
/// # Errors
///
/// Returns an error when the bytes are not a whole batch.
pub(super) fn decode_batch(bytes: &[u8]) -> std::io::Result<DirectoryBatch> {
    let mut text = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_BATCH_BYTES).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}
