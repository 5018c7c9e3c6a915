//! Table of members with the evidence for the state of each.

use std::net::{IpAddr, SocketAddr};

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::{
    FORGET_AFTER, GONE_AFTER, MAX_FAILED_CALLS, MemberEntry, MemberState, SUSPECT_AFTER, VmHint,
    member_entry,
};
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::keys::VmKey;

/// Description of a member as entries send it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberInfo {
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
    /// The member's own clock when it sent its last message. Only a higher value is
    /// evidence that it is alive. An age instead would lose the transit time with each hop,
    /// and two entries could keep a dead member alive by sending it to each other.
    pub beat: Timestamp,
}

impl MemberInfo {
    /// Returns `true` if the member is a later incarnation than `other` under the same name
    /// or address. Names decide between equal start times.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, &self.name) > (other.incarnation, &other.name)
    }

    /// Returns a short digest that identifies the member and its incarnation.
    pub fn identity(&self) -> u64 {
        ShortDigest::of(&[self.name.as_bytes(), &self.incarnation.to_be_bytes()]).high_bits()
    }
}

/// Heartbeat of a member that both sides know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Identity, as [`MemberInfo::identity`] returns it.
    pub identity: u64,
    /// The member's own clock when it sent its last message.
    pub beat: Timestamp,
}

/// A member with the evidence for its state.
#[derive(Debug)]
pub(super) struct Member {
    info: MemberInfo,
    identity: u64,
    last_heartbeat: Timestamp,
    failed_calls: u32,
    state: MemberState,
    /// Whether a later incarnation took its address.
    replaced: bool,
    /// Whether the platform no longer lists its VM, or lists it as leaving.
    unlisted: bool,
    /// Messages sent since one last contained its heartbeat.
    messages_since_sent: u32,
}

impl Member {
    pub(super) fn entry(&self) -> MemberEntry {
        member_entry(&self.info, self.state, self.failed_calls < MAX_FAILED_CALLS)
    }

    fn state_at(&self, now: Timestamp) -> MemberState {
        let silence = now.since(self.last_heartbeat);
        let suspect = silence >= SUSPECT_AFTER;
        if self.replaced || silence >= GONE_AFTER || (suspect && self.unlisted) {
            MemberState::Gone
        } else if suspect {
            MemberState::Suspect
        } else {
            MemberState::Alive
        }
    }

    fn record_beat(&mut self, beat: Timestamp, now: Timestamp) {
        if beat > self.info.beat {
            self.info.beat = beat;
            self.last_heartbeat = now;
        }
    }
}

/// Members by key and by name.
#[derive(Debug, Default)]
pub(super) struct MemberTable {
    members: SlotMap<VmKey, Member>,
    names: IndexMap<String, VmKey>,
}

impl MemberTable {
    pub(super) fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state != MemberState::Gone)
    }

    pub(super) fn digest(&self) -> u64 {
        self.present().fold(0, |digest, member| digest ^ member.identity)
    }

    /// Returns the members that are alive. Suspects are left out, so that the last
    /// heartbeat of a dead member stops spreading.
    pub(super) fn alive(&self) -> Vec<MemberInfo> {
        let alive = self.members.values().filter(|member| member.state == MemberState::Alive);
        alive.map(|member| member.info.clone()).collect()
    }

    /// Returns the heartbeats to forward, starting with those forwarded longest ago.
    pub(super) fn heartbeats(&mut self, count: usize) -> Vec<Heartbeat> {
        let mut keys: Vec<_> = self.members.keys().collect();
        keys.retain(|key| self.members[*key].state == MemberState::Alive);
        keys.sort_by_key(|key| std::cmp::Reverse(self.members[*key].messages_since_sent));
        for (position, key) in keys.iter().enumerate() {
            let member = &mut self.members[*key];
            member.messages_since_sent =
                if position < count { 0 } else { member.messages_since_sent + 1 };
        }
        let chosen = keys.iter().take(count).map(|key| &self.members[*key]);
        chosen
            .map(|member| Heartbeat { identity: member.identity, beat: member.info.beat })
            .collect()
    }

    /// Returns the member that supersedes `info`, if any: a later incarnation under the
    /// same name or address.
    pub(super) fn superseding(&self, info: &MemberInfo) -> Option<&MemberInfo> {
        let mut infos = self.members.values().map(|member| &member.info);
        infos.find(|known| {
            let same = known.name == info.name || known.address == info.address;
            same && known.supersedes(info)
        })
    }

    /// Merges evidence about a member. A lower incarnation under the same name or address
    /// comes from a late message about a predecessor.
    pub(super) fn merge_info(&mut self, info: &MemberInfo, now: Timestamp) {
        if self.superseding(info).is_some() {
            return;
        }
        for member in self.members.values_mut() {
            let same_name = member.info.name == info.name;
            if !same_name && member.info.address == info.address {
                member.replaced |= info.supersedes(&member.info);
            }
        }
        let known = self.names.get(&info.name).and_then(|key| self.members.get_mut(*key));
        match known {
            Some(member) if member.info.incarnation == info.incarnation => {
                member.record_beat(info.beat, now);
            }
            Some(member) => *member = new_member(info, now),
            None => {
                let key = self.members.insert(new_member(info, now));
                self.names.insert(info.name.clone(), key);
            }
        }
    }

    pub(super) fn merge_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        let mut members = self.members.values_mut();
        if let Some(member) = members.find(|member| member.identity == heartbeat.identity) {
            member.record_beat(heartbeat.beat, now);
        }
    }

    pub(super) fn record_response(&mut self, name: &str) {
        if let Some(member) = self.find_mut(name) {
            member.failed_calls = 0;
        }
    }

    pub(super) fn record_failed_call(&mut self, name: &str) {
        if let Some(member) = self.find_mut(name) {
            member.failed_calls = member.failed_calls.saturating_add(1);
        }
    }

    /// Applies the platform's list as a hint. It only shortens the wait for a member that
    /// is silent anyway, since the list lags in both directions.
    pub(super) fn apply_hints(&mut self, hints: &[VmHint]) {
        for member in self.members.values_mut() {
            let address = member.info.address.ip();
            let live = hints.iter().any(|hint| hint.address == address && !hint.leaving);
            member.unlisted = !live && !hints.is_empty();
        }
    }

    pub(super) fn holds_address(&self, address: IpAddr) -> bool {
        self.present().any(|member| member.info.address.ip() == address)
    }

    /// Updates the states and removes members that were gone for [`FORGET_AFTER`].
    pub(super) fn update_states(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.state = member.state_at(now);
        }
        self.members.retain(|_, member| {
            member.state != MemberState::Gone || now.since(member.last_heartbeat) < FORGET_AFTER
        });
        let members = &self.members;
        self.names.retain(|_, key| members.contains_key(*key));
    }

    fn find_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.names.get(name).and_then(|key| self.members.get_mut(*key))
    }
}

fn new_member(info: &MemberInfo, received: Timestamp) -> Member {
    Member {
        identity: info.identity(),
        info: info.clone(),
        last_heartbeat: received,
        failed_calls: 0,
        state: MemberState::Alive,
        replaced: false,
        unlisted: false,
        messages_since_sent: 0,
    }
}
