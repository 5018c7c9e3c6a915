//! Planned stop of an entry: readiness, then the listener, then requests in
//! flight.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::StateController;
use crate::clock::Timestamp;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainState {
    /// Ready, no stop was requested.
    #[default]
    Serving,
    /// Not ready, but new work is served while the platform's balancer lags.
    Announcing,
    /// The listener is closed; requests in flight end.
    Closing,
    /// The process may exit.
    Stopped,
}

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct DrainLimits {
    /// Time from readiness turning false until no new connection arrives.
    pub balancer_lag: Duration,
    /// Longest wait for requests in flight once the listener is closed.
    pub in_flight: Duration,
}

/// What the drain controller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainMessage {
    /// The platform asked the process to stop.
    StopRequested,
    /// A timer that the controller asked for has fired.
    TimerFired,
    /// The last caller connection ended after the listener closed.
    ConnectionsEnded,
}

/// What the drain controller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEffect {
    /// Answer the platform's readiness checks with this.
    PublishReadiness(bool),
    /// Send [`DrainMessage::TimerFired`] at this time.
    SetTimer(Timestamp),
    /// Close the listener and let caller connections end.
    CloseListener,
    /// Exit; `cut` tells whether requests are still in flight.
    Finish {
        /// Whether the wait for requests in flight reached its limit.
        timed_out: bool,
    },
}

/// Orders the steps of a planned stop.
#[derive(Debug)]
pub struct DrainController {
    limits: DrainLimits,
    state: DrainState,
    step_ends: Timestamp,
}

impl DrainController {
    /// Creates the controller of a serving entry.
    pub fn new(limits: DrainLimits) -> Self {
        Self { limits, state: DrainState::Serving, step_ends: Timestamp::default() }
    }

    /// Gives how far the stop has come.
    pub fn state(&self) -> DrainState {
        self.state
    }

    fn begin(&mut self, state: DrainState, ends: Timestamp) -> DrainEffect {
        self.state = state;
        self.step_ends = ends;
        DrainEffect::SetTimer(ends)
    }

    fn finish(&mut self, cut: bool) -> Vec<DrainEffect> {
        self.state = DrainState::Stopped;
        vec![DrainEffect::Finish { timed_out: cut }]
    }
}

impl StateController for DrainController {
    type Message = DrainMessage;
    type Effect = DrainEffect;

    fn handle(&mut self, message: DrainMessage, now: Timestamp) -> Vec<DrainEffect> {
        match (self.state, message) {
            (DrainState::Serving, DrainMessage::StopRequested) => {
                let timer = self.begin(DrainState::Announcing, now + self.limits.balancer_lag);
                vec![DrainEffect::PublishReadiness(false), timer]
            }
            (DrainState::Announcing | DrainState::Closing, DrainMessage::TimerFired)
                if now < self.step_ends =>
            {
                vec![DrainEffect::SetTimer(self.step_ends)]
            }
            (DrainState::Announcing, DrainMessage::TimerFired) => {
                let timer = self.begin(DrainState::Closing, now + self.limits.in_flight);
                vec![DrainEffect::CloseListener, timer]
            }
            (DrainState::Closing, DrainMessage::ConnectionsEnded) => self.finish(false),
            (DrainState::Closing, DrainMessage::TimerFired) => self.finish(true),
            _ => Vec::new(),
        }
    }
}
