//! Tracks which entries are alive, from messages between entries and the platform's list of
//! VMs, which lags.

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

/// Time without a new heartbeat after which a member is suspect. With 200 entries a
/// heartbeat takes a few seconds to arrive through other entries.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(10);

/// Time without a new heartbeat after which a member is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(30);

/// Time for which a gone member is remembered, so that late messages about it do not bring
/// it back.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Consecutive calls without a response after which a member counts as unreachable.
const MAX_FAILED_CALLS: u32 = 3;

/// Heartbeats of other members in one message. Eight heartbeats of 16 bytes keep a message
/// small while recent heartbeats still reach every entry.
const HEARTBEATS_PER_MESSAGE: usize = 8;

/// Shortest time between two full member lists to peers. With 200 members of about 60 bytes
/// a list takes 12 KB.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(5);

/// State of a member.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Some entry received a recent heartbeat.
    Alive,
    /// No heartbeat for [`SUSPECT_AFTER`].
    Suspect,
    /// No heartbeat for [`GONE_AFTER`], or replaced by a later incarnation.
    Gone,
}

/// Published state of a member.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Name of the entry.
    pub name: String,
    /// Start time in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Address for messages between entries.
    pub address: SocketAddr,
    /// Address for calls between entries.
    pub call_address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Region that it is in.
    pub region: String,
    /// State of the member.
    pub state: MemberState,
    /// Whether the member responds to this entry's own calls. A member can be alive and
    /// unreachable if one direction or one network path is down.
    pub reachable: bool,
}

impl MemberEntry {
    /// Returns the name and region, which the controller of the intents needs.
    pub fn location(&self) -> EntryLocation {
        EntryLocation { name: self.name.clone(), region: self.region.clone() }
    }
}

/// One VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmHint {
    /// Its IP address.
    pub address: IpAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The part of a gossip message that describes members.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberGossip {
    /// The sender.
    pub sender: Option<MemberInfo>,
    /// Digest of the sender's members that are not gone.
    pub digest: u64,
    /// Heartbeats of some members, by identity.
    pub heartbeats: Vec<Heartbeat>,
    /// All members, if the digests differ.
    pub members: Vec<MemberInfo>,
}

/// Messages that the membership controller handles.
#[derive(Clone, Debug)]
pub enum MembershipMessage {
    /// A gossip message arrived.
    Received {
        /// The message.
        message: MemberGossip,
        /// Whether it is the response to a call of this entry.
        is_reply: bool,
    },
    /// A call to the member with this name got no response.
    CallFailed(String),
    /// The platform's list of VMs, which lags.
    VmList(Vec<VmHint>),
    /// Time passed.
    Tick,
}

/// Effects that the membership controller requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// The set or state of the members that are not gone changed. Includes this entry.
    Publish(Arc<[MemberEntry]>),
    /// Call the VMs at these IP addresses, from which no entry has received a message.
    Contact(Vec<IpAddr>),
}

/// Owns the table of members.
#[derive(Debug)]
pub struct MembershipController {
    own: MemberInfo,
    table: MemberTable,
    published: Vec<MemberEntry>,
    last_full_list: Option<Timestamp>,
}

impl MembershipController {
    /// Creates the controller of the entry that `own` describes.
    pub fn new(own: MemberInfo) -> Self {
        Self { own, table: MemberTable::default(), published: Vec::new(), last_full_list: None }
    }

    /// Returns this entry's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Builds the member part of a message, which is a response if `request` is given. A
    /// response adds all members if the digests differ, and the member that supersedes the
    /// sender if there is one, since that keeps the sender out of the list.
    pub fn message(&mut self, request: Option<&MemberGossip>, now: Timestamp) -> MemberGossip {
        let digest = self.digest();
        let due = self.last_full_list.is_none_or(|last| now.since(last) >= FULL_LIST_INTERVAL);
        let full = due && request.is_some_and(|theirs| theirs.digest != digest);
        if full {
            self.last_full_list = Some(now);
        }
        let mut members = if full { self.table.alive() } else { Vec::new() };
        let sender = request.and_then(|request| request.sender.as_ref());
        members.extend(sender.and_then(|sender| self.table.superseding(sender)).cloned());
        MemberGossip {
            sender: Some(MemberInfo { beat: now, ..self.own.clone() }),
            digest,
            heartbeats: self.table.heartbeats(HEARTBEATS_PER_MESSAGE),
            members,
        }
    }

    /// Returns the digest of the members that are not gone, including this entry.
    pub fn digest(&self) -> u64 {
        self.table.digest() ^ self.own.identity()
    }

    fn receive(&mut self, message: &MemberGossip, is_reply: bool, now: Timestamp) {
        for info in message.sender.iter().chain(&message.members) {
            if info.name == self.own.name || info.address == self.own.address {
                // Others know a later incarnation, perhaps of a predecessor whose clock was
                // ahead. They ignore this entry until its incarnation is higher.
                if info.supersedes(&self.own) {
                    self.own.incarnation = info.incarnation + 1;
                }
                continue;
            }
            self.table.merge_info(info, now);
        }
        for heartbeat in &message.heartbeats {
            self.table.merge_heartbeat(heartbeat, now);
        }
        if let Some(sender) = message.sender.as_ref().filter(|_| is_reply) {
            self.table.record_response(&sender.name);
        }
    }

    fn unknown_vms(&self, hints: &[VmHint]) -> Vec<IpAddr> {
        let known =
            |address: IpAddr| address == self.own.address.ip() || self.table.holds_address(address);
        let live = hints.iter().filter(|hint| !hint.leaving);
        live.map(|hint| hint.address).filter(|address| !known(*address)).collect()
    }

    fn own_entry(&self) -> MemberEntry {
        member_entry(&self.own, MemberState::Alive, true)
    }

    fn publish(&mut self, now: Timestamp) -> Option<MembershipEffect> {
        self.table.update_states(now);
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

fn member_entry(info: &MemberInfo, state: MemberState, reachable: bool) -> MemberEntry {
    MemberEntry {
        name: info.name.clone(),
        incarnation: info.incarnation,
        address: info.address,
        call_address: info.call_address,
        data_centre: info.data_centre.clone(),
        region: info.region.clone(),
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
            MembershipMessage::Received { message, is_reply } => {
                self.receive(&message, is_reply, now);
            }
            MembershipMessage::CallFailed(name) => self.table.record_failed_call(&name),
            MembershipMessage::VmList(hints) => {
                self.table.apply_hints(&hints);
                let unknown_vms = self.unknown_vms(&hints);
                if !unknown_vms.is_empty() {
                    effects.push(MembershipEffect::Contact(unknown_vms));
                }
            }
            MembershipMessage::Tick => {}
        }
        effects.extend(self.publish(now));
        effects
    }
}
