//! Intents in force: the newest accepted version of each service's intent.

use std::sync::Arc;

use super::StateController;
use crate::clock::Timestamp;
use crate::fleet::FleetSnapshot;
use crate::intent::ServiceIntent;

/// What the settings controller is told.
#[derive(Clone, Debug)]
pub enum SettingsMessage {
    /// An accepted intent arrived from the store or from a peer.
    Accepted {
        /// The intent.
        intent: ServiceIntent,
        /// Its version in the store.
        version: u64,
    },
}

/// What the settings controller asks for.
#[derive(Clone, Debug)]
pub enum SettingsEffect {
    /// Publish this snapshot to the request path.
    Publish(Arc<FleetSnapshot>),
}

/// Puts accepted intents in force and never goes back to a lower version.
#[derive(Debug, Default)]
pub struct SettingsController {
    fleet: FleetSnapshot,
}

impl StateController for SettingsController {
    type Message = SettingsMessage;
    type Effect = SettingsEffect;

    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect> {
        let SettingsMessage::Accepted { intent, version } = message;
        if !self.fleet.apply(intent, version, now) {
            return Vec::new();
        }
        vec![SettingsEffect::Publish(Arc::new(self.fleet.clone()))]
    }
}
