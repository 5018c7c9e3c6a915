//! Gossip messages between entries: their encoded size and the CPU time of handling them.

use std::hint::black_box;

use capnp::message::Builder;
use zinniaport_core::controllers::{
    ConfigMessage, ConfigSummary, IntentsController, IntentsMessage, MembershipMessage,
    StateController, VmReport,
};

use super::fixtures::{NOW, member_messages, membership, service_name, versioned};
use super::meter::cpu_time_us;
use super::report::{SlopeRow, SlopeSubject};
use super::{MEMBERS, ROUNDS};
use crate::peers::{GossipMessage, decode_message, encode_message, peer_capnp::gossip_message};

/// Number of operations of a round; a tenth of it for merges of full lists.
const OPERATIONS: u32 = 200;

/// Number of targets in a changed intent: 4,100 targets in 200 services are about 20 each.
const TARGETS_PER_SERVICE: usize = 20;

/// Returns the summary that entries exchange when their intents are equal.
fn summary() -> ConfigSummary {
    let confirmed_age = Some(std::time::Duration::from_secs(1));
    ConfigSummary { digest: u64::MAX / 3, complete: true, confirmed_age }
}

fn unchanged_config() -> ConfigMessage {
    ConfigMessage { summary: summary(), ..ConfigMessage::default() }
}

/// Creates the message of an ordinary gossip round, in which nothing changed, among `members`
/// entries.
pub fn ordinary_message(members: usize) -> GossipMessage {
    let (members, _) = member_messages(members);
    GossipMessage {
        members,
        config: unchanged_config(),
        quarantined: Vec::new(),
        vms: VmReport::default(),
    }
}

/// Creates a message with the full list of `members` entries.
pub fn full_list_message(members: usize) -> GossipMessage {
    let (_, members) = member_messages(members);
    GossipMessage {
        members,
        config: unchanged_config(),
        quarantined: Vec::new(),
        vms: VmReport::default(),
    }
}

/// Creates a message that announces `changes` changed intents to one of 200 entries.
pub fn announcement_message(changes: usize) -> GossipMessage {
    let mut message = ordinary_message(200);
    message.config.intents =
        (0..changes).map(|number| versioned(number, TARGETS_PER_SERVICE)).collect();
    message
}

/// Creates a message with the intent versions of `services` services.
pub fn versions_message(services: usize) -> GossipMessage {
    let mut message = ordinary_message(200);
    message.config.versions =
        (0..services).map(|number| (service_name(number), 1_000_000 + number as u64)).collect();
    message
}

fn encode(message: &GossipMessage) -> Builder<capnp::message::HeapAllocator> {
    let mut builder = Builder::new_default();
    encode_message(message, builder.init_root::<gossip_message::Builder<'_>>());
    builder
}

/// Returns the size of a message in bytes, with the Cap'n Proto segment table and without the
/// envelope of the RPC call.
fn encoded_bytes(message: &GossipMessage) -> f64 {
    let words = capnp::serialize::compute_serialized_size_in_words(&encode(message));
    (words * 8) as f64
}

/// Returns the CPU time of encoding and decoding a message.
fn codec_us(message: &GossipMessage) -> f64 {
    cpu_time_us(OPERATIONS, || {
        let builder = encode(black_box(message));
        let reader = builder.get_root_as_reader::<gossip_message::Reader<'_>>();
        let _ = black_box(reader.and_then(decode_message));
    })
}

/// Returns the CPU time in which the membership controller handles an ordinary message and
/// builds the next one.
fn membership_us(members: usize) -> f64 {
    let mut controller = membership(members);
    let mut sender = membership(members);
    let message = sender.message(None, NOW);
    cpu_time_us(OPERATIONS, || {
        let message = black_box(message.clone());
        let received = MembershipMessage::Received { message, is_reply: false };
        black_box(controller.handle(received, NOW));
        black_box(controller.message(None, NOW));
    })
}

/// Returns the CPU time in which the membership controller merges a full list of members.
fn merge_full_list_us(members: usize) -> f64 {
    let mut controller = membership(members);
    let (_, message) = member_messages(members);
    cpu_time_us(OPERATIONS / 10, || {
        let received =
            MembershipMessage::Received { message: black_box(message.clone()), is_reply: false };
        black_box(controller.handle(received, NOW));
    })
}

/// Returns the CPU time in which the controller of intents, with 200 services, applies
/// `changes` changed intents that arrive one by one.
fn apply_us(changes: usize) -> f64 {
    let mut controller = IntentsController::default();
    for number in 0..200 {
        let intent = versioned(number, TARGETS_PER_SERVICE);
        let intent = intent.intent.as_ref().clone();
        controller.handle(IntentsMessage::Accepted { intent, version: 1 }, NOW);
    }
    let mut version = 1;
    let changed: Vec<_> =
        (0..changes).map(|number| versioned(number, TARGETS_PER_SERVICE)).collect();
    cpu_time_us(5, || {
        version += 1;
        for change in &changed {
            let intent = change.intent.as_ref().clone();
            black_box(controller.handle(IntentsMessage::Accepted { intent, version }, NOW));
        }
    })
}

/// Measures all slopes of gossip messages.
pub fn rows() -> Vec<SlopeRow> {
    let row = |quantity, unit, size, sizes: &[usize], measure: &dyn Fn(usize) -> f64| {
        SlopeRow::measure(SlopeSubject { quantity, unit, size }, sizes, ROUNDS, measure)
    };
    let (changes, services) = ([1, 4, 16, 64], [4, 40, 200]);
    vec![
        row("Ordinary message, encoded", "bytes", "members", &MEMBERS, &|members| {
            encoded_bytes(&ordinary_message(members))
        }),
        row("Ordinary message, encode and decode", "us", "members", &MEMBERS, &|members| {
            codec_us(&ordinary_message(members))
        }),
        row("Ordinary message, take and build", "us", "members", &MEMBERS, &membership_us),
        row("Full member list, encoded", "bytes", "members", &MEMBERS, &|members| {
            encoded_bytes(&full_list_message(members))
        }),
        row("Full member list, encode and decode", "us", "members", &MEMBERS, &|members| {
            codec_us(&full_list_message(members))
        }),
        row("Full member list, take", "us", "members", &MEMBERS, &merge_full_list_us),
        row("Announcement, encoded", "bytes", "changed intents", &changes, &|changes| {
            encoded_bytes(&announcement_message(changes))
        }),
        row("Announcement, encode and decode", "us", "changed intents", &changes, &|changes| {
            codec_us(&announcement_message(changes))
        }),
        row("Changed intents, apply and publish", "us", "changed intents", &changes, &apply_us),
        row("List of versions, encoded", "bytes", "services", &services, &|services| {
            encoded_bytes(&versions_message(services))
        }),
        row("List of versions, encode and decode", "us", "services", &services, &|services| {
            codec_us(&versions_message(services))
        }),
    ]
}
