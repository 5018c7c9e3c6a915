//! Guards against wrong member lists after lost and late messages, one-way failures,
//! crashes and replacements under the same address.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::Index;
use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    MemberEntry, MemberGossip, MemberInfo, MemberState, MembershipController, MembershipEffect,
    MembershipMessage, StateController, VmHint,
};
use zinniaport_testing::{check_property, test_cases};

const VMS: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Call(usize, usize),
    Deliver(Index),
    Lose(Index),
    /// Time passes, in milliseconds.
    Advance(u64),
    Kill(usize),
    /// Starts a new entry on a VM. Its clock is off by this many microseconds, so it may be
    /// behind its predecessor's.
    Replace(usize, i64),
    /// The platform's list of VMs, from which any may be missing.
    List(usize, [bool; VMS]),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Call(from, to)),
        14 => any::<Index>().prop_map(Step::Deliver),
        2 => any::<Index>().prop_map(Step::Lose),
        3 => (1_u64..4_000).prop_map(Step::Advance),
        1 => (0..VMS).prop_map(Step::Kill),
        2 => (0..VMS, -50_000_000_i64..50_000_000).prop_map(|(vm, skew)| Step::Replace(vm, skew)),
        1 => (0..VMS, any::<[bool; VMS]>()).prop_map(|(vm, live)| Step::List(vm, live)),
    ]
}

struct Entry {
    name: String,
    skew: i64,
    controller: MembershipController,
    members: Vec<MemberEntry>,
    /// When the newest message received from each sender was made.
    last_received: BTreeMap<String, Timestamp>,
    /// Whether it started with a clock behind a predecessor's start. The others accept it
    /// once it learns of that start.
    clock_behind: bool,
}

struct Message {
    from: usize,
    from_name: String,
    to: usize,
    to_name: Option<String>,
    made: Timestamp,
    content: MemberGossip,
}

struct World {
    now: Timestamp,
    vms: Vec<Option<Entry>>,
    messages: Vec<Message>,
    started: usize,
    /// Latest start on each VM before the current entry.
    latest_starts: [u64; VMS],
}

fn address(vm: usize) -> std::net::SocketAddr {
    ([10, 0, 0, vm as u8], 7903).into()
}

impl World {
    fn new() -> Self {
        let vms = (0..VMS).map(|_| None).collect();
        let mut world = Self {
            now: Timestamp(1 << 40),
            vms,
            messages: Vec::new(),
            started: 0,
            latest_starts: [0; VMS],
        };
        (0..VMS).for_each(|vm| world.replace(vm, 0));
        world
    }

    fn clock(&self, skew: i64) -> Timestamp {
        Timestamp(self.now.0.saturating_add_signed(skew))
    }

    fn replace(&mut self, vm: usize, skew: i64) {
        self.started += 1;
        let predecessor = self.vms[vm].as_ref().map_or(0, |entry| entry.controller.incarnation());
        self.latest_starts[vm] = self.latest_starts[vm].max(predecessor);
        let clock_behind = self.clock(skew).0 <= self.latest_starts[vm];
        let own = MemberInfo {
            name: format!("entry-{}", self.started),
            incarnation: self.clock(skew).0,
            address: address(vm),
            call_address: address(vm),
            data_centre: "south-a".to_owned(),
            region: "south".to_owned(),
            beat: Timestamp(0),
        };
        let name = own.name.clone();
        let controller = MembershipController::new(own);
        let last_received = BTreeMap::new();
        self.vms[vm] = Some(Entry {
            name,
            skew,
            controller,
            members: Vec::new(),
            last_received,
            clock_behind,
        });
    }

    fn send_message(&mut self, vm: usize, message: MembershipMessage) {
        let Some(entry) = &mut self.vms[vm] else { return };
        let clock = Timestamp(self.now.0.saturating_add_signed(entry.skew));
        for effect in entry.controller.handle(message, clock) {
            if let MembershipEffect::Publish(members) = effect {
                entry.members = members.to_vec();
            }
        }
    }

    fn call(&mut self, from: usize, to: usize, request: Option<&(String, MemberGossip)>) {
        let Some(entry) = &mut self.vms[from] else { return };
        let clock = Timestamp(self.now.0.saturating_add_signed(entry.skew));
        let content = entry.controller.message(request.map(|(_, message)| message), clock);
        let to_name = request.map(|(name, _)| name.clone());
        let from_name = entry.name.clone();
        self.messages.push(Message { from, from_name, to, to_name, made: self.now, content });
    }

    fn deliver(&mut self, position: usize) {
        let Message { from, from_name, to, to_name, made, content } =
            self.messages.swap_remove(position);
        let Some(entry) = &mut self.vms[to] else { return };
        if to_name.as_ref().is_some_and(|name| *name != entry.name) {
            return;
        }
        let newest = entry.last_received.entry(from_name.clone()).or_insert(made);
        *newest = made.max(*newest);
        let is_reply = to_name.is_some();
        self.send_message(to, MembershipMessage::Received { message: content.clone(), is_reply });
        if !is_reply {
            self.call(to, from, Some(&(from_name, content)));
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Call(from, to) if from != to => self.call(*from, *to, None),
            Step::Deliver(message) if !self.messages.is_empty() => {
                self.deliver(message.index(self.messages.len()));
            }
            Step::Lose(message) if !self.messages.is_empty() => {
                self.messages.swap_remove(message.index(self.messages.len()));
            }
            Step::Advance(millis) => self.now = self.now + Duration::from_millis(*millis),
            Step::Kill(vm) => {
                let start = self.vms[*vm].take().map_or(0, |entry| entry.controller.incarnation());
                self.latest_starts[*vm] = self.latest_starts[*vm].max(start);
            }
            Step::Replace(vm, skew) => self.replace(*vm, *skew),
            Step::List(vm, live) => {
                let hint = |vm| VmHint { address: address(vm).ip(), leaving: false };
                let hints = (0..VMS).filter(|vm| live[*vm]).map(hint).collect();
                self.send_message(*vm, MembershipMessage::VmList(hints));
            }
            _ => {}
        }
        (0..VMS).for_each(|vm| self.send_message(vm, MembershipMessage::Tick));
    }

    /// Checks that a member from which a message of the last 10 s arrived, and which was
    /// not replaced, is alive, and that no two members share an address.
    fn check(&self) -> Result<(), TestCaseError> {
        for entry in self.vms.iter().flatten() {
            for other in self.vms.iter().flatten() {
                let Some(made) = entry.last_received.get(&other.name) else { continue };
                let recent = self.now.since(*made) < Duration::from_secs(10);
                let member = entry.members.iter().find(|member| member.name == other.name);
                let alive = member.is_some_and(|member| member.state == MemberState::Alive);
                prop_assert!(
                    !recent || alive || other.clock_behind,
                    "{} does not list {} as alive",
                    entry.name,
                    other.name
                );
            }
            let mut addresses: Vec<_> = entry.members.iter().map(|m| m.address).collect();
            addresses.sort();
            addresses.dedup();
            prop_assert_eq!(addresses.len(), entry.members.len(), "two members share an address");
        }
        Ok(())
    }

    /// Runs a minute without faults, in which each entry calls one other every second.
    fn run_without_faults(&mut self) {
        for second in 0..60 {
            self.now = self.now + Duration::from_secs(1);
            for from in 0..VMS {
                self.call(from, (from + 1 + second % (VMS - 1)) % VMS, None);
            }
            while !self.messages.is_empty() {
                self.deliver(0);
            }
            (0..VMS).for_each(|vm| self.send_message(vm, MembershipMessage::Tick));
        }
    }
}

test_cases! {
    member_lists_match_live_entries: "a live entry listed as dead, or a dead or replaced one listed as alive" => {
        check_property(400, &proptest::collection::vec(step(), 1..100), |steps| {
            let mut world = World::new();
            for step in &steps {
                world.run(step);
                world.check()?;
            }
            world.run_without_faults();
            let live: Vec<_> = world.vms.iter().flatten().map(|entry| entry.name.clone()).collect();
            for entry in world.vms.iter().flatten() {
                let mut alive: Vec<_> = live.clone();
                alive.retain(|name| entry.members.iter().any(|m| {
                    m.name == *name && m.state == MemberState::Alive
                }));
                prop_assert_eq!(&alive, &live, "{} lists {:?}", entry.name, entry.members);
                prop_assert_eq!(entry.members.len(), live.len(), "{:?}", entry.members);
            }
            Ok(())
        });
    }
}
