//! Registers this entry in a store that outlives the entries, and counts the registered ones.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use zinniaport_core::backoff::BackoffBounds;
use zinniaport_core::clock::{ClockSource, SystemClock, Timestamp};
use zinniaport_core::directory::StoreRevision;
use zinniaport_core::quota::{
    EntryRegistration, EntryRoster, FleetEvidence, JOIN_TIME, REGISTRATION_RENEWAL, TRUST_TIME,
};

use super::QuotaHandle;
use crate::directory::ReadConsistency;
use crate::state::SharedState;
use crate::store::{StoreError, refused};

/// Time between two checks of whether this entry leads, and of its registration.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Delays after failed calls. All entries of a fleet may start while the store refuses some.
const RETRY_DELAY: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(200), longest: Duration::from_secs(5) };

/// Time after a read that returned registrations until the next one, so that a fleet which starts
/// causes few reads. It is shorter than [`JOIN_TIME`].
const READ_PAUSE: Duration = Duration::from_millis(400);

/// Registrations in a registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegisteredEntries {
    /// Revision of the registry up to which they are complete.
    pub revision: StoreRevision,
    /// Registrations.
    pub entries: Vec<EntryRegistration>,
}

/// A store of the registrations of entries that outlives them.
pub trait EntryRegistry: Send + Sync {
    /// Lists all registrations.
    fn list(
        &self,
        consistency: ReadConsistency,
    ) -> BoxFuture<'_, Result<RegisteredEntries, StoreError>>;

    /// Waits for registrations that were added or renewed after `revision`. Returns none if none
    /// come before the time limit of the registry.
    fn watch(
        &self,
        revision: StoreRevision,
    ) -> BoxFuture<'_, Result<RegisteredEntries, StoreError>>;

    /// Adds a registration. Returns `false` if there is one of this entry.
    fn add(&self, registration: EntryRegistration) -> BoxFuture<'_, Result<bool, StoreError>>;

    /// Replaces a registration. Returns `false` if there is none of this entry.
    fn renew(&self, registration: EntryRegistration) -> BoxFuture<'_, Result<bool, StoreError>>;

    /// Removes a registration unless its entry has renewed it.
    fn remove(&self, registration: EntryRegistration) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Registration of this entry.
#[derive(Clone, Copy, Debug)]
struct OwnRegistration {
    /// Time of day at which it was last renewed.
    renewed: Timestamp,
    /// From when on this entry may use its share, on its own clock.
    usable_from: Timestamp,
    /// Until when.
    usable_until: Timestamp,
}

/// Registers this entry while a tenant has a limit, and reports the number of registered entries.
pub struct RegistryDriver {
    state: Arc<SharedState>,
    registry: Arc<dyn EntryRegistry>,
    quota: QuotaHandle,
    own_address: SocketAddr,
    roster: EntryRoster,
    registered: Option<OwnRegistration>,
    failures: u32,
    next_attempt: Instant,
    reported: Option<FleetEvidence>,
}

impl RegistryDriver {
    /// Creates the driver of the entry with this address for messages of others.
    pub fn new(
        state: Arc<SharedState>,
        registry: Arc<dyn EntryRegistry>,
        quota: QuotaHandle,
        own_address: SocketAddr,
    ) -> Self {
        Self {
            state,
            registry,
            quota,
            own_address,
            roster: EntryRoster::default(),
            registered: None,
            failures: 0,
            next_attempt: Instant::now(),
            reported: None,
        }
    }

    /// Runs until `stop` is cancelled. While no tenant has a limit there is no timer.
    pub async fn run(mut self, stop: CancellationToken) {
        let (state, registry) = (self.state.clone(), self.registry.clone());
        let mut checks = interval(CHECK_PERIOD);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut read = read_registry(registry.clone(), None, Duration::ZERO);
        let mut is_watching = false;
        loop {
            let mut fleet_changed = pin!(state.fleet_changed.notified());
            fleet_changed.as_mut().enable();
            let has_limits = self.has_limits();
            is_watching &= has_limits;
            tokio::select! {
                () = stop.cancelled() => return,
                () = fleet_changed, if !has_limits => continue,
                result = &mut read, if is_watching => {
                    let (revision, delay) = self.apply(result).await;
                    read = read_registry(registry.clone(), revision, delay);
                }
                _ = checks.tick(), if has_limits => {
                    self.update_registration().await;
                    let is_leading = self.registered.is_some() && state.revisions.is_leader();
                    if is_leading && !is_watching {
                        read = read_registry(registry.clone(), None, Duration::ZERO);
                    }
                    is_watching = is_leading;
                }
            }
            self.report();
        }
    }

    /// Returns `true` if a tenant has a limit. Otherwise nothing is shared by registrations.
    fn has_limits(&self) -> bool {
        let fleet = self.state.fleet.load();
        let mut tenants = fleet.tenants.iter().flat_map(|table| table.iter());
        tenants.any(|(_, tenant)| tenant.limit.is_some())
    }

    /// Registers this entry, or renews its registration if that is due.
    async fn update_registration(&mut self) {
        let now = wall_clock();
        let is_due =
            self.registered.is_none_or(|own| now.since(own.renewed) >= REGISTRATION_RENEWAL);
        if !is_due || Instant::now() < self.next_attempt {
            return;
        }
        let result = match self.registered {
            None => self.register(now).await,
            Some(_) => self.renew(now).await,
        };
        match result {
            Ok(()) => self.failures = 0,
            Err(error) => {
                self.failures += 1;
                let delay = RETRY_DELAY.delay(self.failures, &mut rand::rng());
                self.next_attempt = Instant::now() + delay;
                log::warn!("cannot register this entry, retrying: {error}");
            }
        }
    }

    /// Registers this entry, or finds the registration of its process before.
    async fn register(&mut self, now: Timestamp) -> Result<(), StoreError> {
        let listed = self.registry.list(ReadConsistency::Stale).await?;
        self.roster.merge(listed.entries);
        match self.roster.renewed(self.own_address, now) {
            Some(renewed) if now.since(renewed) < REGISTRATION_RENEWAL => {
                self.record_registration(renewed, Duration::ZERO);
                Ok(())
            }
            _ => self.renew(now).await,
        }
    }

    /// Renews the registration of this entry, or adds one. The others have counted this entry all
    /// the time only if there was one that had not ended.
    async fn renew(&mut self, now: Timestamp) -> Result<(), StoreError> {
        let registration = EntryRegistration { address: self.own_address, renewed: now };
        let is_counted = self.roster.renewed(self.own_address, now).is_some();
        let join_time = if is_counted && self.registry.renew(registration).await? {
            Duration::ZERO
        } else {
            // One that is not known yet may have been added by a call without a response.
            if !self.registry.add(registration).await? && !self.registry.renew(registration).await?
            {
                return Err(refused("the registration was removed meanwhile"));
            }
            JOIN_TIME
        };
        self.roster.merge([registration]);
        self.record_registration(now, join_time);
        Ok(())
    }

    fn record_registration(&mut self, renewed: Timestamp, join_time: Duration) {
        let now = self.state.clock.now();
        let joined = self.registered.map_or(now, |own| own.usable_from);
        let trust_left = TRUST_TIME.saturating_sub(wall_clock().since(renewed));
        self.registered = Some(OwnRegistration {
            renewed,
            usable_from: if join_time.is_zero() { joined } else { now + join_time },
            usable_until: now + trust_left,
        });
    }

    /// Applies the registrations of a read. Returns the revision from which to watch, or `None` to
    /// list all, and the time until then.
    async fn apply(
        &mut self,
        result: Result<RegisteredEntries, StoreError>,
    ) -> (Option<StoreRevision>, Duration) {
        match result {
            Ok(RegisteredEntries { revision, entries }) => {
                let pause = if entries.is_empty() { Duration::ZERO } else { READ_PAUSE };
                self.roster.merge(entries);
                for ended in self.roster.remove_ended(wall_clock()) {
                    log::info!(entry:% = ended.address; "registration of an entry ended");
                    if let Err(error) = self.registry.remove(ended).await {
                        log::warn!(entry:% = ended.address; "cannot remove a registration that ended: {error}");
                    }
                }
                (Some(revision), pause)
            }
            Err(StoreError::TooOld) => (None, RETRY_DELAY.first),
            Err(error) => {
                log::warn!("cannot read the registered entries, retrying: {error}");
                (None, RETRY_DELAY.longest)
            }
        }
    }

    /// Reports the number of entries if it has changed, or whether the share may be used.
    fn report(&mut self) {
        let Some(OwnRegistration { renewed, usable_from, usable_until }) = self.registered else {
            return;
        };
        let now = wall_clock();
        let entries = self.roster.count(now);
        // The clock of the entry stands still while its machine is suspended.
        let is_trusted = now < renewed + TRUST_TIME;
        let usable_until = if is_trusted { usable_until } else { Timestamp::default() };
        let evidence = FleetEvidence { entries, usable_from, usable_until };
        if self.reported != Some(evidence) {
            log::info!(entries; "registered entries changed");
            self.reported = Some(evidence);
            self.state.registered_entries.store(entries, Ordering::Relaxed);
            self.quota.set_fleet(evidence);
        }
    }
}

/// Returns the time of day, which registrations of all entries are compared by.
fn wall_clock() -> Timestamp {
    SystemClock::new().now()
}

/// Lists the registry, or watches it from `revision`, after `delay`.
fn read_registry(
    registry: Arc<dyn EntryRegistry>,
    revision: Option<StoreRevision>,
    delay: Duration,
) -> BoxFuture<'static, Result<RegisteredEntries, StoreError>> {
    Box::pin(async move {
        sleep(delay).await;
        match revision {
            Some(revision) => registry.watch(revision).await,
            None => registry.list(ReadConsistency::Current).await,
        }
    })
}
