//! Rounds of messages with other entries, and the members known from them.

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
    ConfigMessage, MemberEntry, MemberInfo, MemberState, MembershipController, MembershipEffect,
    MembershipMessage, SettingsMessage, StateController, TargetsMessage, VersionedIntent, VmHint,
    VmReport, choose_watchers,
};
use zinniaport_core::policy::EntryView;

use super::{GossipHandler, GossipMessage, GossipTransport};
use crate::propagation::{IntentAnnouncer, PeerReply, PropagationHandle};
use crate::targets::TargetsHandle;

/// Time between rounds; each makes one call.
const ROUND: Duration = Duration::from_secs(1);

/// Every this many rounds a call goes to a suspect, unreachable or seed entry, so
/// that a healed partition is noticed.
const REPAIR_ROUNDS: u32 = 5;

/// Members that a changed intent is sent to at once by each entry that learns it.
const ANNOUNCE_TO: usize = 2;

/// Messages in one exchange: summaries, versions and intents.
const MAX_MESSAGES: usize = 4;

/// Announcements that may be under way; more wait for the next rounds.
const MAX_ANNOUNCEMENTS: usize = 32;

/// Quarantined fingerprints, shared by all entries.
pub trait QuarantineExchange: Send + Sync {
    /// Lists the fingerprints that this entry holds.
    fn local_state(&self) -> Vec<Vec<u8>>;

    /// Takes the fingerprints that a peer holds.
    fn merge_remote(&self, fingerprints: Vec<Vec<u8>>);
}

/// Leaving VMs, shared by all entries.
pub trait VmExchange: Send + Sync {
    /// Describes the leaving VMs that this entry knows.
    fn local_state(&self) -> VmReport;

    /// Takes what a peer told, as made at the time `made` of this entry's clock.
    fn merge_remote(&self, note: &VmReport, made: Timestamp);
}

/// What a group of peers needs.
pub struct PeerParts {
    /// This entry.
    pub own: MemberInfo,
    /// Addresses for messages of some entries to start with.
    pub seeds: Vec<SocketAddr>,
    /// Clock of the entry.
    pub clock: Arc<dyn ClockSource>,
    /// Takes the members.
    pub targets: TargetsHandle,
    /// Quarantined fingerprints.
    pub quarantine: Arc<dyn QuarantineExchange>,
    /// Leaving VMs.
    pub vms: Arc<dyn VmExchange>,
}

/// The other entries, kept up to date by messages.
pub struct PeerGroup {
    own: MemberInfo,
    seeds: Vec<SocketAddr>,
    clock: Arc<dyn ClockSource>,
    targets: TargetsHandle,
    quarantine: Arc<dyn QuarantineExchange>,
    vms: Arc<dyn VmExchange>,
    // Held for one step of the controller, never across an await point and never
    // on the path of a request, which reads `members`.
    controller: Mutex<MembershipController>,
    members: ArcSwap<Vec<MemberEntry>>,
    contacts: Mutex<Vec<SocketAddr>>,
    propagation: std::sync::OnceLock<PropagationHandle>,
    announcements: mpsc::Sender<VersionedIntent>,
}

impl PeerGroup {
    /// Creates a group. The receiver goes to [`PeerGroup::run`].
    pub fn new(parts: PeerParts) -> (Arc<Self>, mpsc::Receiver<VersionedIntent>) {
        let (announcements, waiting) = mpsc::channel(MAX_ANNOUNCEMENTS);
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
        (Arc::new(group), waiting)
    }

    /// Connects the group to the intents in force.
    pub fn set_propagation(&self, propagation: PropagationHandle) {
        let _ = self.propagation.set(propagation);
    }

    /// Gives the members that are not gone, this entry among them, by name.
    pub fn members(&self) -> Arc<Vec<MemberEntry>> {
        self.members.load_full()
    }

    /// Takes the platform's list of VMs.
    pub async fn update_vm_hints(&self, hints: Vec<VmHint>) {
        self.tell(MembershipMessage::VmList(hints)).await;
    }

    /// Makes rounds until `stop` is cancelled.
    pub async fn run(
        self: Arc<Self>,
        transport: Arc<dyn GossipTransport>,
        mut waiting: mpsc::Receiver<VersionedIntent>,
        stop: CancellationToken,
    ) {
        let mut number = 0_u32;
        let slots = Arc::new(Semaphore::new(MAX_ANNOUNCEMENTS));
        let mut due = tokio::time::Instant::now();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Some(intent) = waiting.recv() => {
                    for address in self.announce_targets() {
                        let Ok(slot) = slots.clone().try_acquire_owned() else { break };
                        let (group, transport) = (self.clone(), transport.clone());
                        let intents = vec![intent.clone()];
                        tokio::spawn(async move {
                            group.exchange(transport.as_ref(), address, intents).await;
                            drop(slot);
                        });
                    }
                }
                () = tokio::time::sleep_until(due) => {
                    due += ROUND.mul_f64(rand::random_range(0.8..1.2));
                    due = due.max(tokio::time::Instant::now());
                    number = number.wrapping_add(1);
                    self.tell(MembershipMessage::Tick).await;
                    for address in self.round_targets(number) {
                        let (group, transport) = (self.clone(), transport.clone());
                        tokio::spawn(async move {
                            group.exchange(transport.as_ref(), address, Vec::new()).await;
                        });
                    }
                }
            }
        }
    }

    /// Exchanges messages with one entry until both hold the same intents.
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
                        self.tell(MembershipMessage::CallFailed(member.name)).await;
                    }
                    return;
                }
            };
            let peer = reply.members.sender.as_ref().map(|sender| sender.name.clone());
            let message = reply.members.clone();
            self.tell(MembershipMessage::Received { message, is_reply: true }).await;
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

    fn message(&self, answered: Option<&GossipMessage>, config: ConfigMessage) -> GossipMessage {
        let answered = answered.map(|message| &message.members);
        let members = self.lock().message(answered, self.clock.now());
        let (quarantined, vms) = (self.quarantine.local_state(), self.vms.local_state());
        GossipMessage { members, config, quarantined, vms }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MembershipController> {
        self.controller.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn tell(&self, message: MembershipMessage) {
        let effects = self.lock().handle(message, self.clock.now());
        for effect in effects {
            match effect {
                MembershipEffect::Publish(members) => {
                    self.targets.send(TargetsMessage::View(self.view(&members)));
                    let places = members.iter().map(MemberEntry::location).collect();
                    self.members.store(Arc::new(members.to_vec()));
                    if let Some(propagation) = self.propagation.get() {
                        propagation.tell(SettingsMessage::Members(places)).await;
                    }
                }
                MembershipEffect::Contact(addresses) => self.note_contacts(&addresses),
            }
        }
    }

    /// Gives the members that home slots are shared among. A suspect keeps its
    /// share until it is gone, so that a short silence moves no slots.
    fn view(&self, members: &[MemberEntry]) -> EntryView {
        EntryView {
            name: self.own.name.as_str().into(),
            data_centre: self.own.data_centre.as_str().into(),
            members: members.iter().map(|member| member.name.as_str().into()).collect(),
            is_coordinated: false,
        }
    }

    /// Entries of one system use the same port for messages.
    fn note_contacts(&self, addresses: &[IpAddr]) {
        let port = self.own.address.port();
        let contacts = addresses.iter().map(|address| SocketAddr::new(*address, port)).collect();
        *self.contacts.lock().unwrap_or_else(PoisonError::into_inner) = contacts;
    }

    /// Picks whom to call: watchers of the region and others in turn, and now and
    /// then an entry that does not answer.
    fn round_targets(&self, number: u32) -> Vec<SocketAddr> {
        let members = self.members();
        let others: Vec<_> = members.iter().filter(|m| m.name != self.own.name).collect();
        let (good, bad): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|m| m.reachable && m.state == MemberState::Alive);
        let mut random = rand::rng();
        let mut targets = Vec::new();
        if number.is_multiple_of(2) {
            let places: Vec<_> = members.iter().map(MemberEntry::location).collect();
            let watchers = choose_watchers(&places, &self.own.region);
            let near: Vec<_> =
                good.iter().filter(|m| watchers.contains(&m.name.as_str())).collect();
            targets.extend(near.choose(&mut random).map(|member| member.address));
        }
        if targets.is_empty() {
            targets.extend(good.choose(&mut random).map(|member| member.address));
        }
        if targets.is_empty() || number.is_multiple_of(REPAIR_ROUNDS) {
            let contacts = self.contacts.lock().unwrap_or_else(PoisonError::into_inner);
            let repair = bad.iter().map(|m| m.address).chain(self.seeds.iter().copied());
            let repair: Vec<_> = repair
                .chain(contacts.iter().copied())
                .filter(|address| *address != self.own.address)
                .collect();
            targets.extend(repair.choose(&mut random));
        }
        targets
    }

    fn announce_targets(&self) -> Vec<SocketAddr> {
        let members = self.members();
        let good = members.iter().filter(|m| m.name != self.own.name && m.reachable);
        let good: Vec<_> = good.map(|member| member.address).collect();
        good.choose_multiple(&mut rand::rng(), ANNOUNCE_TO).copied().collect()
    }
}

/// Answers other entries from the group.
pub struct GroupHandler(pub Arc<PeerGroup>);

impl GossipHandler for GroupHandler {
    fn answer(&self, message: GossipMessage) -> BoxFuture<'static, Option<GossipMessage>> {
        let group = self.0.clone();
        Box::pin(async move {
            let received = message.members.clone();
            group.tell(MembershipMessage::Received { message: received, is_reply: false }).await;
            group.quarantine.merge_remote(message.quarantined.clone());
            group.vms.merge_remote(&message.vms, group.clock.now());
            let propagation = group.propagation.get()?;
            let config = propagation.answer(message.config.clone()).await?;
            Some(group.message(Some(&message), config))
        })
    }
}

impl IntentAnnouncer for PeerGroup {
    fn announce(&self, intent: &VersionedIntent) {
        // A full queue loses nothing: the next rounds compare digests.
        let _ = self.announcements.try_send(intent.clone());
    }
}
