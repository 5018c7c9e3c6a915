//! What the entries tell each other in datagrams: that they live, what they can
//! carry, which changes of the directory they know, and requests that crash targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::digest::ShortDigest;
use crate::fleet::TargetSnapshot;
use crate::quarantine::CrashRecord;

/// Identifies a target between entries, whose keys differ. Among 4,100 targets two
/// share a tag with a chance of 0.2%, and then look as busy as both together.
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

/// Identifies a service between entries.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Derives the tag of a service from its name.
    pub fn of(name: &str) -> Self {
        Self(ShortDigest::of(&[name.as_bytes()]).high_bits() as u32)
    }
}

/// One message of an entry to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SignalMessage {
    /// Start of the sender, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Number of the message, which tells older ones that arrive late.
    pub sequence: u64,
    /// Processor share that the sender can use, in percent of a core; 0 while it
    /// starts or stops.
    pub capacity: u16,
    /// Newest revisions of targets and configuration that the sender knows; zero if
    /// they were told before.
    pub revisions: [u64; 2],
    /// Requests that crashed targets a moment ago.
    pub crashes: Vec<CrashRecord>,
    /// Entries that the sender hears; only in some messages.
    pub members: Vec<SocketAddr>,
}
