//! Gossip rounds with other entries, and the members known from them.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::future::BoxFuture;
use rand::seq::IndexedRandom;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use zinniaport_core::clock::{ClockSource, Timestamp};
use zinniaport_core::controllers::{
    ConfigMessage, IntentsMessage, MemberEntry, MemberInfo, MemberState, MembershipController,
    MembershipEffect, MembershipMessage, StateController, TargetsMessage, VersionedIntent, VmHint,
    VmReport, choose_watchers,
};
use zinniaport_core::policy::EntryView;

use super::{GossipHandler, GossipMessage, GossipTransport};
use crate::propagation::{IntentAnnouncer, PeerReply, PropagationHandle};
use crate::targets::TargetsHandle;

/// Mean time between gossip rounds. Most rounds make one call.
const ROUND_PERIOD: Duration = Duration::from_secs(1);

/// Rounds after which a call also goes to a suspect, unreachable or seed entry, so that
/// the end of a network partition is noticed.
const REPAIR_ROUNDS: u32 = 5;

/// Members that each entry forwards a newly learned intent to at once.
const ANNOUNCE_TO: usize = 2;

/// Most messages that an entry sends in one exchange. At most three are needed: a summary,
/// the versions and the requested intents.
const MAX_MESSAGES: usize = 4;

/// Announcements that may wait, and exchanges for announcements that may be in progress;
/// further ones are left to the next rounds.
const MAX_ANNOUNCEMENTS: usize = 32;

/// Quarantine state that gossip exchanges.
pub trait QuarantineExchange: Send + Sync {
    /// Returns this entry's crash records, each as JSON.
    fn local_state(&self) -> Vec<Vec<u8>>;

    /// Merges the crash records of a peer.
    fn merge_remote(&self, records: Vec<Vec<u8>>);
}

/// Leaving VMs that gossip exchanges.
pub trait VmExchange: Send + Sync {
    /// Returns the leaving VMs that this entry knows.
    fn local_state(&self) -> VmReport;

    /// Merges a report whose ages are relative to `created_at` on this entry's clock.
    fn merge_remote(&self, report: &VmReport, created_at: Timestamp);
}

/// Dependencies of a [`PeerGroup`].
pub struct PeerParts {
    /// This entry.
    pub own: MemberInfo,
    /// Gossip addresses of some entries, to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Clock of the entry.
    pub clock: Arc<dyn ClockSource>,
    /// Receives the members.
    pub targets: TargetsHandle,
    /// Quarantine state of this entry.
    pub quarantine: Arc<dyn QuarantineExchange>,
    /// Leaving VMs that this entry knows.
    pub vms: Arc<dyn VmExchange>,
}

/// The known entries, kept up to date by gossip.
pub struct PeerGroup {
    own: MemberInfo,
    seeds: Vec<SocketAddr>,
    clock: Arc<dyn ClockSource>,
    targets: TargetsHandle,
    quarantine: Arc<dyn QuarantineExchange>,
    vms: Arc<dyn VmExchange>,
    // Locked for one step of the controller, never across an await point and never on
    // the request path, which reads `members`.
    controller: Mutex<MembershipController>,
    members: ArcSwap<Vec<MemberEntry>>,
    /// Gossip addresses of VMs in the platform's list from which no entry has received a
    /// message.
    contacts: Mutex<Vec<SocketAddr>>,
    propagation: std::sync::OnceLock<PropagationHandle>,
    announcements: mpsc::Sender<VersionedIntent>,
}

impl PeerGroup {
    /// Creates a group. The receiver is the input of [`PeerGroup::run`].
    pub fn new(parts: PeerParts) -> (Arc<Self>, mpsc::Receiver<VersionedIntent>) {
        let (announcements, announced) = mpsc::channel(MAX_ANNOUNCEMENTS);
        let group = Self {
            controller: Mutex::new(MembershipController::new(parts.own.clone())),
            own: parts.own,
            seeds: parts.seeds,
            clock: parts.clock,
            targets: parts.targets,
            quarantine: parts.quarantine,
            vms: parts.vms,
            members: ArcSwap::default(),
            contacts: Mutex::default(),
            propagation: std::sync::OnceLock::new(),
            announcements,
        };
        (Arc::new(group), announced)
    }

    /// Sets the handle to the intents in force. Until then, exchanges do nothing.
    pub fn set_propagation(&self, propagation: PropagationHandle) {
        let _ = self.propagation.set(propagation);
    }

    /// Returns the members that are not gone, including this entry, ordered by name.
    pub fn members(&self) -> Arc<Vec<MemberEntry>> {
        self.members.load_full()
    }

    /// Passes the platform's list of VMs to the membership controller.
    pub async fn update_vm_hints(&self, hints: Vec<VmHint>) {
        self.handle_message(MembershipMessage::VmList(hints)).await;
    }

    /// Runs gossip rounds and forwards announcements until `stop` is cancelled.
    pub async fn run(
        self: Arc<Self>,
        transport: Arc<dyn GossipTransport>,
        mut announced: mpsc::Receiver<VersionedIntent>,
        stop: CancellationToken,
    ) {
        let mut number = 0_u32;
        let permits = Arc::new(Semaphore::new(MAX_ANNOUNCEMENTS));
        let mut due = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(intent) = announced.recv() => {
                    for address in self.announcement_addresses() {
                        let Ok(permit) = permits.clone().try_acquire_owned() else { break };
                        let (group, transport) = (self.clone(), transport.clone());
                        let intents = vec![intent.clone()];
                        tokio::spawn(async move {
                            group.exchange(transport.as_ref(), address, intents).await;
                            drop(permit);
                        });
                    }
                }
                () = tokio::time::sleep_until(due) => {
                    due += ROUND_PERIOD.mul_f64(rand::random_range(0.8..1.2));
                    due = due.max(tokio::time::Instant::now());
                    number = number.wrapping_add(1);
                    self.handle_message(MembershipMessage::Tick).await;
                    for address in self.round_addresses(number) {
                        let (group, transport) = (self.clone(), transport.clone());
                        tokio::spawn(async move {
                            group.exchange(transport.as_ref(), address, Vec::new()).await;
                        });
                    }
                }
            }
        }
    }

    /// Exchanges messages with one entry until both have the same intents.
    async fn exchange(
        &self,
        transport: &dyn GossipTransport,
        address: SocketAddr,
        intents: Vec<VersionedIntent>,
    ) {
        let Some(propagation) = self.propagation.get() else { return };
        let Some(mut config) = propagation.open_exchange().await else { return };
        config.intents = intents;
        for _ in 0..MAX_MESSAGES {
            let message = self.message(None, config.clone());
            let sent = self.clock.now();
            let reply = match transport.call(address, message).await {
                Ok(reply) => reply,
                Err(error) => {
                    log::debug!("{error}");
                    let member = self.members().iter().find(|m| m.address == address).cloned();
                    if let Some(member) = member {
                        self.handle_message(MembershipMessage::CallFailed(member.name)).await;
                    }
                    return;
                }
            };
            let peer = reply.members.sender.as_ref().map(|sender| sender.name.clone());
            let message = reply.members.clone();
            self.handle_message(MembershipMessage::Received { message, is_reply: true }).await;
            self.quarantine.merge_remote(reply.quarantined);
            self.vms.merge_remote(&reply.vms, sent);
            let Some(peer) = peer.filter(|peer| *peer != self.own.name) else { return };
            let reply = PeerReply { peer, sent, request: config, reply: reply.config };
            match propagation.continue_exchange(reply).await {
                Some(next) => config = next,
                None => return,
            }
        }
    }

    fn message(&self, request: Option<&GossipMessage>, config: ConfigMessage) -> GossipMessage {
        let request = request.map(|message| &message.members);
        let members = self.lock_controller().message(request, self.clock.now());
        let (quarantined, vms) = (self.quarantine.local_state(), self.vms.local_state());
        GossipMessage { members, config, quarantined, vms }
    }

    fn lock_controller(&self) -> std::sync::MutexGuard<'_, MembershipController> {
        self.controller.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_message(&self, message: MembershipMessage) {
        let effects = self.lock_controller().handle(message, self.clock.now());
        for effect in effects {
            match effect {
                MembershipEffect::Publish(members) => {
                    self.targets.send(TargetsMessage::View(self.view(&members)));
                    let locations = members.iter().map(MemberEntry::location).collect();
                    self.members.store(Arc::new(members.to_vec()));
                    if let Some(propagation) = self.propagation.get() {
                        propagation.send(IntentsMessage::Members(locations)).await;
                    }
                }
                MembershipEffect::Contact(addresses) => self.store_contacts(&addresses),
            }
        }
    }

    /// Returns the members that home slots are divided among. A suspect member keeps its
    /// share until it is gone, so that a short silence moves no slots.
    fn view(&self, members: &[MemberEntry]) -> EntryView {
        EntryView {
            name: self.own.name.as_str().into(),
            data_centre: self.own.data_centre.as_str().into(),
            members: members.iter().map(|member| member.name.as_str().into()).collect(),
            is_coordinated: false,
        }
    }

    /// Stores addresses to contact. All entries use the same port for gossip.
    fn store_contacts(&self, addresses: &[IpAddr]) {
        let port = self.own.address.port();
        let contacts = addresses.iter().map(|address| SocketAddr::new(*address, port)).collect();
        *self.contacts.lock().unwrap_or_else(PoisonError::into_inner) = contacts;
    }

    /// Picks the addresses to call: alternately a watcher of the region and any live member,
    /// and every `REPAIR_ROUNDS` an entry that does not respond.
    fn round_addresses(&self, number: u32) -> Vec<SocketAddr> {
        let members = self.members();
        let others: Vec<_> = members.iter().filter(|m| m.name != self.own.name).collect();
        let (live, failing): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|m| m.reachable && m.state == MemberState::Alive);
        let mut random = rand::rng();
        let mut addresses = Vec::new();
        if number.is_multiple_of(2) {
            let locations: Vec<_> = members.iter().map(MemberEntry::location).collect();
            let watchers = choose_watchers(&locations, &self.own.region);
            let region_watchers: Vec<_> =
                live.iter().filter(|m| watchers.contains(&m.name.as_str())).collect();
            addresses.extend(region_watchers.choose(&mut random).map(|member| member.address));
        }
        if addresses.is_empty() {
            addresses.extend(live.choose(&mut random).map(|member| member.address));
        }
        if addresses.is_empty() || number.is_multiple_of(REPAIR_ROUNDS) {
            let contacts = self.contacts.lock().unwrap_or_else(PoisonError::into_inner);
            let candidates = failing.iter().map(|m| m.address).chain(self.seeds.iter().copied());
            let candidates: Vec<_> = candidates
                .chain(contacts.iter().copied())
                .filter(|address| *address != self.own.address)
                .collect();
            addresses.extend(candidates.choose(&mut random));
        }
        addresses
    }

    fn announcement_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let reachable = members.iter().filter(|m| m.name != self.own.name && m.reachable);
        let reachable: Vec<_> = reachable.map(|member| member.address).collect();
        reachable.choose_multiple(&mut rand::rng(), ANNOUNCE_TO).copied().collect()
    }
}

/// Handles gossip messages with a [`PeerGroup`].
pub struct GroupHandler(pub Arc<PeerGroup>);

impl GossipHandler for GroupHandler {
    fn respond(&self, message: GossipMessage) -> BoxFuture<'static, Option<GossipMessage>> {
        let group = self.0.clone();
        Box::pin(async move {
            let received = message.members.clone();
            group
                .handle_message(MembershipMessage::Received { message: received, is_reply: false })
                .await;
            group.quarantine.merge_remote(message.quarantined.clone());
            group.vms.merge_remote(&message.vms, group.clock.now());
            let propagation = group.propagation.get()?;
            let config = propagation.respond(message.config.clone()).await?;
            Some(group.message(Some(&message), config))
        })
    }
}

impl IntentAnnouncer for PeerGroup {
    fn announce(&self, intent: &VersionedIntent) {
        // Dropping it when the queue is full is safe: the next rounds compare digests.
        let _ = self.announcements.try_send(intent.clone());
    }
}
