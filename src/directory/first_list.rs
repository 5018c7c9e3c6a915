//! Lists a part of the directory for the first time, from other entries if there are any.

use std::net::SocketAddr;
use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};
use zinniaport_core::directory::{DirectoryBatch, DirectoryPart};
use zinniaport_core::startup::{StartupPlan, StartupResponse, StartupStep};

use super::relay_client::{RelayResponse, query_entry};
use super::relay_handler::RelayQuery;
use super::relayed::RelayedDirectory;
use crate::state::SharedState;
use crate::store::StoreError;

/// Longest time that an entry which starts waits for the list of another one that is starting
/// too.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

impl RelayedDirectory {
    /// Lists a part for the first time.
    pub(super) async fn list_first(
        &self,
        part: DirectoryPart,
    ) -> Result<DirectoryBatch, StoreError> {
        let started = Instant::now();
        loop {
            let holders = self.state.revisions.holders();
            let now = self.state.clock.now();
            let step = self.startup()[part as usize].next_step(&holders, now);
            match step {
                StartupStep::Wait(time) => sleep(time).await,
                StartupStep::ReadSmall => match self.source.list_small(part).await {
                    Ok(Some(batch)) => return Ok(self.apply_first_list(part, batch, started)),
                    Ok(None) => {}
                    Err(error) => {
                        log::debug!("cannot read a small directory from the platform: {error}");
                    }
                },
                StartupStep::ReadPlatform => {
                    let listed = self.source.list(part).await;
                    if listed.is_err() {
                        let now = self.state.clock.now();
                        self.startup()[part as usize].record_failed_read(now);
                    }
                    return listed.map(|batch| self.apply_first_list(part, batch, started));
                }
                StartupStep::AskEntry(address) => {
                    if let Some(batch) = self.list_from(part, address, started).await {
                        return Ok(batch);
                    }
                }
            }
        }
    }

    /// Applies the first list, which comes from the platform.
    fn apply_first_list(
        &self,
        part: DirectoryPart,
        mut batch: DirectoryBatch,
        started: Instant,
    ) -> DirectoryBatch {
        let took_ms = started.elapsed().as_millis() as u64;
        log::info!(part = <&str>::from(part), revision = batch.revision, objects = batch.changes.len(), took_ms = took_ms; "listed the directory from the platform");
        self.apply_list(part, &mut batch);
        batch
    }

    /// Asks another entry for all objects of a part.
    async fn list_from(
        &self,
        part: DirectoryPart,
        address: SocketAddr,
        started: Instant,
    ) -> Option<DirectoryBatch> {
        let starting = self.own_address;
        let query = RelayQuery { part, after: None, wait: STARTUP_WAIT, starting };
        let response = match query_entry(&self.api(address), query).await {
            Ok(RelayResponse::Batch { mut batch, encoded, age }) => {
                self.count_bytes(address, encoded.len());
                let took_ms = started.elapsed().as_millis() as u64;
                let age_ms = age.map(|age| age.as_millis() as u64);
                log::info!(part = <&str>::from(part), from:% = address, revision = batch.revision, objects = batch.changes.len(), age_ms = age_ms, took_ms = took_ms; "got the directory from another entry");
                self.relay.apply_list(part, &mut batch, encoded);
                return Some(batch);
            }
            Ok(RelayResponse::Referred(others)) => StartupResponse::Referred(others),
            // Refused connections and responses: it is starting.
            Err(StoreError::Refused { .. }) => StartupResponse::Referred(Vec::new()),
            Err(error) => {
                log::debug!("cannot get the directory from {address}: {error}");
                StartupResponse::Unresponsive
            }
        };
        let now = self.state.clock.now();
        self.startup()[part as usize].record_response(address, response, now);
        None
    }

    fn startup(&self) -> MutexGuard<'_, [StartupPlan; DirectoryPart::COUNT]> {
        self.startup.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the plans of an entry that starts, one for each part.
pub(super) fn startup_plans(
    state: &SharedState,
    own_address: SocketAddr,
    seeds: &[SocketAddr],
) -> [StartupPlan; DirectoryPart::COUNT] {
    let (random, now) = (rand::random(), state.clock.now());
    std::array::from_fn(|_| StartupPlan::new(own_address, seeds.iter().copied(), random, now))
}
