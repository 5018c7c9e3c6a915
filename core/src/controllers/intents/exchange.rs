//! Anti-entropy exchange of the intents in force between two entries.

use std::sync::Arc;
use std::time::Duration;

use super::IntentsController;
use crate::clock::Timestamp;
use crate::intent::ServiceIntent;

/// An intent with its version in force.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedIntent {
    /// The intent.
    pub intent: Arc<ServiceIntent>,
    /// Its version: the version in the store plus the offset of the stored intent.
    pub version: u64,
}

/// Summary of the intents that an entry holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigSummary {
    /// Digest of all services and versions.
    pub digest: u64,
    /// Whether the entry holds what the store or its peers held when it started.
    pub complete: bool,
    /// Time since the intents were confirmed as the newest; `None` if they never were. An
    /// age, because the clocks of entries differ.
    pub confirmed_age: Option<Duration>,
}

/// One message of an exchange, request or response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigMessage {
    /// Summary of what the sender holds.
    pub summary: ConfigSummary,
    /// Versions that the sender holds; empty unless the digests differed.
    pub versions: Vec<(String, u64)>,
    /// Services whose intents the sender requests.
    pub wanted: Vec<String>,
    /// Intents that the receiver lacks.
    pub intents: Vec<VersionedIntent>,
}

impl IntentsController {
    /// Returns a summary of the intents held.
    pub fn summary(&self, now: Timestamp) -> ConfigSummary {
        let follower = self.follower.as_ref();
        ConfigSummary {
            digest: self.digest,
            complete: follower.is_some_and(|follower| follower.complete),
            confirmed_age: self.confirmed().map(|confirmed| now.since(confirmed)),
        }
    }

    /// Returns the first message of an exchange, which holds only a summary.
    pub fn open_exchange(&self, now: Timestamp) -> ConfigMessage {
        ConfigMessage { summary: self.summary(now), ..ConfigMessage::default() }
    }

    /// Returns the response to a peer's message whose intents were applied already.
    pub fn respond(&self, request: &ConfigMessage, now: Timestamp) -> ConfigMessage {
        let mut reply = self.open_exchange(now);
        if !request.versions.is_empty() {
            reply.intents = self.newer_than(&request.versions);
            reply.wanted = self.older_than(&request.versions);
        }
        reply
    }

    /// Returns the next message of an exchange after a response, or `None` if the exchange
    /// is over. The first message holds a summary, the second all versions and the third
    /// the intents requested.
    pub fn continue_exchange(
        &self,
        sent: &ConfigMessage,
        reply: &ConfigMessage,
        now: Timestamp,
    ) -> Option<ConfigMessage> {
        if reply.summary.digest == self.digest {
            return None;
        }
        let mut next = self.open_exchange(now);
        if sent.versions.is_empty() && sent.intents.is_empty() {
            next.versions = self.versions();
            return Some(next);
        }
        next.intents =
            reply.wanted.iter().filter_map(|service| self.versioned_intent(service)).collect();
        (!next.intents.is_empty()).then_some(next)
    }

    /// Returns the versions of all services. An entry without services returns an unnamed
    /// service at version 0, because an empty list means that the versions were left out.
    fn versions(&self) -> Vec<(String, u64)> {
        let mut versions: Vec<_> = self
            .fleet
            .service_keys
            .keys()
            .map(|name| (name.clone(), self.version_of(name)))
            .collect();
        if versions.is_empty() {
            versions.push((String::new(), 0));
        }
        versions
    }

    fn versioned_intent(&self, service: &str) -> Option<VersionedIntent> {
        let (_, snapshot) = self.fleet.find(service)?;
        Some(VersionedIntent { intent: snapshot.intent.clone(), version: snapshot.version })
    }

    fn newer_than(&self, versions: &[(String, u64)]) -> Vec<VersionedIntent> {
        let theirs: std::collections::HashMap<&str, u64> =
            versions.iter().map(|(service, version)| (service.as_str(), *version)).collect();
        let names = self.fleet.service_keys.keys();
        names
            .filter_map(|service| self.versioned_intent(service))
            .filter(|known| {
                theirs
                    .get(known.intent.service.as_str())
                    .is_none_or(|version| *version < known.version)
            })
            .collect()
    }

    fn older_than(&self, versions: &[(String, u64)]) -> Vec<String> {
        let newer =
            versions.iter().filter(|(service, version)| self.version_of(service) < *version);
        newer.map(|(service, _)| service.clone()).collect()
    }
}
