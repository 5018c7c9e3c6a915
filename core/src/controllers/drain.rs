//! Graceful shutdown of an entry: turns readiness off, then closes the listener, then waits
//! for the requests in flight.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::StateController;
use crate::clock::Timestamp;

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainState {
    /// Ready; no shutdown was requested.
    #[default]
    Serving,
    /// Not ready, but new requests are still served, since the platform's balancer reacts
    /// with a delay.
    Announcing,
    /// The listener is closed and the requests in flight are finishing.
    Closing,
    /// The process may exit.
    Stopped,
}

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct DrainLimits {
    /// Time from turning readiness off until the platform's balancer opens no new
    /// connections.
    pub balancer_lag: Duration,
    /// Time after the request to stop from which on requests that still wait for a target are
    /// refused. The platform ends a process that takes too long, and a refused request can be
    /// sent again to another entry.
    pub max_wait: Duration,
    /// Longest wait for the requests in flight after the listener is closed.
    pub in_flight: Duration,
}

/// Messages that the drain controller handles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainMessage {
    /// The platform requested a stop of the process.
    StopRequested,
    /// The timer of a [`DrainEffect::SetTimer`] fired.
    TimerFired,
    /// The last caller connection ended after the listener closed.
    ConnectionsEnded,
}

/// Effects that the drain controller requests from its driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEffect {
    /// Respond to the platform's readiness checks with this value.
    PublishReadiness(bool),
    /// Send [`DrainMessage::TimerFired`] at this time.
    SetTimer(Timestamp),
    /// Close the listener and let the open caller connections finish.
    CloseListener,
    /// Refuse the requests that no target has.
    RefuseWaiting,
    /// Exit the process.
    Finish {
        /// Whether the wait for the requests in flight reached its limit, so that the rest
        /// are aborted.
        timed_out: bool,
    },
}

/// Runs the stages of a graceful shutdown in order.
#[derive(Debug)]
pub struct DrainController {
    limits: DrainLimits,
    state: DrainState,
    state_ends: Timestamp,
    /// When waiting requests are refused; `None` once they were.
    refuse_at: Option<Timestamp>,
}

impl DrainController {
    /// Creates the controller of a serving entry.
    pub fn new(limits: DrainLimits) -> Self {
        let state_ends = Timestamp::default();
        Self { limits, state: DrainState::Serving, state_ends, refuse_at: None }
    }

    /// Returns the stage of the shutdown.
    pub fn state(&self) -> DrainState {
        self.state
    }

    fn enter(&mut self, state: DrainState, end: Timestamp) -> DrainEffect {
        self.state = state;
        self.state_ends = end;
        DrainEffect::SetTimer(end)
    }

    /// Returns the effects of a timer while the requests in flight are finishing.
    fn wait_for_requests(&mut self, now: Timestamp) -> Vec<DrainEffect> {
        if now >= self.state_ends {
            return self.finish(true);
        }
        match self.refuse_at {
            Some(refuse_at) if refuse_at <= now => {
                self.refuse_at = None;
                vec![DrainEffect::RefuseWaiting, DrainEffect::SetTimer(self.state_ends)]
            }
            Some(refuse_at) => vec![DrainEffect::SetTimer(refuse_at.min(self.state_ends))],
            None => vec![DrainEffect::SetTimer(self.state_ends)],
        }
    }

    fn finish(&mut self, timed_out: bool) -> Vec<DrainEffect> {
        self.state = DrainState::Stopped;
        vec![DrainEffect::Finish { timed_out }]
    }
}

impl StateController for DrainController {
    type Message = DrainMessage;
    type Effect = DrainEffect;

    fn handle(&mut self, message: DrainMessage, now: Timestamp) -> Vec<DrainEffect> {
        match (self.state, message) {
            (DrainState::Serving, DrainMessage::StopRequested) => {
                self.refuse_at = Some(now + self.limits.max_wait);
                let timer = self.enter(DrainState::Announcing, now + self.limits.balancer_lag);
                vec![DrainEffect::PublishReadiness(false), timer]
            }
            (DrainState::Announcing, DrainMessage::TimerFired) if now < self.state_ends => {
                vec![DrainEffect::SetTimer(self.state_ends)]
            }
            (DrainState::Announcing, DrainMessage::TimerFired) => {
                self.enter(DrainState::Closing, now + self.limits.in_flight);
                let mut effects = vec![DrainEffect::CloseListener];
                effects.extend(self.wait_for_requests(now));
                effects
            }
            (DrainState::Closing, DrainMessage::ConnectionsEnded) => self.finish(false),
            (DrainState::Closing, DrainMessage::TimerFired) => self.wait_for_requests(now),
            _ => Vec::new(),
        }
    }
}
