//! Cap'n Proto encoding of gossip messages.

use std::sync::Arc;
use std::time::Duration;

use zinniaport_core::clock::Timestamp;
use zinniaport_core::controllers::{
    ConfigMessage, ConfigSummary, Heartbeat, MemberGossip, MemberInfo, VersionedIntent, VmReport,
};

use super::GossipMessage;
use super::peer_capnp::{config_state, gossip_message, member};

/// Encodes a message.
pub fn encode_message(message: &GossipMessage, mut builder: gossip_message::Builder<'_>) {
    let members = &message.members;
    if let Some(sender) = &members.sender {
        encode_member(sender, builder.reborrow().init_self());
    }
    builder.set_member_digest(members.digest);
    let mut heartbeats = builder.reborrow().init_heartbeats(members.heartbeats.len() as u32);
    for (position, heartbeat) in (0..).zip(&members.heartbeats) {
        let mut item = heartbeats.reborrow().get(position);
        item.set_identity(heartbeat.identity);
        item.set_beat(heartbeat.beat.0);
    }
    let mut member_list = builder.reborrow().init_members(members.members.len() as u32);
    for (position, info) in (0..).zip(&members.members) {
        encode_member(info, member_list.reborrow().get(position));
    }
    encode_config(&message.config, builder.reborrow().init_config());
    // 0 stands for never, so that the default of the field means unknown.
    builder.set_vm_list_age_us(message.vms.list_age.map_or(0, |age| age.as_micros() as u64 + 1));
    let mut leaving = builder.reborrow().init_leaving_vms(message.vms.leaving.len() as u32);
    for (position, (address, age)) in (0..).zip(&message.vms.leaving) {
        let mut item = leaving.reborrow().get(position);
        item.set_address(address.to_string());
        item.set_age_us(age.as_micros() as u64);
    }
    let mut quarantined = builder.init_quarantined(message.quarantined.len() as u32);
    for (position, fingerprint) in (0..).zip(&message.quarantined) {
        quarantined.set(position, fingerprint);
    }
}

fn encode_member(info: &MemberInfo, mut builder: member::Builder<'_>) {
    builder.set_name(&info.name);
    builder.set_incarnation(info.incarnation);
    builder.set_address(info.address.to_string());
    builder.set_call_address(info.call_address.to_string());
    builder.set_data_centre(&info.data_centre);
    builder.set_region(&info.region);
    builder.set_beat(info.beat.0);
}

fn encode_config(config: &ConfigMessage, mut builder: config_state::Builder<'_>) {
    let ConfigSummary { digest, complete, confirmed_age } = config.summary;
    builder.set_digest(digest);
    builder.set_complete(complete);
    // 0 stands for never, so that the default of the field means unknown.
    builder.set_confirmed_age_us(confirmed_age.map_or(0, |age| age.as_micros() as u64 + 1));
    let mut versions = builder.reborrow().init_versions(config.versions.len() as u32);
    for (position, (service, version)) in (0..).zip(&config.versions) {
        let mut item = versions.reborrow().get(position);
        item.set_service(service);
        item.set_version(*version);
    }
    let mut wanted = builder.reborrow().init_wanted(config.wanted.len() as u32);
    for (position, service) in (0..).zip(&config.wanted) {
        wanted.set(position, service);
    }
    let mut intents = builder.init_intents(config.intents.len() as u32);
    for (position, VersionedIntent { intent, version }) in (0..).zip(&config.intents) {
        let mut item = intents.reborrow().get(position);
        item.set_version(*version);
        item.set_intent(&serde_json::to_vec(intent).unwrap_or_default());
    }
}

/// Decodes a message. Members and intents that this version cannot read are skipped, so
/// that one of them does not make the whole message fail.
///
/// # Errors
///
/// Returns an error when the message is not valid Cap'n Proto.
pub fn decode_message(reader: gossip_message::Reader<'_>) -> capnp::Result<GossipMessage> {
    let mut members = MemberGossip { digest: reader.get_member_digest(), ..Default::default() };
    if reader.has_self() {
        members.sender = decode_member(reader.get_self()?)?;
    }
    for heartbeat in reader.get_heartbeats()? {
        let beat = Timestamp(heartbeat.get_beat());
        members.heartbeats.push(Heartbeat { identity: heartbeat.get_identity(), beat });
    }
    for info in reader.get_members()? {
        members.members.extend(decode_member(info)?);
    }
    let quarantined: capnp::Result<Vec<_>> =
        reader.get_quarantined()?.iter().map(|data| data.map(<[u8]>::to_vec)).collect();
    let config = decode_config(reader.get_config()?)?;
    let vms = decode_vms(reader)?;
    Ok(GossipMessage { members, config, quarantined: quarantined?, vms })
}

fn decode_vms(reader: gossip_message::Reader<'_>) -> capnp::Result<VmReport> {
    let list_age = reader.get_vm_list_age_us().checked_sub(1).map(Duration::from_micros);
    let mut leaving = Vec::new();
    for item in reader.get_leaving_vms()? {
        if let Ok(address) = item.get_address()?.to_str()?.parse() {
            leaving.push((address, Duration::from_micros(item.get_age_us())));
        }
    }
    Ok(VmReport { list_age, leaving })
}

fn decode_member(reader: member::Reader<'_>) -> capnp::Result<Option<MemberInfo>> {
    let address = reader.get_address()?.to_str()?.parse();
    let call_address = reader.get_call_address()?.to_str()?.parse();
    let (Ok(address), Ok(call_address)) = (address, call_address) else {
        log::warn!(
            "a peer reported a member without valid addresses; check the settings of that member"
        );
        return Ok(None);
    };
    Ok(Some(MemberInfo {
        name: reader.get_name()?.to_string()?,
        incarnation: reader.get_incarnation(),
        address,
        call_address,
        data_centre: reader.get_data_centre()?.to_string()?,
        region: reader.get_region()?.to_string()?,
        beat: Timestamp(reader.get_beat()),
    }))
}

fn decode_config(reader: config_state::Reader<'_>) -> capnp::Result<ConfigMessage> {
    let age = reader.get_confirmed_age_us();
    let summary = ConfigSummary {
        digest: reader.get_digest(),
        complete: reader.get_complete(),
        confirmed_age: age.checked_sub(1).map(Duration::from_micros),
    };
    let mut config = ConfigMessage { summary, ..ConfigMessage::default() };
    for item in reader.get_versions()? {
        config.versions.push((item.get_service()?.to_string()?, item.get_version()));
    }
    for service in reader.get_wanted()? {
        config.wanted.push(service?.to_string()?);
    }
    for item in reader.get_intents()? {
        match serde_json::from_slice(item.get_intent()?) {
            Ok(intent) => config
                .intents
                .push(VersionedIntent { intent: Arc::new(intent), version: item.get_version() }),
            Err(error) => log::error!(
                "cannot decode an intent of a peer at version {}: {error}; \
                 check whether the peer runs another version",
                item.get_version()
            ),
        }
    }
    Ok(config)
}
