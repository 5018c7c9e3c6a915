//! Messages between entries: bytes and processor time.

use std::hint::black_box;

use capnp::message::Builder;
use zinniaport_core::controllers::{
    ConfigMessage, ConfigSummary, MembershipMessage, SettingsController, SettingsMessage,
    StateController, VmReport,
};

use super::fixtures::{NOW, member_messages, membership, service_name, versioned};
use super::meter::processor_us;
use super::report::{SlopeRow, SlopeSubject};
use super::{MEMBERS, ROUNDS};
use crate::peers::{GossipMessage, decode_message, encode_message, peer_capnp::gossip_message};

/// Operations of one round.
const OPERATIONS: u32 = 200;

/// Targets in a changed intent: 4,100 targets in 200 services are 20 each.
const TARGETS_PER_SERVICE: usize = 20;

/// Gives what an entry that holds some intents says when nothing differs.
fn summary() -> ConfigSummary {
    let confirmed_age = Some(std::time::Duration::from_secs(1));
    ConfigSummary { digest: u64::MAX / 3, complete: true, confirmed_age }
}

fn quiet_config() -> ConfigMessage {
    ConfigMessage { summary: summary(), ..ConfigMessage::default() }
}

/// Makes the message of an ordinary round among `members` entries.
pub fn ordinary(members: usize) -> GossipMessage {
    let (members, _) = member_messages(members);
    GossipMessage {
        members,
        config: quiet_config(),
        quarantined: Vec::new(),
        vms: VmReport::default(),
    }
}

/// Makes a message with the full list of `members` entries.
pub fn full_list(members: usize) -> GossipMessage {
    let (_, members) = member_messages(members);
    GossipMessage {
        members,
        config: quiet_config(),
        quarantined: Vec::new(),
        vms: VmReport::default(),
    }
}

/// Makes a message that announces `changes` intents to one of 200 entries.
pub fn announcing(changes: usize) -> GossipMessage {
    let mut message = ordinary(200);
    message.config.intents =
        (0..changes).map(|number| versioned(number, TARGETS_PER_SERVICE)).collect();
    message
}

/// Makes a message with the versions of `services` services.
pub fn versions(services: usize) -> GossipMessage {
    let mut message = ordinary(200);
    message.config.versions =
        (0..services).map(|number| (service_name(number), 1_000_000 + number as u64)).collect();
    message
}

fn encode(message: &GossipMessage) -> Builder<capnp::message::HeapAllocator> {
    let mut builder = Builder::new_default();
    encode_message(message, builder.init_root::<gossip_message::Builder<'_>>());
    builder
}

/// Gives the bytes of a message with its Cap'n Proto segment table, without the
/// envelope of the call.
fn encoded_bytes(message: &GossipMessage) -> f64 {
    let words = capnp::serialize::compute_serialized_size_in_words(&encode(message));
    (words * 8) as f64
}

/// Gives the time to encode a message and to decode it again.
fn codec_us(message: &GossipMessage) -> f64 {
    processor_us(OPERATIONS, || {
        let builder = encode(black_box(message));
        let reader = builder.get_root_as_reader::<gossip_message::Reader<'_>>();
        let _ = black_box(reader.and_then(decode_message));
    })
}

/// Gives the time in which the membership controller takes an ordinary message
/// and builds the next one.
fn membership_us(members: usize) -> f64 {
    let mut controller = membership(members);
    let mut sender = membership(members);
    let message = sender.message(None, NOW);
    processor_us(OPERATIONS, || {
        let message = black_box(message.clone());
        let received = MembershipMessage::Received { message, is_reply: false };
        black_box(controller.handle(received, NOW));
        black_box(controller.message(None, NOW));
    })
}

/// Gives the time in which the membership controller takes a full list.
fn take_list_us(members: usize) -> f64 {
    let mut controller = membership(members);
    let (_, message) = member_messages(members);
    processor_us(OPERATIONS / 10, || {
        let received =
            MembershipMessage::Received { message: black_box(message.clone()), is_reply: false };
        black_box(controller.handle(received, NOW));
    })
}

/// Gives the time in which the settings controller of 200 services applies
/// `changes` changed intents that arrive one by one.
fn apply_us(changes: usize) -> f64 {
    let mut controller = SettingsController::default();
    for number in 0..200 {
        let intent = versioned(number, TARGETS_PER_SERVICE);
        let intent = intent.intent.as_ref().clone();
        controller.handle(SettingsMessage::Accepted { intent, version: 1 }, NOW);
    }
    let mut version = 1;
    let changed: Vec<_> =
        (0..changes).map(|number| versioned(number, TARGETS_PER_SERVICE)).collect();
    processor_us(5, || {
        version += 1;
        for change in &changed {
            let intent = change.intent.as_ref().clone();
            black_box(controller.handle(SettingsMessage::Accepted { intent, version }, NOW));
        }
    })
}

/// Measures all slopes of messages.
pub fn rows() -> Vec<SlopeRow> {
    let row = |quantity, unit, size, sizes: &[usize], measure: &dyn Fn(usize) -> f64| {
        SlopeRow::measure(SlopeSubject { quantity, unit, size }, sizes, ROUNDS, measure)
    };
    let (changes, services) = ([1, 4, 16, 64], [4, 40, 200]);
    vec![
        row("Ordinary message, encoded", "bytes", "members", &MEMBERS, &|members| {
            encoded_bytes(&ordinary(members))
        }),
        row("Ordinary message, encode and decode", "us", "members", &MEMBERS, &|members| {
            codec_us(&ordinary(members))
        }),
        row("Ordinary message, take and build", "us", "members", &MEMBERS, &membership_us),
        row("Full member list, encoded", "bytes", "members", &MEMBERS, &|members| {
            encoded_bytes(&full_list(members))
        }),
        row("Full member list, encode and decode", "us", "members", &MEMBERS, &|members| {
            codec_us(&full_list(members))
        }),
        row("Full member list, take", "us", "members", &MEMBERS, &take_list_us),
        row("Announcement, encoded", "bytes", "changed intents", &changes, &|changes| {
            encoded_bytes(&announcing(changes))
        }),
        row("Announcement, encode and decode", "us", "changed intents", &changes, &|changes| {
            codec_us(&announcing(changes))
        }),
        row("Changed intents, apply and publish", "us", "changed intents", &changes, &apply_us),
        row("List of versions, encoded", "bytes", "services", &services, &|services| {
            encoded_bytes(&versions(services))
        }),
        row("List of versions, encode and decode", "us", "services", &services, &|services| {
            codec_us(&versions(services))
        }),
    ]
}
