//! Controllers: each owns one piece of state, takes messages and clock readings,
//! and returns effects for its driver to carry out.

mod burn;
mod settings;

pub use burn::{BurnController, BurnEffect, BurnMessage};
mod drain;

pub use drain::{DrainController, DrainEffect, DrainLimits, DrainMessage, DrainState};
pub use settings::{SettingsController, SettingsEffect, SettingsMessage};

use crate::clock::Timestamp;

/// A state machine that owns one piece of state.
pub trait StateController: Send {
    /// What it is told.
    type Message: Send;
    /// What it asks its driver to do.
    type Effect: Send;

    /// Takes one message and returns the effects to carry out, in order.
    fn handle(&mut self, message: Self::Message, now: Timestamp) -> Vec<Self::Effect>;
}
