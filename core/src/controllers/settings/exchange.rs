//! What two entries tell each other about intents in force.

use std::sync::Arc;
use std::time::Duration;

use super::SettingsController;
use crate::clock::Timestamp;
use crate::intent::ServiceIntent;

/// An intent with its version in force.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedIntent {
    /// The intent.
    pub intent: Arc<ServiceIntent>,
    /// Its version: that of the store with the offset of the stored intent.
    pub version: u64,
}

/// Short description of the intents that an entry holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigSummary {
    /// Digest of all services and versions.
    pub digest: u64,
    /// Whether the entry holds what the store or its peers held when it started.
    pub complete: bool,
    /// How long ago the intents were confirmed as the newest; none if never.
    /// An age, since clocks of entries differ.
    pub confirmed_age: Option<Duration>,
}

/// One message about intents, request or answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigMessage {
    /// What the sender holds.
    pub summary: ConfigSummary,
    /// Versions that the sender holds; empty unless digests differed.
    pub versions: Vec<(String, u64)>,
    /// Services whose intents the sender asks for.
    pub wanted: Vec<String>,
    /// Intents that the receiver lacks.
    pub intents: Vec<VersionedIntent>,
}

impl SettingsController {
    /// Describes the intents held.
    pub fn summary(&self, now: Timestamp) -> ConfigSummary {
        let follower = self.follower.as_ref();
        ConfigSummary {
            digest: self.digest,
            complete: follower.is_some_and(|follower| follower.complete),
            confirmed_age: self.confirmed().map(|confirmed| now.since(confirmed)),
        }
    }

    /// Opens an exchange with a peer: a summary alone.
    pub fn open_exchange(&self, now: Timestamp) -> ConfigMessage {
        ConfigMessage { summary: self.summary(now), ..ConfigMessage::default() }
    }

    /// Answers a peer's message, after its intents were applied.
    pub fn respond(&self, request: &ConfigMessage, now: Timestamp) -> ConfigMessage {
        let mut reply = self.open_exchange(now);
        if !request.versions.is_empty() {
            reply.intents = self.newer_than(&request.versions);
            reply.wanted = self.older_than(&request.versions);
        }
        reply
    }

    /// Continues an exchange after an answer, or ends it. The first message holds
    /// a summary, the second all versions, the third the intents asked for.
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
        next.intents = reply.wanted.iter().filter_map(|service| self.held(service)).collect();
        (!next.intents.is_empty()).then_some(next)
    }

    /// Lists versions of all services; one of an unknown service at version 0
    /// stands for none, since an empty list means that versions were left out.
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

    fn held(&self, service: &str) -> Option<VersionedIntent> {
        let (_, entry) = self.fleet.find(service)?;
        Some(VersionedIntent { intent: entry.intent.clone(), version: entry.version })
    }

    fn newer_than(&self, versions: &[(String, u64)]) -> Vec<VersionedIntent> {
        let theirs: std::collections::HashMap<&str, u64> =
            versions.iter().map(|(service, version)| (service.as_str(), *version)).collect();
        let names = self.fleet.service_keys.keys();
        names
            .filter_map(|service| self.held(service))
            .filter(|held| {
                theirs.get(held.intent.service.as_str()).is_none_or(|known| *known < held.version)
            })
            .collect()
    }

    fn older_than(&self, versions: &[(String, u64)]) -> Vec<String> {
        let newer =
            versions.iter().filter(|(service, version)| self.version_of(service) < *version);
        newer.map(|(service, _)| service.clone()).collect()
    }
}
