//! Driver of the locations controller: learns where the other entries are and divides services by
//! data centre while the data centres are far apart.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use zinniaport_core::controllers::{
    LocationsController, LocationsEffect, LocationsMessage, StateController, TargetsMessage,
};
use zinniaport_core::placement::DataCentreParts;
use zinniaport_core::signals::LocationMessage;

use crate::placement::PlacementHandle;
use crate::signals::{SignalDatagram, SignalSender};
use crate::state::SharedState;
use crate::targets::TargetsHandle;

/// Time between ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Maximum number of messages that wait. Each entry sends a few in a minute; a fleet of a
/// thousand that is divided for the first time sends one each.
const MAX_MESSAGES: usize = 2_048;

/// Passes messages to the driver, or drops them if too many wait.
#[derive(Clone)]
pub struct LocationsHandle(mpsc::Sender<LocationsMessage>);

impl LocationsHandle {
    /// Handles a message of another entry.
    pub fn receive(&self, from: SocketAddr, message: LocationMessage) {
        let _ = self.0.try_send(LocationsMessage::Received(from, message));
    }

    /// Sets the live entries, without this one.
    pub fn set_live(&self, live: Vec<SocketAddr>) {
        let _ = self.0.try_send(LocationsMessage::Live(live));
    }
}

/// Owns the locations controller.
pub struct LocationsDriver {
    state: Arc<SharedState>,
    targets: TargetsHandle,
    placement: PlacementHandle,
    sender: SignalSender,
    controller: LocationsController,
    handle: LocationsHandle,
    messages: mpsc::Receiver<LocationsMessage>,
}

impl LocationsDriver {
    /// Creates a driver that sends through the socket of the signals driver.
    pub fn new(
        state: Arc<SharedState>,
        targets: TargetsHandle,
        placement: PlacementHandle,
        sender: SignalSender,
        mode: DataCentreParts,
    ) -> Self {
        let (message_sender, messages) = mpsc::channel(MAX_MESSAGES);
        let data_centre = state.data_centre.clone();
        let controller = LocationsController::new(sender.address(), data_centre, mode);
        let handle = LocationsHandle(message_sender);
        Self { state, targets, placement, sender, controller, handle, messages }
    }

    /// Returns a handle that passes messages to this driver.
    pub fn handle(&self) -> LocationsHandle {
        self.handle.clone()
    }

    /// Handles messages until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                () = stop.cancelled() => return,
                Some(message) = self.messages.recv() => message,
                _ = ticks.tick() => LocationsMessage::Tick,
            };
            for effect in self.controller.handle(message, self.state.clock.now()) {
                self.apply_effect(effect);
            }
        }
    }

    fn apply_effect(&self, effect: LocationsEffect) {
        match effect {
            LocationsEffect::Send(to, message) => {
                self.sender.send(&SignalDatagram::Location(message), &[to]);
            }
            LocationsEffect::Located(entries) => {
                self.state.entry_locations.store(entries.clone());
                self.placement.set_locations(entries);
            }
            LocationsEffect::Divided(is_divided, round_trip) => {
                let round_trip_us = round_trip.map_or(0, |time| time.as_micros() as u64);
                log::info!(
                    round_trip_us;
                    "services are {} by data centre", if is_divided { "divided" } else { "not divided" }
                );
                self.state.metrics.placement.divided.set(f64::from(u8::from(is_divided)));
                let used_us = if is_divided { round_trip_us } else { 0 };
                self.state.data_centre_round_trip_us.store(used_us, Ordering::Relaxed);
                self.targets.send(TargetsMessage::DivideByDataCentre(is_divided));
            }
        }
    }
}
