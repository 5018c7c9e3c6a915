//! Entries of the system: who is alive, learnt from messages between entries and
//! the platform's lagging list of VMs.

mod table;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use strum::Display;
pub use table::{Heartbeat, MemberInfo};
use table::{Member, MemberTable};

use super::{EntryLocation, StateController};
use crate::clock::Timestamp;

/// Silence after which a member is suspect. At 200 entries a heartbeat takes a
/// few seconds through others.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(10);

/// Silence after which a member is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(30);

/// Time for which a gone member is remembered, so that late notes about it do
/// not bring it back.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Calls in a row without an answer after which a member counts as unreachable.
const MAX_FAILED_CALLS: u32 = 3;

/// Heartbeats of other members in one message: 8 of 16 bytes keep a message
/// small while fresh news still reaches everyone.
const HEARTBEATS_PER_MESSAGE: usize = 8;

/// Shortest time between two full member lists to peers; with 200 members of
/// about 60 bytes a list costs 12 KB.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// State of a member.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Heard lately by someone.
    Alive,
    /// Not heard for a while.
    Suspect,
    /// Silent for long, or replaced.
    Gone,
}

/// A member as others may use it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Name.
    pub name: String,
    /// Start time in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Address for messages between entries.
    pub address: SocketAddr,
    /// Address for calls between entries.
    pub call_address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// State.
    pub state: MemberState,
    /// Whether this entry's own calls are answered. A member can be alive and
    /// unreachable when one direction or one path is silent.
    pub reachable: bool,
}

impl MemberEntry {
    /// Gives what the settings controller needs to know.
    pub fn location(&self) -> EntryLocation {
        EntryLocation { name: self.name.clone(), region: self.region.clone() }
    }
}

/// One VM of the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmHint {
    /// Its IP address.
    pub address: IpAddr,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// What a message between entries says about members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberGossip {
    /// The sender.
    pub sender: Option<MemberInfo>,
    /// Digest of the sender's members that are not gone.
    pub digest: u64,
    /// Some members, by identity.
    pub heartbeats: Vec<Heartbeat>,
    /// All members, when digests differ.
    pub members: Vec<MemberInfo>,
}

/// What the membership controller is told.
#[derive(Clone, Debug)]
pub enum MembershipMessage {
    /// A message arrived.
    Received {
        /// The message.
        message: MemberGossip,
        /// Whether it answers a call of this entry.
        is_reply: bool,
    },
    /// A call to a member was not answered.
    CallFailed(String),
    /// The platform's list, which lags.
    VmList(Vec<VmHint>),
    /// Time passed.
    Tick,
}

/// What the membership controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// The members that are not gone changed, this entry included.
    Publish(Arc<[MemberEntry]>),
    /// Call entries at these IP addresses, which nobody has been heard from.
    Contact(Vec<IpAddr>),
}

/// Keeps the table of members.
#[derive(Debug)]
pub struct MembershipController {
    own: MemberInfo,
    table: MemberTable,
    published: Vec<MemberEntry>,
    last_full_list: Option<Timestamp>,
}

impl MembershipController {
    /// Creates a controller of an entry that describes itself as `own`.
    pub fn new(own: MemberInfo) -> Self {
        Self { own, table: MemberTable::default(), published: Vec::new(), last_full_list: None }
    }

    /// Gives this entry's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Builds the member part of a message. An answer adds all members if the
    /// digests differ, and the member that keeps the caller from being listed.
    pub fn message(&mut self, answered: Option<&MemberGossip>, now: Timestamp) -> MemberGossip {
        let digest = self.digest();
        let due = self.last_full_list.is_none_or(|last| now.since(last) >= FULL_LIST_INTERVAL);
        let full = due && answered.is_some_and(|theirs| theirs.digest != digest);
        if full {
            self.last_full_list = Some(now);
        }
        let mut members = if full { self.table.notes() } else { Vec::new() };
        let caller = answered.and_then(|message| message.sender.as_ref());
        members.extend(caller.and_then(|caller| self.table.overtaker(caller)).cloned());
        MemberGossip {
            sender: Some(MemberInfo { beat: now, ..self.own.clone() }),
            digest,
            heartbeats: self.table.heartbeats(HEARTBEATS_PER_MESSAGE),
            members,
        }
    }

    /// Gives the digest of members that are not gone, this entry included.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ self.own.identity()
    }

    fn receive(&mut self, message: &MemberGossip, answer: bool, now: Timestamp) {
        for note in message.sender.iter().chain(&message.members) {
            if note.name == self.own.name || note.address == self.own.address {
                // Others know a later start, perhaps of a predecessor whose clock
                // ran ahead. Without a higher incarnation this entry is ignored.
                if note.overtakes(&self.own) {
                    self.own.incarnation = note.incarnation + 1;
                }
                continue;
            }
            self.table.take_note(note, now);
        }
        for heartbeat in &message.heartbeats {
            self.table.take_heartbeat(heartbeat, now);
        }
        if let Some(sender) = message.sender.as_ref().filter(|_| answer) {
            self.table.note_answer(&sender.name);
        }
    }

    fn contacts(&self, hints: &[VmHint]) -> Vec<IpAddr> {
        let known =
            |address: IpAddr| address == self.own.address.ip() || self.table.holds_address(address);
        let live = hints.iter().filter(|hint| !hint.leaving);
        live.map(|hint| hint.address).filter(|address| !known(*address)).collect()
    }

    fn own_entry(&self) -> MemberEntry {
        entry_of(&self.own, MemberState::Alive, true)
    }

    fn publish(&mut self, now: Timestamp) -> Option<MembershipEffect> {
        self.table.age(now);
        let mut entries: Vec<_> = self.table.present().map(Member::entry).collect();
        entries.push(self.own_entry());
        entries.sort_by(|one, other| one.name.cmp(&other.name));
        if entries == self.published {
            return None;
        }
        self.published.clone_from(&entries);
        Some(MembershipEffect::Publish(entries.into()))
    }
}

fn entry_of(note: &MemberInfo, state: MemberState, reachable: bool) -> MemberEntry {
    MemberEntry {
        name: note.name.clone(),
        incarnation: note.incarnation,
        address: note.address,
        call_address: note.call_address,
        data_centre: note.data_centre.clone(),
        region: note.region.clone(),
        state,
        reachable,
    }
}

impl StateController for MembershipController {
    type Message = MembershipMessage;
    type Effect = MembershipEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        let mut effects = Vec::new();
        match message {
            MembershipMessage::Received { message, is_reply: answer } => {
                self.receive(&message, answer, now);
            }
            MembershipMessage::CallFailed(name) => self.table.note_failure(&name),
            MembershipMessage::VmList(hints) => {
                self.table.take_hints(&hints);
                let contacts = self.contacts(&hints);
                if !contacts.is_empty() {
                    effects.push(MembershipEffect::Contact(contacts));
                }
            }
            MembershipMessage::Tick => {}
        }
        effects.extend(self.publish(now));
        effects
    }
}
