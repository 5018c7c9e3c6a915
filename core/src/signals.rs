//! Signals that entries send each other in datagrams: liveness, capacity, the latest known
//! revisions of the directory and requests that crash targets.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::call::CallFingerprint;
use crate::clock::Timestamp;
use crate::digest::ShortDigest;
use crate::directory::{DirectoryPart, StoreRevision};
use crate::fleet::TargetSnapshot;
use crate::placement::{PartHeadroom, RoundTripReport};
use crate::quarantine::CrashRecord;

/// Identifies a target in messages between entries, whose keys differ. Among 4,100 targets
/// two have the same tag with a probability of 0.2%; each then appears to have the load of
/// both.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct TargetTag(pub u32);

impl TargetTag {
    /// Derives the tag of a target from its instance and address.
    pub fn of(target: &TargetSnapshot) -> Self {
        let (id, started) = match &target.instance {
            Some(instance) => (&*instance.id, instance.started_ms),
            None => ("", 0),
        };
        let address = target.address.to_string();
        let parts = [id.as_bytes(), &started.to_be_bytes(), address.as_bytes()];
        Self(ShortDigest::of(&parts).high_bits() as u32)
    }
}

/// Identifies a service, or a part of a large one, in messages between entries.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Derives the tag of a service from its name.
    pub fn of(name: &str) -> Self {
        Self(ShortDigest::of(&[name.as_bytes()]).high_bits() as u32)
    }

    /// Derives the tag of the part of a service in a data centre. It depends on nothing else, so
    /// that entries that see different live entries have the same tag.
    pub fn of_data_centre(name: &str, data_centre: &str) -> Self {
        let parts = [name.as_bytes(), b"data-centre", data_centre.as_bytes()];
        Self(ShortDigest::of(&parts).high_bits() as u32)
    }

    /// Derives the tag of one of `count` parts of a service.
    pub fn of_part(name: &str, part: u16, count: u16) -> Self {
        let parts = [name.as_bytes(), &part.to_be_bytes(), &count.to_be_bytes()];
        Self(ShortDigest::of(&parts).high_bits() as u32)
    }
}

/// Crash record without the time of each crash. Entries of earlier versions send these; records
/// have a datagram of their own since, which those versions ignore.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashSummary {
    /// Fingerprint of the request.
    pub fingerprint: CallFingerprint,
    /// Targets that it crashed.
    pub targets: BTreeSet<SocketAddr>,
    /// When it last crashed one.
    pub last_crash: Timestamp,
}

impl From<&CrashSummary> for CrashRecord {
    fn from(summary: &CrashSummary) -> Self {
        let targets = summary.targets.iter().copied();
        Self::from_targets(summary.fingerprint, targets, summary.last_crash)
    }
}

/// Message of an entry to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SignalMessage {
    /// Start time of the sender, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number, used to ignore older messages that arrive late.
    pub sequence: u64,
    /// CPU share that the sender can use, in percent of a core; 0 while it starts or stops.
    pub capacity: u16,
    /// Latest revision of each part of the directory that the sender knows; 0 if an earlier
    /// message contained them, or if the store states its era. Revisions with an era have a
    /// datagram of their own, which entries of earlier versions ignore.
    pub revisions: [u64; DirectoryPart::COUNT],
    /// Crash records of an entry of an earlier version; otherwise empty.
    pub crashes: Vec<CrashSummary>,
    /// Entries that the sender receives messages from; present in some messages only.
    pub members: Vec<SocketAddr>,
}

/// Latest revision of each part of the directory that the sender knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RevisionsMessage {
    /// Era and number of each revision.
    pub revisions: [(u64, u64); DirectoryPart::COUNT],
}

impl From<[StoreRevision; DirectoryPart::COUNT]> for RevisionsMessage {
    fn from(revisions: [StoreRevision; DirectoryPart::COUNT]) -> Self {
        Self { revisions: revisions.map(|revision| (revision.era, revision.number)) }
    }
}

impl From<RevisionsMessage> for [StoreRevision; DirectoryPart::COUNT] {
    fn from(message: RevisionsMessage) -> Self {
        message.revisions.map(|(era, number)| StoreRevision { era, number })
    }
}

/// Message in which an entry tells another one where it is. A request for the same is answered;
/// the sender measures the round trip with it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LocationMessage {
    /// Data centre of the sender.
    pub data_centre: String,
    /// Clock reading of the entry that sent the request, in microseconds.
    pub sent: u64,
    /// Whether this is the response to a request.
    pub is_response: bool,
    /// Lowest round trip between data centres that the sender knows.
    pub lowest: RoundTripReport,
}

/// Headroom of the parts that the sender coordinates.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadroomMessage {
    /// Headroom of each part.
    pub parts: Vec<PartHeadroom>,
    /// Whether the receiver passes the message on to the entries of its own data centre.
    pub is_relayed: bool,
}

/// Number of entries of another data centre that get crash records directly where data centres are
/// far apart. They pass them on within their data centre. With two, the loss of one message or
/// entry delays a record by no more than the next message.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Selects the entries that get crash records directly: those of this data centre or without a
/// known one, and of each other data centre a few that change with `sequence`. A record sent to all
/// entries crosses data centres as often as there are entries in the others.
pub fn select_relays<'a>(
    entries: impl IntoIterator<Item = (SocketAddr, Option<&'a str>)>,
    data_centre: &str,
    sequence: u64,
) -> Vec<SocketAddr> {
    let mut selected = Vec::new();
    let mut elsewhere: IndexMap<&str, Vec<SocketAddr>> = IndexMap::new();
    for (address, location) in entries {
        match location.filter(|location| *location != data_centre) {
            Some(location) => elsewhere.entry(location).or_default().push(address),
            None => selected.push(address),
        }
    }
    for others in elsewhere.into_values() {
        let count = RELAYS_PER_DATA_CENTRE.min(others.len());
        let start = (sequence as usize).wrapping_mul(RELAYS_PER_DATA_CENTRE);
        let relays = (0..count).map(|step| others[start.wrapping_add(step) % others.len()]);
        selected.extend(relays);
    }
    selected
}
