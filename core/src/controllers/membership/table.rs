//! Table of members with the evidence for each.

use std::net::{IpAddr, SocketAddr};

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::{
    FORGET_AFTER, GONE_AFTER, MAX_FAILED_CALLS, MemberEntry, MemberState, SUSPECT_AFTER, VmHint,
    entry_of,
};
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::keys::VmKey;

/// What one entry tells another about a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberInfo {
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
    /// The member's own clock when it last spoke. Only a higher value is news: an
    /// age instead would lose the transit time with each hop, and two entries
    /// could keep a dead member alive by telling each other about it.
    pub beat: Timestamp,
}

impl MemberInfo {
    /// Tells whether the member is a later start than `other` under the same name
    /// or address; names decide between equal start times.
    pub(super) fn overtakes(&self, other: &Self) -> bool {
        (self.incarnation, &self.name) > (other.incarnation, &other.name)
    }

    /// Gives a short identity of the member and its incarnation.
    pub fn identity(&self) -> u64 {
        ShortDigest::of(&[self.name.as_bytes(), &self.incarnation.to_be_bytes()]).high_bits()
    }
}

/// Evidence about a member that both sides know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Identity, as [`MemberNote::identity`] gives it.
    pub identity: u64,
    /// The member's own clock when it last spoke.
    pub beat: Timestamp,
}

/// A member with the evidence for its state.
#[derive(Debug)]
pub(super) struct Member {
    note: MemberInfo,
    identity: u64,
    last_heard: Timestamp,
    failed_calls: u32,
    state: MemberState,
    /// A later incarnation took its name or address.
    replaced: bool,
    /// The platform no longer lists it, or is taking it away.
    unlisted: bool,
    /// Messages since its heartbeat was last passed on.
    passed_over: u32,
}

impl Member {
    pub(super) fn entry(&self) -> MemberEntry {
        entry_of(&self.note, self.state, self.failed_calls < MAX_FAILED_CALLS)
    }

    fn present_state(&self, now: Timestamp) -> MemberState {
        let silence = now.since(self.last_heard);
        let suspect = silence >= SUSPECT_AFTER;
        if self.replaced || silence >= GONE_AFTER || (suspect && self.unlisted) {
            MemberState::Gone
        } else if suspect {
            MemberState::Suspect
        } else {
            MemberState::Alive
        }
    }

    fn take_beat(&mut self, beat: Timestamp, now: Timestamp) {
        if beat > self.note.beat {
            self.note.beat = beat;
            self.last_heard = now;
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

    /// Lists the members that are alive. Suspects are left out, so that the last
    /// beat of a dead member stops spreading.
    pub(super) fn notes(&self) -> Vec<MemberInfo> {
        let alive = self.members.values().filter(|member| member.state == MemberState::Alive);
        alive.map(|member| member.note.clone()).collect()
    }

    /// Picks the heartbeats to pass on: those passed over longest.
    pub(super) fn heartbeats(&mut self, count: usize) -> Vec<Heartbeat> {
        let mut keys: Vec<_> = self.members.keys().collect();
        keys.retain(|key| self.members[*key].state == MemberState::Alive);
        keys.sort_by_key(|key| std::cmp::Reverse(self.members[*key].passed_over));
        for (position, key) in keys.iter().enumerate() {
            let member = &mut self.members[*key];
            member.passed_over = if position < count { 0 } else { member.passed_over + 1 };
        }
        let chosen = keys.iter().take(count).map(|key| &self.members[*key]);
        chosen
            .map(|member| Heartbeat { identity: member.identity, beat: member.note.beat })
            .collect()
    }

    /// Finds a later incarnation under the same name or address.
    pub(super) fn overtaker(&self, note: &MemberInfo) -> Option<&MemberInfo> {
        let mut notes = self.members.values().map(|member| &member.note);
        notes.find(|known| {
            let same = known.name == note.name || known.address == note.address;
            same && known.overtakes(note)
        })
    }

    /// Takes evidence about a member. A lower incarnation under the same name or
    /// address is a late message about a predecessor.
    pub(super) fn take_note(&mut self, note: &MemberInfo, now: Timestamp) {
        if self.overtaker(note).is_some() {
            return;
        }
        for member in self.members.values_mut() {
            let same_name = member.note.name == note.name;
            if !same_name && member.note.address == note.address {
                member.replaced |= note.overtakes(&member.note);
            }
        }
        let known = self.names.get(&note.name).and_then(|key| self.members.get_mut(*key));
        match known {
            Some(member) if member.note.incarnation == note.incarnation => {
                member.take_beat(note.beat, now);
            }
            Some(member) => *member = new_member(note, now),
            None => {
                let key = self.members.insert(new_member(note, now));
                self.names.insert(note.name.clone(), key);
            }
        }
    }

    pub(super) fn take_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        let mut members = self.members.values_mut();
        if let Some(member) = members.find(|member| member.identity == heartbeat.identity) {
            member.take_beat(heartbeat.beat, now);
        }
    }

    pub(super) fn note_answer(&mut self, name: &str) {
        if let Some(member) = self.find_mut(name) {
            member.failed_calls = 0;
        }
    }

    pub(super) fn note_failure(&mut self, name: &str) {
        if let Some(member) = self.find_mut(name) {
            member.failed_calls = member.failed_calls.saturating_add(1);
        }
    }

    /// Takes the platform's list as a hint: it only shortens the wait for a member
    /// that is silent anyway, since the list lags in both directions.
    pub(super) fn take_hints(&mut self, hints: &[VmHint]) {
        for member in self.members.values_mut() {
            let address = member.note.address.ip();
            let live = hints.iter().any(|hint| hint.address == address && !hint.leaving);
            member.unlisted = !live && !hints.is_empty();
        }
    }

    pub(super) fn holds_address(&self, address: IpAddr) -> bool {
        self.present().any(|member| member.note.address.ip() == address)
    }

    /// Brings states up to date and forgets members that were gone for long.
    pub(super) fn age(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.state = member.present_state(now);
        }
        self.members.retain(|_, member| {
            member.state != MemberState::Gone || now.since(member.last_heard) < FORGET_AFTER
        });
        let members = &self.members;
        self.names.retain(|_, key| members.contains_key(*key));
    }

    fn find_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.names.get(name).and_then(|key| self.members.get_mut(*key))
    }
}

fn new_member(note: &MemberInfo, heard: Timestamp) -> Member {
    Member {
        identity: note.identity(),
        note: note.clone(),
        last_heard: heard,
        failed_calls: 0,
        state: MemberState::Alive,
        replaced: false,
        unlisted: false,
        passed_over: 0,
    }
}
