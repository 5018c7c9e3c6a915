//! Datagrams between entries: which entries are live, the capacity and directory revisions of
//! each, recent crashes, and placement requests.

mod crash_records;
mod messages;

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    SignalsController, SignalsEffect, SignalsMessage, StateController, TargetsMessage,
};
use zinniaport_core::directory::{DirectoryPart, StoreRevision};
use zinniaport_core::placement::CoordinatorCandidate;
use zinniaport_core::policy::EntryView;
use zinniaport_core::quarantine::CrashRecord;
use zinniaport_core::retry::own_retry_tokens;
use zinniaport_core::signals::SignalMessage;

use crate::datagrams::MAX_DATAGRAM;
pub use crate::datagrams::{SignalDatagram, SignalSender, decode_datagram, encode_datagram};
use crate::gate::QuarantineGate;
use crate::locations::LocationsHandle;
use crate::placement::PlacementHandle;
use crate::quota::QuotaHandle;
use crate::runtime::StartError;
use crate::settings::SignalSettings;
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Time between ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Number of live entries up to which each message lists all of them, so that entries find each
/// other at once after a loss of power.
const SMALL_DEPLOYMENT: usize = 32;

/// Number of leaders: the live entries with the largest capacity, which watch the directory
/// without lag and announce changes to the others. With two, the loss of one has no effect.
const LEADER_COUNT: usize = 2;

/// Time after its start in which an entry that knows other seeds does not lead, since it may
/// not have heard of the entries that do. All entries of a large fleet may start at once, and
/// each would watch the platform until it has heard of two others.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Number of live entries behind the leaders that serve the directory in their place while no
/// leader reaches the platform, in a deployment of more than [`SMALL_DEPLOYMENT`] entries. If the
/// platform refuses a third of the entries, all six are refused once in 700 outages.
const SUBSTITUTE_COUNT: usize = 4;

/// Number of peers that are kept to take the directory from.
const MAX_HOLDERS: usize = 8;

/// Number of messages to an entry of another data centre of which one lists members, where bytes
/// between data centres are saved. The list is most of a message, and entries also learn of others
/// within their data centre.
const LISTING_PERIOD: u64 = 4;

/// Owns the signals controller and receives all datagrams from other entries.
pub struct SignalsDriver {
    state: Arc<SharedState>,
    targets: TargetsHandle,
    quarantine: Arc<QuarantineGate>,
    settings: SignalSettings,
    sender: SignalSender,
    placement: Option<PlacementHandle>,
    locations: Option<LocationsHandle>,
    quota: Option<QuotaHandle>,
    controller: SignalsController,
    /// Seeds of the settings, as of the last reload.
    seeds: watch::Sender<Vec<SocketAddr>>,
    /// Start time of this entry, in microseconds.
    incarnation: u64,
    /// Number of the last message.
    sequence: u64,
    /// Directory revisions as of the last check for changes.
    sent_revisions: [StoreRevision; DirectoryPart::COUNT],
    /// Capacity as of the last check for changes.
    sent_capacity: u16,
}

impl SignalsDriver {
    /// Opens the socket and creates the driver.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound to its address.
    pub async fn open(
        state: Arc<SharedState>,
        targets: TargetsHandle,
        quarantine: Arc<QuarantineGate>,
        settings: SignalSettings,
    ) -> Result<Self, StartError> {
        let address = settings.listen;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|source| StartError { address, source })?;
        let address = socket.local_addr().unwrap_or(address);
        let controller = SignalsController::new(address, settings.seeds.iter().copied());
        let (incarnation, seeds) = (state.clock.now().0, settings.seeds.clone());
        let sender = SignalSender::new(Arc::new(socket), address, state.clone());
        Ok(Self {
            state,
            targets,
            quarantine,
            settings,
            sender,
            placement: None,
            locations: None,
            quota: None,
            controller,
            seeds: watch::Sender::new(seeds),
            incarnation,
            sequence: 0,
            sent_revisions: Default::default(),
            sent_capacity: 0,
        })
    }

    /// Returns the address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.sender.address()
    }

    /// Returns a sender that uses the socket.
    pub fn sender(&self) -> SignalSender {
        self.sender.clone()
    }

    /// Returns a handle that changes the seeds.
    pub fn seeds(&self) -> watch::Sender<Vec<SocketAddr>> {
        self.seeds.clone()
    }

    /// Sets the handle to which received placement messages and the list of entries that may
    /// coordinate are passed.
    pub fn set_placement(&mut self, placement: PlacementHandle) {
        self.placement = Some(placement);
    }

    /// Sets the handle to which the live entries and what they say of their location are passed.
    pub fn set_locations(&mut self, locations: LocationsHandle) {
        self.locations = Some(locations);
    }

    /// Sets the handle to which messages about the limits of tenants and the live entries are
    /// passed.
    pub fn set_quota(&mut self, quota: QuotaHandle) {
        self.quota = Some(quota);
    }

    /// Exchanges signals until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let (state, socket) = (self.state.clone(), self.sender.socket());
        let quarantine = self.quarantine.clone();
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut datagram = vec![0; MAX_DATAGRAM];
        let mut seeds = self.seeds.subscribe();
        let entry_count = self.controller.entry_count();
        state.revisions.set_settled(entry_count == 1);
        self.update_peers(&[], entry_count);
        let settle = sleep(SETTLE_TIME);
        tokio::pin!(settle);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                received = socket.recv_from(&mut datagram) => match received {
                    Ok((length, from)) => self.receive(from, &datagram[..length]),
                    Err(error) => log::debug!("cannot receive datagram: {error}"),
                },
                Ok(()) = seeds.changed() => {
                    let seeds = seeds.borrow_and_update().clone();
                    self.step(SignalsMessage::SeedsChanged(seeds));
                }
                () = state.signal_due.notified() => self.send_changes(),
                () = quarantine.crash_recorded.notified() => {
                    self.step(SignalsMessage::CrashRecorded);
                }
                _ = ticks.tick() => self.step(SignalsMessage::Tick),
                () = &mut settle, if !state.revisions.is_settled() => {
                    state.revisions.set_settled(true);
                    self.update_candidates(self.controller.live_peers());
                }
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        match (decode_datagram(bytes), &self.placement) {
            (Ok(SignalDatagram::Signal(message)), _) => {
                let records: Vec<_> = message.crashes.iter().map(CrashRecord::from).collect();
                self.quarantine.merge(&records);
                self.step(SignalsMessage::Received(from, message));
            }
            (Ok(SignalDatagram::Crashes(records)), _) => {
                self.receive_records(from, &records);
            }
            (Ok(SignalDatagram::Placement(message)), Some(placement)) => {
                placement.receive(from, message);
            }
            (Ok(SignalDatagram::Headroom(message)), Some(placement)) => {
                placement.receive_headroom(message);
            }
            (Ok(SignalDatagram::Placement(_) | SignalDatagram::Headroom(_)), None) => {}
            (Ok(SignalDatagram::Location(message)), _) => {
                self.locations.iter().for_each(|driver| driver.receive(from, message.clone()));
            }
            (Ok(SignalDatagram::Revisions(message)), _) => {
                self.step(SignalsMessage::ReceivedRevisions(message.into()));
            }
            (Ok(SignalDatagram::Quota(message)), _) => {
                self.quota.iter().for_each(|driver| driver.receive(from, message.clone()));
            }
            (Err(error), _) => log::debug!("cannot decode datagram from {from}: {error}"),
        }
    }

    fn step(&mut self, message: SignalsMessage) {
        let effects = self.controller.handle(message, self.state.clock.now());
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: SignalsEffect) {
        match effect {
            SignalsEffect::Revisions(revisions) => self.state.revisions.observe_peer(revisions),
            SignalsEffect::Send(addresses) => {
                let message = self.next_message();
                let records = self.crash_report().records(self.sequence);
                self.send(message, &records, &addresses);
            }
            SignalsEffect::Announce(addresses) => {
                let message = self.next_message();
                let records = self.crash_report().records(self.sequence);
                if self.is_divided() {
                    self.spread_records(&records, &addresses);
                } else {
                    self.send(message, &records, &addresses);
                }
            }
            SignalsEffect::SendFirst(address) => {
                // Complete, since the entry may know no others yet.
                let message = self.next_message();
                self.sender.send(&SignalDatagram::Signal(message), &[address]);
                self.send_revisions(&[address]);
                self.send_records(&self.crash_report().first_records(), &[address]);
            }
            SignalsEffect::PeersChanged(peers, entry_count) => {
                log::info!(heard = peers.len(), entries = entry_count; "live entries changed");
                self.update_peers(&peers, entry_count);
            }
        }
    }

    /// Sends a message at once if the capacity of this entry or, on a leader, the directory has
    /// changed.
    fn send_changes(&mut self) {
        let capacity = self.capacity();
        if capacity != std::mem::replace(&mut self.sent_capacity, capacity) {
            let peers = self.controller.live_peers().to_vec();
            self.update_candidates(&peers);
            return self.send_to_all();
        }
        let revisions = self.state.revisions.local();
        let newer = revisions != std::mem::replace(&mut self.sent_revisions, revisions);
        if newer && self.state.revisions.is_leader() {
            self.send_to_all();
        }
    }

    /// Sends a message to all live entries.
    fn send_to_all(&mut self) {
        let message = self.next_message();
        let records = self.crash_report().records(self.sequence);
        let peers = self.controller.live_peers().iter().map(|peer| peer.address);
        self.send(message, &records, &peers.collect::<Vec<_>>());
    }

    /// Sends a message and, in datagrams of their own, the crash records if there are any.
    fn send(&self, message: SignalMessage, records: &[CrashRecord], addresses: &[SocketAddr]) {
        let (near, far) = self.by_distance(message.sequence, addresses);
        self.sender.send(&SignalDatagram::Signal(message.clone()), &near);
        let short = SignalMessage { members: Vec::new(), ..message };
        self.sender.send(&SignalDatagram::Signal(short), &far);
        self.send_revisions(addresses);
        self.spread_records(records, addresses);
    }

    /// Returns `true` while services are divided by data centre, since data centres are far apart.
    fn is_divided(&self) -> bool {
        self.state.data_centre_round_trip_us.load(Ordering::Relaxed) > 0
    }

    /// Divides entries into those that get a complete message and those in other data centres that
    /// get one without members this time. While services are not divided by data centre, or as long
    /// as an entry has not said where it is, its messages are complete.
    fn by_distance(
        &self,
        sequence: u64,
        addresses: &[SocketAddr],
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let is_short = self.is_divided() && !sequence.is_multiple_of(LISTING_PERIOD);
        addresses.iter().partition(|address| !is_short || !self.state.is_elsewhere(**address))
    }

    /// Returns the capacity that this entry announces, or 0 if it may not coordinate.
    fn capacity(&self) -> u16 {
        let may_coordinate = self.state.may_coordinate.load(Ordering::Acquire);
        if may_coordinate { self.settings.capacity() } else { 0 }
    }

    /// Publishes the live peers, the number of entries and the retry tokens of this entry, one of
    /// `entry_count`.
    fn update_peers(&self, peers: &[CoordinatorCandidate], entry_count: usize) {
        let addresses = peers.iter().map(|peer| peer.address.to_string().into());
        let own = self.state.entry_name.clone();
        let view = EntryView {
            name: own.clone(),
            data_centre: self.state.data_centre.clone(),
            members: addresses.chain([own]).collect(),
            is_coordinated: self.placement.is_some(),
        };
        self.targets.send(TargetsMessage::View(view));
        self.state.heard_entries.store(entry_count, Ordering::Relaxed);
        let entry_count = self.state.entry_count();
        self.update_candidates(peers);
        let retry_tokens = own_retry_tokens(self.settings.saved_retries, peers.len(), entry_count);
        self.state.max_saved_retries.store(retry_tokens, Ordering::Relaxed);
    }

    /// Sets the leaders and the entries that may coordinate, from the live peers and this entry.
    fn update_candidates(&self, peers: &[CoordinatorCandidate]) {
        let own = CoordinatorCandidate { address: self.address(), capacity: self.capacity() };
        // The larger capacity ranks higher; of equal ones, the lower address.
        let mut ranked = peers.to_vec();
        ranked.sort_by_key(|peer| (Reverse(peer.capacity), peer.address));
        let holders = ranked.iter().filter(|peer| peer.capacity > 0);
        let holders = holders.map(|peer| peer.address).take(MAX_HOLDERS);
        self.state.revisions.set_holders(holders.collect());
        let ranks_higher = |peer: &CoordinatorCandidate| {
            (peer.capacity, own.address) > (own.capacity, peer.address)
        };
        let higher = ranked.iter().filter(|peer| ranks_higher(peer)).map(|peer| peer.address);
        let mut leaders: Vec<_> = higher.take(LEADER_COUNT + SUBSTITUTE_COUNT).collect();
        let mut substitutes = leaders.split_off(leaders.len().min(LEADER_COUNT));
        if ranked.len() <= SMALL_DEPLOYMENT {
            substitutes.clear();
        }
        self.state.revisions.set_substitutes(substitutes);
        let is_leader = leaders.len() < LEADER_COUNT && self.state.revisions.is_settled();
        self.state.revisions.set_leaders(leaders, is_leader);
        let candidates: Vec<_> = peers.iter().copied().chain([own]).collect();
        if let Some(quota) = &self.quota {
            let entry_count = self.state.heard_entries.load(Ordering::Relaxed);
            quota.set_peers(candidates.clone(), entry_count);
        }
        if let Some(placement) = &self.placement {
            placement.set_candidates(candidates);
        }
        if let Some(locations) = &self.locations {
            locations.set_live(peers.iter().map(|peer| peer.address).collect());
        }
    }
}
