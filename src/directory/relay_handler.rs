//! Answers queries of other entries for the directory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderValue, StatusCode};
use tokio::time::{Instant, sleep_until};
use zinniaport_core::directory::{DirectoryPart, StoreRevision};
use zinniaport_core::startup::TransferTable;

use super::relay::{DirectoryRelay, RelayedPart};
use crate::admin::{
    AdminHandler, AdminRequest, AdminResponse, json_response, query_value, text_response,
};
use crate::state::SharedState;

/// URL path of the relay.
pub(super) const RELAY_PATH: &str = "/directory";

/// Time for which a relay collects further changes after the first one. Changes come
/// in bursts, and each response is sent to every follower.
const COALESCE_TIME: Duration = Duration::from_millis(40);

/// Longest time for which a query is held.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Header of a response that states how long ago the platform confirmed its content, in
/// milliseconds.
pub(super) const AGE_HEADER: &str = "x-directory-age-ms";

/// Query of a follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayQuery {
    pub(super) part: DirectoryPart,
    /// Revision after which changes are wanted; `None` for all objects.
    pub(super) after: Option<StoreRevision>,
    /// Longest time to wait for a change, or for the first list.
    pub(super) wait: Duration,
    /// Address of the sender if it is starting. It then takes all objects from any entry that
    /// has them, however old they are, since it knows none.
    pub(super) starting: Option<SocketAddr>,
}

impl RelayQuery {
    pub(super) fn to_uri(self) -> String {
        let (part, hold_ms) = (<&str>::from(self.part), self.wait.as_millis());
        match self.after {
            Some(StoreRevision { era, number }) => {
                format!("{RELAY_PATH}?part={part}&after={number}&era={era}&hold={hold_ms}")
            }
            None => match self.starting {
                Some(entry) => {
                    format!("{RELAY_PATH}?part={part}&hold={hold_ms}&starting={entry}")
                }
                None => format!("{RELAY_PATH}?part={part}"),
            },
        }
    }

    /// Reads a query of an entry. Entries of earlier versions name no era and take each revision
    /// for one of the current era.
    fn read(request: &AdminRequest, relay: &DirectoryRelay) -> Option<Self> {
        let part = query_value(request, "part")?.parse().ok()?;
        let number = |name| query_value(request, name).and_then(|text| text.parse::<u64>().ok());
        let era = number("era").unwrap_or_else(|| relay.era(part));
        let after = number("after").map(|number| StoreRevision { era, number });
        let wait = query_value(request, "hold").and_then(|text| text.parse().ok()).unwrap_or(0);
        let starting = query_value(request, "starting").and_then(|text| text.parse().ok());
        Some(Self { part, after, wait: Duration::from_millis(wait).min(MAX_WAIT), starting })
    }
}

/// Handles queries of followers.
pub struct RelayHandler {
    state: Arc<SharedState>,
    relay: Arc<DirectoryRelay>,
    /// Entries that start and got all objects from this one, by part.
    transfers: [Mutex<TransferTable>; DirectoryPart::COUNT],
}

impl RelayHandler {
    /// Creates a handler.
    pub fn new(state: Arc<SharedState>, relay: Arc<DirectoryRelay>) -> Self {
        Self { state, relay, transfers: Default::default() }
    }

    async fn respond(&self, query: RelayQuery) -> AdminResponse {
        match query.starting {
            Some(entry) if query.after.is_none() => self.respond_to_starting(query, entry).await,
            _ => self.respond_to_follower(query).await,
        }
    }

    /// Sends all objects to an entry that starts, or refers it to others that have them.
    async fn respond_to_starting(&self, query: RelayQuery, entry: SocketAddr) -> AdminResponse {
        let part = query.part;
        let transfers = &self.transfers[part as usize];
        let admitted = transfers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(entry, self.state.clock.now());
        if let Err(others) = admitted {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &others);
        }
        self.relay.wait_until_complete(part, query.wait).await;
        if !self.relay.is_complete(part) {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &Vec::<SocketAddr>::new());
        }
        batch_response(&mut self.relay.lock(part), None)
    }

    async fn respond_to_follower(&self, query: RelayQuery) -> AdminResponse {
        let part = query.part;
        // An entry that reaches the platform while the leaders do not serves in their place.
        if !self.state.revisions.is_leader() && !self.relay.lock(part).is_fresh(part) {
            let leaders = self.state.revisions.leaders();
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &leaders);
        }
        if !self.relay.is_complete(part) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet");
        }
        let is_covered = |after: &StoreRevision| self.relay.lock(part).ledger.covers(*after);
        if let Some(after) = query.after.filter(is_covered) {
            self.wait_for_changes(part, after, query.wait).await;
        }
        let mut relayed = self.relay.lock(part);
        if !relayed.is_fresh(part) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the platform does not answer");
        }
        if let Some(after) = query.after.filter(|after| !relayed.ledger.covers(*after)) {
            return if after.era > relayed.ledger.position().era {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "the restore is not known yet")
            } else {
                text_response(StatusCode::GONE, "list first")
            };
        }
        batch_response(&mut relayed, query.after)
    }

    /// Waits until there is a change after `after`, `wait` has passed, or the platform's
    /// last response is too old to rule out newer changes.
    async fn wait_for_changes(&self, part: DirectoryPart, after: StoreRevision, wait: Duration) {
        let end = Instant::now() + wait;
        loop {
            let changed = self.relay.changed[part as usize].notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let (has_changes, fresh_until) = {
                let relayed = self.relay.lock(part);
                (relayed.ledger.has_changes(after), relayed.fresh_until(part))
            };
            if has_changes {
                return tokio::time::sleep(COALESCE_TIME).await;
            }
            let Some(fresh_until) = fresh_until else { return };
            let until = end.min(fresh_until);
            if Instant::now() >= until {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(until) => {}
            }
        }
    }
}

/// Returns the changes after a revision, or all objects, with their age.
fn batch_response(relayed: &mut RelayedPart, after: Option<StoreRevision>) -> AdminResponse {
    let age = relayed.confirmed_at.map(|confirmed_at| confirmed_at.elapsed());
    match relayed.encode(after) {
        Ok(bytes) => {
            let mut response = text_response(StatusCode::OK, bytes);
            if let Some(age) = age {
                let age = HeaderValue::from(age.as_millis() as u64);
                response.headers_mut().insert(AGE_HEADER, age);
            }
            response
        }
        Err(error) => {
            log::error!("cannot encode the directory for another entry: {error}");
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "cannot encode")
        }
    }
}

impl AdminHandler for RelayHandler {
    fn path(&self) -> &'static str {
        RELAY_PATH
    }

    fn handle<'a>(&'a self, request: &'a AdminRequest) -> BoxFuture<'a, AdminResponse> {
        let query = RelayQuery::read(request, &self.relay);
        Box::pin(async move {
            match query {
                Some(query) => self.respond(query).await,
                None => text_response(StatusCode::BAD_REQUEST, "name a part"),
            }
        })
    }
}
